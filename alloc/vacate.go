package alloc

import (
	"time"

	"hemlockhinge/graph"
)

const (
	// endMargin is the time in which the end of a run is listed and reported.
	endMargin = 300 * time.Millisecond
	// earlyFactor times the time that a worker stays is what a group must still be
	// expected to run for to be stopped early.
	earlyFactor = 2
)

// Vacate returns the groups to stop now because a worker that they run on leaves before
// they end. It answers this pattern: workers are drained one after the other, or at short
// notice, under tasks that run longer than the notice, and everything that such a worker
// still runs is lost with it.
//
// A group that saves checkpoints runs on until stopTime, the time that a stop takes,
// before the first of its workers leaves: the checkpoint that it saves when it is stopped
// then loses nothing. Any other group loses all its work, so that stopping it in error is
// dear: early, it is stopped only if it is expected to run for far longer than its worker
// stays, and if there is room to start it elsewhere. Otherwise it is stopped stopTime
// before the worker leaves: what vanishes with a worker and its agent cannot start
// elsewhere before its leases have expired. A group that is expected to end in time runs
// on.
//
// Vacate updates the workers for the room that it finds and marks the groups that it
// stops.
func Vacate(w []Worker, g []Group, stopTime time.Duration) []int {
	var stop []int
	for i := range g {
		v := &g[i]
		left, leaving := v.timeLeft(w)
		if !leaving || v.Stopping || v.NonPreemptible || v.ExpectedRemaining+endMargin <= left {
			continue
		}
		early := left > stopTime
		if early && (v.Step.Checkpoints || v.ExpectedRemaining < earlyFactor*left || !v.takeRoom(w)) {
			continue
		}
		v.Stopping = true
		stop = append(stop, i)
	}
	return stop
}

// timeLeft returns how long the first worker of the group to leave stays, and whether any
// of them leaves.
func (g *Group) timeLeft(w []Worker) (left time.Duration, leaving bool) {
	for i := range g.Usage {
		if w[i].Leaving && (!leaving || w[i].LeavesIn < left) {
			left = w[i].LeavesIn
			leaving = true
		}
	}
	return left, leaving
}

// takeRoom allocates free capacity for the tasks of the group, and reports whether there
// is enough.
func (g *Group) takeRoom(w []Worker) bool {
	u := Unit{
		Service: g.Service,
		Step:    g.Step,
		Tasks:   make([]graph.Task, g.Tasks),
		AnyRack: true,
	}
	at, ok := place(w, &u)
	if ok {
		allocate(w, &u, at)
	}
	return ok
}
