package leader

import (
	"time"

	"hemlockhinge/graph"
	"hemlockhinge/wire"
)

// Rules for blocking a worker on which runs fail.
const (
	// blockingFailedJobs is the number of failed jobs that blocks the worker.
	blockingFailedJobs = 2
	// failureMemory is how long a job's failure counts.
	failureMemory = 15 * time.Second
	// blockDuration is how long the worker is blocked after the last failure.
	blockDuration = 4 * time.Second
	// blockedScore is the failure score of a worker that gets no tasks.
	blockedScore = 1 << 10
)

// failureTracker detects a worker that fails whatever it is given. It counts failed
// jobs rather than failed runs, so that one faulty job does not block a worker.
type failureTracker struct {
	failedAt    map[string]time.Time
	lastFailure time.Time
}

// recordEnd updates the failures with the end of a run; a success clears them.
func (g *failureTracker) recordEnd(e graph.End, now time.Time) {
	switch e.Outcome {
	case graph.OutcomeDone:
		clear(g.failedAt)
	case graph.OutcomeFailed:
		if g.failedAt == nil {
			g.failedAt = map[string]time.Time{}
		}
		g.failedAt[e.Task.Job] = now
		g.lastFailure = now
	}
}

// recordRefusal counts a refused start as a failure if the worker refused for a
// reason other than a lack of capacity or time, so that the task is tried on other
// workers first.
func (g *failureTracker) recordRefusal(t graph.Task, c wire.Code, now time.Time) {
	if c == wire.CodeFailed {
		g.recordEnd(graph.End{
			Task:    t,
			Outcome: graph.OutcomeFailed,
		}, now)
	}
}

// score returns the number of jobs that recently failed at the worker, or
// blockedScore while the worker is to get no tasks.
func (g *failureTracker) score(now time.Time) int {
	n := 0
	for k, t := range g.failedAt {
		if now.Sub(t) > failureMemory {
			delete(g.failedAt, k)
			continue
		}
		n++
	}
	if n >= blockingFailedJobs && now.Sub(g.lastFailure) < blockDuration {
		return blockedScore
	}
	return n
}
