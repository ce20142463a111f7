package entry

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"

	"hemlockhinge/conf"
	"hemlockhinge/refuse"
	"hemlockhinge/route"
	"hemlockhinge/wire"
)

// Headers of the callers' interface.
const (
	headerRequestID  = "X-Request-Id"
	headerClass      = "Request-Class"
	headerIdempotent = "Idempotent"
	headerKey        = "Idempotency-Key"
)

// Limits of a request.
const (
	maxTries   = 4
	maxKey     = 255
	replayable = 64 << 10
	chunkBytes = 32 << 10
)

// relay is one request on its way to a target and back.
type relay struct {
	entry      *Entry
	id         string
	service    conf.Service
	class      conf.RequestClass
	path       string
	idempotent bool
	key        string
	deadline   time.Time
	body       *tape
	w          http.ResponseWriter
	r          *http.Request
	log        *logrus.Entry
	avoid      map[string]bool
	claim      claimed
	answered   bool
}

// serve answers ANY /s/{service}/{path}.
func (e *Entry) serve(c echo.Context) error {
	r := c.Request()
	id := r.Header.Get(headerRequestID)
	if id == "" || len(id) > maxKey {
		id = rand.Text()
	}
	c.Response().Header().Set(headerRequestID, id)
	v, p := e.newRelay(c, id)
	if p != nil {
		p.RequestID = id
		return p
	}
	e.gate.counted()
	x, cancel := context.WithDeadline(r.Context(), v.deadline)
	defer cancel()
	n := time.Now()
	p = v.run(x)
	e.meter.latency.WithLabelValues(v.service.Name).Observe(time.Since(n).Seconds())
	if p == nil {
		e.meter.requests.WithLabelValues(v.service.Name, "answered").Inc()
		v.log.Debug("request_answered")
		return nil
	}
	e.meter.requests.WithLabelValues(v.service.Name, p.Outcome).Inc()
	v.log.WithField("outcome", p.Outcome).WithField("detail", p.Detail).Info("request_refused")
	if v.answered {
		panic(http.ErrAbortHandler)
	}
	p.RequestID = id
	return p
}

func (e *Entry) newRelay(c echo.Context, id string) (*relay, *refuse.Problem) {
	r := c.Request()
	o, _ := e.objects()
	n := c.Param("service")
	s, ok := o.Service(n)
	if !ok {
		return nil, refuse.NotRun(http.StatusNotFound, "no_service", fmt.Sprintf("service %q does not exist", n))
	}
	if r.Header.Get("Upgrade") != "" {
		return nil, refuse.NotRun(http.StatusNotImplemented, "upgrade", "protocol upgrades are not supported")
	}
	k := r.Header.Get(headerKey)
	if len(k) > maxKey {
		return nil, refuse.NotRun(http.StatusBadRequest, "bad_key", fmt.Sprintf("%s is longer than %d bytes", headerKey, maxKey))
	}
	m := r.Header.Get(headerIdempotent)
	if m != "" && m != "true" && m != "false" {
		return nil, refuse.NotRun(http.StatusBadRequest, "bad_mark", fmt.Sprintf("%s is %q, not true or false", headerIdempotent, m))
	}
	return &relay{
		entry:      e,
		id:         id,
		service:    s,
		class:      s.Class(r.Header.Get(headerClass)),
		path:       strings.TrimPrefix(r.URL.RequestURI(), "/s/"+n),
		idempotent: route.Idempotent(r.Method, s.Idempotent, m),
		key:        k,
		deadline:   time.Now().Add(s.Timeout.Or(conf.DefaultRequestTimeout)),
		body:       newTape(r.Body),
		w:          c.Response(),
		r:          r,
		log:        e.ports.Log.WithField("request", id),
		avoid:      map[string]bool{},
	}, nil
}

// run tries targets until one answers or no further try is allowed.
func (v *relay) run(c context.Context) *refuse.Problem {
	for try := 1; ; try++ {
		t, p := v.target(c)
		if p != nil {
			return p
		}
		f, err := v.try(c, t)
		if err == nil {
			return nil
		}
		v.log.WithField("agent", t.ID).WithField("try", try).WithError(err).Info("try_failed")
		if p := v.final(f, err); p != nil {
			return p
		}
		if try >= maxTries || !route.MayRetry(f, v.idempotent, v.body.rewind(), time.Until(v.deadline)) || !v.entry.gate.mayRetry() {
			return v.refusal(f, err)
		}
		v.avoid[t.ID] = true
	}
}

// target chooses where the next try goes: by load, or by the claim of its key.
func (v *relay) target(c context.Context) (route.Target, *refuse.Problem) {
	if v.key != "" && !v.idempotent {
		return v.claimTarget(c)
	}
	t, err := v.entry.gate.acquire(c, v.service, v.class, v.avoid)
	if err != nil {
		return t, v.noSlot(err)
	}
	return t, nil
}

func (v *relay) noSlot(err error) *refuse.Problem {
	return refuse.NotRun(http.StatusServiceUnavailable, "no_slot", err.Error())
}

// final returns the refusal of a failure that no other try can mend.
func (v *relay) final(f route.Failure, err error) *refuse.Problem {
	if v.answered {
		return refuse.MayHaveRun(http.StatusBadGateway, "broken_answer", err.Error())
	}
	r, ok := wire.Refused(err)
	if !ok || v.claim.agent == "" {
		return nil
	}
	switch r.Code {
	case wire.CodeClaimMoved:
		return nil
	case wire.CodeLost, wire.CodeAlreadyDone:
		return refuse.MayHaveRun(http.StatusConflict, "ran_before", r.Detail)
	}
	return v.refusal(f, err)
}

// refusal tells the caller how the last try failed.
func (v *relay) refusal(f route.Failure, err error) *refuse.Problem {
	if f == route.MayHaveRun {
		return refuse.MayHaveRun(http.StatusBadGateway, "target_failed", err.Error())
	}
	p := refuse.NotRun(http.StatusServiceUnavailable, "target_refused", err.Error())
	if r, ok := wire.Refused(err); ok && r.RetryAfter > 0 {
		return p.RetryIn(r.RetryAfter)
	}
	return p
}

// try sends the request to one target and relays the answer.
func (v *relay) try(c context.Context, t route.Target) (route.Failure, error) {
	f, err := v.exchange(c, t)
	r := route.Succeeded
	var g *callerError
	switch x, ok := wire.Refused(err); {
	case err == nil || errors.As(err, &g):
	case ok && x.Code == wire.CodeBusy:
		r = route.Busy
	case !ok && v.r.Context().Err() == nil:
		r = route.Failed
	}
	v.entry.gate.done(t.ID, r)
	return f, err
}

// exchange runs the stream protocol with an agent.
func (v *relay) exchange(c context.Context, t route.Target) (route.Failure, error) {
	s, err := v.entry.openStream(c, t.Address)
	if err != nil {
		return route.NotSent, err
	}
	whole := false
	defer func() { v.entry.closeStream(t.Address, s, whole) }()
	defer context.AfterFunc(c, func() { _ = s.Close() })()
	if p, err := v.admitted(s); err != nil {
		whole = p
		return route.NotRun, err
	}
	sent := make(chan error, 1)
	go func() { sent <- v.sendBody(s) }()
	f, err := v.answer(s)
	if err != nil {
		_ = s.Close()
		if e := <-sent; e != nil {
			v.log.WithError(e).Debug("body_not_sent")
		}
		return f, err
	}
	whole = <-sent == nil
	return f, nil
}

// admitted offers the request to the agent. An agent runs nothing before the
// first frame of the body, which is sent only after its verdict, so a failure
// up to here means that the request did not run. The stream may be kept when
// it reports true.
func (v *relay) admitted(s *wire.Conn) (bool, error) {
	if err := s.Send(v.head()); err != nil {
		return false, err
	}
	m, err := s.Read()
	if err != nil {
		return false, err
	}
	switch a := m.Message.(type) {
	case *wire.Admitted:
		return true, nil
	case *wire.Refusal:
		v.claim.moved = a.Code == wire.CodeClaimMoved
		return a.Code != wire.CodeTooManyConnections, refusedBy(a)
	}
	return false, unexpected(m.Message)
}

func refusedBy(a *wire.Refusal) error {
	return &wire.RefusedError{
		Code:       a.Code,
		Detail:     a.Detail,
		RetryAfter: time.Duration(a.RetryAfterMS) * time.Millisecond,
	}
}

func unexpected(m wire.Message) error {
	return &wire.FrameError{
		Kind:   m.Kind(),
		Detail: "unexpected on a request's stream",
	}
}

// head describes the request to the agent.
func (v *relay) head() *wire.RequestHead {
	h := v.r.Header.Clone()
	for _, n := range hopHeaders {
		h.Del(n)
	}
	h.Set(headerRequestID, v.id)
	m := &wire.RequestHead{
		ID:         v.id,
		Service:    v.service.Name,
		Method:     v.r.Method,
		Path:       v.path,
		Header:     h,
		Length:     v.r.ContentLength,
		TimeoutMS:  uint32(max(1, time.Until(v.deadline).Milliseconds())), //nolint:gosec // bounded by the service's timeout
		Idempotent: v.idempotent,
	}
	if v.claim.agent != "" {
		m.IdempotencyKey = v.claim.id
		m.ClaimRevision = v.claim.revision
		m.Incarnation = v.claim.incarnation
	}
	if m.Path == "" || m.Path[0] != '/' {
		m.Path = "/" + m.Path
	}
	return m
}

// hopHeaders are meant for one connection only (RFC 9110, section 7.6.1).
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}
