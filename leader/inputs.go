package leader

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/clock"
	"hemlockhinge/graph"
	"hemlockhinge/mirror"
	"hemlockhinge/pause"
	"hemlockhinge/store"
	"hemlockhinge/wire"
)

// inputsInterval is how often the jobs, cancellations and agents in the store are confirmed
// beside the watch.
const (
	inputsInterval = time.Second
	inputsTimeout  = 900 * time.Millisecond
)

// confirmInputs applies the inputs that the watch has not delivered, until c ends: its
// connection may have gone silent.
func (t *term) confirmInputs(c context.Context) {
	for pause.For(c, inputsInterval) {
		x, cancel := context.WithTimeout(c, inputsTimeout)
		err := t.inputs.CatchUp(x)
		cancel()
		if err != nil && c.Err() == nil {
			t.log.WithError(err).Debug("inputs_unconfirmed")
		}
	}
}

// markListed is called after each complete listing of the inputs, and restores the
// progress after the first one.
func (t *term) markListed() {
	t.mu.Lock()
	first := !t.inputsListed
	t.inputsListed = true
	t.mu.Unlock()
	if first {
		t.restore()
	}
	t.requestPass()
}

// markConfirmed is called when all changes of the inputs before a time are applied.
func (t *term) markConfirmed(at clock.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if at.After(t.inputsConfirmedAt) {
		t.inputsConfirmedAt = at
	}
}

// checkRole reads the role key after a listing. The pages of a listing are not one
// snapshot, so a job in it may have been accepted after the role was lost.
func (t *term) checkRole() {
	for {
		i, err := t.leader.ports.Store.Get(t.ctx, roleKey)
		var notFound *store.NotFoundError
		if err == nil || errors.As(err, &notFound) {
			i.Deleted = err != nil
			t.mu.Lock()
			t.applyRole(i)
			t.mu.Unlock()
			return
		}
		t.log.WithError(err).Warn("role_check_failed")
		if !pause.For(t.ctx, restoreRetryDelay) {
			return
		}
	}
}

// restore reads the progress of all jobs, the absences of agents and the age marks, and retries until the store answers.
func (t *term) restore() {
	for {
		items, _, err := mirror.ListAll(t.ctx, t.leader.ports.Store, progressPrefix)
		if err == nil {
			err = t.loadAbsences(t.ctx)
		}
		if err == nil {
			err = t.loadAges(t.ctx)
		}
		if err == nil {
			t.applyProgress(items)
			return
		}
		t.log.WithError(err).Warn("restore_failed")
		if !pause.For(t.ctx, restoreRetryDelay) {
			return
		}
	}
}

// applyProgress applies the stored progress and lets the sessions with agents begin.
func (t *term) applyProgress(items []store.Item) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range items {
		id, _ := cutPrefix(i.Key, progressPrefix)
		j := t.jobs[id]
		p, err := DecodeProgress(i.Value)
		if err != nil || j == nil {
			t.log.WithError(err).WithField("job", id).Warn("progress_without_job")
			continue
		}
		p.Restore(j.Job)
		j.progress = p
		j.publishedState = p.State
		j.storedRevision = i.Revision
	}
	for _, j := range t.jobs {
		// For how long the job has had no run is not known.
		j.lastActive = j.arrivedAt
		j.arrivedAt = t.ages.writtenBefore(j.revision, j.arrivedAt)
	}
	t.restored = true
	close(t.ready)
	t.log.WithFields(logrus.Fields{
		"jobs":   len(t.jobs),
		"agents": len(t.agents),
		"ms":     time.Since(t.startedAt).Milliseconds(),
	}).Info("term_restored")
}

// apply applies a change of a key below inputsPrefix.
func (t *term) apply(i store.Item) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i.Key == roleKey {
		t.applyRole(i)
		return
	}
	if id, ok := cutPrefix(i.Key, jobsPrefix); ok {
		t.applyJob(id, i)
	}
	if id, ok := cutPrefix(i.Key, cancelsPrefix); ok {
		t.applyCancel(id, i)
	}
	if a, ok := cutPrefix(i.Key, agentsPrefix); ok {
		t.applyAgent(a, i)
	}
	t.requestPass()
}

// applyRole ends the term if the role key is no longer the one that this term wrote.
func (t *term) applyRole(i store.Item) {
	if !i.Deleted && i.Revision == t.leadership.epoch {
		return
	}
	if !t.roleLost {
		t.log.WithField("revision", i.Revision).Warn("role_lost")
	}
	t.roleLost = true
	t.cancel()
}

// removeJob removes a job and the approvals for its steps.
func (t *term) removeJob(id string) {
	j := t.jobs[id]
	if j == nil {
		return
	}
	delete(t.jobs, id)
	for k := range j.Occurrences() {
		for s := range j.Steps {
			t.approvals.ForgetStep(graph.Task{
				Job:        id,
				Occurrence: k,
				Step:       s,
			}.StepName())
		}
	}
}

func (t *term) applyJob(id string, i store.Item) {
	if i.Deleted {
		t.removeJob(id)
		return
	}
	if t.jobs[id] != nil || t.roleLost {
		return
	}
	v, err := DecodeJob(i.Value)
	if err != nil {
		t.log.WithError(err).WithField("job", id).Error("job_record_invalid")
		return
	}
	j := newJob(v, i.Revision)
	j.cancelled = t.cancellations[id]
	t.jobs[id] = j
	t.log.WithFields(logrus.Fields{"job": id, "queue": v.Queue, "revision": i.Revision}).Info("job_loaded")
}

func (t *term) applyCancel(id string, i store.Item) {
	if i.Deleted {
		delete(t.cancellations, id)
		return
	}
	t.cancelJob(id)
}

// cancelJob marks a job as cancelled, also if it is not loaded yet.
func (t *term) cancelJob(id string) {
	t.cancellations[id] = true
	j := t.jobs[id]
	if j == nil || j.cancelled {
		return
	}
	j.cancelled = true
	t.log.WithFields(logrus.Fields{"job": id, "runs": len(j.runs)}).Info("job_cancelled")
}

// inputWritten is called when an entry has written an input. A cancellation takes effect
// at once. A job must come through the watch: only the order of the store's changes shows
// that it was accepted before the role was lost.
func (t *term) inputWritten(v *wire.InputWritten) {
	if v.CancelledJob != "" {
		t.mu.Lock()
		t.cancelJob(v.CancelledJob)
		t.mu.Unlock()
		t.requestPass()
	}
	t.inputs.Expect(v.Revision)
}
