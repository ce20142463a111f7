package fence

import (
	"slices"
	"time"
)

// Rules for attributing the crash of a worker to its runs.
const (
	// crashWindow is how long after its start a run may have crashed its worker. It allows
	// for members of a gang, which work only once the last of them is there.
	crashWindow = 5 * time.Second
	// startSpread is the time within which starts count as made together.
	startSpread = time.Second
)

// CrashSuspects returns the runs that may have crashed their worker, of all that existed when
// it crashed: those that were started last, if the worker last answered within crashWindow of
// their start. Which of several it was shows only when they are started apart.
func CrashSuspects(runs []Run, lastAnswer time.Time) []Run {
	var latest time.Time
	for _, r := range runs {
		if r.BegunAt.After(latest) {
			latest = r.BegunAt
		}
	}
	if latest.IsZero() || lastAnswer.Sub(latest) > crashWindow {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(runs), func(r Run) bool { return latest.Sub(r.BegunAt) > startSpread })
}
