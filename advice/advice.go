// Package advice remembers which workers an adviser has approved for a step.
//
// Some queues may use only workers that an adviser approves, and it alone knows
// which. A Book holds its answers until they run out, and tells which workers to
// ask about next. It is pure: each call is given the time.
//
// # Usage
//
//	if w := b.Ask(step, workers, now); len(w) > 0 {
//		... // call the adviser
//		b.Answer(step, w, approved, until)
//	}
//	ticket, ok := b.Ticket(step, worker, now)
package advice

import (
	"time"
)

// Rules of asking.
const (
	// MaxWorkers bounds the workers of one call.
	MaxWorkers = 30
	// renewBefore is how long before its end an answer is asked for anew.
	renewBefore = 500 * time.Millisecond
)

// Key names one life of a worker.
type Key struct {
	Worker string
	Born   int64
}

type word struct {
	ticket   string
	approved bool
	until    time.Time
}

type page struct {
	asking bool
	words  map[Key]word
}

// Book holds an adviser's answers. The zero value is empty.
type Book struct {
	pages map[string]*page
}

func (b *Book) page(step string) *page {
	if b.pages == nil {
		b.pages = map[string]*page{}
	}
	p := b.pages[step]
	if p == nil {
		p = &page{
			words: map[Key]word{},
		}
		b.pages[step] = p
	}
	return p
}

// Ask returns which of the workers to ask about now, in their order; none while a
// call for the step is under way. An answer must follow.
func (b *Book) Ask(step string, workers []Key, now time.Time) []Key {
	p := b.page(step)
	if p.asking {
		return nil
	}
	var l []Key
	for _, k := range workers {
		w, known := p.words[k]
		// Which workers may run a step does not change: a refusal stands.
		if known && (!w.approved || now.Add(renewBefore).Before(w.until)) {
			continue
		}
		if l = append(l, k); len(l) == MaxWorkers {
			break
		}
	}
	p.asking = len(l) > 0
	return l
}

// Answer takes in an answer: the tickets of the workers approved, until when they
// hold. A call that failed is answered with ok false.
func (b *Book) Answer(step string, asked []Key, tickets map[string]string, until time.Time, ok bool) {
	p := b.page(step)
	p.asking = false
	if !ok {
		return
	}
	for _, k := range asked {
		t, approved := tickets[k.Worker]
		p.words[k] = word{
			ticket:   t,
			approved: approved,
			until:    until,
		}
	}
}

// Ticket returns the ticket for a step at a worker, if it is approved now.
func (b *Book) Ticket(step string, k Key, now time.Time) (string, bool) {
	p := b.pages[step]
	if p == nil {
		return "", false
	}
	w := p.words[k]
	return w.ticket, w.approved && now.Before(w.until)
}

// Drop forgets a ticket that a worker has rejected.
func (b *Book) Drop(step string, k Key) {
	if p := b.pages[step]; p != nil {
		delete(p.words, k)
	}
}

// Forget removes all that is known of a step.
func (b *Book) Forget(step string) { delete(b.pages, step) }
