package wire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// maxHandlers bounds the calls of one peer that are handled at a time.
const maxHandlers = 512

// Handler answers the calls of the other side.
type Handler interface {
	// Handle returns the reply, or an error: a *RefusedError is sent as it
	// is, any other as a refusal with code CodeInternal.
	Handle(c context.Context, p *Peer, m Message) (Message, error)
}

// HandlerFunc is a function that is a Handler.
type HandlerFunc func(c context.Context, p *Peer, m Message) (Message, error)

// Handle implements Handler.
func (f HandlerFunc) Handle(c context.Context, p *Peer, m Message) (Message, error) {
	return f(c, p, m)
}

// NoCalls is the handler of a side that only calls.
var NoCalls = HandlerFunc(func(context.Context, *Peer, Message) (Message, error) {
	return nil, Refuse(CodeUnknown, "this side takes no calls")
})

// ClosedError says that a connection ended before the reply came. Whether the
// call took effect is unknown.
type ClosedError struct {
	Remote string
}

func (e *ClosedError) Error() string { return fmt.Sprintf("connection to %s is closed", e.Remote) }

// Peer runs calls in both directions over one connection.
type Peer struct {
	conn    *Conn
	handler Handler
	mu      sync.Mutex
	next    uint64
	wait    map[uint64]chan Message
	done    chan struct{}
	once    sync.Once
	slots   chan struct{}
}

// NewPeer returns a peer; Run must be called to receive anything.
func NewPeer(n net.Conn, h Handler) *Peer { return PeerOf(NewConn(n), h) }

// PeerOf returns a peer on a connection from which frames were read already.
func PeerOf(c *Conn, h Handler) *Peer {
	return &Peer{
		conn:    c,
		handler: h,
		wait:    map[uint64]chan Message{},
		done:    make(chan struct{}),
		slots:   make(chan struct{}, maxHandlers),
	}
}

// Conn returns the connection.
func (p *Peer) Conn() *Conn { return p.conn }

// Done is closed when the connection has ended.
func (p *Peer) Done() <-chan struct{} { return p.done }

// Close ends the connection; calls under way fail with *ClosedError.
func (p *Peer) Close() {
	p.once.Do(func() {
		close(p.done)
		_ = p.conn.Close()
	})
}

// Run receives until the connection or c ends, and waits for the handlers.
func (p *Peer) Run(c context.Context) error {
	c, cancel := context.WithCancel(c)
	defer cancel()
	defer context.AfterFunc(c, p.Close)()
	var w sync.WaitGroup
	defer w.Wait()
	defer cancel()
	defer p.Close()
	for {
		f, err := p.conn.Read()
		if err != nil {
			return err
		}
		if f.Reply {
			p.deliver(f)
			continue
		}
		select {
		case p.slots <- struct{}{}:
		case <-p.done:
			return nil
		}
		w.Go(func() {
			defer func() { <-p.slots }()
			p.answer(c, f)
		})
	}
}

func (p *Peer) deliver(f Frame) {
	p.mu.Lock()
	w := p.wait[f.ID]
	delete(p.wait, f.ID)
	p.mu.Unlock()
	if w != nil {
		w <- f.Message
	}
}

func (p *Peer) answer(c context.Context, f Frame) {
	m, err := p.handler.Handle(c, p, f.Message)
	if f.ID == 0 {
		return
	}
	if err != nil {
		m = refusal(err)
	}
	if m == nil {
		m = &Ack{}
	}
	_ = p.conn.Write(Frame{
		ID:      f.ID,
		Reply:   true,
		Message: m,
	})
}

func refusal(err error) Message {
	var r *RefusedError
	if errors.As(err, &r) {
		return &Refusal{
			Code:    r.Code,
			Detail:  r.Detail,
			RetryMS: uint32(r.Retry.Milliseconds()), //nolint:gosec // small
			Epoch:   r.Epoch,
		}
	}
	return &Refusal{
		Code:   CodeInternal,
		Detail: err.Error(),
	}
}

// Call sends a message and waits for its reply. A refusal by the other side is
// a *RefusedError; after *ClosedError or an ended context the effect is unknown.
func (p *Peer) Call(c context.Context, m Message) (Message, error) {
	w := make(chan Message, 1)
	p.mu.Lock()
	p.next++
	id := p.next
	p.wait[id] = w
	p.mu.Unlock()
	defer p.forget(id)
	err := p.conn.Write(Frame{
		ID:      id,
		Message: m,
	})
	if err != nil {
		p.Close()
		return nil, &ClosedError{
			Remote: p.conn.Remote(),
		}
	}
	select {
	case r := <-w:
		if f, ok := r.(*Refusal); ok {
			return nil, f.error()
		}
		return r, nil
	case <-p.done:
		return nil, &ClosedError{
			Remote: p.conn.Remote(),
		}
	case <-c.Done():
		return nil, c.Err()
	}
}

func (p *Peer) forget(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.wait, id)
}

// CallFor is Call with a time limit, and with the reply's type checked.
func CallFor[R Message](c context.Context, p *Peer, m Message, d time.Duration) (R, error) {
	var z R
	c, cancel := context.WithTimeout(c, d)
	defer cancel()
	r, err := p.Call(c, m)
	if err != nil {
		return z, err
	}
	v, ok := r.(R)
	if !ok {
		return z, &FrameError{
			Kind:   r.Kind(),
			Detail: fmt.Sprintf("unexpected reply to kind %d", m.Kind()),
		}
	}
	return v, nil
}
