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

// dispatcher assigns the free slots of targets to requests, and queues requests while
// no slot is free.
type dispatcher struct {
	mu          sync.Mutex
	targets     route.Table
	queues      map[string]*route.Queue[*waiter]
	retryBudget route.RetryBudget
	rand        *rand.Rand
}

// waiter is a queued request.
type waiter struct {
	// avoid is the set of targets that must not be chosen.
	avoid   map[string]bool
	outcome chan slotOutcome
}

// slotOutcome ends a wait: with a target, or with the reason why there is none.
type slotOutcome struct {
	target route.Target
	reason string
}

// NoSlotError means that a request got no slot in time. The request did not run.
type NoSlotError struct {
	Service string
	Reason  string
}

func (e *NoSlotError) Error() string {
	return fmt.Sprintf("no slot of service %q: %s", e.Service, e.Reason)
}

// The reasons of a NoSlotError.
const (
	reasonQueueFull = "the queue is full"
	reasonDisplaced = "displaced from the queue by a request of a more urgent class"
	reasonTimedOut  = "no slot became free in time"
	reasonNoTarget  = "no target provides the service"
)

func (g *dispatcher) setTarget(t route.Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.targets.Set(t, time.Now())
	g.assignSlots()
}

func (g *dispatcher) removeTarget(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.targets.Remove(id)
}

func (g *dispatcher) markLost(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.targets.MarkLost(id)
}

func (g *dispatcher) setOutOfService(out map[string]bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.targets.SetOutOfService(out)
	g.assignSlots()
}

func (g *dispatcher) setLoad(id string, n int, leaving bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.targets.SetLoad(id, n, leaving)
	g.assignSlots()
}

func (g *dispatcher) releaseSlot(id string, r route.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.targets.ReleaseSlot(id, r, time.Now())
	g.assignSlots()
}

// takeSlot takes a slot of the given target, whatever its load, and reports whether the
// target is known.
func (g *dispatcher) takeSlot(id string) (route.Target, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t, ok := g.targets.Get(id)
	return t, ok && g.targets.TakeSlot(id)
}

func (g *dispatcher) takeRetry() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryBudget.TakeRetry()
}

func (g *dispatcher) recordRequest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget.RecordRequest()
}

// assignSlots assigns free slots to queued requests. The caller holds mu.
func (g *dispatcher) assignSlots() {
	n := time.Now()
	for s, q := range g.queues {
		for q.Len() > 0 && g.assignNext(s, q, n) {
		}
	}
}

// assignNext assigns a slot to the first queued request of a service. It returns false
// if the queue is empty or no slot is free. Requests whose deadline has passed are
// removed.
func (g *dispatcher) assignNext(service string, q *route.Queue[*waiter], n time.Time) bool {
	w, expired := q.Pop(n)
	for _, l := range expired {
		l.Value().outcome <- slotOutcome{
			reason: reasonTimedOut,
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
	w.Value().outcome <- slotOutcome{
		target: t,
	}
	return true
}

// acquireSlot takes a slot of some target of a service, and waits for one as long as
// the request class allows. The caller must call releaseSlot.
func (g *dispatcher) acquireSlot(c context.Context, s conf.Service, k conf.RequestClass, avoid map[string]bool) (route.Target, error) {
	n := time.Now()
	g.mu.Lock()
	q := g.queueFor(s)
	if q.Len() == 0 {
		if t, ok := g.targets.Pick(s.Name, avoid, n, g.rand); ok {
			g.mu.Unlock()
			return t, nil
		}
	}
	v := &waiter{
		avoid:   avoid,
		outcome: make(chan slotOutcome, 1),
	}
	d := n.Add(k.MaxWait.Or(conf.DefaultMaxWait))
	w, displaced, ok := q.Push(v, k.Priority, d)
	if displaced != nil {
		displaced.Value().outcome <- slotOutcome{
			reason: reasonDisplaced,
		}
	}
	g.assignSlots()
	g.mu.Unlock()
	if !ok {
		return route.Target{}, newNoSlotError(s.Name, reasonQueueFull)
	}
	return g.waitForSlot(c, s, q, w, d)
}

// waitForSlot waits until the queued request w gets a slot, is displaced, or reaches its
// deadline d. If w has left the queue when the wait ends, its outcome has been sent.
func (g *dispatcher) waitForSlot(c context.Context, s conf.Service, q *route.Queue[*waiter], w *route.Waiter[*waiter], d time.Time) (route.Target, error) {
	t := time.NewTimer(time.Until(d))
	defer t.Stop()
	select {
	case r := <-w.Value().outcome:
		return r.result(s.Name)
	case <-t.C:
	case <-c.Done():
	}
	g.mu.Lock()
	queued := q.Remove(w)
	n := g.targets.Len(s.Name)
	g.mu.Unlock()
	if !queued {
		r := <-w.Value().outcome
		return r.result(s.Name)
	}
	if n == 0 {
		return route.Target{}, newNoSlotError(s.Name, reasonNoTarget)
	}
	return route.Target{}, newNoSlotError(s.Name, reasonTimedOut)
}

func (r slotOutcome) result(service string) (route.Target, error) {
	if r.reason != "" {
		return route.Target{}, newNoSlotError(service, r.reason)
	}
	return r.target, nil
}

func newNoSlotError(service, reason string) error {
	return &NoSlotError{
		Service: service,
		Reason:  reason,
	}
}

// queueFor returns the queue of a service, with the limit that is configured now. The
// caller holds mu.
func (g *dispatcher) queueFor(s conf.Service) *route.Queue[*waiter] {
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

// views returns the state of the targets and the length of each service's queue.
func (g *dispatcher) views() ([]route.View, map[string]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := map[string]int{}
	for s, q := range g.queues {
		m[s] = q.Len()
	}
	return g.targets.Views(time.Now()), m
}
