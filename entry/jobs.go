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

// Limits of the HTTP API of jobs.
const (
	submitTimeout = 5 * time.Second
	readTimeout   = 3 * time.Second
	cancelTries   = 5
)

// submit answers POST /v1/jobs.
func (e *Entry) submitJob(c echo.Context) error {
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
	r, err := e.createJob(x, j)
	if err != nil {
		p := asProblem(err)
		p.JobID = j.ID
		return p
	}
	c.Response().Header().Set("Location", "/v1/jobs/"+r.ID)
	return c.JSON(http.StatusAccepted, r.Body)
}

// newJob returns a new job with its failure domain, or an error if the job cannot be
// accepted. With an idempotency key, the id is derived from the key and the customer, so
// that a repeated submission gets the same id.
func (e *Entry) newJob(q *jobs.Request, body, key string, o *conf.Objects) (jobs.Job, error) {
	id := rand.Text()
	if key != "" {
		id = jobs.Digest(q.Customer, key)
	}
	j := q.Job(id, jobs.Digest(body), time.Now().UTC())
	j.RequestedFrom = e.settings.ID
	if r, ok := e.cachedRecord(id); ok {
		j.Domain = r.Body.Domain
		return j, nil
	}
	if n := e.queuedJobs(q.Customer); queueLimitReached(o, q.Customer, n) {
		return j, refuse.NotRun(http.StatusTooManyRequests, "queue_limit", fmt.Sprintf("customer %q has %d queued jobs, which is its limit", q.Customer, n))
	}
	d, err := e.chooseDomain(j, "")
	var n *NoDomainError
	if errors.As(err, &n) {
		return j, refuse.NotRun(http.StatusUnprocessableEntity, "never_runnable", n.Error())
	}
	j.Domain = d
	return j, err
}

func queueLimitReached(o *conf.Objects, customer string, n int) bool {
	c, _ := o.Customer(customer)
	return c.MaxQueuedJobs > 0 && n >= c.MaxQueuedJobs
}

// queuedJobs returns the number of a customer's jobs that wait to be started.
func (e *Entry) queuedJobs(customer string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.queuedByCustomer[customer]
}

// createJob writes the record of a new job. If a record with its id exists, the job is a
// repeated submission and the existing record is returned, or an error if the request
// was a different one.
func (e *Entry) createJob(c context.Context, j jobs.Job) (store.Record[jobs.Job], error) {
	r, err := e.records.Swap(c, store.NewRecord(j.ID, j), 0)
	if err == nil {
		e.cacheJob(r)
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
	e.cacheJob(r)
	return r, nil
}

// getJob answers GET /v1/jobs/{id}. While the store is not available, it returns the
// cached record.
func (e *Entry) getJob(c echo.Context) error {
	id := c.Param("id")
	x, cancel := context.WithTimeout(c.Request().Context(), readTimeout)
	defer cancel()
	r, err := e.records.Get(x, id)
	var m *store.NotFoundError
	switch {
	case err == nil:
		e.cacheJob(r)
	case errors.As(err, &m):
		return refuse.NotRun(http.StatusNotFound, "no_job", fmt.Sprintf("job %q does not exist", id))
	default:
		o, ok := e.cachedRecord(id)
		if !ok {
			return refuse.MayHaveRun(http.StatusServiceUnavailable, "store", err.Error())
		}
		r = o
	}
	return c.JSON(http.StatusOK, r.Body)
}

// cancelJob answers DELETE /v1/jobs/{id}. It only sets CancelRequested in the record;
// the scheduler of the job then removes the job from the queue or stops it.
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
	return refuse.NotRun(http.StatusConflict, "busy_record", fmt.Sprintf("the record of job %q is changed too often by others, try again", id))
}
