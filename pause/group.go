package pause

import "sync"

// Group runs goroutines until it is closed. Unlike with a sync.WaitGroup, goroutines may be
// started while another goroutine waits for the end: Go then refuses. The zero value is
// ready to use.
type Group struct {
	mu     sync.Mutex
	closed bool
	group  sync.WaitGroup
}

// Go runs f in a goroutine, and reports whether it did: it does not after Close.
func (g *Group) Go(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.group.Go(f)
	return true
}

// Close refuses further goroutines and waits for those that run.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.group.Wait()
}
