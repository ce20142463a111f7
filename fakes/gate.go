package fakes

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"hemlockhinge/store"
	"hemlockhinge/worker"
)

// ErrKilled is returned by everything that a killed process tries.
var ErrKilled = errors.New("the process was killed")

// Gate stands between a process and the world. A frozen process neither sends
// nor receives anything; what it was about to do happens when it thaws. A
// killed one does nothing any more. The zero value is open.
type Gate struct {
	mu      sync.Mutex
	frozen  bool
	killed  bool
	changed chan struct{}
}

func (g *Gate) set(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
	if g.changed != nil {
		close(g.changed)
	}
	g.changed = make(chan struct{})
}

// Freeze stops the process until Thaw.
func (g *Gate) Freeze() { g.set(func() { g.frozen = true }) }

// Thaw lets the process go on.
func (g *Gate) Thaw() { g.set(func() { g.frozen = false }) }

// Kill ends the process.
func (g *Gate) Kill() {
	g.set(func() {
		g.killed = true
		g.frozen = false
	})
}

// look returns the state and a channel that is closed when it changes.
func (g *Gate) look() (frozen, killed bool, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.changed == nil {
		g.changed = make(chan struct{})
	}
	return g.frozen, g.killed, g.changed
}

// Pass waits while the process is frozen, and fails once it is killed.
func (g *Gate) Pass() error {
	for {
		f, k, w := g.look()
		if k {
			return ErrKilled
		}
		if !f {
			return nil
		}
		<-w
	}
}

// GatedStore is a store as one process sees it.
type GatedStore struct {
	Store store.Port
	Gate  *Gate
	// Cut says that calls do not reach the store.
	Cut func() bool
	// Tap is told of each write before it is made.
	Tap func(op, key string)
}

// do runs one call between two passages of the gate.
func (s *GatedStore) do(c context.Context, op, key string, f func() error) error {
	if err := s.Gate.Pass(); err != nil {
		return store.NewUnavailableError(op, key, false, err)
	}
	if s.Tap != nil {
		s.Tap(op, key)
	}
	if s.Cut != nil && s.Cut() {
		t := time.NewTimer(cutTimeout)
		defer t.Stop()
		select {
		case <-c.Done():
		case <-t.C:
		}
		return store.NewUnavailableError(op, key, false, errOut)
	}
	err := f()
	if e := s.Gate.Pass(); e != nil {
		return store.NewUnavailableError(op, key, false, e)
	}
	return err
}

// cutTimeout is how long a call takes to fail that does not reach the store.
const cutTimeout = 2 * time.Second

// Get implements store.Port.
func (s *GatedStore) Get(c context.Context, key string) (i store.Item, err error) {
	err = s.do(c, "get", key, func() error {
		i, err = s.Store.Get(c, key)
		return err
	})
	return i, err
}

// Put implements store.Port.
func (s *GatedStore) Put(c context.Context, key string, value []byte, rev uint64, l store.Lease) (n uint64, err error) {
	err = s.do(c, "put", key, func() error {
		n, err = s.Store.Put(c, key, value, rev, l)
		return err
	})
	return n, err
}

// Delete implements store.Port.
func (s *GatedStore) Delete(c context.Context, key string, rev uint64) error {
	return s.do(c, "delete", key, func() error { return s.Store.Delete(c, key, rev) })
}

// List implements store.Port.
func (s *GatedStore) List(c context.Context, prefix, after string) (p store.Page, err error) {
	err = s.do(c, "list", prefix, func() error {
		p, err = s.Store.List(c, prefix, after)
		return err
	})
	return p, err
}

// Watch implements store.Port.
func (s *GatedStore) Watch(c context.Context, prefix string, rev uint64) (p store.Page, err error) {
	err = s.do(c, "watch", prefix, func() error {
		p, err = s.Store.Watch(c, prefix, rev)
		return err
	})
	if s.Cut != nil && s.Cut() {
		return store.Page{}, store.NewUnavailableError("watch", prefix, false, errOut)
	}
	return p, err
}

// Grant implements store.Port.
func (s *GatedStore) Grant(c context.Context, ttl time.Duration) (l store.Lease, err error) {
	err = s.do(c, "grant", "", func() error {
		l, err = s.Store.Grant(c, ttl)
		return err
	})
	return l, err
}

// Keep implements store.Port.
func (s *GatedStore) Keep(c context.Context, l store.Lease) error {
	return s.do(c, "keep", "", func() error { return s.Store.Keep(c, l) })
}

// Revoke implements store.Port.
func (s *GatedStore) Revoke(c context.Context, l store.Lease) error {
	return s.do(c, "revoke", "", func() error { return s.Store.Revoke(c, l) })
}

// GatedWorker is a worker as its agent sees it.
type GatedWorker struct {
	Worker worker.Port
	Gate   *Gate
	// Tap is told of each call before it is made.
	Tap func(op string)
}

func (w *GatedWorker) do(op string, f func() error) error {
	if w.Tap != nil {
		w.Tap(op)
	}
	if err := w.Gate.Pass(); err != nil {
		return &worker.CallError{
			Op:  op,
			Err: err,
		}
	}
	err := f()
	if e := w.Gate.Pass(); e != nil {
		return &worker.CallError{
			Op:  op,
			Err: e,
		}
	}
	return err
}

// Start implements worker.Port.
func (w *GatedWorker) Start(c context.Context, t worker.Task) error {
	return w.do("start", func() error { return w.Worker.Start(c, t) })
}

// Renew implements worker.Port.
func (w *GatedWorker) Renew(c context.Context, ids []string, until time.Time) error {
	return w.do("renew", func() error { return w.Worker.Renew(c, ids, until) })
}

// Checkpoint implements worker.Port.
func (w *GatedWorker) Checkpoint(c context.Context, id string) error {
	return w.do("checkpoint", func() error { return w.Worker.Checkpoint(c, id) })
}

// Throttle implements worker.Port.
func (w *GatedWorker) Throttle(c context.Context, id string, percent int) error {
	return w.do("throttle", func() error { return w.Worker.Throttle(c, id, percent) })
}

// Stop implements worker.Port.
func (w *GatedWorker) Stop(c context.Context, id string) error {
	return w.do("stop", func() error { return w.Worker.Stop(c, id) })
}

// Tasks implements worker.Port.
func (w *GatedWorker) Tasks(c context.Context) (l []worker.Status, err error) {
	err = w.do("tasks", func() error {
		l, err = w.Worker.Tasks(c)
		return err
	})
	return l, err
}

// Serve implements worker.Port.
func (w *GatedWorker) Serve(r *http.Request, service string, idempotent bool) (p *http.Response, err error) {
	err = w.do("serve", func() error {
		p, err = w.Worker.Serve(r, service, idempotent) //nolint:bodyclose // the caller closes it
		return err
	})
	if err != nil && p != nil {
		_ = p.Body.Close()
		return nil, err
	}
	return p, err
}
