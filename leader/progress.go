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
