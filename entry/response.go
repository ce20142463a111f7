package entry

import (
	"errors"
	"io"
	"net/http"

	"hemlockhinge/route"
	"hemlockhinge/wire"
)

// sendBody streams the request's body to the agent.
func (v *relayedRequest) sendBody(s *wire.Conn) error {
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

// receiveResponse reads the agent's response and relays it to the caller. The
// returned failure tells whether the request may have run.
func (v *relayedRequest) receiveResponse(s *wire.Conn) (route.Failure, error) {
	m, err := s.Read()
	if err != nil {
		return route.MayHaveRun, err
	}
	switch a := m.Message.(type) {
	case *wire.BodyAbort:
		if a.WorkerNotReached {
			v.claim.refused = true
			return route.NotRun, &agentAbortedError{detail: a.Detail}
		}
		return route.MayHaveRun, &agentAbortedError{detail: a.Detail}
	case *wire.ResponseHead:
		return route.MayHaveRun, v.relayResponse(s, a)
	}
	return route.MayHaveRun, newUnexpectedMessageError(m.Message)
}

// callerDisconnectedError means that the response could not be written to the caller
// in full.
type callerDisconnectedError struct {
	cause error
}

func (e *callerDisconnectedError) Error() string {
	return "write the response to the caller: " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *callerDisconnectedError) Unwrap() error { return e.cause }

// agentAbortedError means that the agent sent BodyAbort instead of a complete
// response.
type agentAbortedError struct {
	detail string
}

func (e *agentAbortedError) Error() string { return "the agent aborted the response: " + e.detail }

// relayResponse copies a response to the caller, starting with its head. A body of
// unknown length is flushed after each chunk.
func (v *relayedRequest) relayResponse(s *wire.Conn, a *wire.ResponseHead) error {
	v.responseStarted = true
	h := v.writer.Header()
	for n, l := range a.Header {
		h[n] = l
	}
	for _, n := range hopByHopHeaders {
		h.Del(n)
	}
	h.Set(headerRequestID, v.id)
	v.entry.closeWhileDraining(h)
	v.writer.WriteHeader(a.Status)
	f, _ := v.writer.(http.Flusher)
	for {
		m, err := s.Read()
		if err != nil {
			return err
		}
		switch x := m.Message.(type) {
		case *wire.BodyChunk:
			if _, err := v.writer.Write(x.Data); err != nil {
				return &callerDisconnectedError{cause: err}
			}
			if a.Length < 0 && f != nil {
				f.Flush()
			}
		case *wire.BodyEnd:
			return nil
		case *wire.BodyAbort:
			return &agentAbortedError{detail: x.Detail}
		default:
			return newUnexpectedMessageError(x)
		}
	}
}
