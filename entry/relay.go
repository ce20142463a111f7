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

// Headers of the HTTP API.
const (
	headerRequestID  = "X-Request-Id"
	headerClass      = "Request-Class"
	headerIdempotent = "Idempotent"
	headerKey        = "Idempotency-Key"
)

// Limits of a request, in tries and bytes.
const (
	maxTries       = 4
	maxKeyBytes    = 255
	maxReplayBytes = 64 << 10
	chunkBytes     = 32 << 10
)

// relayedRequest is a caller's request while it is relayed to a target and the response
// back.
type relayedRequest struct {
	entry   *Entry
	id      string
	service conf.Service
	class   conf.RequestClass
	// path is the path and query without the prefix of the service.
	path       string
	idempotent bool
	key        string
	deadline   time.Time
	body       *replayableBody
	writer     http.ResponseWriter
	request    *http.Request
	log        *logrus.Entry
	// avoid is the set of targets at which the request has failed.
	avoid map[string]bool
	// claim is zero unless the request is sent under a claim of its key.
	claim sentClaim
	// responseStarted means that the response's status may have been sent.
	responseStarted bool
}

// serve answers ANY /s/{service}/{path}.
func (e *Entry) serve(c echo.Context) error {
	r := c.Request()
	id := r.Header.Get(headerRequestID)
	if id == "" || len(id) > maxKeyBytes {
		id = rand.Text()
	}
	c.Response().Header().Set(headerRequestID, id)
	v, p := e.newRelayedRequest(c, id)
	if p != nil {
		p.RequestID = id
		return p
	}
	e.dispatcher.recordRequest()
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
	if v.responseStarted {
		panic(http.ErrAbortHandler)
	}
	p.RequestID = id
	return p
}

func (e *Entry) newRelayedRequest(c echo.Context, id string) (*relayedRequest, *refuse.Problem) {
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
	if len(k) > maxKeyBytes {
		return nil, refuse.NotRun(http.StatusBadRequest, "bad_key", fmt.Sprintf("%s is longer than %d bytes", headerKey, maxKeyBytes))
	}
	m := r.Header.Get(headerIdempotent)
	if m != "" && m != "true" && m != "false" {
		return nil, refuse.NotRun(http.StatusBadRequest, "bad_mark", fmt.Sprintf("%s is %q, not true or false", headerIdempotent, m))
	}
	return &relayedRequest{
		entry:      e,
		id:         id,
		service:    s,
		class:      s.Class(r.Header.Get(headerClass)),
		path:       strings.TrimPrefix(r.URL.RequestURI(), "/s/"+n),
		idempotent: route.Idempotent(r.Method, s.Idempotent, m),
		key:        k,
		deadline:   time.Now().Add(s.Timeout.Or(conf.DefaultRequestTimeout)),
		body:       newReplayableBody(r.Body),
		writer:     c.Response(),
		request:    r,
		log:        e.ports.Log.WithField("request", id),
		avoid:      map[string]bool{},
	}, nil
}

// run tries targets until one answers or no more tries are allowed.
func (v *relayedRequest) run(c context.Context) *refuse.Problem {
	for try := 1; ; try++ {
		t, p := v.chooseTarget(c)
		if p != nil {
			return p
		}
		f, err := v.tryTarget(c, t)
		if err == nil {
			return nil
		}
		v.log.WithField("agent", t.ID).WithField("try", try).WithError(err).Info("try_failed")
		if p := v.finalRefusal(f, err); p != nil {
			return p
		}
		if try >= maxTries || !route.MayRetry(f, v.idempotent, v.body.rewind(), time.Until(v.deadline)) || !v.entry.dispatcher.takeRetry() {
			return v.refusal(f, err)
		}
		v.avoid[t.ID] = true
	}
}

// chooseTarget chooses the target of the next try and takes a slot of it. A request
// that is not idempotent but has a key goes to the target that the key's claim names,
// any other to a target chosen by load.
func (v *relayedRequest) chooseTarget(c context.Context) (route.Target, *refuse.Problem) {
	if v.key != "" && !v.idempotent {
		return v.claimTarget(c)
	}
	t, err := v.entry.dispatcher.acquireSlot(c, v.service, v.class, v.avoid)
	if err != nil {
		return t, v.slotProblem(err)
	}
	return t, nil
}

func (v *relayedRequest) slotProblem(err error) *refuse.Problem {
	return refuse.NotRun(http.StatusServiceUnavailable, "no_slot", err.Error())
}

// finalRefusal returns the response to a failure after which another try is not
// allowed, or nil if it is.
func (v *relayedRequest) finalRefusal(f route.Failure, err error) *refuse.Problem {
	if v.responseStarted {
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

// refusal returns the response that tells the caller how the last try failed.
func (v *relayedRequest) refusal(f route.Failure, err error) *refuse.Problem {
	if f == route.MayHaveRun {
		return refuse.MayHaveRun(http.StatusBadGateway, "target_failed", err.Error())
	}
	p := refuse.NotRun(http.StatusServiceUnavailable, "target_refused", err.Error())
	if r, ok := wire.Refused(err); ok && r.RetryAfter > 0 {
		return p.RetryIn(r.RetryAfter)
	}
	return p
}

// tryTarget sends the request to one target, relays the response, and releases the slot
// with the result. An error of the caller's connection is not counted against the
// target.
func (v *relayedRequest) tryTarget(c context.Context, t route.Target) (route.Failure, error) {
	f, err := v.exchange(c, t)
	r := route.Succeeded
	var g *callerDisconnectedError
	switch x, ok := wire.Refused(err); {
	case err == nil || errors.As(err, &g):
	case ok && x.Code == wire.CodeBusy:
		r = route.Busy
	case !ok && v.request.Context().Err() == nil:
		r = route.Failed
	}
	v.entry.dispatcher.releaseSlot(t.ID, r)
	return f, err
}

// exchange runs the stream protocol with an agent.
func (v *relayedRequest) exchange(c context.Context, t route.Target) (route.Failure, error) {
	s, err := v.entry.openStream(c, t.Address)
	if err != nil {
		return route.NotSent, err
	}
	reusable := false
	defer func() { v.entry.releaseStream(t.Address, s, reusable) }()
	defer context.AfterFunc(c, func() { _ = s.Close() })()
	if p, err := v.requestAdmission(s); err != nil {
		reusable = p
		return route.NotRun, err
	}
	sent := make(chan error, 1)
	go func() { sent <- v.sendBody(s) }()
	f, err := v.receiveResponse(s)
	if err != nil {
		_ = s.Close()
		if e := <-sent; e != nil {
			v.log.WithError(e).Debug("body_not_sent")
		}
		return f, err
	}
	reusable = <-sent == nil
	return f, nil
}

// requestAdmission sends the head of the request and waits for the agent to admit it.
// An agent runs nothing before the first frame of the body, which is sent only after
// the request is admitted, so an error here means that the request did not run. The
// boolean result tells whether the stream can still be used.
func (v *relayedRequest) requestAdmission(s *wire.Conn) (bool, error) {
	if err := s.Send(v.requestHead()); err != nil {
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
		v.claim.refused = a.Code == wire.CodeClaimMoved
		return a.Code != wire.CodeTooManyConnections, newRefusedError(a)
	}
	return false, newUnexpectedMessageError(m.Message)
}

func newRefusedError(a *wire.Refusal) error {
	return &wire.RefusedError{
		Code:       a.Code,
		Detail:     a.Detail,
		RetryAfter: time.Duration(a.RetryAfterMS) * time.Millisecond,
	}
}

func newUnexpectedMessageError(m wire.Message) error {
	return &wire.FrameError{
		Kind:   m.Kind(),
		Detail: "unexpected on a request's stream",
	}
}

// requestHead returns the message that starts the request on the stream.
func (v *relayedRequest) requestHead() *wire.RequestHead {
	h := v.request.Header.Clone()
	for _, n := range hopByHopHeaders {
		h.Del(n)
	}
	h.Set(headerRequestID, v.id)
	m := &wire.RequestHead{
		ID:         v.id,
		Service:    v.service.Name,
		Method:     v.request.Method,
		Path:       v.path,
		Header:     h,
		Length:     v.request.ContentLength,
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

// hopByHopHeaders are meant for one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}
