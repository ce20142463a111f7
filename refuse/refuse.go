// Package refuse holds the refusals of the HTTP interfaces, as RFC 9457
// describes them.
//
// Each says whether the work may have run: outcome not_run is a promise that it
// did not.
//
// # Usage
//
//	return refuse.NotRun(http.StatusNotFound, "no_job", "job \"x\" does not exist")
//	...
//	refuse.Of(err).Write(w) // in the error handler
package refuse

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"hemlockhinge/conf"
	"hemlockhinge/store"
)

// Outcomes of a refusal.
const (
	OutcomeNotRun  = "not_run"
	OutcomeUnknown = "unknown"
)

// defaultRetry is the pause suggested to callers when nothing else is known.
const defaultRetry = time.Second

// Problem is a refusal. Outcome not_run promises that the work did not run.
type Problem struct {
	Type      string       `json:"type"`
	Title     string       `json:"title"`
	Status    int          `json:"status"`
	Detail    string       `json:"detail"`
	Outcome   string       `json:"outcome"`
	RequestID string       `json:"request_id,omitempty"`
	ChangeID  string       `json:"change_id,omitempty"`
	JobID     string       `json:"job_id,omitempty"`
	Faults    []conf.Fault `json:"faults,omitempty"`

	retry time.Duration
}

// Error implements error.
func (p *Problem) Error() string { return p.Title + ": " + p.Detail }

// problem makes a refusal of a kind; kinds are names such as "no_slot".
func problem(status int, kind, detail, outcome string) *Problem {
	return &Problem{
		Type:    "urn:hemlockhinge:problem:" + kind,
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: outcome,
	}
}

// NotRun makes a refusal of work that did not run.
func NotRun(status int, kind, detail string) *Problem {
	return problem(status, kind, detail, OutcomeNotRun)
}

// Unknown makes a refusal of work that may have run.
func Unknown(status int, kind, detail string) *Problem {
	return problem(status, kind, detail, OutcomeUnknown)
}

// RetryIn suggests when the caller may try again.
func (p *Problem) RetryIn(d time.Duration) *Problem {
	p.retry = d
	return p
}

// Write sends the refusal.
func (p *Problem) Write(w http.ResponseWriter) {
	d := p.retry
	if d <= 0 {
		d = defaultRetry
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(d.Seconds())))))
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// Handler returns an error handler that answers with what of makes of an error.
func Handler(of func(error) *Problem) echo.HTTPErrorHandler {
	return func(err error, c echo.Context) {
		if !c.Response().Committed {
			of(err).Write(c.Response())
		}
	}
}

// Body reads a request's body of at most so many bytes; what names what it holds in
// the refusal of a longer one.
func Body(c echo.Context, most int64, what string) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(c.Request().Body, most+1))
	if err != nil || int64(len(b)) > most {
		return nil, NotRun(http.StatusRequestEntityTooLarge, "too_large", fmt.Sprintf("%s at most %d bytes", what, most))
	}
	return b, nil
}

// Of turns any error into a refusal.
func Of(err error) *Problem {
	var p *Problem
	var f *conf.Faults
	var u *store.UncertainError
	var a *store.UnavailableError
	var t *store.TooLargeError
	var h *echo.HTTPError
	switch {
	case errors.As(err, &p):
		return p
	case errors.As(err, &f):
		p = NotRun(http.StatusUnprocessableEntity, "invalid", f.Error())
		p.Faults = f.List()
		return p
	case errors.As(err, &t):
		return NotRun(http.StatusRequestEntityTooLarge, "too_large", t.Error())
	case errors.As(err, &u):
		return Unknown(http.StatusServiceUnavailable, "store", u.Error())
	case errors.As(err, &a) && a.Refused:
		return NotRun(http.StatusServiceUnavailable, "store", a.Error())
	case errors.As(err, &a):
		return Unknown(http.StatusServiceUnavailable, "store", a.Error())
	case errors.As(err, &h):
		return NotRun(h.Code, "http", http.StatusText(h.Code))
	}
	return Unknown(http.StatusInternalServerError, "internal", err.Error())
}
