package entry

import (
	"errors"
	"io"
	"net/http"

	"hemlockhinge/route"
	"hemlockhinge/wire"
)

// sendBody streams the request's body to the agent.
func (v *relay) sendBody(s *wire.Conn) error {
	b := make([]byte, chunkBytes)
	for {
		n, err := v.body.Read(b)
		if n > 0 {
			if err := s.Send(&wire.BodyChunk{Data: b[:n]}); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return s.Send(&wire.BodyEnd{})
		}
		if err != nil {
			_ = s.Send(&wire.BodyAbort{Detail: err.Error()})
			return err
		}
	}
}

// answer relays the agent's answer to the caller.
func (v *relay) answer(s *wire.Conn) (route.Failure, error) {
	m, err := s.Read()
	if err != nil {
		return route.MayHaveRun, err
	}
	switch a := m.Message.(type) {
	case *wire.BodyAbort:
		if a.WorkerNotReached {
			v.claim.moved = true
			return route.NotRun, &abortedError{detail: a.Detail}
		}
		return route.MayHaveRun, &abortedError{detail: a.Detail}
	case *wire.ResponseHead:
		return route.MayHaveRun, v.relayAnswer(s, a)
	}
	return route.MayHaveRun, unexpected(m.Message)
}

// callerError says that the caller left before its answer was whole.
type callerError struct {
	cause error
}

func (e *callerError) Error() string { return "the caller left: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *callerError) Unwrap() error { return e.cause }

// abortedError says that the agent broke an answer off.
type abortedError struct {
	detail string
}

func (e *abortedError) Error() string { return "the worker failed: " + e.detail }

func (v *relay) relayAnswer(s *wire.Conn, a *wire.ResponseHead) error {
	v.answered = true
	h := v.w.Header()
	for n, l := range a.Header {
		h[n] = l
	}
	for _, n := range hopHeaders {
		h.Del(n)
	}
	h.Set(headerRequestID, v.id)
	v.entry.closeWhileDraining(h)
	v.w.WriteHeader(a.Status)
	f, _ := v.w.(http.Flusher)
	for {
		m, err := s.Read()
		if err != nil {
			return err
		}
		switch x := m.Message.(type) {
		case *wire.BodyChunk:
			if _, err := v.w.Write(x.Data); err != nil {
				return &callerError{cause: err}
			}
			if a.Length < 0 && f != nil {
				f.Flush()
			}
		case *wire.BodyEnd:
			return nil
		case *wire.BodyAbort:
			return &abortedError{detail: x.Detail}
		default:
			return unexpected(x)
		}
	}
}
