package intake

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"hemlockhinge/graph"
	"hemlockhinge/leader"
	"hemlockhinge/store"
)

// maxCancelTries is how often a cancellation is begun anew because the job has come or gone
// meanwhile.
const maxCancelTries = 5

// Cancel cancels a job. It returns nil once the store has the cancellation or the
// job has ended, and an *Error otherwise. With status 410 the caller has no such job, and a
// submission that is still under way is not accepted any more.
func (d *Intake) Cancel(c context.Context, t *ResolvedRequest) error {
	_, err := d.cancel(c, t, func(i leader.JobInfo) (*ResolvedRequest, error) {
		if !t.Queue.Is(i.Queue) || !t.mayActFor(i.Customer) {
			return nil, noSuchJob(t.JobID)
		}
		return t, nil
	})
	return err
}

// CancelByID is like Cancel, for a caller who knows only the job's id. It returns the request
// resolved to the job's queue, and the state that the job had.
func (d *Intake) CancelByID(c context.Context, id, key string) (*ResolvedRequest, graph.State, error) {
	g, e := d.currentConfig(c)
	if e != nil {
		return nil, "", e
	}
	var found *ResolvedRequest
	s, err := d.cancel(c, resolveCaller(g, Request{
		JobID:  id,
		APIKey: key,
	}), func(i leader.JobInfo) (t *ResolvedRequest, err error) {
		found, err = resolveJob(g, id, key, i)
		return found, err
	})
	return found, s, err
}

// resolveOwned returns the request with which a caller may act for a job. Its error has status 410 if
// the job is not the caller's.
type resolveOwned func(leader.JobInfo) (*ResolvedRequest, error)

// cancel cancels the job that a request names, and returns the state that it had.
func (d *Intake) cancel(c context.Context, t *ResolvedRequest, owned resolveOwned) (graph.State, error) {
	read := d.queryJob
	for range maxCancelTries {
		i, err := read(c, t.JobID)
		if err != nil {
			return "", d.jobUnavailable(t.JobID, err)
		}
		err = d.cancelFound(c, t, i, owned)
		var f *conditionError
		if !errors.As(err, &f) {
			return i.State, err
		}
		// What the scheduler knows is older than the conflict.
		read = d.storedJob
	}
	return "", d.unavailable("the job changes")
}

// cancelFound cancels a job that was read, or withdraws its id if the caller has no such job. It
// returns *conditionError if the job has come or gone since it was read.
func (d *Intake) cancelFound(c context.Context, t *ResolvedRequest, i leader.JobInfo, owned resolveOwned) error {
	if i.State == "" {
		return d.withdraw(c, t, i.Revision)
	}
	o, err := owned(i)
	var e *Error
	switch {
	case errors.As(err, &e) && e.isNoSuchJob():
		return d.withdraw(c, t, i.Revision)
	case err != nil:
		return err
	case i.State.Final():
		return nil
	}
	return d.writeCancellation(c, o, i)
}

// writeCancellation writes the cancellation of a job, on condition that the job is still there: it
// would stay for ever otherwise, and cancel a later job with the same id.
func (d *Intake) writeCancellation(c context.Context, t *ResolvedRequest, i leader.JobInfo) error {
	w := write{
		resolved:   t,
		key:        leader.CancelKey(t.JobID),
		value:      []byte(t.Customer),
		conditions: []store.Precondition{{Key: leader.JobKey(t.JobID), Revision: i.Revision}},
	}
	err := d.write(c, &w)
	d.notifyScheduler(&w, t.JobID)
	d.recordCancel(&w, t, string(i.State), err)
	return err
}

// recordCancel logs and counts the answer to a cancellation.
func (d *Intake) recordCancel(w *write, t *ResolvedRequest, state string, err error) {
	d.ports.Log.WithFields(logrus.Fields{
		"job":      t.JobID,
		"customer": t.Customer,
		"state":    state,
		"tries":    w.tries,
		"ms":       w.took.Milliseconds(),
		"outcome":  outcome(err),
	}).Info("job_cancel_requested")
	d.ports.Meter.Submitted("cancel: "+outcome(err), w.took)
}
