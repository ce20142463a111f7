package gang

import (
	"time"

	"hemlockhinge/wire"
)

// Word is the state of one part of an attempt, as a scheduler knows it.
type Word struct {
	// Phase and Started are from the last report of the part's agent.
	Phase   wire.Phase
	Started bool
	// SaidAt is the time of that report; zero means that there was none.
	SaidAt time.Time
	// Successor means that the agent runs as a later incarnation, which stopped
	// all tasks of the earlier one before it announced itself.
	Successor bool
	// HeardAt is when any entry last received a message from the agent.
	HeardAt time.Time
}

// confirmedEnded reports whether the agent has confirmed that no task of the part
// runs.
func (w Word) confirmedEnded() bool {
	if w.SaidAt.IsZero() {
		return false
	}
	return w.Successor || w.Phase == wire.PhaseEnded || w.Phase == wire.PhaseNone
}

// Fate is the state of an attempt, as far as a scheduler can infer it.
type Fate uint8

// The states of an attempt.
const (
	// FateOpen means that the attempt may be running.
	FateOpen Fate = iota
	// FateNotRun means that the attempt is over and that no task of it ran.
	FateNotRun
	// FateOver means that the attempt is over and that tasks may have run.
	FateOver
)

// Conclude infers the state of an attempt that was committed at the given time
// and whose lead does not report. The attempt is over in each of three cases: all
// parts are confirmed to have ended; one is, and the leases of all others have run
// out since; or no entry has heard from any part for the isolation time and the
// leases after it.
func Conclude(now, committed time.Time, w []Word) Fate {
	if now.Sub(committed) < Window+Margin {
		return FateOpen
	}
	all, firstEnded := true, time.Time{}
	noContact := true
	for _, v := range w {
		if v.confirmedEnded() {
			if firstEnded.IsZero() || v.SaidAt.Before(firstEnded) {
				firstEnded = v.SaidAt
			}
		} else {
			all = false
		}
		if now.Sub(v.HeardAt) < Isolation+Longest {
			noContact = false
		}
	}
	switch {
	case all && noTaskRan(w):
		return FateNotRun
	case all:
		return FateOver
	case !firstEnded.IsZero() && now.Sub(firstEnded) >= Longest && now.Sub(committed) >= Window+Longest:
		return FateOver
	case noContact && now.Sub(committed) >= Isolation+Longest:
		return FateOver
	}
	return FateOpen
}

// noTaskRan reports whether every part has confirmed that no task ran. A later
// incarnation cannot confirm this for the earlier one.
func noTaskRan(w []Word) bool {
	for _, v := range w {
		if v.Started || v.Successor || v.Phase == wire.PhaseNone {
			return false
		}
	}
	return true
}
