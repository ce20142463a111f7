// Package fence keeps what may be running at one worker.
//
// A worker obeys no order whose token is below the highest it has seen, but an
// order that was not answered may take effect seconds later. A Ledger therefore
// holds every run from the moment its start is sent until it is certain that it
// is over: listed as ended, or missing from a list that was answered under a
// higher token than its start had, or gone with the worker's life.
//
// # Usage
//
//	var l fence.Ledger
//	l.Live(born)
//	t := l.Begin(task, attempt, size)
//	... // send the start with token t
//	l.Confirm(task)
//	l.Apply(listing)
package fence

import (
	"slices"

	"hemlockhinge/graph"
)

// ClockDrift is how much slower than ours a worker's steady clock may run: a lease
// of its clock lasts that much longer.
const ClockDrift = 0.02

// Token fences orders to a worker. It rises with each uncertain order and each
// life of the agent.
type Token int64

// tokensPerMS leaves room for raises between two starts of an agent, whose
// first token is the worker's own clock.
const tokensPerMS = 1024

// FirstToken returns a token above all that earlier lives of the agent used at
// this worker, from the worker's own steady clock in milliseconds.
func FirstToken(clockMS int64) Token { return Token(clockMS * tokensPerMS) }

// Run is a run that may exist.
type Run struct {
	Task    graph.Task
	Attempt int
	Size    graph.Size
	Saved   string
	Percent int
	// token of its start, and whether the worker has confirmed it
	token     Token
	confirmed bool
	since     uint64
}

// Uncertain reports whether the start has not been answered.
func (r *Run) Uncertain() bool { return !r.confirmed }

// End is an end that the worker has listed.
type End struct {
	N int64
	graph.End
}

// Listing is a worker's answer: all that runs, and the ends it still keeps.
// Order is the value of Mark when it was asked for and Token that of the call.
type Listing struct {
	Born    int64
	Token   Token
	Mark    uint64
	Running []Run
	Ended   []End
}

// Ledger is what may run at one worker. The zero value is empty.
type Ledger struct {
	born  int64
	token Token
	mark  uint64
	runs  map[graph.Task]*Run
	ends  []End
	seen  int64
	acked int64
}

// Born returns the life of the worker that the ledger is about.
func (l *Ledger) Born() int64 { return l.born }

// Token returns the token for the next order.
func (l *Ledger) Token() Token { return l.token }

// Acked returns the number up to which ends may be forgotten.
func (l *Ledger) Acked() int64 { return l.acked }

// Mark returns a count that rises with each run that is confirmed.
func (l *Ledger) Mark() uint64 { return l.mark }

// Raise makes the token at least t, and higher than it was.
func (l *Ledger) Raise(t Token) Token {
	l.token = max(t, l.token+1)
	return l.token
}

// Live notes the worker's life and reports whether it is another one: all that
// was known of the life before is gone with it.
func (l *Ledger) Live(born int64) bool {
	if born == l.born {
		return false
	}
	l.born = born
	l.runs = nil
	l.ends = nil
	l.seen = 0
	l.acked = 0
	return true
}

// Begin notes that a start is being sent and returns its token.
func (l *Ledger) Begin(t graph.Task, attempt int, z graph.Size) Token {
	if l.runs == nil {
		l.runs = map[graph.Task]*Run{}
	}
	l.runs[t] = &Run{
		Task:    t,
		Attempt: attempt,
		Size:    z,
		token:   l.token,
	}
	return l.token
}

// Confirm notes that a start was answered with success.
func (l *Ledger) Confirm(t graph.Task, attempt int) {
	l.mark++
	if r := l.runs[t]; r != nil && r.Attempt == attempt {
		r.confirmed = true
		r.since = l.mark
	}
}

// Reject notes that a start was answered with a refusal.
func (l *Ledger) Reject(t graph.Task, attempt int) {
	if r := l.runs[t]; r != nil && r.Attempt == attempt {
		delete(l.runs, t)
	}
}

// Apply takes a listing in, and reports whether it changed anything beyond
// checkpoints and shares.
func (l *Ledger) Apply(s Listing) bool {
	if s.Born != l.born {
		return false
	}
	changed := l.applyRuns(s)
	for _, e := range s.Ended {
		if e.N <= l.seen {
			continue
		}
		l.seen = e.N
		l.ends = append(l.ends, e)
		if r := l.runs[e.Task]; r != nil && r.Attempt == e.Attempt {
			delete(l.runs, e.Task)
		}
		changed = true
	}
	return l.dropMissing(s) || changed
}

func (l *Ledger) applyRuns(s Listing) bool {
	changed := false
	for _, v := range s.Running {
		r := l.runs[v.Task]
		if r == nil && l.over(v) {
			continue
		}
		if r == nil || r.Attempt < v.Attempt {
			l.Begin(v.Task, v.Attempt, v.Size)
			r = l.runs[v.Task]
		}
		if r.Attempt != v.Attempt {
			continue
		}
		if !r.confirmed {
			// A list that was asked for before this one may still come.
			l.mark++
			r.confirmed = true
			r.since = l.mark
			changed = true
		}
		r.Saved = v.Saved
		r.Percent = v.Percent
	}
	return changed
}

// over reports whether a run that an overtaken listing shows has ended since.
func (l *Ledger) over(v Run) bool {
	return slices.ContainsFunc(l.ends, func(e End) bool {
		return e.Task == v.Task && e.Attempt >= v.Attempt
	})
}

// dropMissing removes runs that the worker no longer has, as far as the listing
// can know of them.
func (l *Ledger) dropMissing(s Listing) bool {
	changed := false
	for t, r := range l.runs {
		if slices.ContainsFunc(s.Running, func(v Run) bool { return v.Task == t && v.Attempt == r.Attempt }) {
			continue
		}
		known := r.confirmed && r.since <= s.Mark
		fenced := !r.confirmed && r.token < s.Token
		if known || fenced {
			delete(l.runs, t)
			changed = true
		}
	}
	return changed
}

// Note forgets ends up to n, which are recorded elsewhere.
func (l *Ledger) Note(born, n int64) {
	if born != l.born || n <= l.acked {
		return
	}
	l.acked = n
	l.ends = slices.DeleteFunc(l.ends, func(e End) bool { return e.N <= n })
}

// Clear forgets all runs: their leases have run out.
func (l *Ledger) Clear() { l.runs = nil }

// Has reports whether a run may exist.
func (l *Ledger) Has(t graph.Task, attempt int) bool {
	r := l.runs[t]
	return r != nil && r.Attempt == attempt
}

// Holds reports whether another attempt of a task may be running.
func (l *Ledger) Holds(t graph.Task, attempt int) bool {
	r := l.runs[t]
	return r != nil && r.Attempt != attempt
}

// Runs returns all runs that may exist, in the order of their names.
func (l *Ledger) Runs() []Run {
	v := make([]Run, 0, len(l.runs))
	for _, r := range l.runs {
		v = append(v, *r)
	}
	slices.SortFunc(v, func(a, b Run) int {
		if a.Task.String() < b.Task.String() {
			return -1
		}
		return 1
	})
	return v
}

// Ends returns the ends that are not noted yet, oldest first.
func (l *Ledger) Ends() []End { return slices.Clone(l.ends) }

// Used returns what the runs that may exist take together.
func (l *Ledger) Used() graph.Size {
	var z graph.Size
	for _, r := range l.runs {
		z = z.Add(r.Size)
	}
	return z
}

// Idle reports whether nothing may run and no end waits to be noted.
func (l *Ledger) Idle() bool { return len(l.runs) == 0 && len(l.ends) == 0 }
