package alloc

import "time"

// MinStall is how long a run must stand still before it counts as stalled: longer than the
// interval between two reports of its progress.
const MinStall = 1200 * time.Millisecond

// RestartStalled returns the groups to stop now because a run of theirs stands still. It
// answers this pattern: the tasks on some workers stop making progress, for a time that
// nobody knows, while the workers go on answering; one such member holds up its whole gang.
//
// A group is restarted once it has stood still for as long as it takes to repeat the work
// that a restart loses. It then takes at most about twice as long as under the better of
// the two choices, however long the worker would stand still. It is only stopped if there
// is room for it elsewhere.
//
// RestartStalled updates the workers for the room that it finds and marks the groups that
// it stops.
func RestartStalled(w []Worker, g []Group) []int {
	var stop []int
	for i := range g {
		v := &g[i]
		if v.Stopping || v.NonPreemptible || v.Stalled < max(MinStall, v.LostByRestart) || !v.takeRoom(w) {
			continue
		}
		v.Stopping = true
		stop = append(stop, i)
	}
	return stop
}
