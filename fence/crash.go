package fence

import (
	"slices"
	"time"
)

// CrashWindow is how long after the start of a run its worker may last have answered if the
// run crashed it. Workers that crash for other reasons rarely do so that soon.
const CrashWindow = time.Second

// startSpread is the time within which starts count as made together.
const startSpread = time.Second

// CrashSuspects returns the runs that may have crashed their worker, of all that existed when
// it crashed: those that were started last, if the worker last answered within CrashWindow of
// their start. Which of several it was shows only when they are started apart.
func CrashSuspects(runs []Run, lastAnswer time.Time) []Run {
	var latest time.Time
	for _, r := range runs {
		if r.BegunAt.After(latest) {
			latest = r.BegunAt
		}
	}
	if latest.IsZero() || lastAnswer.Sub(latest) > CrashWindow {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(runs), func(r Run) bool { return latest.Sub(r.BegunAt) > startSpread })
}
