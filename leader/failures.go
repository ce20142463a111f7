package leader

import (
	"time"

	"hemlockhinge/graph"
	"hemlockhinge/wire"
)

// Rules for setting a worker aside on which runs fail.
const (
	// outlierFailedJobs is the number of failed jobs that makes a worker an outlier.
	outlierFailedJobs = 2
	// failureMemory is how long a job's failure counts.
	failureMemory = 15 * time.Second
	// outlierDuration is how long after the last failure the worker is an outlier.
	outlierDuration = 4 * time.Second
	// outlierScore is the failure score of an outlier, which gets tasks only as a last
	// resort.
	outlierScore = 1 << 10
)

// failureTracker detects a worker that fails whatever it is given. It counts failed
// jobs rather than failed runs, so that one faulty job makes no outlier.
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
// outlierScore while the worker is an outlier.
func (g *failureTracker) score(now time.Time) int {
	n := 0
	for k, t := range g.failedAt {
		if now.Sub(t) > failureMemory {
			delete(g.failedAt, k)
			continue
		}
		n++
	}
	if n >= outlierFailedJobs && now.Sub(g.lastFailure) < outlierDuration {
		return outlierScore
	}
	return n
}
