// Package fence tracks which runs may exist on one worker, with fencing tokens.
//
// A worker rejects orders whose token is below the highest it has seen, but an
// order that got no answer may still take effect seconds later. A Ledger therefore
// holds each run from before its start is sent until it has certainly ended: until
// the worker lists its end, or a listing lacks it that was requested after the
// start was confirmed or, for a start without an answer, under a higher token, or
// until the worker has a new incarnation.
//
// # Usage
//
//	var l fence.Ledger
//	l.SetIncarnation(incarnation)
//	t := l.Begin(task, attempt, size)
//	... // send the start with token t
//	l.Confirm(task, attempt)
//	l.Apply(listing)
package fence

import (
	"slices"
	"time"

	"hemlockhinge/graph"
)

// MaxClockDrift bounds, as a fraction, how much slower the monotonic clock of a
// worker may run than ours: a lease measured by its clock may last that much
// longer.
const MaxClockDrift = 0.02

// Token is a fencing token of orders to a worker. It is raised for each new
// incarnation of the agent, and to fence off orders whose effect is uncertain.
type Token int64

// tokensPerMS leaves enough tokens for raises between two starts of an agent,
// which takes its first token from the clock of the worker.
const tokensPerMS = 1024

// FirstToken returns a token above all that earlier incarnations of the agent used
// on this worker, from the monotonic clock of the worker in milliseconds.
func FirstToken(clockMS int64) Token { return Token(clockMS * tokensPerMS) }

// Run is a run that may exist on the worker.
type Run struct {
	Task    graph.Task
	Attempt int
	Size    graph.Size
	// Checkpoint is the id of the newest checkpoint.
	Checkpoint string
	// ProgressPercent is the progress of the run, as a percentage.
	ProgressPercent int
	// BegunAt is when the start order was about to be sent, zero if the ledger has the run
	// from a listing.
	BegunAt time.Time
	// token is the token of the start order.
	token Token
	// confirmed is set once the worker has shown that the run exists, confirmedAt
	// is the value of Ledger.confirmations then.
	confirmed   bool
	confirmedAt uint64
}

// Uncertain reports whether the worker has not confirmed that the run exists.
func (r *Run) Uncertain() bool { return !r.confirmed }

// End is the end of a run as listed by the worker.
type End struct {
	// Number numbers the ends of one incarnation of the worker in ascending order.
	Number int64
	graph.End
}

// Listing is the answer of a worker to a request for its runs: all current runs,
// and the ends that it still keeps.
type Listing struct {
	// Incarnation identifies the incarnation of the worker.
	Incarnation int64
	// ClockMS is the worker's clock when it made the listing, 0 if it is not known.
	ClockMS int64
	// Token is the token of the request.
	Token Token
	// Confirmations is the number of confirmations in the ledger when the request was made.
	Confirmations uint64
	Running       []Run
	Ended         []End
	// Truncated means that the worker keeps further ends, which it lists once these are
	// acknowledged.
	Truncated bool
	// Incomplete means that runs or ends are left out because they cannot be read.
	Incomplete bool
}

// Ledger holds the runs that may exist on one worker. The zero value is empty.
type Ledger struct {
	incarnation int64
	token       Token
	// confirmations counts the confirmed runs.
	confirmations uint64
	runs          map[graph.Task]*Run
	// cleared are the runs that were removed by Clear, until it is known whether the
	// incarnation lives on. dropped are the runs of the previous incarnation at its end.
	cleared []Run
	dropped []Run
	// ends are the ends that are not acknowledged yet.
	ends []End
	// lastEnd is the highest number of an end that was applied.
	lastEnd int64
	// listedMS is the worker's clock of the newest listing that was applied.
	listedMS int64
	// truncated means that the worker keeps ends that are not in the ledger yet.
	truncated bool
	// ackedThrough is the highest number of an end that was acknowledged.
	ackedThrough int64
}

// Incarnation returns the incarnation of the worker that the ledger describes.
func (l *Ledger) Incarnation() int64 { return l.incarnation }

// Token returns the token for the next order.
func (l *Ledger) Token() Token { return l.token }

// AckedThrough returns the number up to which the worker may discard ends.
func (l *Ledger) AckedThrough() int64 { return l.ackedThrough }

// Confirmations returns the number of confirmations so far. A listing that is requested now
// shows all runs confirmed up to this number, unless they have ended.
func (l *Ledger) Confirmations() uint64 { return l.confirmations }

// Truncated reports whether the worker keeps ends that are not in the ledger yet. A run that
// the ledger lacks may be one of them.
func (l *Ledger) Truncated() bool { return l.truncated }

// RaiseToken raises the token to t, or by one if t is not higher, and returns it.
func (l *Ledger) RaiseToken(t Token) Token {
	l.token = max(t, l.token+1)
	return l.token
}

// SetIncarnation sets the incarnation of the worker and reports whether it has changed. If
// so, the runs and ends of the previous incarnation are dropped.
func (l *Ledger) SetIncarnation(incarnation int64) bool {
	if incarnation == l.incarnation {
		return false
	}
	l.dropped = append(l.Runs(), l.cleared...)
	l.cleared = nil
	l.incarnation = incarnation
	l.runs = nil
	l.ends = nil
	l.lastEnd = 0
	l.listedMS = 0
	l.truncated = false
	l.ackedThrough = 0
	return true
}

// Dropped returns the runs that existed, or may have, when the previous incarnation of the
// worker ended.
func (l *Ledger) Dropped() []Run { return l.dropped }

// Begin adds a run whose start is about to be sent, and returns the token for the
// order.
func (l *Ledger) Begin(t graph.Task, attempt int, z graph.Size, now time.Time) Token {
	if l.runs == nil {
		l.runs = map[graph.Task]*Run{}
	}
	l.runs[t] = &Run{
		Task:    t,
		Attempt: attempt,
		Size:    z,
		BegunAt: now,
		token:   l.token,
	}
	return l.token
}

// Confirm records that the worker accepted a start.
func (l *Ledger) Confirm(t graph.Task, attempt int) {
	l.confirmations++
	if r := l.runs[t]; r != nil && r.Attempt == attempt {
		r.confirmed = true
		r.confirmedAt = l.confirmations
	}
}

// Reject removes a run whose start the worker rejected.
func (l *Ledger) Reject(t graph.Task, attempt int) {
	if r := l.runs[t]; r != nil && r.Attempt == attempt {
		delete(l.runs, t)
	}
}

// Apply updates the ledger from a listing, and reports whether anything other than
// checkpoints and progress has changed. Listings of another incarnation are
// ignored, and those that are older than one that was applied: answers on different connections
// may overtake each other.
func (l *Ledger) Apply(s Listing) bool {
	if s.Incarnation != l.incarnation || s.ClockMS > 0 && s.ClockMS < l.listedMS {
		return false
	}
	l.listedMS = max(l.listedMS, s.ClockMS)
	l.cleared = nil
	changed := l.applyRuns(s) || l.truncated != s.Truncated
	l.truncated = s.Truncated
	for _, e := range s.Ended {
		if e.Number <= l.lastEnd {
			continue
		}
		l.lastEnd = e.Number
		l.ends = append(l.ends, e)
		if r := l.runs[e.Task]; r != nil && r.Attempt == e.Attempt {
			delete(l.runs, e.Task)
		}
		changed = true
	}
	return l.dropMissing(s) || changed
}

// applyRuns adds and confirms the runs that a listing shows. It skips attempts
// older than the one in the ledger.
func (l *Ledger) applyRuns(s Listing) bool {
	changed := false
	for _, v := range s.Running {
		r := l.runs[v.Task]
		if r == nil && l.endedSince(v) {
			continue
		}
		if r == nil || r.Attempt < v.Attempt {
			l.Begin(v.Task, v.Attempt, v.Size, time.Time{})
			r = l.runs[v.Task]
		}
		if r.Attempt != v.Attempt {
			continue
		}
		if !r.confirmed {
			// A listing that was requested earlier may still arrive; it must not
			// remove this run.
			l.confirmations++
			r.confirmed = true
			r.confirmedAt = l.confirmations
			changed = true
		}
		r.Checkpoint = v.Checkpoint
		r.ProgressPercent = v.ProgressPercent
	}
	return changed
}

// endedSince reports whether a run shown by an outdated listing has ended
// meanwhile.
func (l *Ledger) endedSince(v Run) bool {
	return slices.ContainsFunc(l.ends, func(e End) bool {
		return e.Task == v.Task && e.Attempt >= v.Attempt
	})
}

// dropMissing removes runs that the listing lacks, provided that it would show
// them: confirmed runs if it was requested after the confirmation, others if it
// was requested under a higher token than that of their start, which can no longer
// take effect. A truncated or incomplete listing shows nothing of the kind: the missing run may be
// among those that it leaves out.
func (l *Ledger) dropMissing(s Listing) bool {
	if s.Truncated || s.Incomplete {
		return false
	}
	changed := false
	for t, r := range l.runs {
		if slices.ContainsFunc(s.Running, func(v Run) bool { return v.Task == t && v.Attempt == r.Attempt }) {
			continue
		}
		wouldBeListed := r.confirmed && r.confirmedAt <= s.Confirmations
		fenced := !r.confirmed && r.token < s.Token
		if wouldBeListed || fenced {
			delete(l.runs, t)
			changed = true
		}
	}
	return changed
}

// Acknowledge acknowledges ends up to n of an incarnation: the scheduler has recorded
// them, and the ledger drops them.
func (l *Ledger) Acknowledge(incarnation, n int64) {
	if incarnation != l.incarnation || n <= l.ackedThrough {
		return
	}
	l.ackedThrough = n
	l.ends = slices.DeleteFunc(l.ends, func(e End) bool { return e.Number <= n })
}

// Clear removes all runs, because their leases have expired.
func (l *Ledger) Clear() {
	l.cleared = append(l.cleared, l.Runs()...)
	l.runs = nil
}

// HasAttempt reports whether a run of this attempt of the task may exist.
func (l *Ledger) HasAttempt(t graph.Task, attempt int) bool {
	r := l.runs[t]
	return r != nil && r.Attempt == attempt
}

// HasOtherAttempt reports whether a run of another attempt of the task may exist.
func (l *Ledger) HasOtherAttempt(t graph.Task, attempt int) bool {
	r := l.runs[t]
	return r != nil && r.Attempt != attempt
}

// Runs returns all runs that may exist, ordered by task name.
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

// Ends returns the ends that are not acknowledged yet, oldest first.
func (l *Ledger) Ends() []End { return slices.Clone(l.ends) }

// Used returns the capacity that all runs that may exist occupy.
func (l *Ledger) Used() graph.Size {
	var z graph.Size
	for _, r := range l.runs {
		z = z.Add(r.Size)
	}
	return z
}

// Idle reports whether no run may exist and all ends are acknowledged.
func (l *Ledger) Idle() bool { return len(l.runs) == 0 && len(l.ends) == 0 && !l.truncated }
