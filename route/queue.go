package route

import (
	"container/heap"
	"time"
)

// Queue is a bounded priority queue of waiting requests; equal priorities are
// served in the order of arrival. The zero value is ready to use and unbounded.
type Queue[T any] struct {
	waiters waiters[T]
	seq     uint64
	limit   int
}

// Waiter is one element of a Queue.
type Waiter[T any] struct {
	value    T
	priority int
	seq      uint64
	deadline time.Time
	index    int
}

// Value returns the queued value.
func (w *Waiter[T]) Value() T { return w.value }

type waiters[T any] []*Waiter[T]

func (h waiters[T]) Len() int { return len(h) }

func (h waiters[T]) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority < h[j].priority
	}
	return h[i].seq < h[j].seq
}

func (h waiters[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *waiters[T]) Push(v any) {
	w, _ := v.(*Waiter[T])
	w.index = len(*h)
	*h = append(*h, w)
}

func (h *waiters[T]) Pop() any {
	o := *h
	w := o[len(o)-1]
	o[len(o)-1] = nil
	*h = o[:len(o)-1]
	w.index = -1
	return w
}

// SetLimit bounds the number of waiters; zero means no bound.
func (q *Queue[T]) SetLimit(n int) { q.limit = n }

// Len returns the number of waiters.
func (q *Queue[T]) Len() int { return len(q.waiters) }

// Push adds a waiter. When the queue is full, the latest waiter of the lowest
// priority is displaced and returned if v has a higher priority; otherwise v is not
// added and ok is false. A lower number is a higher priority.
func (q *Queue[T]) Push(v T, priority int, deadline time.Time) (w, displaced *Waiter[T], ok bool) {
	if q.limit > 0 && len(q.waiters) >= q.limit {
		displaced = q.lastOfLowestPriority()
		if displaced.priority <= priority {
			return nil, nil, false
		}
		q.Remove(displaced)
	}
	q.seq++
	w = &Waiter[T]{
		value:    v,
		priority: priority,
		seq:      q.seq,
		deadline: deadline,
	}
	heap.Push(&q.waiters, w)
	return w, displaced, true
}

func (q *Queue[T]) lastOfLowestPriority() *Waiter[T] {
	b := q.waiters[0]
	for _, w := range q.waiters {
		if w.priority > b.priority || (w.priority == b.priority && w.seq > b.seq) {
			b = w
		}
	}
	return b
}

// Pop removes and returns the first waiter whose deadline has not passed. Waiters
// whose deadline has passed are removed on the way and returned as late.
func (q *Queue[T]) Pop(now time.Time) (w *Waiter[T], late []*Waiter[T]) {
	for len(q.waiters) > 0 {
		v, _ := heap.Pop(&q.waiters).(*Waiter[T])
		if now.Before(v.deadline) {
			return v, late
		}
		late = append(late, v)
	}
	return nil, late
}

// Reinsert returns a waiter that was popped to its former position.
func (q *Queue[T]) Reinsert(w *Waiter[T]) { heap.Push(&q.waiters, w) }

// Remove removes a waiter, and reports whether it was still queued.
func (q *Queue[T]) Remove(w *Waiter[T]) bool {
	if w.index < 0 || w.index >= len(q.waiters) || q.waiters[w.index] != w {
		return false
	}
	heap.Remove(&q.waiters, w.index)
	return true
}
