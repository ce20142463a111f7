// Package refuse builds the error responses of the HTTP APIs: problem documents
// as defined by RFC 9457.
//
// The outcome field of each says whether the work may have run. Outcome not_run
// guarantees that it did not.
//
// # Usage
//
//	return refuse.NotRun(http.StatusNotFound, "no_job", "job \"x\" does not exist")
//	...
//	refuse.FromError(err).Write(w) // in the error handler
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
	"hemlockhinge/guard"
	"hemlockhinge/store"
)

// Values of Problem.Outcome.
const (
	OutcomeNotRun  = "not_run"
	OutcomeUnknown = "unknown"
)

// defaultRetryAfter is the Retry-After of problems for which RetryIn was not
// called.
const defaultRetryAfter = time.Second

// Problem is a problem document. Outcome not_run guarantees that the work did not
// run.
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

	retryAfter time.Duration
	// closes is set if the connection is closed after the response.
	closes bool
}

// Error implements error.
func (p *Problem) Error() string { return p.Title + ": " + p.Detail }

// problem returns a problem of the given kind, such as "no_slot", which becomes
// part of its type URN.
func problem(status int, kind, detail, outcome string) *Problem {
	return &Problem{
		Type:    "urn:hemlockhinge:problem:" + kind,
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  detail,
		Outcome: outcome,
	}
}

// NotRun returns a problem for work that did not run.
func NotRun(status int, kind, detail string) *Problem {
	return problem(status, kind, detail, OutcomeNotRun)
}

// MayHaveRun returns a problem for work that may have run.
func MayHaveRun(status int, kind, detail string) *Problem {
	return problem(status, kind, detail, OutcomeUnknown)
}

// RetryIn sets the Retry-After of p to d, and returns p.
func (p *Problem) RetryIn(d time.Duration) *Problem {
	p.retryAfter = d
	return p
}

// Write sends the problem as the response.
func (p *Problem) Write(w http.ResponseWriter) {
	d := p.retryAfter
	if d <= 0 {
		d = defaultRetryAfter
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(d.Seconds())))))
	if p.closes {
		h.Set("Connection", "close")
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// Handler returns an error handler that converts errors with convert and sends the
// resulting problem, unless the response has been started already.
func Handler(convert func(error) *Problem) echo.HTTPErrorHandler {
	return func(err error, c echo.Context) {
		if !c.Response().Committed {
			convert(err).Write(c.Response())
		}
	}
}

// ReadBody reads the body of a request. A body of more than maxBytes is refused with
// status 413; limitPhrase, such as "a job is", begins the message.
func ReadBody(c echo.Context, maxBytes int64, limitPhrase string) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(c.Request().Body, maxBytes+1))
	var o *guard.RefusedError
	if errors.As(err, &o) {
		return nil, o
	}
	if err != nil || int64(len(b)) > maxBytes {
		return nil, NotRun(http.StatusRequestEntityTooLarge, "too_large", fmt.Sprintf("%s at most %d bytes", limitPhrase, maxBytes))
	}
	return b, nil
}

// FromError converts any error to a problem. An error of an unknown type becomes
// status 500 with outcome unknown.
func FromError(err error) *Problem {
	var p *Problem
	var f *conf.Faults
	var u *store.UncertainError
	var a *store.UnavailableError
	var t *store.TooLargeError
	var h *echo.HTTPError
	var o *guard.RefusedError
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
		return MayHaveRun(http.StatusServiceUnavailable, "store", u.Error())
	case errors.As(err, &a) && a.Refused:
		return NotRun(http.StatusServiceUnavailable, "store", a.Error())
	case errors.As(err, &a):
		return MayHaveRun(http.StatusServiceUnavailable, "store", a.Error())
	case errors.As(err, &o):
		p = NotRun(http.StatusServiceUnavailable, "overloaded", o.Error()).RetryIn(guard.RetryAfter)
		p.closes = true
		return p
	case errors.As(err, &h):
		return NotRun(h.Code, "http", http.StatusText(h.Code))
	}
	return MayHaveRun(http.StatusInternalServerError, "internal", err.Error())
}
