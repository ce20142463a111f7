// Package advice caches which workers an adviser has approved for a step.
//
// The jobs of some queues may run only on workers that an external adviser
// approves. A Cache keeps its answers until they expire, and selects the workers to
// ask about next. It does no I/O and reads no clock: callers pass the time.
//
// # Usage
//
//	var cache advice.Cache
//	if w := cache.WorkersToAsk(step, workers, now); len(w) > 0 {
//		... // call the adviser
//		cache.RecordAnswer(step, w, tickets, until, true)
//	}
//	ticket, ok := cache.Ticket(step, worker, now)
package advice

import (
	"time"
)

// Limits of the calls to the adviser.
const (
	// MaxWorkers is the maximum number of workers in one call.
	MaxWorkers = 30
	// renewBefore is how long before the expiry of an approval it is renewed.
	renewBefore = 500 * time.Millisecond
)

// WorkerIncarnation identifies one incarnation of a worker.
type WorkerIncarnation struct {
	Worker      string
	Incarnation int64
}

// answer is the answer for one worker. Its ticket is valid until the given time.
type answer struct {
	ticket   string
	approved bool
	until    time.Time
}

// stepAnswers holds the answers for one step; pending is set while a call is in
// flight.
type stepAnswers struct {
	pending bool
	answers map[WorkerIncarnation]answer
}

// Cache holds the answers of an adviser. The zero value is empty.
type Cache struct {
	steps map[string]*stepAnswers
}

// answersFor returns the answers for a step, and adds an empty entry if there is
// none.
func (b *Cache) answersFor(step string) *stepAnswers {
	if b.steps == nil {
		b.steps = map[string]*stepAnswers{}
	}
	p := b.steps[step]
	if p == nil {
		p = &stepAnswers{
			answers: map[WorkerIncarnation]answer{},
		}
		b.steps[step] = p
	}
	return p
}

// WorkersToAsk returns up to MaxWorkers of the workers, in order, for which there is no
// answer or an approval that is about to expire. It returns none while a call for
// the step is in flight. After a non-empty result, the caller must call RecordAnswer.
func (b *Cache) WorkersToAsk(step string, workers []WorkerIncarnation, now time.Time) []WorkerIncarnation {
	p := b.answersFor(step)
	if p.pending {
		return nil
	}
	var l []WorkerIncarnation
	for _, k := range workers {
		w, known := p.answers[k]
		// Refusals never expire: which workers may run a step does not change.
		if known && (!w.approved || now.Add(renewBefore).Before(w.until)) {
			continue
		}
		if l = append(l, k); len(l) == MaxWorkers {
			break
		}
	}
	p.pending = len(l) > 0
	return l
}

// RecordAnswer records the result of a call: the tickets of the approved workers, by
// worker id, and the time until which they are valid. If the call failed, ok is
// false and nothing is recorded.
func (b *Cache) RecordAnswer(step string, asked []WorkerIncarnation, tickets map[string]string, until time.Time, ok bool) {
	p := b.answersFor(step)
	p.pending = false
	if !ok {
		return
	}
	for _, k := range asked {
		t, approved := tickets[k.Worker]
		p.answers[k] = answer{
			ticket:   t,
			approved: approved,
			until:    until,
		}
	}
}

// Ticket returns the ticket for a step on a worker, and whether the approval is
// valid now.
func (b *Cache) Ticket(step string, k WorkerIncarnation, now time.Time) (string, bool) {
	p := b.steps[step]
	if p == nil {
		return "", false
	}
	w := p.answers[k]
	return w.ticket, w.approved && now.Before(w.until)
}

// DropTicket removes the answer for a worker that has rejected its ticket.
func (b *Cache) DropTicket(step string, k WorkerIncarnation) {
	if p := b.steps[step]; p != nil {
		delete(p.answers, k)
	}
}

// ForgetStep removes all answers for a step.
func (b *Cache) ForgetStep(step string) { delete(b.steps, step) }
