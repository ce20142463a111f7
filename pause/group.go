package pause

import (
	"errors"
	"sync"
)

// ErrClosed is the error of what could not be started because its Group is closed.
var ErrClosed = errors.New("this process is shutting down")

// Group runs goroutines until it is closed. Unlike with a sync.WaitGroup, goroutines may be
// started while another goroutine waits for the end: Go then refuses. The zero value is
// ready to use.
type Group struct {
	mu     sync.Mutex
	closed bool
	group  sync.WaitGroup
}

// Go runs f in a goroutine, and reports whether it did: it does not after Refuse.
func (g *Group) Go(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.group.Go(f)
	return true
}

// Refuse makes Go refuse from now on. What has to be ended before Close is complete after
// that.
func (g *Group) Refuse() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
}

// Close refuses further goroutines and waits for those that run.
func (g *Group) Close() {
	g.Refuse()
	g.group.Wait()
}
