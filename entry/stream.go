package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"hemlockhinge/wire"
)

// maxIdleStreams is how many idle streams are kept for each agent.
const maxIdleStreams = 8

// idleStreamTimeout is how long an idle stream may be reused.
const idleStreamTimeout = 30 * time.Second

// streamPool keeps idle streams to agents for reuse. The zero value is ready to use.
type streamPool struct {
	mu   sync.Mutex
	idle map[string][]idleStream
}

type idleStream struct {
	conn  *wire.Conn
	since time.Time
}

// get removes an idle stream from the pool and returns it, or nil if there is none. It
// closes those that have been idle for too long.
func (s *streamPool) get(addr string, now time.Time) *wire.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		l := s.idle[addr]
		if len(l) == 0 {
			return nil
		}
		v := l[len(l)-1]
		s.idle[addr] = l[:len(l)-1]
		if now.Sub(v.since) < idleStreamTimeout {
			return v.conn
		}
		_ = v.conn.Close()
	}
}

// put adds an idle stream to the pool. It returns false if there are enough for the
// agent; the stream then stays open and the caller must close it.
func (s *streamPool) put(addr string, c *wire.Conn, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle == nil {
		s.idle = map[string][]idleStream{}
	}
	if len(s.idle[addr]) >= maxIdleStreams {
		return false
	}
	s.idle[addr] = append(s.idle[addr], idleStream{
		conn:  c,
		since: now,
	})
	return true
}

// close closes all idle streams.
func (s *streamPool) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.idle {
		for _, v := range l {
			_ = v.conn.Close()
		}
	}
	s.idle = nil
}

// openStream returns an idle stream to an agent, or opens a new one.
func (e *Entry) openStream(c context.Context, addr string) (*wire.Conn, error) {
	if s := e.streams.get(addr, time.Now()); s != nil {
		return s, nil
	}
	c, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	n, err := e.ports.Net.Dial(c, addr)
	if err != nil {
		return nil, err
	}
	s := wire.NewConn(n)
	err = s.Send(&wire.Open{
		From:   e.settings.ID,
		Stream: true,
	})
	if err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// releaseStream returns a stream to the pool if it is reusable: the last exchange on it
// was complete. Otherwise it closes the stream.
func (e *Entry) releaseStream(addr string, s *wire.Conn, reusable bool) {
	if !reusable || !e.streams.put(addr, s, time.Now()) {
		_ = s.Close()
	}
}

// closeWhileDraining sets the header that closes the caller's connection after the
// response if the entry is draining.
func (e *Entry) closeWhileDraining(h http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		h.Set("Connection", "close")
	}
}
