// Package jobapi serves the product's own interface for jobs and operators on
// the engine of package leader: /v1/jobs and /v1/status.
//
// It feeds the same records as any other interface to that engine. The words of
// its requests, states and refusals are those of package jobs and package refuse.
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

// Limits of the interface.
const (
	callTimeout = 5 * time.Second
	idBytes     = 8
	headerKey   = "Idempotency-Key"
	bearer      = "Bearer "
)

// Jobs takes jobs in, and tells where they stand.
type Jobs interface {
	Resolve(c context.Context, v intake.Call) (*intake.Target, error)
	SubmitSame(c context.Context, t *intake.Target, j *graph.Job) error
	Find(c context.Context, id, key string) (*intake.Target, graph.State, error)
	CancelFrom(c context.Context, t *intake.Target, s graph.State) error
}

// Ports are what the interface stands on.
type Ports struct {
	Jobs Jobs
	// Status returns what the process knows of the site, a value that
	// encoding/json can write.
	Status func() any
}

// Job is a job as callers see it.
type Job struct {
	ID    string     `json:"id"`
	Queue string     `json:"queue"`
	State jobs.State `json:"state"`
}

// Mount adds the routes to e, whose errors become problem documents.
func Mount(e *echo.Echo, p Ports) {
	e.HTTPErrorHandler = refuse.Handler(problem)
	e.POST("/v1/jobs", p.submit)
	e.GET("/v1/jobs/:id", p.get)
	e.DELETE("/v1/jobs/:id", p.cancel)
	e.GET("/v1/status", func(c echo.Context) error {
		return c.JSONPretty(http.StatusOK, p.Status(), "  ")
	})
}

// problem turns an error into a refusal.
func problem(err error) *refuse.Problem {
	var e *intake.Error
	if !errors.As(err, &e) {
		return refuse.Of(err)
	}
	switch e.Status {
	case http.StatusGatewayTimeout:
		return refuse.Unknown(e.Status, "store", e.Detail)
	case http.StatusGone:
		return refuse.NotRun(http.StatusNotFound, "no_job", e.Detail)
	case http.StatusUnprocessableEntity:
		return refuse.NotRun(e.Status, "key_reused", e.Detail)
	}
	return refuse.NotRun(e.Status, "refused", e.Detail).RetryIn(e.RetryAfter)
}

// submit answers POST /v1/jobs.
func (p Ports) submit(c echo.Context) error {
	b, err := refuse.Body(c, jobs.MaxBody, "a job is")
	if err != nil {
		return err
	}
	q, err := jobs.ParseRequest(b)
	if err != nil {
		return err
	}
	if err := q.CheckQueued(); err != nil {
		return err
	}
	x, cancel := context.WithTimeout(c.Request().Context(), callTimeout)
	defer cancel()
	t, err := p.Jobs.Resolve(x, intake.Call{
		Queue: q.Queue,
		Key:   keyOf(c.Request()),
	})
	if err != nil {
		return err
	}
	id := newID(t.Customer, c.Request().Header.Get(headerKey))
	if err := p.Jobs.SubmitSame(x, t, q.Graph(id)); err != nil {
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

// get answers GET /v1/jobs/{id}.
func (p Ports) get(c echo.Context) error {
	x, cancel := context.WithTimeout(c.Request().Context(), callTimeout)
	defer cancel()
	t, s, err := p.Jobs.Find(x, c.Param("id"), keyOf(c.Request()))
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, view(t, s))
}

// cancel answers DELETE /v1/jobs/{id}.
func (p Ports) cancel(c echo.Context) error {
	x, cancel := context.WithTimeout(c.Request().Context(), callTimeout)
	defer cancel()
	t, s, err := p.Jobs.Find(x, c.Param("id"), keyOf(c.Request()))
	if err != nil {
		return err
	}
	if err := p.Jobs.CancelFrom(x, t, s); err != nil {
		return err
	}
	if !s.Final() {
		s = graph.Cancelled
	}
	return c.JSON(http.StatusAccepted, view(t, s))
}

func view(t *intake.Target, s graph.State) Job {
	return Job{
		ID:    t.Rest,
		Queue: t.Queue.Name,
		State: jobs.FromGraph(s),
	}
}

// keyOf returns the caller's API key.
func keyOf(r *http.Request) string {
	return strings.TrimPrefix(r.Header.Get("Authorization"), bearer)
}

// newID returns the id of a job: the same for each try with one idempotency key,
// or a random one without a key.
func newID(customer, key string) string {
	if key != "" {
		return jobs.Digest(customer, key)[:2*idBytes]
	}
	var b [idBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
