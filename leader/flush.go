package leader

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"hemlockhinge/pause"
	"hemlockhinge/store"
)

// flushLoop records changes of progress: at once when a caller waits for one,
// and else together after a short delay.
func (t *term) flushLoop(c context.Context) {
	k := time.NewTicker(flushDelay)
	defer k.Stop()
	for {
		select {
		case <-c.Done():
			return
		case <-t.save:
		case <-k.C:
		}
		for c.Err() == nil {
			err := t.flush(c)
			if err == nil {
				if t.unsaved {
					t.log.Info("store_regained")
				}
				t.unsaved = false
				break
			}
			var lost *store.TxnConflictError
			if errors.As(err, &lost) {
				t.log.Warn("role_taken_by_another")
				t.end()
				return
			}
			if !t.unsaved {
				t.log.WithError(err).Warn("store_lost")
			}
			t.unsaved = true
			pause.For(c, flushPause)
		}
	}
}

// change is one job's progress that is being recorded.
type change struct {
	job      *job
	version  uint64
	revision uint64
	value    []byte
}

// maxChanges is how many changes fit into one transaction: each takes a
// condition and a write, beside the condition on the role.
const maxChanges = (store.MaxTxn - 1) / 2

// flush records all changes that are not in the store yet, and lets the workers
// forget the ends among them.
func (t *term) flush(c context.Context) error {
	c, cancel := context.WithTimeout(c, flushTimeout)
	defer cancel()
	for {
		l, err := t.changes()
		if err != nil {
			return err
		}
		if len(l) > 0 {
			rev, err := t.l.p.Store.Commit(c, t.transaction(l))
			var lost *store.TxnConflictError
			if errors.As(err, &lost) && t.catchUp(lost, l) {
				continue
			}
			if err != nil {
				return err
			}
			t.recorded(l, rev)
		} else {
			t.recorded(nil, 0)
		}
		if len(l) < maxChanges {
			return nil
		}
	}
}

// transaction writes changes under the conditions that the role still stands,
// and that no other write of them has taken effect: one that was not answered
// may do so seconds later, and must not undo a later one.
func (t *term) transaction(l []change) store.Txn {
	x := store.Txn{
		If: []store.Expect{{Key: roleKey, Revision: t.grip.epoch}},
	}
	for _, v := range l {
		k := ProgressKey(v.job.ID)
		x.If = append(x.If, store.Expect{
			Key:      k,
			Revision: v.revision,
		})
		x.Put = append(x.Put, store.Write{
			Key:   k,
			Value: v.value,
		})
	}
	return x
}

// catchUp takes in the revisions of writes that have taken effect without an
// answer. It reports whether the role still stands.
func (t *term) catchUp(f *store.TxnConflictError, l []change) bool {
	if i, ok := f.Item(roleKey); !ok || i.Revision != t.grip.epoch {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range l {
		i, _ := f.Item(ProgressKey(v.job.ID))
		v.job.saved = i.Revision
	}
	return true
}

// changes returns as many changes as fit into one transaction.
func (t *term) changes() ([]change, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l []change
	for _, j := range t.jobs {
		if j.version == j.stored || len(l) >= maxChanges {
			continue
		}
		b, err := msgpack.Marshal(j.prog)
		if err != nil {
			return nil, err
		}
		l = append(l, change{
			job:      j,
			version:  j.version,
			revision: j.saved,
			value:    b,
		})
	}
	return l, nil
}

func (t *term) recorded(l []change, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range l {
		v.job.stored = v.version
		v.job.saved = revision
		if v.job.version == v.version {
			v.job.shown = v.job.prog.State
		}
		if v.job.shown.Final() {
			t.logEnd(v.job)
		}
	}
	for _, m := range t.members {
		m.noteEnds()
	}
}

// logEnd writes the line of a job's end, with what its time went into.
func (t *term) logEnd(j *job) {
	f := logrus.Fields{
		"job":      j.ID,
		"state":    j.shown,
		"queue":    j.Queue,
		"customer": j.Customer,
		"ms":       time.Since(j.arrived).Milliseconds(),
		"first_ms": j.firstStart.Milliseconds(),
		"tasks":    len(j.prog.Tasks),
		"starts":   j.starts,
		"evicted":  j.evicted,
		"claim":    j.claim,
	}
	if q := t.queue(j); q != nil {
		f["class"] = q.Priority
		f["objective_ms"] = objective(float64(j.chain), q).Milliseconds()
	}
	t.log.WithFields(f).Info("job_ended")
	t.l.p.Meter.JobEnded(fmt.Sprint(f["class"]), string(j.shown), time.Since(j.arrived), j.firstStart)
}
