package leader

import (
	"time"
)

// Rules by which the pace of a run is measured.
const (
	fullPercent = 100
	paceWindow  = 900 * time.Millisecond
	// minPercent is the progress from which a run's time can be told.
	minPercent = 4
)

// pace is how a run comes along, from the progress that its worker reports.
type pace struct {
	percent int
	at      time.Time
	// rate is the progress in percent a second over the newest window; valid
	// says that there was one.
	rate  float64
	valid bool
	from  int
	since time.Time
}

// see takes in the progress at a moment.
func (p *pace) see(percent int, now time.Time) {
	if p.since.IsZero() || percent < p.from {
		p.from = percent
		p.since = now
	}
	if d := now.Sub(p.since); d >= paceWindow {
		p.rate = float64(percent-p.from) / d.Seconds()
		p.valid = true
		p.from = percent
		p.since = now
	}
	p.percent = percent
	p.at = now
}

// remaining returns how long a run that has begun at a moment still takes, at
// the pace of its whole time; false while that cannot be told.
func (p *pace) remaining(begun, now time.Time) (time.Duration, bool) {
	if p.percent < minPercent || p.at.IsZero() {
		return 0, false
	}
	ran := p.at.Sub(begun)
	total := time.Duration(float64(ran) * fullPercent / float64(p.percent))
	return max(total-now.Sub(begun), 0), true
}

// wholeTime returns how long a whole run takes at the newest pace; false while
// that cannot be told.
func (p *pace) wholeTime() (time.Duration, bool) {
	if !p.valid {
		return 0, false
	}
	if p.rate <= 0 {
		return time.Hour, true
	}
	return time.Duration(fullPercent / p.rate * float64(time.Second)), true
}
