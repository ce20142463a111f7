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

// Body sizes, and the delays after which refused requests may be retried.
const (
	chunkBytes = 32 << 10
	// maxKeptBodyBytes is the size up to which a response body is kept for replay to
	// later requests with the same idempotency key.
	maxKeptBodyBytes = 64 << 10
	busyRetryAfter   = 200 * time.Millisecond
)

// requestStream is a connection from an entry that carries requests, one after another.
type requestStream struct {
	agent  *Agent
	conn   *wire.Conn
	frames chan wire.Frame
}

// serveRequests serves the requests on a connection from an entry. Beyond the configured
// number of connections, it refuses the first request and closes the connection.
func (a *Agent) serveRequests(c context.Context, w *wire.Conn) {
	a.mu.Lock()
	a.requestConns++
	full := a.requestConns > a.settings.Connections
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.requestConns--
	}()
	c, cancel := context.WithCancel(c)
	defer cancel()
	s := &requestStream{
		agent:  a,
		conn:   w,
		frames: make(chan wire.Frame),
	}
	go func() {
		defer cancel()
		s.readFrames(c)
	}()
	for {
		f, ok := s.nextFrame(c)
		if !ok {
			return
		}
		h, ok := f.Message.(*wire.RequestHead)
		if !ok {
			return
		}
		if full {
			_ = s.sendRefusal(wire.Refuse(wire.CodeTooManyConnections, "agent %q already has %d connections", a.settings.ID, a.settings.Connections))
			return
		}
		if !s.serveRequest(c, h) {
			return
		}
	}
}

// readFrames sends the frames of the connection to s.frames until the connection ends.
func (s *requestStream) readFrames(c context.Context) {
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

// nextFrame returns the next frame, or false once c has ended.
func (s *requestStream) nextFrame(c context.Context) (wire.Frame, bool) {
	select {
	case f := <-s.frames:
		return f, true
	case <-c.Done():
		return wire.Frame{}, false
	}
}

// sendRefusal sends a refusal, which tells the entry that the request did not run. It
// returns err itself if err is not a refusal.
func (s *requestStream) sendRefusal(err error) error {
	r, ok := wire.Refused(err)
	if !ok {
		return err
	}
	s.agent.metrics.requests.WithLabelValues(r.Code.String()).Inc()
	return s.conn.Send(&wire.Refusal{
		Code:         r.Code,
		Detail:       r.Detail,
		RetryAfterMS: uint32(r.RetryAfter.Milliseconds()), //nolint:gosec // small
	})
}

// admit takes a slot for a request, or refuses the request. If the request has an
// idempotency key, the refusal lets the claim on the key move to another agent only if
// the request is certain not to run here later.
func (a *Agent) admit(h *wire.RequestHead) (*once.Call, once.Decision, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.IdempotencyKey != "" && h.Incarnation != a.incarnation {
		return nil, 0, wire.Refuse(wire.CodeLost, "agent %q has restarted since the key was claimed", a.settings.ID)
	}
	err := a.checkSlot(h)
	if h.IdempotencyKey == "" {
		if err == nil {
			a.inFlight++
		}
		return nil, once.Run, err
	}
	if err != nil {
		if a.idempotency.Refuse(h.IdempotencyKey, h.ClaimRevision, time.Now()) {
			return nil, 0, wire.Refuse(wire.CodeClaimMoved, "%s", err.Error())
		}
	}
	d, k := a.idempotency.Begin(h.IdempotencyKey, h.ClaimRevision, time.Now())
	switch d {
	case once.Refused:
		return nil, d, wire.Refuse(wire.CodeClaimMoved, "agent %q has already refused this key", a.settings.ID)
	case once.TableFull:
		return nil, d, wire.Refuse(wire.CodeBusy, "agent %q has reached its limit of idempotency keys", a.settings.ID)
	case once.Run:
		a.inFlight++
	}
	return k, d, nil
}

// checkSlot refuses a request that cannot have a slot now: because the agent accepts no
// work, the worker does not serve the service, or all slots are in use. The caller holds
// mu.
func (a *Agent) checkSlot(h *wire.RequestHead) error {
	if err := a.checkAcceptsWork(); err != nil {
		return err
	}
	if !contains(a.settings.Services, h.Service) {
		return wire.Refuse(wire.CodeNoSuchService, "worker %q does not serve %q", a.settings.ID, h.Service)
	}
	if a.inFlight >= a.settings.Slots {
		return &wire.RefusedError{
			Code:       wire.CodeBusy,
			Detail:     "all slots are in use",
			RetryAfter: busyRetryAfter,
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

// serveRequest serves one request, and reports whether the connection may be used for
// another.
func (s *requestStream) serveRequest(c context.Context, h *wire.RequestHead) bool {
	g := s.agent.ports.Log.WithField("request", h.ID)
	k, d, err := s.agent.admit(h)
	if err != nil {
		g.WithError(err).Info("request_refused")
		return s.sendRefusal(err) == nil
	}
	if d == once.Wait {
		return s.replayResponse(c, h, k)
	}
	defer func() {
		s.agent.mu.Lock()
		defer s.agent.mu.Unlock()
		s.agent.inFlight--
		s.agent.completed++
		s.agent.notifyChange()
	}()
	s.agent.metrics.requests.WithLabelValues("admitted").Inc()
	if err := s.conn.Send(&wire.Admitted{}); err != nil {
		if k != nil {
			s.agent.idempotency.MarkNotRun(k)
		}
		return false
	}
	return s.runRequest(c, h, k, g)
}

// replayResponse waits until the first request with the same idempotency key has ended,
// and sends the response to it again.
func (s *requestStream) replayResponse(c context.Context, h *wire.RequestHead, k *once.Call) bool {
	s.agent.metrics.requests.WithLabelValues("replayed").Inc()
	t := time.NewTimer(time.Duration(h.TimeoutMS) * time.Millisecond)
	defer t.Stop()
	select {
	case <-c.Done():
		return false
	case <-t.C:
		_ = s.sendRefusal(wire.Refuse(wire.CodeAlreadyDone, "the first request with this key is still running"))
		return true
	case <-k.Done():
	}
	v := k.Answer()
	if k.NotRun() {
		return s.sendRefusal(wire.Refuse(wire.CodeClaimMoved, "the first request with this key did not run")) == nil
	}
	if !v.Complete {
		return s.sendRefusal(wire.Refuse(wire.CodeAlreadyDone, "a request with this key has run, but its response was not kept")) == nil
	}
	if s.conn.Send(&wire.Admitted{Replayed: true}) != nil {
		return false
	}
	b := newBodyReader(c, s)
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

// runRequest forwards a request to the worker and the response to the entry. It ends the
// call k, if any, as not run only if the request cannot have reached the worker.
func (s *requestStream) runRequest(c context.Context, h *wire.RequestHead, k *once.Call, g *logrus.Entry) bool {
	c, cancel := context.WithTimeout(c, time.Duration(h.TimeoutMS)*time.Millisecond)
	defer cancel()
	b := newBodyReader(c, s)
	var v once.Answer
	notReached := false
	defer func() {
		switch {
		case k == nil:
		case notReached:
			s.agent.idempotency.MarkNotRun(k)
		default:
			s.agent.idempotency.Finish(k, v)
		}
	}()
	err := b.awaitFirstFrame()
	var r *http.Request
	if err == nil {
		r, err = buildRequest(c, h, b)
	}
	if err != nil {
		notReached = true
		return s.sendAbort(err, true)
	}
	p, err := s.agent.ports.Worker.Serve(r, h.Service, h.Idempotent)
	if err != nil {
		notReached = workerNotReached(err) && !b.readStarted
		g.WithError(err).WithField("not_reached", notReached).Warn("worker_request_failed")
		return s.sendAbort(err, notReached)
	}
	defer func() { _ = p.Body.Close() }()
	v, err = s.relayResponse(p)
	if err != nil {
		g.WithError(err).Warn("response_incomplete")
		return false
	}
	g.WithField("status", p.StatusCode).Debug("request_answered")
	_, err = io.Copy(io.Discard, b)
	return err == nil
}

// sendAbort tells the entry that the response is incomplete. It returns false, since the
// connection is not used again.
func (s *requestStream) sendAbort(err error, notReached bool) bool {
	_ = s.conn.Send(&wire.BodyAbort{
		Detail:           err.Error(),
		WorkerNotReached: notReached,
	})
	return false
}

// workerNotReached reports whether the worker cannot have received the request.
func workerNotReached(err error) bool {
	var d interface{ NotSent() bool }
	return errors.As(err, &d) && d.NotSent()
}

// buildRequest returns the HTTP request to the worker.
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

// relayResponse streams the worker's response to the entry. It returns a copy for replay,
// which is complete only if the body has at most maxKeptBodyBytes.
func (s *requestStream) relayResponse(p *http.Response) (once.Answer, error) {
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
			if k.Len() <= maxKeptBodyBytes {
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
			s.sendAbort(err, false)
			return v, err
		}
	}
	v.Body = k.Bytes()
	v.Complete = k.Len() <= maxKeptBodyBytes
	return v, s.conn.Send(&wire.BodyEnd{})
}

// bodyReader reads a request's body from its stream. The worker's HTTP transport may
// still read the body after the response has arrived, when the stream drains it too.
// readLock makes reads exclusive, so that none of them consumes a frame that follows the
// end of the body.
type bodyReader struct {
	readLock chan struct{}
	stream   *requestStream
	c        context.Context //nolint:containedctx // an io.Reader has no other way to end
	// unread is the rest of the current chunk, and ended means that the body's end has
	// been received.
	unread []byte
	ended  bool
	// readStarted means that Read has been called, so that the worker may have received
	// a part of the body.
	readStarted bool
}

func newBodyReader(c context.Context, s *requestStream) *bodyReader {
	return &bodyReader{
		readLock: make(chan struct{}, 1),
		stream:   s,
		c:        c,
	}
}

// incompleteBodyError says that a request's body did not arrive completely.
type incompleteBodyError struct {
	detail string
}

func (e *incompleteBodyError) Error() string { return "request body incomplete: " + e.detail }

// awaitFirstFrame waits for the first frame of the body. The entry sends it once it has
// read the admission, and the request must not run before.
func (r *bodyReader) awaitFirstFrame() error {
	err := r.fill()
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// Read implements io.Reader.
func (r *bodyReader) Read(b []byte) (int, error) {
	r.readLock <- struct{}{}
	defer func() { <-r.readLock }()
	r.readStarted = true
	if err := r.fill(); err != nil {
		return 0, err
	}
	n := copy(b, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

// fill waits until there are bytes to read, or returns io.EOF.
func (r *bodyReader) fill() error {
	for len(r.unread) == 0 {
		if r.ended {
			return io.EOF
		}
		f, ok := r.stream.nextFrame(r.c)
		if !ok {
			return &incompleteBodyError{
				detail: "connection closed or request timed out",
			}
		}
		switch m := f.Message.(type) {
		case *wire.BodyChunk:
			r.unread = m.Data
		case *wire.BodyEnd:
			r.ended = true
		case *wire.BodyAbort:
			return &incompleteBodyError{
				detail: m.Detail,
			}
		}
	}
	return nil
}
