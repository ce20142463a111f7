package store

import (
	"context"
	"errors"
	"sync"
	"time"
)

// cancelledAnswerTime is how long a call must have waited for its answer before its caller
// gave up to count as unanswered.
const cancelledAnswerTime = 100 * time.Millisecond

// WatchGuard repeats watches that an outage may have silenced. A watch is a long poll:
// when its connection goes silent without being closed, it waits until its timeout, long
// after the store answers again. Once a call has failed, a WatchGuard therefore repeats
// all watches that were begun before the next answer, as soon as that answer arrives. The
// zero value is ready to use; clients in the same process should share one.
type WatchGuard struct {
	mu      sync.Mutex
	failing bool
	watches map[*guardedWatch]struct{}
}

// guardedWatch is a pending watch. It is suspect if a call has failed while it was pending.
type guardedWatch struct {
	repeat  context.CancelFunc
	suspect bool
}

// Wrap returns p with its watches guarded by g.
func (g *WatchGuard) Wrap(p Committer) Committer {
	return &guarded{
		Committer: p,
		guard:     g,
	}
}

// observe records the outcome of a call other than a watch.
func (g *WatchGuard) observe(c context.Context, begun time.Time, err error) {
	var u *UnavailableError
	failed := errors.As(err, &u)
	if failed && c.Err() != nil && time.Since(begun) < cancelledAnswerTime {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failing = failed
	for w := range g.watches {
		if failed {
			w.suspect = true
		} else if w.suspect {
			w.repeat()
		}
	}
}

// begin registers a watch that repeat ends.
func (g *WatchGuard) begin(repeat context.CancelFunc) *guardedWatch {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := &guardedWatch{
		repeat:  repeat,
		suspect: g.failing,
	}
	if g.watches == nil {
		g.watches = map[*guardedWatch]struct{}{}
	}
	g.watches[w] = struct{}{}
	return w
}

func (g *WatchGuard) end(w *guardedWatch) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.watches, w)
}

// guarded is a Committer whose calls are observed by a WatchGuard.
type guarded struct {
	Committer
	guard *WatchGuard
}

// Watch implements Port.
func (s *guarded) Watch(c context.Context, prefix string, rev uint64) (Page, error) {
	for {
		w, cancel := context.WithCancel(c)
		v := s.guard.begin(cancel)
		p, err := s.Committer.Watch(w, prefix, rev)
		s.guard.end(v)
		repeat := err != nil && w.Err() != nil && c.Err() == nil
		cancel()
		if !repeat {
			return p, err
		}
	}
}

// Get implements Port.
func (s *guarded) Get(c context.Context, key string) (Item, error) {
	begun := time.Now()
	i, err := s.Committer.Get(c, key)
	s.guard.observe(c, begun, err)
	return i, err
}

// Put implements Port.
func (s *guarded) Put(c context.Context, key string, value []byte, rev uint64, l Lease) (uint64, error) {
	begun := time.Now()
	r, err := s.Committer.Put(c, key, value, rev, l)
	s.guard.observe(c, begun, err)
	return r, err
}

// Delete implements Port.
func (s *guarded) Delete(c context.Context, key string, rev uint64) error {
	begun := time.Now()
	err := s.Committer.Delete(c, key, rev)
	s.guard.observe(c, begun, err)
	return err
}

// List implements Port.
func (s *guarded) List(c context.Context, prefix, after string) (Page, error) {
	begun := time.Now()
	p, err := s.Committer.List(c, prefix, after)
	s.guard.observe(c, begun, err)
	return p, err
}

// Grant implements Port.
func (s *guarded) Grant(c context.Context, ttl time.Duration) (Lease, error) {
	begun := time.Now()
	l, err := s.Committer.Grant(c, ttl)
	s.guard.observe(c, begun, err)
	return l, err
}

// Keep implements Port.
func (s *guarded) Keep(c context.Context, l Lease) error {
	begun := time.Now()
	err := s.Committer.Keep(c, l)
	s.guard.observe(c, begun, err)
	return err
}

// Revoke implements Port.
func (s *guarded) Revoke(c context.Context, l Lease) error {
	begun := time.Now()
	err := s.Committer.Revoke(c, l)
	s.guard.observe(c, begun, err)
	return err
}

// Commit implements Committer.
func (s *guarded) Commit(c context.Context, t Txn) (uint64, error) {
	begun := time.Now()
	r, err := s.Committer.Commit(c, t)
	s.guard.observe(c, begun, err)
	return r, err
}

// Poll implements Committer.
func (s *guarded) Poll(c context.Context, prefix string, rev uint64) (Page, error) {
	begun := time.Now()
	p, err := s.Committer.Poll(c, prefix, rev)
	s.guard.observe(c, begun, err)
	return p, err
}
