package fakes

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Net is a network in memory. Each host is one process. The paths between hosts
// have a latency, and each direction can be cut separately.
type Net struct {
	mu           sync.Mutex
	latency      time.Duration
	hosts        map[string]*Host
	cuts         map[path]bool
	extraLatency map[path]time.Duration
	changed      chan struct{}
	writeHook    func(from, to string, b []byte) [][]byte
}

type path struct {
	from string
	to   string
}

// NewNet returns a network without hosts, with the latency of all its paths.
func NewNet(latency time.Duration) *Net {
	return &Net{
		latency:      latency,
		hosts:        map[string]*Host{},
		cuts:         map[path]bool{},
		extraLatency: map[path]time.Duration{},
		changed:      make(chan struct{}),
	}
}

// SetWriteHook sets a function that is called before each write on a connection
// to port 7070. The slices that f returns are sent instead, as separate writes.
func (n *Net) SetWriteHook(f func(from, to string, b []byte) [][]byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.writeHook = f
}

// Cut interrupts or restores the path from one host to another. Data that is
// sent during the cut is delivered when the path is restored, as with TCP.
func (n *Net) Cut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[path{
		from: from,
		to:   to,
	}] = cut
	n.notify()
}

// SetExtraLatency sets the delay that is added to the latency of the path from
// one host to another.
func (n *Net) SetExtraLatency(from, to string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.extraLatency[path{
		from: from,
		to:   to,
	}] = d
}

func (n *Net) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// Host returns the host of this name, and creates it on first use.
func (n *Net) Host(name string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hosts[name]
	if h == nil {
		h = &Host{
			net:   n,
			name:  name,
			gate:  &Gate{},
			ports: map[string]*listener{},
		}
		n.hosts[name] = h
	}
	return h
}

// Host is one process on a Net. It implements wire.Network; addresses are
// name:port.
type Host struct {
	net   *Net
	name  string
	gate  *Gate
	ports map[string]*listener
	conns []*conn
}

// Gate returns the gate that freezes and kills the process.
func (h *Host) Gate() *Gate { return h.gate }

// Kill ends the process: its connections are reset and its ports closed. If
// silent is set, its peers get no reset, as when the machine loses power.
func (h *Host) Kill(silent bool) {
	h.gate.Kill()
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	for _, l := range h.ports {
		l.closeLocked()
	}
	for _, c := range h.conns {
		c.in.reset = true
		if !silent {
			c.out.reset = true
		}
	}
	h.net.notify()
}

// Restart replaces the host by a new one for a restarted process of the same
// name.
func (h *Host) Restart() *Host {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	v := &Host{
		net:   h.net,
		name:  h.name,
		gate:  &Gate{},
		ports: map[string]*listener{},
	}
	h.net.hosts[h.name] = v
	return v
}

type listener struct {
	host   *Host
	addr   string
	accept chan *conn
	done   chan struct{}
	closed bool
}

type fakeAddr string

func (fakeAddr) Network() string  { return "fake" }
func (a fakeAddr) String() string { return string(a) }

// Listen implements wire.Network.
func (h *Host) Listen(addr string) (net.Listener, error) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if o := h.ports[addr]; o != nil && !o.closed {
		return nil, fmt.Errorf("listen %s: address in use", addr)
	}
	l := &listener{
		host:   h,
		addr:   addr,
		accept: make(chan *conn, 1024),
		done:   make(chan struct{}),
	}
	h.ports[addr] = l
	return l, nil
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		if err := l.host.gate.Wait(); err != nil {
			return nil, err
		}
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.host.net.mu.Lock()
	defer l.host.net.mu.Unlock()
	l.closeLocked()
	return nil
}

func (l *listener) closeLocked() {
	if !l.closed {
		l.closed = true
		close(l.done)
	}
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return fakeAddr(l.addr) }

// Dial implements wire.Network. While the path is cut in either direction, Dial
// blocks, at the longest until c ends.
func (h *Host) Dial(c context.Context, addr string) (net.Conn, error) {
	if err := h.gate.Wait(); err != nil {
		return nil, err
	}
	name, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, dialError(err)
	}
	for {
		d, w, err := h.tryDial(name, addr)
		if d != nil || err != nil {
			return d, err
		}
		select {
		case <-c.Done():
			return nil, dialError(c.Err())
		case <-w:
		}
	}
}

func dialError(err error) error {
	return &net.OpError{
		Op:  "dial",
		Net: "fake",
		Err: err,
	}
}

// tryDial connects. If the path is cut, it returns a channel that is closed at
// the next change of the network.
func (h *Host) tryDial(name, addr string) (net.Conn, <-chan struct{}, error) {
	n := h.net
	n.mu.Lock()
	defer n.mu.Unlock()
	t := n.hosts[name]
	if n.isCut(h.name, name) || n.isCut(name, h.name) {
		return nil, n.changed, nil
	}
	if t == nil || t.ports[addr] == nil || t.ports[addr].closed {
		return nil, nil, dialError(syscall.ECONNREFUSED)
	}
	_, port, _ := net.SplitHostPort(addr)
	a := &stream{
		from: h.name,
		to:   name,
	}
	b := &stream{
		from: name,
		to:   h.name,
	}
	x := newConn(h, b, a, addr, port)
	y := newConn(t, a, b, h.name+":0", port)
	h.conns = append(h.conns, x)
	t.conns = append(t.conns, y)
	t.ports[addr].accept <- y
	return x, nil, nil
}

func (n *Net) isCut(from, to string) bool {
	return n.cuts[path{
		from: from,
		to:   to,
	}]
}

// stream is one direction of a connection, guarded by Net.mu.
type stream struct {
	from        string
	to          string
	chunks      []chunk
	closed      bool
	reset       bool
	lastArrival time.Time
}

type chunk struct {
	data    []byte
	arrival time.Time
}

type conn struct {
	host            *Host
	in              *stream
	out             *stream
	remote          string
	hooked          bool
	mu              sync.Mutex
	readDeadline    time.Time
	deadlineChanged chan struct{}
}

const hookedPort = "7070"

func newConn(h *Host, in, out *stream, remote, port string) *conn {
	return &conn{
		host:            h,
		in:              in,
		out:             out,
		remote:          remote,
		hooked:          port == hookedPort,
		deadlineChanged: make(chan struct{}),
	}
}

// Write implements net.Conn. It blocks only while the process is frozen.
func (c *conn) Write(b []byte) (int, error) {
	n := c.host.net
	n.mu.Lock()
	f := n.writeHook
	n.mu.Unlock()
	l := [][]byte{b}
	if f != nil && c.hooked {
		l = f(c.out.from, c.out.to, b)
	}
	if err := c.host.gate.Wait(); err != nil {
		return 0, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.out.closed || c.out.reset || c.in.reset {
		return 0, syscall.ECONNRESET
	}
	for _, v := range l {
		c.out.push(n, v)
	}
	n.notify()
	return len(b), nil
}

// push queues data for delivery after the path's latency. The data of a stream
// stays in order, also when the latency decreases.
func (h *stream) push(n *Net, b []byte) {
	d := n.latency + n.extraLatency[path{
		from: h.from,
		to:   h.to,
	}]
	t := time.Now().Add(d)
	if t.Before(h.lastArrival) {
		t = h.lastArrival
	}
	h.lastArrival = t
	h.chunks = append(h.chunks, chunk{
		data:    append([]byte(nil), b...),
		arrival: t,
	})
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	for {
		if err := c.host.gate.Wait(); err != nil {
			return 0, err
		}
		n, wait, w, err := c.tryRead(b)
		if n > 0 || err != nil {
			return n, err
		}
		c.waitForChange(wait, w)
	}
}

// tryRead reads data that has arrived. If there is none, it returns the time at
// which to try again (zero if none is known) and a channel that is closed at
// the next change of the network.
func (c *conn) tryRead(b []byte) (int, time.Time, <-chan struct{}, error) {
	n := c.host.net
	n.mu.Lock()
	defer n.mu.Unlock()
	c.mu.Lock()
	l := c.readDeadline
	c.mu.Unlock()
	t := time.Now()
	if !l.IsZero() && !t.Before(l) {
		return 0, l, nil, os.ErrDeadlineExceeded
	}
	if c.in.reset {
		return 0, l, nil, syscall.ECONNRESET
	}
	if n.isCut(c.in.from, c.in.to) {
		return 0, l, n.changed, nil
	}
	if len(c.in.chunks) == 0 {
		if c.in.closed {
			return 0, l, nil, io.EOF
		}
		return 0, l, n.changed, nil
	}
	k := &c.in.chunks[0]
	if t.Before(k.arrival) {
		if l.IsZero() || k.arrival.Before(l) {
			l = k.arrival
		}
		return 0, l, n.changed, nil
	}
	m := copy(b, k.data)
	k.data = k.data[m:]
	if len(k.data) == 0 {
		c.in.chunks = c.in.chunks[1:]
	}
	return m, l, nil, nil
}

// waitForChange waits until w is closed, the read deadline or the state of the
// process changes, or until the given time unless that is zero.
func (c *conn) waitForChange(until time.Time, w <-chan struct{}) {
	c.mu.Lock()
	m := c.deadlineChanged
	c.mu.Unlock()
	_, _, g := c.host.gate.state()
	var t <-chan time.Time
	if !until.IsZero() {
		x := time.NewTimer(time.Until(until))
		defer x.Stop()
		t = x.C
	}
	select {
	case <-w:
	case <-m:
	case <-g:
	case <-t:
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.host.net.mu.Lock()
	defer c.host.net.mu.Unlock()
	if _, k, _ := c.host.gate.state(); !k {
		c.out.closed = true
	}
	c.in.reset = true
	c.host.net.notify()
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return fakeAddr(c.host.name + ":0") }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return fakeAddr(c.remote) }

// SetDeadline implements net.Conn; writes never block.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn; writes never block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	close(c.deadlineChanged)
	c.deadlineChanged = make(chan struct{})
	return nil
}
