package gang

import (
	"time"

	"hemlockhinge/wire"
)

// PartState is the state of one part of an attempt, as a scheduler knows it.
type PartState struct {
	// Phase, and MayHaveRun, which says that a task may have run, are from the last
	// report of the part's agent.
	Phase      wire.Phase
	MayHaveRun bool
	// ReportedAt is the time of that report; zero means that there was none.
	ReportedAt time.Time
	// LaterIncarnation means that the agent runs as a later incarnation, which stopped
	// all tasks of the earlier one before it announced itself.
	LaterIncarnation bool
	// LastContact is when any entry last received a message from the agent.
	LastContact time.Time
}

// confirmedEnded reports whether the agent has confirmed that no task of the part
// runs.
func (w PartState) confirmedEnded() bool {
	if w.ReportedAt.IsZero() {
		return false
	}
	return w.LaterIncarnation || w.Phase == wire.PhaseEnded || w.Phase == wire.PhaseNone
}

// AttemptState is the state of an attempt, as far as a scheduler can infer it.
type AttemptState uint8

// The states of an attempt.
const (
	// AttemptOpen means that the attempt may be running.
	AttemptOpen AttemptState = iota
	// AttemptNotRun means that the attempt is over and that no task of it ran.
	AttemptNotRun
	// AttemptOver means that the attempt is over and that tasks may have run.
	AttemptOver
)

// InferState infers the state of an attempt that was committed at the given time
// and whose lead does not report. The attempt is over in each of three cases: all
// parts are confirmed to have ended; one is, and the leases of all others have
// expired since; or no entry has received a message from any part for
// IsolationTimeout plus MaxStopDelay.
func InferState(now, committed time.Time, w []PartState) AttemptState {
	if now.Sub(committed) < StartWindow+ClockMargin {
		return AttemptOpen
	}
	allEnded, firstEnded := true, time.Time{}
	noContact := true
	for _, v := range w {
		if v.confirmedEnded() {
			if firstEnded.IsZero() || v.ReportedAt.Before(firstEnded) {
				firstEnded = v.ReportedAt
			}
		} else {
			allEnded = false
		}
		if now.Sub(v.LastContact) < IsolationTimeout+MaxStopDelay {
			noContact = false
		}
	}
	switch {
	case allEnded && noTaskRan(w):
		return AttemptNotRun
	case allEnded:
		return AttemptOver
	case !firstEnded.IsZero() && now.Sub(firstEnded) >= MaxStopDelay && now.Sub(committed) >= StartWindow+MaxStopDelay:
		return AttemptOver
	case noContact && now.Sub(committed) >= IsolationTimeout+MaxStopDelay:
		return AttemptOver
	}
	return AttemptOpen
}

// noTaskRan reports whether every part has confirmed that no task ran. A later
// incarnation cannot confirm this for the earlier one.
func noTaskRan(w []PartState) bool {
	for _, v := range w {
		if v.MayHaveRun || v.LaterIncarnation || v.Phase == wire.PhaseNone {
			return false
		}
	}
	return true
}
