package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"hemlockhinge/conf"
	"hemlockhinge/route"
)

// gate gives out the targets' slots, and lets requests wait for them.
type gate struct {
	mu      sync.Mutex
	targets route.Table
	queues  map[string]*route.Queue[*waiter]
	budget  route.RetryBudget
	rand    *rand.Rand
}

// waiter is a request that waits for a slot.
type waiter struct {
	avoid map[string]bool
	got   chan grant
}

// grant ends a wait: with a target, or with the reason why there is none.
type grant struct {
	target route.Target
	reason string
}

// NoSlotError says that a request found no slot in time. It did not run.
type NoSlotError struct {
	Service string
	Reason  string
}

func (e *NoSlotError) Error() string {
	return fmt.Sprintf("no slot of service %q: %s", e.Service, e.Reason)
}

// Reasons why a request finds no slot.
const (
	reasonFull     = "the queue is full"
	reasonGaveWay  = "it gave way to a request of a more urgent class"
	reasonLate     = "none became free in time"
	reasonNoTarget = "no target serves it"
)

func (g *gate) set(t route.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.targets.Set(t, time.Now())
	g.serve()
}

func (g *gate) remove(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.targets.Remove(id)
}

func (g *gate) lost(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.targets.MarkLost(id)
}

func (g *gate) setOut(out map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.targets.SetOutOfService(out)
	g.serve()
}

func (g *gate) load(id string, n int, leaving bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.targets.SetLoad(id, n, leaving)
	g.serve()
}

func (g *gate) done(id string, r route.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.targets.ReleaseSlot(id, r, time.Now())
	g.serve()
}

// take uses a slot of a given target, and returns it if it is known.
func (g *gate) take(id string) (route.Target, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t, ok := g.targets.Get(id)
	return t, ok && g.targets.TakeSlot(id)
}

func (g *gate) mayRetry() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.TakeRetry()
}

func (g *gate) counted() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.RecordRequest()
}

// serve gives free slots to those who wait. The caller holds mu.
func (g *gate) serve() {
	n := time.Now()
	for s, q := range g.queues {
		for q.Len() > 0 && g.serveOne(s, q, n) {
		}
	}
}

// serveOne serves the first waiter of a service, and reports whether there may
// be another to serve.
func (g *gate) serveOne(service string, q *route.Queue[*waiter], n time.Time) bool {
	w, late := q.Pop(n)
	for _, l := range late {
		l.Value().got <- grant{
			reason: reasonLate,
		}
	}
	if w == nil {
		return false
	}
	t, ok := g.targets.Pick(service, w.Value().avoid, n, g.rand)
	if !ok {
		q.Reinsert(w)
		return false
	}
	w.Value().got <- grant{
		target: t,
	}
	return true
}

// acquire takes a slot of some target of a service, waiting for one as long as
// the class allows. The caller must call done.
func (g *gate) acquire(c context.Context, s conf.Service, k conf.RequestClass, avoid map[string]bool) (route.Target, error) {
	n := time.Now()
	g.mu.Lock()
	q := g.queue(s)
	if q.Len() == 0 {
		if t, ok := g.targets.Pick(s.Name, avoid, n, g.rand); ok {
			g.mu.Unlock()
			return t, nil
		}
	}
	v := &waiter{
		avoid: avoid,
		got:   make(chan grant, 1),
	}
	d := n.Add(k.MaxWait.Or(conf.DefaultMaxWait))
	w, out, ok := q.Push(v, k.Priority, d)
	if out != nil {
		out.Value().got <- grant{
			reason: reasonGaveWay,
		}
	}
	g.serve()
	g.mu.Unlock()
	if !ok {
		return route.Target{}, noSlot(s.Name, reasonFull)
	}
	return g.wait(c, s, q, w, d)
}

func (g *gate) wait(c context.Context, s conf.Service, q *route.Queue[*waiter], w *route.Waiter[*waiter], d time.Time) (route.Target, error) {
	t := time.NewTimer(time.Until(d))
	defer t.Stop()
	select {
	case r := <-w.Value().got:
		return r.result(s.Name)
	case <-t.C:
	case <-c.Done():
	}
	g.mu.Lock()
	still := q.Remove(w)
	n := g.targets.Len(s.Name)
	g.mu.Unlock()
	if !still {
		r := <-w.Value().got
		return r.result(s.Name)
	}
	if n == 0 {
		return route.Target{}, noSlot(s.Name, reasonNoTarget)
	}
	return route.Target{}, noSlot(s.Name, reasonLate)
}

func (r grant) result(service string) (route.Target, error) {
	if r.reason != "" {
		return route.Target{}, noSlot(service, r.reason)
	}
	return r.target, nil
}

func noSlot(service, reason string) error {
	return &NoSlotError{
		Service: service,
		Reason:  reason,
	}
}

func (g *gate) queue(s conf.Service) *route.Queue[*waiter] {
	q := g.queues[s.Name]
	if q == nil {
		q = &route.Queue[*waiter]{}
		g.queues[s.Name] = q
	}
	n := s.MaxQueued
	if n == 0 {
		n = conf.DefaultMaxQueued
	}
	q.SetLimit(n)
	return q
}

// views describes the targets and the lengths of the queues.
func (g *gate) views() ([]route.View, map[string]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := map[string]int{}
	for s, q := range g.queues {
		m[s] = q.Len()
	}
	return g.targets.Views(time.Now()), m
}
