package leader

import (
	"time"
)

// Rules for estimating run times from progress.
const (
	fullPercent = 100
	rateWindow  = 900 * time.Millisecond
	// minPercent is the progress from which the remaining time is estimated.
	minPercent = 4
)

// runProgress follows the progress that a worker reports for a run.
type runProgress struct {
	percent    int
	observedAt time.Time
	// rate is the progress in percent per second over the last window of rateWindow or
	// more, at most. It is valid if hasRate is set.
	rate          float64
	hasRate       bool
	windowPercent int
	windowStart   time.Time
	// The pace is the progress since firstPercent, by the clock of the agent, which dates
	// its listings.
	firstPercent  int
	firstListedMS int64
	lastPercent   int
	lastListedMS  int64
	// atWorkSinceMS is since when listings show a run that lasts at work, 0 while they do not.
	atWorkSinceMS int64
}

// Least progress and time from which a pace tells the run time: progress comes in whole
// percents, at the moments at which the agent lists its worker's runs.
const (
	minPacePercent = 6
	minPaceMS      = 300
)

// observePace records the progress in a listing that the agent dated.
func (p *runProgress) observePace(percent int, listedMS int64) {
	if listedMS <= p.lastListedMS || percent >= fullPercent {
		return
	}
	if percent < p.lastPercent {
		p.firstListedMS = 0
	}
	if p.firstListedMS == 0 && percent > 0 {
		p.firstPercent, p.firstListedMS = percent, listedMS
	}
	p.lastPercent, p.lastListedMS = percent, listedMS
}

// observeAtWork records whether a run that lasts is at work in a listing that the agent dated, and
// returns for how long it has been so in all listings.
func (p *runProgress) observeAtWork(atWork bool, listedMS int64) time.Duration {
	switch {
	case !atWork:
		p.atWorkSinceMS = 0
		return 0
	case p.atWorkSinceMS == 0:
		p.atWorkSinceMS = listedMS
	}
	return time.Duration(listedMS-p.atWorkSinceMS) * time.Millisecond
}

// forgetPace forgets the pace, after a restart of the agent has reset the clock.
func (p *runProgress) forgetPace() {
	p.firstListedMS, p.lastListedMS, p.lastPercent = 0, 0, 0
	p.atWorkSinceMS = 0
}

// paceTotal extrapolates the whole run time from the pace. It returns false while too little
// progress was listed.
func (p *runProgress) paceTotal() (time.Duration, bool) {
	d := p.lastListedMS - p.firstListedMS
	if p.firstListedMS == 0 || d < minPaceMS || p.lastPercent-p.firstPercent < minPacePercent {
		return 0, false
	}
	return time.Duration(d) * time.Millisecond * fullPercent / time.Duration(p.lastPercent-p.firstPercent), true
}

// observe records the progress at a moment.
func (p *runProgress) observe(percent int, now time.Time) {
	if p.windowStart.IsZero() || percent < p.windowPercent {
		p.windowPercent = percent
		p.windowStart = now
	}
	if d := now.Sub(p.windowStart); d >= rateWindow {
		// Progress of less than one percent does not show, so a window without any goes on.
		p.rate = float64(max(percent-p.windowPercent, 1)) / d.Seconds()
		p.hasRate = true
		if percent > p.windowPercent {
			p.windowPercent = percent
			p.windowStart = now
		}
	}
	p.percent = percent
	p.observedAt = now
}

// remaining estimates how much longer a run takes, from its average speed since it
// started. It returns false if the progress is too small to tell.
func (p *runProgress) remaining(begun, now time.Time) (time.Duration, bool) {
	if p.percent < minPercent || p.observedAt.IsZero() {
		return 0, false
	}
	ran := p.observedAt.Sub(begun)
	total := time.Duration(float64(ran) * fullPercent / float64(p.percent))
	return max(total-now.Sub(begun), 0), true
}

// totalTime estimates how long the whole run takes at the speed of the last window. It
// returns false before the first complete window.
func (p *runProgress) totalTime() (time.Duration, bool) {
	if !p.hasRate {
		return 0, false
	}
	return time.Duration(fullPercent / p.rate * float64(time.Second)), true
}
