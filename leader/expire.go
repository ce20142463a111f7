package leader

import (
	"context"
	"time"

	"hemlockhinge/store"
)

// Rules of removing jobs that have ended.
const (
	expireInterval = 5 * time.Second
	// expireSlack is added to the time that an ended job must be shown.
	expireSlack = 30 * time.Second
	// expireMost is how many jobs one transaction removes: each has three keys.
	expireMost = (store.MaxTxn - 1) / 3
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
		l := t.expired(time.Now())
		if len(l) == 0 {
			continue
		}
		x := store.Txn{
			If: []store.Expect{{Key: roleKey, Revision: t.grip.epoch}},
		}
		for _, id := range l {
			x.Remove = append(x.Remove, JobKey(id), ProgressKey(id), CancelKey(id))
		}
		_, err := t.l.p.Store.Commit(c, x)
		t.log.WithError(err).WithField("jobs", len(l)).Info("jobs_expired")
	}
}

// expired returns jobs that have been shown as ended for long enough. The time
// counts from when this term learnt of the end.
func (t *term) expired(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l []string
	for id, j := range t.jobs {
		if j.live() || len(j.runs) > 0 || j.version != j.stored {
			continue
		}
		if j.endedAt.IsZero() {
			j.endedAt = now
		}
		if len(l) < expireMost && t.l.s.Kept > 0 && now.Sub(j.endedAt) > t.l.s.Kept+expireSlack {
			l = append(l, id)
		}
	}
	return l
}
