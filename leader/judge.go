package leader

import (
	"time"

	"hemlockhinge/graph"
	"hemlockhinge/wire"
)

// Rules by which a worker is taken for bad, and tried again.
const (
	badJobs     = 2
	badMemory   = 15 * time.Second
	badPause    = 4 * time.Second
	closedDoubt = 1 << 10
)

// judge tells from the ends at one worker whether it fails what it starts. Only
// failures of different jobs count, so that a bad job condemns no worker.
type judge struct {
	failed map[string]time.Time
	last   time.Time
}

// end takes note of the end of a run.
func (g *judge) end(e graph.End, now time.Time) {
	switch e.How {
	case graph.Done:
		clear(g.failed)
	case graph.Failed:
		if g.failed == nil {
			g.failed = map[string]time.Time{}
		}
		g.failed[e.Task.Job] = now
		g.last = now
	}
}

// refused takes note of a start that the worker has refused for no reason of room
// or time: the task is better tried elsewhere first.
func (g *judge) refused(t graph.Task, c wire.Code, now time.Time) {
	if c == wire.CodeFailed {
		g.end(graph.End{
			Task: t,
			How:  graph.Failed,
		}, now)
	}
}

// doubt returns how bad the worker seems: 0 for none, closedDoubt when it gets
// no tasks for a while.
func (g *judge) doubt(now time.Time) int {
	n := 0
	for k, t := range g.failed {
		if now.Sub(t) > badMemory {
			delete(g.failed, k)
			continue
		}
		n++
	}
	if n >= badJobs && now.Sub(g.last) < badPause {
		return closedDoubt
	}
	return n
}
