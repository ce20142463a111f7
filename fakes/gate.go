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

// ErrKilled is the error of every operation of a killed process.
var ErrKilled = errors.New("the process was killed")

// Gate freezes or kills a simulated process: each network, store and worker
// call of the process goes through it. While the process is frozen, its calls
// block, and they go on when it is thawed. After it is killed, they fail. The
// zero value lets all calls through.
type Gate struct {
	mu      sync.Mutex
	frozen  bool
	killed  bool
	changed chan struct{}
}

func (g *Gate) update(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
	if g.changed != nil {
		close(g.changed)
	}
	g.changed = make(chan struct{})
}

// Freeze blocks the calls of the process until Thaw, like SIGSTOP.
func (g *Gate) Freeze() { g.update(func() { g.frozen = true }) }

// Thaw resumes a frozen process, like SIGCONT.
func (g *Gate) Thaw() { g.update(func() { g.frozen = false }) }

// Kill makes all further calls of the process fail, and those that are blocked.
func (g *Gate) Kill() {
	g.update(func() {
		g.killed = true
		g.frozen = false
	})
}

// state returns the state and a channel that is closed when it changes.
func (g *Gate) state() (frozen, killed bool, changed <-chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.changed == nil {
		g.changed = make(chan struct{})
	}
	return g.frozen, g.killed, g.changed
}

// Wait blocks while the process is frozen, and returns ErrKilled once it is
// killed.
func (g *Gate) Wait() error {
	for {
		f, k, w := g.state()
		if k {
			return ErrKilled
		}
		if !f {
			return nil
		}
		<-w
	}
}

// GatedStore is a store as it is reached by one process: its calls go through
// the gate of the process.
type GatedStore struct {
	Store store.Port
	Gate  *Gate
	// IsCut, if set, reports whether the process has no connection to the store.
	IsCut func() bool
	// OnCall, if set, is called before each call.
	OnCall func(op, key string)
}

// call runs f. It waits at the gate before the call, and again before it
// returns the result.
func (s *GatedStore) call(c context.Context, op, key string, f func() error) error {
	if err := s.Gate.Wait(); err != nil {
		return store.NewUnavailableError(op, key, false, err)
	}
	if s.OnCall != nil {
		s.OnCall(op, key)
	}
	if s.IsCut != nil && s.IsCut() {
		t := time.NewTimer(cutCallTimeout)
		defer t.Stop()
		select {
		case <-c.Done():
		case <-t.C:
		}
		return store.NewUnavailableError(op, key, false, errUnavailable)
	}
	err := f()
	if e := s.Gate.Wait(); e != nil {
		return store.NewUnavailableError(op, key, false, e)
	}
	return err
}

// cutCallTimeout is how long a call takes to fail while the process has no
// connection to the store.
const cutCallTimeout = 2 * time.Second

// Get implements store.Port.
func (s *GatedStore) Get(c context.Context, key string) (i store.Item, err error) {
	err = s.call(c, "get", key, func() error {
		i, err = s.Store.Get(c, key)
		return err
	})
	return i, err
}

// Put implements store.Port.
func (s *GatedStore) Put(c context.Context, key string, value []byte, rev uint64, l store.Lease) (n uint64, err error) {
	err = s.call(c, "put", key, func() error {
		n, err = s.Store.Put(c, key, value, rev, l)
		return err
	})
	return n, err
}

// Delete implements store.Port.
func (s *GatedStore) Delete(c context.Context, key string, rev uint64) error {
	return s.call(c, "delete", key, func() error { return s.Store.Delete(c, key, rev) })
}

// List implements store.Port.
func (s *GatedStore) List(c context.Context, prefix, after string) (p store.Page, err error) {
	err = s.call(c, "list", prefix, func() error {
		p, err = s.Store.List(c, prefix, after)
		return err
	})
	return p, err
}

// Watch implements store.Port.
func (s *GatedStore) Watch(c context.Context, prefix string, rev uint64) (p store.Page, err error) {
	err = s.call(c, "watch", prefix, func() error {
		p, err = s.Store.Watch(c, prefix, rev)
		return err
	})
	if s.IsCut != nil && s.IsCut() {
		return store.Page{}, store.NewUnavailableError("watch", prefix, false, errUnavailable)
	}
	return p, err
}

// Grant implements store.Port.
func (s *GatedStore) Grant(c context.Context, ttl time.Duration) (l store.Lease, err error) {
	err = s.call(c, "grant", "", func() error {
		l, err = s.Store.Grant(c, ttl)
		return err
	})
	return l, err
}

// Keep implements store.Port.
func (s *GatedStore) Keep(c context.Context, l store.Lease) error {
	return s.call(c, "keep", "", func() error { return s.Store.Keep(c, l) })
}

// Revoke implements store.Port.
func (s *GatedStore) Revoke(c context.Context, l store.Lease) error {
	return s.call(c, "revoke", "", func() error { return s.Store.Revoke(c, l) })
}

// GatedWorker is a worker as it is reached by its agent: the calls go through
// the gate of the agent's process.
type GatedWorker struct {
	Worker worker.Port
	Gate   *Gate
	// OnCall, if set, is called before each call.
	OnCall func(op string)
}

func (w *GatedWorker) call(op string, f func() error) error {
	if w.OnCall != nil {
		w.OnCall(op)
	}
	if err := w.Gate.Wait(); err != nil {
		return &worker.CallError{
			Op:  op,
			Err: err,
		}
	}
	err := f()
	if e := w.Gate.Wait(); e != nil {
		return &worker.CallError{
			Op:  op,
			Err: e,
		}
	}
	return err
}

// Start implements worker.Port.
func (w *GatedWorker) Start(c context.Context, t worker.Task) error {
	return w.call("start", func() error { return w.Worker.Start(c, t) })
}

// Renew implements worker.Port.
func (w *GatedWorker) Renew(c context.Context, ids []string, until time.Time) error {
	return w.call("renew", func() error { return w.Worker.Renew(c, ids, until) })
}

// Checkpoint implements worker.Port.
func (w *GatedWorker) Checkpoint(c context.Context, id string) error {
	return w.call("checkpoint", func() error { return w.Worker.Checkpoint(c, id) })
}

// Throttle implements worker.Port.
func (w *GatedWorker) Throttle(c context.Context, id string, percent int) error {
	return w.call("throttle", func() error { return w.Worker.Throttle(c, id, percent) })
}

// Stop implements worker.Port.
func (w *GatedWorker) Stop(c context.Context, id string) error {
	return w.call("stop", func() error { return w.Worker.Stop(c, id) })
}

// Tasks implements worker.Port.
func (w *GatedWorker) Tasks(c context.Context) (l []worker.Status, err error) {
	err = w.call("tasks", func() error {
		l, err = w.Worker.Tasks(c)
		return err
	})
	return l, err
}

// Serve implements worker.Port.
func (w *GatedWorker) Serve(r *http.Request, service string, idempotent bool) (p *http.Response, err error) {
	err = w.call("serve", func() error {
		p, err = w.Worker.Serve(r, service, idempotent) //nolint:bodyclose // the caller closes the body
		return err
	})
	if err != nil && p != nil {
		_ = p.Body.Close()
		return nil, err
	}
	return p, err
}
