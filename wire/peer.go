package wire

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"time"
)

// maxHandlers is the maximum number of calls of one peer that are handled concurrently.
const maxHandlers = 512

// Handler answers the calls of the other side.
type Handler interface {
	// Handle returns the reply, nil for an Ack, or an error. A *RefusedError is sent
	// unchanged, any other error as a refusal with CodeInternal.
	Handle(c context.Context, p *Peer, m Message) (Message, error)
}

// HandlerFunc is a function that implements Handler.
type HandlerFunc func(c context.Context, p *Peer, m Message) (Message, error)

// Handle implements Handler.
func (f HandlerFunc) Handle(c context.Context, p *Peer, m Message) (Message, error) {
	return f(c, p, m)
}

// RefuseCalls is the handler of a peer that makes calls but accepts none. It refuses every
// call.
var RefuseCalls = HandlerFunc(func(context.Context, *Peer, Message) (Message, error) {
	return nil, Refuse(CodeUnknown, "this peer does not accept calls")
})

// ClosedError says that the connection was closed before the reply arrived. Whether the
// call took effect is unknown.
type ClosedError struct {
	Remote string
}

func (e *ClosedError) Error() string { return fmt.Sprintf("connection to %s is closed", e.Remote) }

// PanicError says that a handler panicked. The connection is closed then: a message that
// cannot be handled must not end the process, with all its other connections.
type PanicError struct {
	Kind  Kind
	Value any
	Stack string
}

func (e *PanicError) Error() string {
	return fmt.Sprintf("handler of messages of kind %d panicked: %v", e.Kind, e.Value)
}

// Peer makes and answers calls over one connection.
type Peer struct {
	conn    *Conn
	handler Handler
	mu      sync.Mutex
	// lastID is the id of the last call made; pending has the calls without a reply.
	lastID    uint64
	pending   map[uint64]chan Message
	done      chan struct{}
	closeOnce sync.Once
	// panicked is the first panic of a handler, or nil.
	panicked *PanicError
	// handlerSlots is a semaphore that bounds concurrent handlers.
	handlerSlots chan struct{}
}

// NewPeer returns a peer. The caller must call Run, which receives requests and replies.
func NewPeer(n net.Conn, h Handler) *Peer { return NewPeerFromConn(NewConn(n), h) }

// NewPeerFromConn is NewPeer for a connection from which frames have already been read.
func NewPeerFromConn(c *Conn, h Handler) *Peer {
	return &Peer{
		conn:         c,
		handler:      h,
		pending:      map[uint64]chan Message{},
		done:         make(chan struct{}),
		handlerSlots: make(chan struct{}, maxHandlers),
	}
}

// Conn returns the connection.
func (p *Peer) Conn() *Conn { return p.conn }

// Done returns a channel that is closed when the connection has been closed.
func (p *Peer) Done() <-chan struct{} { return p.done }

// Close closes the connection. Pending calls fail with *ClosedError.
func (p *Peer) Close() {
	p.closeOnce.Do(func() {
		close(p.done)
		_ = p.conn.Close()
	})
}

// Run receives frames until the connection is closed or c ends, and then waits for the
// running handlers. It returns *PanicError if one of them panicked.
func (p *Peer) Run(c context.Context) error {
	err := p.receive(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.panicked != nil {
		return p.panicked
	}
	return err
}

func (p *Peer) receive(c context.Context) error {
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
			p.conn.release(f.reserved)
			p.deliver(f)
			continue
		}
		select {
		case p.handlerSlots <- struct{}{}:
		case <-p.done:
			p.conn.release(f.reserved)
			return nil
		}
		w.Go(func() {
			defer func() { <-p.handlerSlots }()
			defer p.conn.release(f.reserved)
			p.handleCall(c, f)
		})
	}
}

// deliver passes a reply to the pending call that it belongs to, if there still is one.
func (p *Peer) deliver(f Frame) {
	p.mu.Lock()
	w := p.pending[f.ID]
	delete(p.pending, f.ID)
	p.mu.Unlock()
	if w != nil {
		w <- f.Message
	}
}

// handleCall runs the handler on a received message and replies if it is a call.
func (p *Peer) handleCall(c context.Context, f Frame) {
	m, err := p.handle(c, f.Message)
	var fault *PanicError
	if errors.As(err, &fault) {
		defer p.Close()
	}
	if f.ID == 0 {
		return
	}
	if err != nil {
		m = refusalFor(err)
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

// handle runs the handler, and returns *PanicError if it panics.
func (p *Peer) handle(c context.Context, m Message) (r Message, err error) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		e := &PanicError{
			Kind:  m.Kind(),
			Value: v,
			Stack: string(debug.Stack()),
		}
		err = e
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.panicked == nil {
			p.panicked = e
		}
	}()
	return p.handler.Handle(c, p, m)
}

// refusalFor returns the reply to a call whose handler returned an error.
func refusalFor(err error) Message {
	var r *RefusedError
	if errors.As(err, &r) {
		return &Refusal{
			Code:         r.Code,
			Detail:       r.Detail,
			RetryAfterMS: uint32(r.RetryAfter.Milliseconds()), //nolint:gosec // small
			Epoch:        r.Epoch,
		}
	}
	return &Refusal{
		Code:   CodeInternal,
		Detail: err.Error(),
	}
}

// Call sends a message and waits for its reply. It returns a *RefusedError if the other
// side refuses the call. After a *ClosedError or an error of the context it is unknown
// whether the call took effect.
func (p *Peer) Call(c context.Context, m Message) (Message, error) {
	w := make(chan Message, 1)
	p.mu.Lock()
	p.lastID++
	id := p.lastID
	p.pending[id] = w
	p.mu.Unlock()
	defer p.removePending(id)
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

func (p *Peer) removePending(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pending, id)
}

// CallFor is Call with a timeout and a check of the reply's type.
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
			Detail: fmt.Sprintf("unexpected reply to a message of kind %d", m.Kind()),
		}
	}
	return v, nil
}
