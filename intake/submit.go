package intake

import (
	"context"
	"errors"
	"net/http"
	"reflect"

	"github.com/sirupsen/logrus"

	"hemlockhinge/graph"
	"hemlockhinge/leader"
	"hemlockhinge/store"
)

// Submit accepts a job. It returns nil when the store has a job with this id in this queue and of
// this customer, also from an earlier call. Otherwise it returns an *Error: with status 503 or
// 429 the job never runs unless it is submitted again; with 504 it is not known
// whether the job was accepted; with 409 the id is that of a job in another queue or of another
// customer, and this one is not stored; with 410 the customer has cancelled the id before, and this
// job is not stored.
func (d *Intake) Submit(c context.Context, t *ResolvedRequest, j *graph.Job) error {
	o, err := d.submit(c, t, j)
	if err != nil || o == nil {
		return err
	}
	if !t.Queue.Is(leader.QueueRefOf(o)) || !t.mayActFor(o.Customer) {
		d.ports.Log.WithFields(logrus.Fields{"job": j.ID, "queue": j.Queue, "customer": j.Customer}).Warn("job_id_in_use")
		return errorf(http.StatusConflict, "id %q is in use", j.ID)
	}
	return nil
}

// SubmitIdempotent is like Submit, but returns an *Error of status 422 when the
// id was used for a different job.
func (d *Intake) SubmitIdempotent(c context.Context, t *ResolvedRequest, j *graph.Job) error {
	o, err := d.submit(c, t, j)
	if err != nil || o == nil {
		return err
	}
	// These come from the configuration, which may have changed since.
	if t.Queue.Is(leader.QueueRefOf(o)) {
		o.Queue, o.Host, o.Prefix = j.Queue, j.Host, j.Prefix
	}
	o.Service = j.Service
	o.MaxAttempts = j.MaxAttempts
	if !reflect.DeepEqual(o, j) {
		return errorf(http.StatusUnprocessableEntity, "id %q was used for another job", j.ID)
	}
	return nil
}

// submit returns the job with this id that the store had already, or nil if there was
// none.
func (d *Intake) submit(c context.Context, t *ResolvedRequest, j *graph.Job) (*graph.Job, error) {
	j.Queue = t.Queue.Name
	j.Host = t.Queue.Host
	j.Prefix = t.Queue.Prefix
	j.Service = t.Queue.Service
	j.Customer = t.Customer
	j.MaxAttempts = t.Queue.MaxAttempts
	if err := j.Check(); err != nil {
		return nil, errorf(http.StatusBadRequest, "%v", err)
	}
	b, err := leader.EncodeJob(j)
	if err != nil {
		return nil, errorf(http.StatusBadRequest, "%v", err)
	}
	w := write{
		resolved: t,
		key:      leader.JobKey(j.ID),
		value:    b,
		// Earlier tries of this write may take effect later; a cancellation that was answered
		// meanwhile must prevent that.
		conditions: append([]store.Precondition{{Key: leader.JobKey(j.ID)}}, withdrawalConditions(t)...),
	}
	existing, err := d.create(c, &w)
	d.notifyScheduler(&w, "")
	d.ports.Log.WithFields(logrus.Fields{
		"job":      j.ID,
		"queue":    j.Queue,
		"customer": j.Customer,
		"version":  t.config.Version,
		"tries":    w.tries,
		"ms":       w.took.Milliseconds(),
		"outcome":  outcome(err),
	}).Info("job_submitted")
	d.ports.Meter.Submitted(outcome(err), w.took)
	if err != nil || existing == nil {
		return nil, err
	}
	return leader.DecodeJob(existing)
}

// create writes the record of a job, and returns the record that the store had already, nil if there
// was none.
func (d *Intake) create(c context.Context, w *write) (existing []byte, err error) {
	err = d.write(c, w)
	var f *conditionError
	if !errors.As(err, &f) {
		return nil, err
	}
	if i, ok := f.conflict.Item(w.key); ok {
		return i.Value, nil
	}
	return nil, errorf(http.StatusGone, "job %q was cancelled before it was accepted", w.resolved.JobID)
}
