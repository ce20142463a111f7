package leader

import (
	"context"
	"time"

	"hemlockhinge/store"
)

// Limits of the removal of ended jobs.
const (
	expireInterval = 5 * time.Second
	// expireDelay is added to the time for which an ended job must stay visible.
	expireDelay = 30 * time.Second
	// maxExpiredPerTxn is how many jobs one transaction removes: each has three keys,
	// and one operation is taken by the condition on the role.
	maxExpiredPerTxn = (store.MaxTxn - 1) / 3
)

// expireLoop removes jobs from the store some time after they have ended.
func (t *term) expireLoop(c context.Context) {
	k := time.NewTicker(expireInterval)
	defer k.Stop()
	for {
		select {
		case <-c.Done():
			return
		case <-k.C:
		}
		l := t.expiredJobs(time.Now())
		if len(l) == 0 {
			continue
		}
		x := store.Txn{
			If: []store.Precondition{{Key: roleKey, Revision: t.leadership.epoch}},
		}
		for _, id := range l {
			x.Remove = append(x.Remove, JobKey(id), ProgressKey(id), CancelKey(id))
		}
		_, err := t.leader.ports.Store.Commit(c, x)
		t.log.WithError(err).WithField("jobs", len(l)).Info("jobs_expired")
	}
}

// expiredJobs returns jobs whose retention has passed. It is counted from when this
// term first saw that the job has ended or was cancelled, has no runs and is saved in
// the store.
func (t *term) expiredJobs(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l []string
	for id, j := range t.jobs {
		if j.schedulable() || len(j.runs) > 0 || j.progressVersion != j.storedVersion {
			continue
		}
		if j.endedAt.IsZero() {
			j.endedAt = now
		}
		if len(l) < maxExpiredPerTxn && t.leader.settings.JobRetention > 0 && now.Sub(j.endedAt) > t.leader.settings.JobRetention+expireDelay {
			l = append(l, id)
		}
	}
	return l
}
