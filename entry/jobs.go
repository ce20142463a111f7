package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"hemlockhinge/conf"
	"hemlockhinge/jobs"
	"hemlockhinge/refuse"
	"hemlockhinge/store"
)

// Limits of the jobs' interface.
const (
	submitTimeout = 5 * time.Second
	readTimeout   = 3 * time.Second
	cancelTries   = 5
)

// submit answers POST /v1/jobs.
func (e *Entry) submit(c echo.Context) error {
	b, err := refuse.ReadBody(c, jobs.MaxBody, "a job is")
	if err != nil {
		return err
	}
	q, err := jobs.ParseRequest(b)
	if err != nil {
		return err
	}
	o, _ := e.objects()
	if err := q.Check(o); err != nil {
		return err
	}
	j, err := e.newJob(q, string(b), c.Request().Header.Get(headerKey), o)
	if err != nil {
		return err
	}
	x, cancel := context.WithTimeout(c.Request().Context(), submitTimeout)
	defer cancel()
	r, err := e.create(x, j)
	if err != nil {
		p := asProblem(err)
		p.JobID = j.ID
		return p
	}
	c.Response().Header().Set("Location", "/v1/jobs/"+r.ID)
	return c.JSON(http.StatusAccepted, r.Body)
}

// newJob makes the record of a job, or refuses it.
func (e *Entry) newJob(q *jobs.Request, body, key string, o *conf.Objects) (jobs.Job, error) {
	id := rand.Text()
	if key != "" {
		id = jobs.Digest(q.Customer, key)
	}
	j := q.Job(id, jobs.Digest(body), time.Now().UTC())
	j.RequestedFrom = e.set.ID
	if r, ok := e.record(id); ok {
		j.Domain = r.Body.Domain
		return j, nil
	}
	if n := e.waiting(q.Customer); overQueue(o, q.Customer, n) {
		return j, refuse.NotRun(http.StatusTooManyRequests, "queue_limit", fmt.Sprintf("customer %q has %d jobs waiting, its limit", q.Customer, n))
	}
	d, err := e.chooseDomain(j, "")
	var n *NoDomainError
	if errors.As(err, &n) {
		return j, refuse.NotRun(http.StatusUnprocessableEntity, "never_runnable", n.Error())
	}
	j.Domain = d
	return j, err
}

func overQueue(o *conf.Objects, customer string, n int) bool {
	c, _ := o.Customer(customer)
	return c.MaxQueuedJobs > 0 && n >= c.MaxQueuedJobs
}

// waiting counts the jobs of a customer that have not started.
func (e *Entry) waiting(customer string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queued[customer]
}

// create writes the record of a new job. A job whose id exists already is the
// same submission again, if it asks for the same.
func (e *Entry) create(c context.Context, j jobs.Job) (store.Record[jobs.Job], error) {
	r, err := e.records.Swap(c, store.NewRecord(j.ID, j), 0)
	if err == nil {
		e.keepJob(r)
		e.meter.jobs.Inc()
		return r, nil
	}
	var f *store.ConflictError
	if !errors.As(err, &f) {
		return r, err
	}
	if r, err = e.records.Get(c, j.ID); err != nil {
		return r, err
	}
	if r.Body.Fingerprint != j.Fingerprint {
		return r, refuse.NotRun(http.StatusUnprocessableEntity, "key_reused", fmt.Sprintf("%s was used for another job", headerKey))
	}
	e.keepJob(r)
	return r, nil
}

// getJob answers GET /v1/jobs/{id}. While the store is out the copy kept here
// is the answer.
func (e *Entry) getJob(c echo.Context) error {
	id := c.Param("id")
	x, cancel := context.WithTimeout(c.Request().Context(), readTimeout)
	defer cancel()
	r, err := e.records.Get(x, id)
	var m *store.NotFoundError
	switch {
	case err == nil:
		e.keepJob(r)
	case errors.As(err, &m):
		return refuse.NotRun(http.StatusNotFound, "no_job", fmt.Sprintf("job %q does not exist", id))
	default:
		o, ok := e.record(id)
		if !ok {
			return refuse.MayHaveRun(http.StatusServiceUnavailable, "store", err.Error())
		}
		r = o
	}
	return c.JSON(http.StatusOK, r.Body)
}

// cancelJob answers DELETE /v1/jobs/{id}. The job is marked; its scheduler
// stops it wherever it stands.
func (e *Entry) cancelJob(c echo.Context) error {
	id := c.Param("id")
	x, cancel := context.WithTimeout(c.Request().Context(), submitTimeout)
	defer cancel()
	for range cancelTries {
		r, err := e.records.Get(x, id)
		var m *store.NotFoundError
		if errors.As(err, &m) {
			return refuse.NotRun(http.StatusNotFound, "no_job", fmt.Sprintf("job %q does not exist", id))
		}
		if err != nil {
			return err
		}
		if r.Body.State.Final() || r.Body.CancelRequested {
			return c.JSON(http.StatusAccepted, r.Body)
		}
		r.Body.CancelRequested = true
		r, err = e.writeJob(x, r)
		if err == nil {
			return c.JSON(http.StatusAccepted, r.Body)
		}
		var f *store.ConflictError
		if !errors.As(err, &f) {
			return err
		}
	}
	return refuse.NotRun(http.StatusConflict, "busy_record", fmt.Sprintf("job %q changes too fast, try again", id))
}
