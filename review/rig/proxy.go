package main

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// proxy passes connections on to an address. During a cut it accepts nothing new and holds the
// bytes of the connections that it has; afterwards those arrive with the delay of a
// retransmission.
type proxy struct {
	rig      *rig
	listener net.Listener
	target   string

	mu sync.Mutex
	// released is closed when the held bytes may pass, nil while there is no cut.
	released chan struct{}
}

func newProxy(r *rig, addr, target string) (*proxy, error) {
	var c net.ListenConfig
	l, err := c.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &proxy{
		rig:      r,
		listener: l,
		target:   target,
	}
	go p.serve()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) close() { _ = p.listener.Close() }

// cut begins a cut.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.released = make(chan struct{})
	p.rig.note("a cut begins: nothing from the worker to its agent arrives")
}

// heal ends the cut. What was held arrives after a delay, new connections at once.
func (p *proxy) heal(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.released
	p.released = nil
	time.AfterFunc(delay, func() {
		p.rig.note("the bytes that the cut has held up arrive")
		close(v)
	})
	p.rig.note("the cut ends")
}

func (p *proxy) held() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.released
}

func (p *proxy) serve() {
	for {
		n, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(n)
	}
}

// pass copies both directions of a connection. Its sender may have ended since: what it has sent
// still arrives.
func (p *proxy) pass(n net.Conn) {
	defer func() { _ = n.Close() }()
	if v := p.held(); v != nil {
		<-v
	}
	var d net.Dialer
	t, err := d.DialContext(context.Background(), "tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = t.Close() }()
	go func() {
		_, _ = io.Copy(t, n)
		if v, ok := t.(*net.TCPConn); ok {
			_ = v.CloseWrite()
		}
	}()
	_, _ = io.Copy(n, t)
}
