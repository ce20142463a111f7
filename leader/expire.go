package leader

import (
	"context"
	"errors"
	"slices"
	"time"

	"hemlockhinge/pause"
	"hemlockhinge/store"
)

// Limits of the removal of ended jobs.
const (
	expireInterval = time.Second
	// expireDelay is added to the time for which an ended job must stay visible.
	expireDelay = 30 * time.Second
	// maxExpiredPerTxn is how many jobs one transaction removes: each has three keys and a
	// condition, and one operation is taken by the condition on the role.
	maxExpiredPerTxn = (store.MaxTxn - 1) / 4
	// maxExpireTxns bounds the transactions in one interval, so that a flood of ended jobs takes
	// a small part of the calls that the store serves. It removes more jobs than can be accepted
	// with as many calls.
	maxExpireTxns = 40
)

// retention is how long an ended job is kept.
func (t *term) retention() time.Duration { return t.leader.settings.JobRetention + expireDelay }

// expireLoop removes jobs from the store some time after they have ended, and stores marks of the
// time that passes, once the term is restored.
func (t *term) expireLoop(c context.Context) {
	select {
	case <-c.Done():
		return
	case <-t.ready:
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
	removed := 0
	var err error
	for l := range slices.Chunk(t.expiredJobs(time.Now()), maxExpiredPerTxn) {
		var n int
		n, err = t.removeFromStore(c, l)
		removed += n
		if err != nil {
			break
		}
	}
	if removed > 0 || err != nil {
		t.log.WithError(err).WithField("jobs", removed).Info("jobs_expired")
	}
}

// removeFromStore removes all keys of some jobs, at most maxExpiredPerTxn, and returns how many it
// has removed. It requires that each job's record is the one that this term knows: a removal without
// an answer may take effect late, and must not remove a new job with the same id. A record that has
// changed, or is gone by an earlier removal, is left alone.
func (t *term) removeFromStore(c context.Context, jobs []expiredJob) (int, error) {
	for len(jobs) > 0 {
		x := store.Txn{
			If: []store.Precondition{{Key: roleKey, Revision: t.leadership.epoch}},
		}
		for _, v := range jobs {
			x.If = append(x.If, store.Precondition{
				Key:      JobKey(v.id),
				Revision: v.revision,
			})
			x.Remove = append(x.Remove, JobKey(v.id), ProgressKey(v.id), CancelKey(v.id))
		}
		_, err := t.leader.ports.Store.Commit(c, x)
		var f *store.TxnConflictError
		if err == nil {
			return len(jobs), nil
		}
		if !errors.As(err, &f) {
			return 0, err
		}
		if i, ok := f.Item(roleKey); !ok || i.Revision != t.leadership.epoch {
			return 0, err
		}
		jobs = slices.DeleteFunc(jobs, func(v expiredJob) bool {
			i, _ := f.Item(JobKey(v.id))
			return i.Revision != v.revision
		})
	}
	return 0, nil
}

// expiredJob is a job whose retention has passed, with the revision of its record.
type expiredJob struct {
	id       string
	revision uint64
}

// expiredJobs returns jobs whose retention has passed, as many as one interval may remove. It is
// counted from when this term first saw that the job has ended or was cancelled, has no runs and is
// saved in the store, or from the mark of an earlier term after that.
func (t *term) expiredJobs(now time.Time) []expiredJob {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l []expiredJob
	for id, j := range t.jobs {
		if j.schedulable() || len(j.runs) > 0 || j.progressVersion != j.storedVersion {
			continue
		}
		if j.endedAt.IsZero() {
			j.endedAt = t.ages.writtenBefore(j.storedRevision, now)
		}
		if len(l) < maxExpireTxns*maxExpiredPerTxn && t.leader.settings.JobRetention > 0 && now.Sub(j.endedAt) > t.retention() {
			l = append(l, expiredJob{
				id:       id,
				revision: j.revision,
			})
		}
	}
	return l
}
