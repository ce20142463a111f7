// Package jobapi serves the product's own HTTP API for jobs and operators,
// /v1/jobs and /v1/status, on top of the scheduler of package leader.
//
// Jobs submitted here get the same records as jobs submitted through any other
// API to that scheduler. Requests and states are defined by package jobs,
// refusals by package refuse.
//
// # Usage
//
//	e := admin.New(probe, registry)
//	jobapi.Mount(e, jobapi.Ports{Jobs: intake, Status: status})
package jobapi

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"hemlockhinge/graph"
	"hemlockhinge/intake"
	"hemlockhinge/jobs"
	"hemlockhinge/refuse"
)

// Limits and headers of the API.
const (
	callTimeout          = 5 * time.Second
	idBytes              = 8
	headerIdempotencyKey = "Idempotency-Key"
	bearer               = "Bearer "
)

// Jobs accepts and cancels jobs, and reports their state.
type Jobs interface {
	Resolve(c context.Context, v intake.Request) (*intake.ResolvedRequest, error)
	SubmitIdempotent(c context.Context, t *intake.ResolvedRequest, j *graph.Job) error
	Find(c context.Context, id, key string) (*intake.ResolvedRequest, graph.State, error)
	CancelByID(c context.Context, id, key string) (*intake.ResolvedRequest, graph.State, error)
}

// Ports are the dependencies of the API.
type Ports struct {
	Jobs Jobs
	// Status returns what the process knows about the site, as a value that
	// encoding/json can marshal.
	Status func() any
	// Slot, if set, takes one of a bounded number of slots for what takes much memory, and
	// returns a function that gives it back.
	Slot func() (release func(), err error)
}

// slot takes a slot. Its error says that nothing has run.
func (p Ports) slot() (release func(), err error) {
	if p.Slot == nil {
		return func() {}, nil
	}
	return p.Slot()
}

// Job is the representation of a job in answers.
type Job struct {
	ID    string     `json:"id"`
	Queue string     `json:"queue"`
	State jobs.State `json:"state"`
}

// Mount adds the routes to e, and makes e answer errors with problem documents.
func Mount(e *echo.Echo, p Ports) {
	e.HTTPErrorHandler = refuse.Handler(problem)
	e.POST("/v1/jobs", p.submit)
	e.GET("/v1/jobs/:id", p.get)
	e.DELETE("/v1/jobs/:id", p.cancel)
	e.GET("/v1/status", func(c echo.Context) error {
		release, err := p.slot()
		if err != nil {
			return err
		}
		defer release()
		return c.JSONPretty(http.StatusOK, p.Status(), "  ")
	})
}

// problem converts an error to a problem document.
func problem(err error) *refuse.Problem {
	var e *intake.Error
	if !errors.As(err, &e) {
		return refuse.FromError(err)
	}
	switch e.Status {
	case http.StatusGatewayTimeout:
		return refuse.MayHaveRun(e.Status, "store", e.Detail)
	case http.StatusGone:
		return refuse.NotRun(http.StatusNotFound, "no_job", e.Detail)
	case http.StatusUnprocessableEntity:
		return refuse.NotRun(e.Status, "key_reused", e.Detail)
	}
	return refuse.NotRun(e.Status, "refused", e.Detail).RetryIn(e.RetryAfter)
}

// submit handles POST /v1/jobs.
func (p Ports) submit(c echo.Context) error {
	b, err := refuse.ReadBody(c, jobs.MaxBody, "a job is")
	if err != nil {
		return err
	}
	q, err := p.parse(b)
	if err != nil {
		return err
	}
	if err := q.CheckQueued(); err != nil {
		return err
	}
	x, cancel := context.WithTimeout(c.Request().Context(), callTimeout)
	defer cancel()
	t, err := p.Jobs.Resolve(x, intake.Request{
		Queue:  q.Queue,
		APIKey: apiKey(c.Request()),
	})
	if err != nil {
		return err
	}
	id := newID(t.Customer, c.Request().Header.Get(headerIdempotencyKey))
	if err := p.Jobs.SubmitIdempotent(x, t, q.Graph(id)); err != nil {
		f := problem(err)
		f.JobID = id
		return f
	}
	c.Response().Header().Set("Location", "/v1/jobs/"+id)
	return c.JSON(http.StatusAccepted, Job{
		ID:    id,
		Queue: q.Queue,
		State: jobs.Accepted,
	})
}

// parse decodes a request. A body of few bytes can describe many steps.
func (p Ports) parse(b []byte) (*jobs.Request, error) {
	release, err := p.slot()
	if err != nil {
		return nil, err
	}
	defer release()
	return jobs.ParseRequest(b)
}

// get handles GET /v1/jobs/{id}.
func (p Ports) get(c echo.Context) error {
	x, cancel := context.WithTimeout(c.Request().Context(), callTimeout)
	defer cancel()
	t, s, err := p.Jobs.Find(x, c.Param("id"), apiKey(c.Request()))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, jobView(t, s))
}

// cancel handles DELETE /v1/jobs/{id}.
func (p Ports) cancel(c echo.Context) error {
	x, cancel := context.WithTimeout(c.Request().Context(), callTimeout)
	defer cancel()
	t, s, err := p.Jobs.CancelByID(x, c.Param("id"), apiKey(c.Request()))
	if err != nil {
		return err
	}
	if !s.Final() {
		s = graph.Cancelled
	}
	return c.JSON(http.StatusAccepted, jobView(t, s))
}

func jobView(t *intake.ResolvedRequest, s graph.State) Job {
	return Job{
		ID:    t.JobID,
		Queue: t.Queue.Name,
		State: jobs.FromGraph(s),
	}
}

// apiKey returns the caller's API key.
func apiKey(r *http.Request) string {
	return strings.TrimPrefix(r.Header.Get("Authorization"), bearer)
}

// newID returns the id of a new job. Requests of one customer with the same
// idempotency key get the same id; without a key it is random.
func newID(customer, key string) string {
	if key != "" {
		return jobs.Digest(customer, key)[:2*idBytes]
	}
	var b [idBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
