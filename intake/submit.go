package intake

import (
	"context"
	"errors"
	"net/http"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/graph"
	"hemlockhinge/leader"
	"hemlockhinge/pause"
	"hemlockhinge/store"
)

// Submit takes a job in, once for each id. It returns nil when the store has a
// job with the id, and else *Error: with status 503 or 429 the job certainly
// never runs unless it is handed in again; with 504 that is not known.
func (d *Intake) Submit(c context.Context, t *Target, j *graph.Job) error {
	_, err := d.submit(c, t, j)
	return err
}

// SubmitSame is Submit, but returns an *Error of status 422 when the id has been
// used for another job.
func (d *Intake) SubmitSame(c context.Context, t *Target, j *graph.Job) error {
	b, err := d.submit(c, t, j)
	if err != nil || b == nil {
		return err
	}
	o, err := leader.DecodeJob(b)
	if err != nil {
		return err
	}
	// The configuration may have changed since.
	o.Service = j.Service
	o.MaxAttempts = j.MaxAttempts
	if !reflect.DeepEqual(o, j) {
		return fail(http.StatusUnprocessableEntity, "id %q was used for another job", j.ID)
	}
	return nil
}

// submit returns the record that the store had already, nil for none.
func (d *Intake) submit(c context.Context, t *Target, j *graph.Job) ([]byte, error) {
	j.Queue = t.Queue.Name
	j.Service = t.Queue.Service
	j.Customer = t.Customer
	j.MaxAttempts = t.Queue.MaxAttempts
	if err := j.Check(); err != nil {
		return nil, fail(http.StatusBadRequest, "%v", err)
	}
	b, err := leader.EncodeJob(j)
	if err != nil {
		return nil, fail(http.StatusBadRequest, "%v", err)
	}
	w := write{
		target: t,
		key:    leader.JobKey(j.ID),
		value:  b,
		fresh:  true,
	}
	err = d.write(c, &w)
	d.p.Log.WithFields(logrus.Fields{
		"job":      j.ID,
		"queue":    j.Queue,
		"customer": j.Customer,
		"version":  t.config.Version,
		"tries":    w.tries,
		"ms":       w.took.Milliseconds(),
		"outcome":  outcome(err),
	}).Info("job_submitted")
	d.p.Meter.Submitted(outcome(err), w.took)
	return w.found, err
}

// Cancel cancels a job; it returns nil once the store has the cancellation or
// the job has ended, and else *Error.
func (d *Intake) Cancel(c context.Context, t *Target) error {
	s, err := d.State(c, t)
	if err != nil {
		return err
	}
	return d.CancelFrom(c, t, s)
}

// CancelFrom is Cancel for a job that was just found in a state.
func (d *Intake) CancelFrom(c context.Context, t *Target, s graph.State) error {
	if s.Final() {
		return nil
	}
	w := write{
		target: t,
		key:    leader.CancelKey(t.Rest),
		value:  []byte(t.Customer),
	}
	err := d.write(c, &w)
	d.p.Log.WithFields(logrus.Fields{
		"job":     t.Rest,
		"state":   s,
		"tries":   w.tries,
		"ms":      w.took.Milliseconds(),
		"outcome": outcome(err),
	}).Info("job_cancel_asked")
	d.p.Meter.Submitted("cancel: "+outcome(err), w.took)
	return err
}

// refusedPatience is how long a write is tried again that the store refuses:
// longer than a burst beyond its rates, shorter than an outage.
const refusedPatience = 300 * time.Millisecond

func outcome(err error) string {
	var e *Error
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, &e):
		return http.StatusText(e.Status)
	}
	return err.Error()
}

// write is one value that a caller's request puts under the configuration that
// allowed the request. With fresh set, an existing key counts as written.
type write struct {
	target *Target
	key    string
	value  []byte
	fresh  bool

	tries int
	took  time.Duration
	// doubt means that an earlier try may still take effect.
	doubt bool
	// found is the value that a fresh key had already.
	found []byte
}

// write puts a value until that is certain, or c ends.
func (d *Intake) write(c context.Context, w *write) error {
	begun := time.Now()
	defer func() { w.took = time.Since(begun) }()
	for {
		if w.doubt || d.reaches(c) {
			done, err := d.tryWrite(c, w)
			if done {
				return err
			}
		}
		if !w.doubt && time.Since(begun) > refusedPatience {
			return d.undecided(w)
		}
		if !pause.For(c, retryPause) {
			return d.undecided(w)
		}
	}
}

// provenAge is the age of the store's last answer up to which a write is sent
// without asking first.
const provenAge = 200 * time.Millisecond

// reaches reports whether the store answers now. A write that gets no answer
// leaves its caller without a true word, and a read that gets none costs nothing.
func (d *Intake) reaches(c context.Context) bool {
	if _, ok := d.fresh(provenAge); ok {
		return true
	}
	err := d.ask(c, provenAge)
	if err != nil {
		d.p.Log.WithError(err).Info("write_not_sent")
	}
	return err == nil
}

// undecided answers for a write that could not be made certain in time.
func (d *Intake) undecided(w *write) error {
	if w.doubt {
		return fail(http.StatusGatewayTimeout, "the store did not answer; the outcome is unknown")
	}
	return d.later("the store cannot be reached")
}

// tryWrite makes one try and reports whether the outcome is certain.
func (d *Intake) tryWrite(c context.Context, w *write) (bool, error) {
	w.tries++
	x := store.Txn{
		If:  []store.Expect{{Key: d.p.Objects.ConfigKey(), Revision: w.target.config.Revision}},
		Put: []store.Write{{Key: w.key, Value: w.value}},
	}
	if w.fresh {
		x.If = append(x.If, store.Expect{Key: w.key})
	}
	asked := time.Now()
	_, err := d.p.Store.Commit(c, x)
	var f *store.TxnConflictError
	var u *store.UnavailableError
	switch {
	case err == nil:
		d.sure(asked)
		return true, nil
	case errors.As(err, &f):
		return d.conflict(w, f)
	case errors.As(err, &u) && u.Refused:
		d.missed(c, asked, err)
		return false, nil
	}
	w.doubt = true
	d.missed(c, asked, err)
	d.p.Log.WithError(err).WithField("key", w.key).Info("write_unanswered")
	return false, nil
}

// conflict finds out why a write's condition did not hold.
func (d *Intake) conflict(w *write, f *store.TxnConflictError) (bool, error) {
	if i, ok := f.Item(w.key); ok && w.fresh {
		w.found = i.Value
		return true, nil
	}
	i, ok := f.Item(d.p.Objects.ConfigKey())
	if !ok {
		return true, d.later("there is no configuration")
	}
	d.adopt(i)
	g, _ := d.fresh(0)
	t, err := resolve(g, w.target.call)
	if err != nil {
		if w.doubt {
			return true, d.undecided(w)
		}
		return true, err
	}
	w.target = t
	return false, nil
}
