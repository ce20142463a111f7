// Package once keeps track of the requests with an idempotency key that an agent
// has run, so that each key runs at most once.
//
// A key is claimed in the store, and the claim names one agent. An entry that reads
// the claim sends the request to that agent, whose table decides: the first request
// with the key runs, later ones wait for its answer or get a copy of it. If an
// agent refuses a key under a revision of its claim, it refuses it for good under
// that revision and earlier ones, so that an entry can safely move the claim to
// another agent.
//
// # Usage
//
//	d, w := t.Begin(key, claim, now)
//	switch d {
//	case once.Run:
//		// Run the request, then:
//		t.Finish(w, answer)
//	case once.Wait:
//		<-w.Done()
//		answer := w.Answer()
//	}
package once

import (
	"container/list"
	"sync"
	"time"
)

// Limits of a table. A key is kept at least as long as its claim.
const (
	// KeyRetention is how long a key is remembered. It must be at least as long as
	// the claim of the key in the store.
	KeyRetention = 24 * time.Hour
	// defaultMaxKeys is how many keys are remembered unless SetLimit is called.
	defaultMaxKeys = 100_000
	// maxBodyBytes bounds the total size of the kept answers' bodies.
	maxBodyBytes = 32 << 20
)

// Decision is what to do with a request.
type Decision uint8

// The decisions.
const (
	// Run means that the caller must run the request and call Finish, or MarkNotRun if
	// the request did not run after all.
	Run Decision = iota
	// Wait means that the request runs or ran already; its answer comes from
	// Call.
	Wait
	// Refused means that the agent has refused the key under this claim.
	Refused
	// TableFull means that the table has no space for another key. The request must
	// not run.
	TableFull
)

// Answer is the answer to a request, kept for repetitions of the request.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
	// Complete is false if the answer was cut short, was too large to keep or has
	// lost its body since.
	Complete bool
}

// Call is a request that runs or ran, or a key that the agent refused.
type Call struct {
	key       string
	claim     uint64
	done      chan struct{}
	answer    Answer
	notRun    bool
	createdAt time.Time
	element   *list.Element
}

// Done returns a channel that is closed once the call has ended.
func (c *Call) Done() <-chan struct{} { return c.done }

// Answer returns the answer. It may be called once Done is closed.
func (c *Call) Answer() Answer { return c.answer }

// NotRun reports whether the request did not run. It may be called once Done is
// closed.
func (c *Call) NotRun() bool { return c.notRun }

// Table remembers keys. The zero value is ready to use.
type Table struct {
	mu    sync.Mutex
	calls map[string]*Call
	byAge list.List
	// bodyBytes is the total size of the kept bodies.
	bodyBytes int
	maxKeys   int
}

// SetLimit sets how many keys are remembered; zero means the default.
func (t *Table) SetLimit(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.maxKeys = n
}

// Len returns the number of keys that are remembered.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.calls)
}

// Begin decides about a request with a key, under a revision of the key's claim.
func (t *Table) Begin(key string, claim uint64, now time.Time) (Decision, *Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	c := t.calls[key]
	switch {
	case c == nil:
	case c.notRun && claim <= c.claim:
		return Refused, nil
	case !c.notRun:
		return Wait, c
	}
	if c == nil && len(t.calls) >= t.keyLimit() {
		return TableFull, nil
	}
	t.remove(c)
	return Run, t.add(key, claim, now)
}

func (t *Table) keyLimit() int {
	if t.maxKeys > 0 {
		return t.maxKeys
	}
	return defaultMaxKeys
}

func (t *Table) add(key string, claim uint64, now time.Time) *Call {
	c := &Call{
		key:       key,
		claim:     claim,
		done:      make(chan struct{}),
		createdAt: now,
	}
	if t.calls == nil {
		t.calls = map[string]*Call{}
	}
	t.calls[key] = c
	c.element = t.byAge.PushBack(c)
	return c
}

func (t *Table) remove(c *Call) {
	if c == nil {
		return
	}
	t.bodyBytes -= len(c.answer.Body)
	t.byAge.Remove(c.element)
	delete(t.calls, c.key)
}

// Refuse records that the agent will not run the key under this revision of its
// claim. It returns false if the key runs or ran already.
func (t *Table) Refuse(key string, claim uint64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.calls[key]
	if c != nil && !c.notRun {
		return false
	}
	if c != nil {
		c.claim = max(c.claim, claim)
		return true
	}
	c = t.add(key, claim, now)
	c.notRun = true
	close(c.done)
	return true
}

// Finish records the answer of a request that ran.
func (t *Table) Finish(c *Call, a Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.answer = a
	t.bodyBytes += len(a.Body)
	t.dropOldBodies()
	close(c.done)
}

// MarkNotRun records that a request which was to run did not, for instance because the
// worker could not be reached. The claim may then move to another agent.
func (t *Table) MarkNotRun(c *Call) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.notRun = true
	close(c.done)
}

// dropOldBodies drops the bodies of the oldest answers, but keeps their keys,
// until the rest fits into maxBodyBytes.
func (t *Table) dropOldBodies() {
	for e := t.byAge.Front(); e != nil && t.bodyBytes > maxBodyBytes; e = e.Next() {
		c, _ := e.Value.(*Call)
		t.bodyBytes -= len(c.answer.Body)
		c.answer.Body = nil
		c.answer.Complete = false
	}
}

// expire forgets keys that are older than KeyRetention. It stops at the first call
// that is younger or still running.
func (t *Table) expire(now time.Time) {
	for e := t.byAge.Front(); e != nil; e = t.byAge.Front() {
		c, _ := e.Value.(*Call)
		if now.Sub(c.createdAt) < KeyRetention || !finished(c) {
			return
		}
		t.remove(c)
	}
}

func finished(c *Call) bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}
