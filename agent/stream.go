package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/once"
	"hemlockhinge/wire"
)

// Sizes of bodies.
const (
	chunkBytes   = 32 << 10
	keptBody     = 64 << 10
	busyRetry    = 200 * time.Millisecond
	leavingRetry = time.Second
)

// stream serves requests on one connection, one after another.
type stream struct {
	agent  *Agent
	conn   *wire.Conn
	frames chan wire.Frame
}

// stream serves a connection from an entry, if there is one left for it.
func (a *Agent) stream(c context.Context, w *wire.Conn) {
	a.mu.Lock()
	a.conns++
	full := a.conns > a.set.Connections
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.conns--
	}()
	c, cancel := context.WithCancel(c)
	defer cancel()
	s := &stream{
		agent:  a,
		conn:   w,
		frames: make(chan wire.Frame),
	}
	go func() {
		defer cancel()
		s.read(c)
	}()
	for {
		f, ok := s.next(c)
		if !ok {
			return
		}
		h, ok := f.Message.(*wire.RequestHead)
		if !ok {
			return
		}
		if full {
			_ = s.refuse(wire.Refuse(wire.CodeTooManyConnections, "agent %q has %d connections already", a.set.ID, a.set.Connections))
			return
		}
		if !s.request(c, h) {
			return
		}
	}
}

// read passes frames on until the connection ends.
func (s *stream) read(c context.Context) {
	for {
		f, err := s.conn.Read()
		if err != nil {
			return
		}
		select {
		case s.frames <- f:
		case <-c.Done():
			return
		}
	}
}

func (s *stream) next(c context.Context) (wire.Frame, bool) {
	select {
	case f := <-s.frames:
		return f, true
	case <-c.Done():
		return wire.Frame{}, false
	}
}

// refuse tells the entry that the request did not run.
func (s *stream) refuse(err error) error {
	r, ok := wire.Refused(err)
	if !ok {
		return err
	}
	s.agent.meter.requests.WithLabelValues(r.Code.String()).Inc()
	return s.conn.Send(&wire.Refusal{
		Code:         r.Code,
		Detail:       r.Detail,
		RetryAfterMS: uint32(r.RetryAfter.Milliseconds()), //nolint:gosec // small
	})
}

// admit takes a slot for a request, or refuses it. The refusal of a request
// with a key lets its claim move only if the key will not run here later.
func (a *Agent) admit(h *wire.RequestHead) (*once.Call, once.Decision, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.IdempotencyKey != "" && h.Incarnation != a.incarnation {
		return nil, 0, wire.Refuse(wire.CodeLost, "agent %q has restarted since the key was claimed", a.set.ID)
	}
	err := a.room(h)
	if h.IdempotencyKey == "" {
		if err == nil {
			a.inFlight++
		}
		return nil, once.Run, err
	}
	if err != nil {
		if a.done.Refuse(h.IdempotencyKey, h.ClaimRevision, time.Now()) {
			return nil, 0, wire.Refuse(wire.CodeClaimMoved, "%s", err.Error())
		}
	}
	d, k := a.done.Begin(h.IdempotencyKey, h.ClaimRevision, time.Now())
	switch d {
	case once.Refused:
		return nil, d, wire.Refuse(wire.CodeClaimMoved, "agent %q refused this key before", a.set.ID)
	case once.TableFull:
		return nil, d, wire.Refuse(wire.CodeBusy, "agent %q can remember no more idempotency keys", a.set.ID)
	case once.Run:
		a.inFlight++
	}
	return k, d, nil
}

// room refuses a request for which there is no slot. The caller holds mu.
func (a *Agent) room(h *wire.RequestHead) error {
	if err := a.mayStart(); err != nil {
		return err
	}
	if !contains(a.set.Services, h.Service) {
		return wire.Refuse(wire.CodeNoSuchService, "worker %q does not serve %q", a.set.ID, h.Service)
	}
	if a.inFlight >= a.set.Slots {
		return &wire.RefusedError{
			Code:       wire.CodeBusy,
			Detail:     "all slots are in use",
			RetryAfter: busyRetry,
		}
	}
	return nil
}

func contains(l []string, v string) bool {
	for _, s := range l {
		if s == v {
			return true
		}
	}
	return false
}

// request serves one request and reports whether the connection may serve
// another.
func (s *stream) request(c context.Context, h *wire.RequestHead) bool {
	g := s.agent.ports.Log.WithField("request", h.ID)
	k, d, err := s.agent.admit(h)
	if err != nil {
		g.WithError(err).Info("request_refused")
		return s.refuse(err) == nil
	}
	if d == once.Wait {
		return s.replay(c, h, k)
	}
	defer func() {
		s.agent.mu.Lock()
		defer s.agent.mu.Unlock()
		s.agent.inFlight--
		s.agent.served++
		s.agent.notify()
	}()
	s.agent.meter.requests.WithLabelValues("admitted").Inc()
	if err := s.conn.Send(&wire.Admitted{}); err != nil {
		if k != nil {
			s.agent.done.MarkNotRun(k)
		}
		return false
	}
	return s.run(c, h, k, g)
}

// replay waits for the answer of the first request with this key, and sends
// it again.
func (s *stream) replay(c context.Context, h *wire.RequestHead, k *once.Call) bool {
	s.agent.meter.requests.WithLabelValues("replayed").Inc()
	t := time.NewTimer(time.Duration(h.TimeoutMS) * time.Millisecond)
	defer t.Stop()
	select {
	case <-c.Done():
		return false
	case <-t.C:
		_ = s.refuse(wire.Refuse(wire.CodeAlreadyDone, "the first request with this key still runs"))
		return true
	case <-k.Done():
	}
	v := k.Answer()
	if k.NotRun() {
		return s.refuse(wire.Refuse(wire.CodeClaimMoved, "the first request with this key did not run")) == nil
	}
	if !v.Complete {
		return s.refuse(wire.Refuse(wire.CodeAlreadyDone, "a request with this key ran before, and its answer is not kept")) == nil
	}
	if s.conn.Send(&wire.Admitted{Replayed: true}) != nil {
		return false
	}
	b := newReader(c, s)
	if _, err := io.Copy(io.Discard, b); err != nil {
		return false
	}
	err := s.conn.Send(&wire.ResponseHead{
		Status: v.Status,
		Header: v.Header,
		Length: int64(len(v.Body)),
	})
	if err == nil && len(v.Body) > 0 {
		err = s.conn.Send(&wire.BodyChunk{Data: v.Body})
	}
	if err == nil {
		err = s.conn.Send(&wire.BodyEnd{})
	}
	return err == nil
}

// run passes the request to the worker and its answer back.
func (s *stream) run(c context.Context, h *wire.RequestHead, k *once.Call, g *logrus.Entry) bool {
	c, cancel := context.WithTimeout(c, time.Duration(h.TimeoutMS)*time.Millisecond)
	defer cancel()
	b := newReader(c, s)
	var v once.Answer
	untouched := false
	defer func() {
		switch {
		case k == nil:
		case untouched:
			s.agent.done.MarkNotRun(k)
		default:
			s.agent.done.Finish(k, v)
		}
	}()
	err := b.begin()
	var r *http.Request
	if err == nil {
		r, err = buildRequest(c, h, b)
	}
	if err != nil {
		untouched = true
		return s.abort(err, true)
	}
	p, err := s.agent.ports.Worker.Serve(r, h.Service, h.Idempotent)
	if err != nil {
		untouched = unreached(err) && !b.touched
		g.WithError(err).WithField("untouched", untouched).Warn("worker_failed_request")
		return s.abort(err, untouched)
	}
	defer func() { _ = p.Body.Close() }()
	v, err = s.answer(p)
	if err != nil {
		g.WithError(err).Warn("answer_broke_off")
		return false
	}
	g.WithField("status", p.StatusCode).Debug("request_answered")
	_, err = io.Copy(io.Discard, b)
	return err == nil
}

// abort ends an answer that broke off; the connection is not used again.
func (s *stream) abort(err error, untouched bool) bool {
	_ = s.conn.Send(&wire.BodyAbort{
		Detail:           err.Error(),
		WorkerNotReached: untouched,
	})
	return false
}

// unreached reports whether the worker cannot have seen the request.
func unreached(err error) bool {
	var d interface{ NotSent() bool }
	return errors.As(err, &d) && d.NotSent()
}

func buildRequest(c context.Context, h *wire.RequestHead, b io.Reader) (*http.Request, error) {
	if h.Length == 0 {
		b = http.NoBody
	}
	r, err := http.NewRequestWithContext(c, h.Method, "http://worker"+h.Path, io.NopCloser(b))
	if err != nil {
		return nil, err
	}
	if h.Length == 0 {
		r.Body = http.NoBody
	}
	r.ContentLength = h.Length
	for n, l := range h.Header {
		r.Header[n] = l
	}
	return r, nil
}

// answer streams the worker's answer to the entry, and keeps a copy of a
// small one.
func (s *stream) answer(p *http.Response) (once.Answer, error) {
	v := once.Answer{
		Status: p.StatusCode,
		Header: p.Header,
	}
	err := s.conn.Send(&wire.ResponseHead{
		Status: p.StatusCode,
		Header: p.Header,
		Length: p.ContentLength,
	})
	if err != nil {
		return v, err
	}
	var k bytes.Buffer
	b := make([]byte, chunkBytes)
	for {
		n, err := p.Body.Read(b)
		if n > 0 {
			if k.Len() <= keptBody {
				k.Write(b[:n])
			}
			if err := s.conn.Send(&wire.BodyChunk{Data: b[:n]}); err != nil {
				return v, err
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			s.abort(err, false)
			return v, err
		}
	}
	v.Body = k.Bytes()
	v.Complete = k.Len() <= keptBody
	return v, s.conn.Send(&wire.BodyEnd{})
}

// reader reads a request's body from the stream. The worker's transport may
// still read when the answer is already there, so that reads are in turn: none
// takes a frame that follows the body's end.
type reader struct {
	turn    chan struct{}
	stream  *stream
	c       context.Context //nolint:containedctx // an io.Reader has no other way to end
	rest    []byte
	ended   bool
	touched bool
}

func newReader(c context.Context, s *stream) *reader {
	return &reader{
		turn:   make(chan struct{}, 1),
		stream: s,
		c:      c,
	}
}

// brokenBodyError says that a request's body did not arrive whole.
type brokenBodyError struct {
	detail string
}

func (e *brokenBodyError) Error() string { return "request body broke off: " + e.detail }

// begin waits for the first frame of the body, which the entry sends once it
// has read the verdict. Nothing runs before.
func (r *reader) begin() error {
	err := r.fill()
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// Read implements io.Reader.
func (r *reader) Read(b []byte) (int, error) {
	r.turn <- struct{}{}
	defer func() { <-r.turn }()
	r.touched = true
	if err := r.fill(); err != nil {
		return 0, err
	}
	n := copy(b, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

// fill waits until there are bytes to read, or returns io.EOF.
func (r *reader) fill() error {
	for len(r.rest) == 0 {
		if r.ended {
			return io.EOF
		}
		f, ok := r.stream.next(r.c)
		if !ok {
			return &brokenBodyError{
				detail: "connection or time limit ended",
			}
		}
		switch m := f.Message.(type) {
		case *wire.BodyChunk:
			r.rest = m.Data
		case *wire.BodyEnd:
			r.ended = true
		case *wire.BodyAbort:
			return &brokenBodyError{
				detail: m.Detail,
			}
		}
	}
	return nil
}
