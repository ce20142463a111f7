package guard

import (
	"container/list"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Heads are the limits of request heads and of idle connections.
type Heads struct {
	MaxBytes int
	// Timeout is the maximum time for a head, and Idle that between two requests.
	Timeout time.Duration
	Idle    time.Duration
}

// DefaultHeads are the limits where neither a configuration nor the settings say otherwise.
var DefaultHeads = Heads{
	MaxBytes: 16 << 10,
	Timeout:  10 * time.Second,
	Idle:     2 * time.Minute,
}

// Or returns the limits with those of v in place of zero ones.
func (h Heads) Or(v Heads) Heads {
	if h.MaxBytes <= 0 {
		h.MaxBytes = v.MaxBytes
	}
	if h.Timeout <= 0 {
		h.Timeout = v.Timeout
	}
	if h.Idle <= 0 {
		h.Idle = v.Idle
	}
	return h
}

const (
	// readBuffer is the size of the buffer through which net/http reads: so much of a body
	// may be read with a head, and a shorter head needs no memory beyond the connection's.
	readBuffer = 4 << 10
	// headCopies is how many times a head is held: as text and as fields.
	headCopies = 2
	// acceptPause is the pause after an error of the system, such as a want of descriptors.
	acceptPause = 100 * time.Millisecond
	// writePiece is the part of an answer that must be sent within the stall time.
	writePiece = 32 << 10
	// peerBuffers is how much larger the kernel's buffers are between daemons, whose messages
	// are larger than those of callers.
	peerBuffers = 2
	// refuseTimeout bounds the write of a refusal to a connection that was not served.
	refuseTimeout = 100 * time.Millisecond
)

// Refusals that are sent outside of net/http.
const (
	response503 = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
	response431 = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// state says what a connection is doing.
type state int

const (
	// fresh connections have sent nothing yet.
	fresh state = iota
	// idle connections have been served and wait for the next request.
	idle
	// receiving connections have sent a part of a head.
	receiving
	// uploading connections have sent a head and a part of a body.
	uploading
	// busy connections have a request that is being handled.
	busy
	stateCount
)

// Listener accepts connections up to a maximum. At the maximum it closes a connection to make
// room: a fresh one, else the one that has been idle longest, else one whose request or answer
// makes no progress. If there is none, the new connection is refused.
type Listener struct {
	net.Listener

	guard *Guard
	max   int
	// heads returns the limits in force; nil if the connections do not speak HTTP.
	heads func() Heads

	mu sync.Mutex
	// conns are the connections by state, each list by the time of the last change.
	conns [stateCount]list.List
}

// HTTP returns a listener for HTTP connections to a port. heads returns the limits in force;
// fields that are 0 get those of the settings.
func (g *Guard) HTTP(l net.Listener, port string, heads func() Heads) *Listener {
	v := g.listener(l, port)
	v.heads = heads
	return v
}

// Frames returns a listener for connections of other daemons. Conn.Touch tells it which of
// them are in use.
func (g *Guard) Frames(l net.Listener) *Listener {
	v := g.listener(l, Peers)
	setBuffers(l, peerBuffers*g.settings.SocketBuffer)
	return v
}

func (g *Guard) listener(l net.Listener, port string) *Listener {
	v := &Listener{
		Listener: l,
		guard:    g,
		max:      g.settings.maxConns(port),
	}
	setBuffers(l, g.settings.SocketBuffer)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners[port] = v
	return v
}

// setBuffers sets the kernel's buffers of all connections of a TCP listener, which inherit
// them: data that arrives before a connection is accepted counts too.
func setBuffers(l net.Listener, n int) {
	t, ok := l.(*net.TCPListener)
	if !ok {
		return
	}
	c, err := t.SyscallConn()
	if err != nil {
		return
	}
	_ = c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, n)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, n)
	})
}

// Len returns the number of connections.
func (l *Listener) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.len()
}

func (l *Listener) len() int {
	n := 0
	for i := range l.conns {
		n += l.conns[i].Len()
	}
	return n
}

// Accept implements net.Listener. It waits and tries again after an error that passes.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if passes(err) {
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		c := &Conn{
			Conn:     n,
			listener: l,
			since:    time.Now(),
		}
		if l.admit(c) {
			return c, nil
		}
		l.guard.record(causeConnections)
		_ = c.reject(response503)
		_ = n.Close()
	}
}

// passes reports whether an error of accepting is one of the system that passes.
func passes(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// admit adds a connection, in the place of another one if there are too many.
func (l *Listener) admit(c *Conn) bool {
	l.mu.Lock()
	var v *Conn
	if l.len() >= l.max {
		if v = l.victim(c.since); v == nil {
			l.mu.Unlock()
			return false
		}
		l.remove(v)
	}
	c.element = l.conns[fresh].PushBack(c)
	l.mu.Unlock()
	if v != nil {
		l.guard.record(causeDisplaced)
		_ = v.Close()
	}
	return true
}

// victim returns the connection that gives way to a new one, or nil; l.mu is held.
func (l *Listener) victim(now time.Time) *Conn {
	old := now.Add(-l.guard.settings.YieldTime)
	if c := l.oldest(fresh); c != nil && c.since.Before(old) {
		return c
	}
	if c := l.oldest(idle); c != nil && (l.heads != nil || c.since.Before(old)) {
		return c
	}
	for _, s := range []state{receiving, uploading} {
		if c := l.oldest(s); c != nil && c.since.Before(old) {
			return c
		}
	}
	for e := l.conns[busy].Front(); e != nil; e = e.Next() {
		c := e.Value.(*Conn)
		if t := c.writingSince.Load(); t != 0 && t < old.UnixNano() {
			return c
		}
	}
	return nil
}

// oldest returns the connection that has been in a state longest, or nil; l.mu is held.
func (l *Listener) oldest(s state) *Conn {
	if e := l.conns[s].Front(); e != nil {
		return e.Value.(*Conn)
	}
	return nil
}

// remove removes a connection; l.mu is held.
func (l *Listener) remove(c *Conn) {
	if c.element != nil {
		l.conns[c.state].Remove(c.element)
		c.element = nil
	}
}

// Attach makes a server report the states of its connections to the listener. The server must
// have a ReadHeaderTimeout and an IdleTimeout; the connections replace both by those in force.
func (l *Listener) Attach(s *http.Server) {
	s.ConnContext = withConn
	s.ConnState = func(n net.Conn, v http.ConnState) {
		c, ok := n.(*Conn)
		switch {
		case !ok:
		case v == http.StateActive:
			c.setState(busy)
			c.endHead()
		case v == http.StateIdle:
			c.setState(idle)
		}
	}
}

// Conn is an accepted connection.
type Conn struct {
	net.Conn

	listener *Listener
	// writingSince is when the write in progress began, in nanoseconds since 1970, or 0.
	writingSince atomic.Int64
	// headBytes and headClaim are what the head in progress has and holds.
	headBytes int
	headClaim atomic.Pointer[claim]

	// The fields below are guarded by listener.mu. element is nil after removal.
	state   state
	since   time.Time
	element *list.Element
}

// setState moves the connection to the end of the list of a state.
func (c *Conn) setState(s state) {
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.element == nil {
		return
	}
	l.remove(c)
	c.state = s
	c.since = time.Now()
	c.element = l.conns[s].PushBack(c)
}

func (c *Conn) currentState() state {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.state
}

// Touch records that a connection that does not speak HTTP has sent a whole message.
func (c *Conn) Touch() { c.setState(idle) }

// Read implements net.Conn. It fails if a head is too long, or if there is no memory for it.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 || c.listener.heads == nil {
		return n, err
	}
	switch c.currentState() {
	case uploading, busy:
		return n, err
	case fresh, idle:
		c.setState(receiving)
	}
	if e := c.addHead(n); e != nil {
		return 0, e
	}
	return n, err
}

// addHead counts bytes of a head.
func (c *Conn) addHead(n int) error {
	c.headBytes += n
	if c.headBytes <= readBuffer {
		return nil
	}
	g := c.listener.guard
	limit := c.listener.limits().MaxBytes
	if c.headBytes > limit+readBuffer {
		g.record(causeHead)
		return c.reject(response431)
	}
	if v := c.headClaim.Load(); v != nil {
		v.touch()
		return nil
	}
	v := g.bodies.claim(c.Conn)
	c.headClaim.Store(v)
	if !v.grow(int64(headCopies * limit)) {
		g.record(causeBytes)
		return c.reject(response503)
	}
	return nil
}

// endHead ends the claim of a head.
func (c *Conn) endHead() {
	c.headBytes = 0
	c.releaseHead()
}

func (c *Conn) releaseHead() {
	if v := c.headClaim.Swap(nil); v != nil {
		v.release()
	}
}

// reject sends a refusal that net/http has no part in, and returns an error after which
// net/http closes the connection without an answer of its own.
func (c *Conn) reject(response string) error {
	if c.listener.heads != nil {
		_ = c.SetWriteDeadline(time.Now().Add(refuseTimeout))
		_, _ = c.Conn.Write([]byte(response))
	}
	return &net.OpError{
		Op:  "read",
		Net: "tcp",
		Err: errors.New("request refused"),
	}
}

func (l *Listener) limits() Heads { return l.heads().Or(l.guard.settings.Heads) }

// SetReadDeadline implements net.Conn. net/http sets a deadline before it waits for a request,
// removes it when the first bytes are there, and sets one before it reads a head. Both are
// replaced by the times in force, which may change while the server runs.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if c.listener.heads == nil {
		return c.Conn.SetReadDeadline(t)
	}
	switch s := c.currentState(); {
	case s == idle && t.IsZero():
		c.setState(receiving)
	case s == idle:
		t = time.Now().Add(c.listener.limits().Idle)
	case (s == fresh || s == receiving) && !t.IsZero():
		t = time.Now().Add(c.listener.limits().Timeout)
	}
	return c.Conn.SetReadDeadline(t)
}

// Write implements net.Conn. Each piece must be sent within the stall time.
func (c *Conn) Write(b []byte) (int, error) {
	d := c.listener.guard.settings.StallTime
	defer c.writingSince.Store(0)
	n := 0
	for {
		now := time.Now()
		c.writingSince.Store(now.UnixNano())
		if err := c.SetWriteDeadline(now.Add(d)); err != nil {
			return n, err
		}
		k, err := c.Conn.Write(b[n:min(len(b), n+writePiece)])
		n += k
		if err != nil || n == len(b) {
			return n, err
		}
	}
}

// CloseWrite closes the sending side, which net/http does so that a refusal arrives before the
// connection is reset.
func (c *Conn) CloseWrite() error {
	if v, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return v.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	c.listener.remove(c)
	c.listener.mu.Unlock()
	c.releaseHead()
	return c.Conn.Close()
}
