package leader

import (
	"context"
	"time"

	"hemlockhinge/pause"
	"hemlockhinge/store"
)

// Limits of the removal of ended jobs.
const (
	expireInterval = time.Second
	// expireDelay is added to the time for which an ended job must stay visible.
	expireDelay = 30 * time.Second
	// maxExpiredPerTxn is how many jobs one transaction removes: each has three keys,
	// and one operation is taken by the condition on the role.
	maxExpiredPerTxn = (store.MaxTxn - 1) / 3
	// maxExpireTxns bounds the transactions in one interval, so that a flood of ended jobs takes
	// a small part of the calls that the store serves. It removes more jobs than can be accepted
	// with as many calls.
	maxExpireTxns = 40
)

// retention is how long an ended job is kept.
func (t *term) retention() time.Duration { return t.leader.settings.JobRetention + expireDelay }

// expireLoop removes jobs from the store some time after they have ended, and stores marks of the
// time that passes.
func (t *term) expireLoop(c context.Context) {
	for !t.loadAges(c) {
		if !pause.For(c, expireInterval) {
			return
		}
	}
	marked := time.Now()
	for pause.For(c, expireInterval) {
		t.expire(c)
		if time.Since(marked) >= ageMarkInterval {
			marked = time.Now()
			t.storeAgeMark(c)
		}
	}
}

// expire removes the jobs whose retention has passed, until a call fails.
func (t *term) expire(c context.Context) {
	l := t.expiredJobs(time.Now())
	removed := 0
	var err error
	for len(l) > 0 && err == nil {
		n := min(len(l), maxExpiredPerTxn)
		err = t.removeFromStore(c, l[:n])
		if err == nil {
			removed += n
		}
		l = l[n:]
	}
	if removed > 0 || err != nil {
		t.log.WithError(err).WithField("jobs", removed).Info("jobs_expired")
	}
}

// removeFromStore removes all keys of some jobs, at most maxExpiredPerTxn.
func (t *term) removeFromStore(c context.Context, jobs []string) error {
	x := store.Txn{
		If: []store.Precondition{{Key: roleKey, Revision: t.leadership.epoch}},
	}
	for _, id := range jobs {
		x.Remove = append(x.Remove, JobKey(id), ProgressKey(id), CancelKey(id))
	}
	_, err := t.leader.ports.Store.Commit(c, x)
	return err
}

// expiredJobs returns jobs whose retention has passed, as many as one interval may remove. It is
// counted from when this term first saw that the job has ended or was cancelled, has no runs and is
// saved in the store, or from the mark of an earlier term after that.
func (t *term) expiredJobs(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l []string
	for id, j := range t.jobs {
		if j.schedulable() || len(j.runs) > 0 || j.progressVersion != j.storedVersion {
			continue
		}
		if j.endedAt.IsZero() {
			j.endedAt = t.ages.writtenBefore(j.storedRevision, now)
		}
		if len(l) < maxExpireTxns*maxExpiredPerTxn && t.leader.settings.JobRetention > 0 && now.Sub(j.endedAt) > t.retention() {
			l = append(l, id)
		}
	}
	return l
}
