package leader

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"hemlockhinge/graph"
	"hemlockhinge/pause"
	"hemlockhinge/store"
)

// flushLoop writes changed progress to the store: at once when a job has ended, since
// a caller may wait for that, and otherwise in batches after a short delay.
func (t *term) flushLoop(c context.Context) {
	k := time.NewTicker(flushDelay)
	defer k.Stop()
	for {
		select {
		case <-c.Done():
			return
		case <-t.flushNow:
		case <-k.C:
		}
		for c.Err() == nil {
			err := t.flush(c)
			if err == nil {
				if t.storeLossLogged {
					t.log.Info("store_recovered")
				}
				t.storeLossLogged = false
				break
			}
			var conflict *store.TxnConflictError
			if errors.As(err, &conflict) {
				t.log.Warn("role_taken_by_another")
				t.cancel()
				return
			}
			if !t.storeLossLogged {
				t.log.WithError(err).Warn("store_unavailable")
			}
			t.storeLossLogged = true
			pause.For(c, flushRetryDelay)
		}
	}
}

// progressChange is one job's progress on its way to the store.
type progressChange struct {
	job      *job
	version  uint64
	revision uint64
	value    []byte
	// ends means that the job ends by this change, and was not cancelled.
	ends bool
}

// maxChangesPerTxn is how many changes fit into one transaction: each takes up to two
// conditions and a write, beside the condition on the role.
const maxChangesPerTxn = (store.MaxTxn - 1) / 3

// flush writes all changes that are not in the store yet, and acknowledges the ends of
// runs among them to the agents.
func (t *term) flush(c context.Context) error {
	c, cancel := context.WithTimeout(c, flushTimeout)
	defer cancel()
	for {
		l, err := t.pendingChanges()
		if err != nil {
			return err
		}
		if len(l) > 0 {
			rev, err := t.leader.ports.Store.Commit(c, t.progressTxn(l))
			var conflict *store.TxnConflictError
			if errors.As(err, &conflict) && t.adoptRevisions(conflict, l) {
				continue
			}
			if err != nil {
				return err
			}
			t.markRecorded(l, rev)
		} else {
			t.markRecorded(nil, 0)
		}
		if len(l) < maxChangesPerTxn {
			return nil
		}
	}
}

// progressTxn writes changes on condition that this term still holds the role and that
// each progress key has its last known revision. A write that was not answered may
// take effect seconds later; the second condition keeps it from overwriting a newer
// one. A job ends on condition that it is not cancelled, so that it is shown as cancelled
// from its cancellation on, or never.
func (t *term) progressTxn(l []progressChange) store.Txn {
	x := store.Txn{
		If: []store.Precondition{{Key: roleKey, Revision: t.leadership.epoch}},
	}
	for _, v := range l {
		k := ProgressKey(v.job.ID)
		x.If = append(x.If, store.Precondition{
			Key:      k,
			Revision: v.revision,
		})
		if v.ends {
			x.If = append(x.If, store.Precondition{
				Key: CancelKey(v.job.ID),
			})
		}
		x.Put = append(x.Put, store.Write{
			Key:   k,
			Value: v.value,
		})
	}
	return x
}

// adoptRevisions takes the revisions of progress keys from a failed transaction, which
// an earlier write without a reply may have changed, and cancellations that this term has not
// seen yet. It reports whether this term still holds the role.
func (t *term) adoptRevisions(f *store.TxnConflictError, l []progressChange) bool {
	if i, ok := f.Item(roleKey); !ok || i.Revision != t.leadership.epoch {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range l {
		i, _ := f.Item(ProgressKey(v.job.ID))
		v.job.adoptStored(i)
		if _, ok := f.Item(CancelKey(v.job.ID)); ok {
			// No earlier write of the job's end can take effect any more.
			v.job.endUnconfirmed = false
			t.cancelJob(v.job.ID)
		}
	}
	return true
}

// adoptStored takes the revision of a job's progress in the store, and its end if the store has one:
// an end without a reply has taken effect.
func (j *job) adoptStored(i store.Item) {
	if i.Revision == 0 || i.Revision == j.storedRevision {
		j.storedRevision = i.Revision
		return
	}
	j.storedRevision = i.Revision
	p, err := DecodeProgress(i.Value)
	if err == nil && p.State.Final() {
		j.progress.State = p.State
		j.publishedState = p.State
		j.endUnconfirmed = false
	}
}

// pendingChanges returns as many changes as fit into one transaction.
func (t *term) pendingChanges() ([]progressChange, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l []progressChange
	for _, j := range t.jobs {
		if j.progressVersion == j.storedVersion || len(l) >= maxChangesPerTxn {
			continue
		}
		j.endAsCancelled()
		b, err := msgpack.Marshal(j.progress)
		if err != nil {
			return nil, err
		}
		v := progressChange{
			job:      j,
			version:  j.progressVersion,
			revision: j.storedRevision,
			value:    b,
			ends:     j.endIsOpen() && j.progress.State != graph.Cancelled,
		}
		j.endUnconfirmed = v.ends
		l = append(l, v)
	}
	return l, nil
}

// endIsOpen reports whether a job has ended, and its end is not known to be in the store.
func (j *job) endIsOpen() bool { return j.progress.State.Final() && !j.publishedState.Final() }

// endAsCancelled lets a job that has ended after its cancellation end as cancelled.
func (j *job) endAsCancelled() {
	if j.cancelled && j.endIsOpen() && !j.endUnconfirmed {
		j.progress.State = graph.Cancelled
	}
}

// markRecorded marks changes as stored at a revision, and acknowledges the ends that
// are now recorded.
func (t *term) markRecorded(l []progressChange, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range l {
		v.job.storedVersion = v.version
		v.job.storedRevision = revision
		v.job.endUnconfirmed = false
		if v.job.progressVersion == v.version {
			v.job.publishedState = v.job.progress.State
		}
		if v.job.publishedState.Final() {
			t.logJobEnd(v.job)
		}
	}
	for _, m := range t.agents {
		m.acknowledgeEnds()
	}
}

// logJobEnd logs and counts the end of a job, with what explains its duration.
func (t *term) logJobEnd(j *job) {
	f := logrus.Fields{
		"job":              j.ID,
		"state":            j.publishedState,
		"queue":            j.Queue,
		"customer":         j.Customer,
		"ms":               time.Since(j.arrivedAt).Milliseconds(),
		"first_start_ms":   j.firstStartDelay.Milliseconds(),
		"tasks":            len(j.progress.Tasks),
		"starts":           j.startCount,
		"preemptions":      j.preemptions,
		"within_guarantee": j.withinGuarantee,
	}
	if q := t.queue(j); q != nil {
		f["class"] = q.Priority
		f["objective_ms"] = timeObjective(float64(j.criticalPath), q).Milliseconds()
	}
	t.log.WithFields(f).Info("job_ended")
	t.leader.ports.Meter.JobEnded(fmt.Sprint(f["class"]), string(j.publishedState), time.Since(j.arrivedAt), j.firstStartDelay)
}
