package order

import "time"

// MaxPreemptions is the preemption budget of a gang or single task: how often it may be stopped for
// units that are not guaranteed. It bounds how often jobs stop each other in turn.
const MaxPreemptions = 2

// Stop is a running group that would be stopped for a unit.
type Stop struct {
	// Item describes the group's job; its Remaining counts from now, without the work that
	// a stop loses.
	Item Item
	// Unsaved is the work of the group in core-seconds that a stop loses.
	Unsaved float64
	// Preemptions is how often the group has been stopped already.
	Preemptions int
}

// Gain returns the value in weighted core-seconds that a unit loses if it waits for d, and so
// gains if it starts at once.
func (p *Policy) Gain(i Item, d time.Duration) float64 { return i.delayCost(d) }

// Loss returns what is lost, in weighted core-seconds, if groups are stopped and their capacity
// is used for d: unsaved work that must be done again, and what their delay costs.
func (p *Policy) Loss(stops []Stop, d time.Duration) float64 {
	v := 0.0
	for n := range stops {
		s := &stops[n]
		v += s.Item.weight()*s.Unsaved + s.Item.delayCost(d+s.redoTime())
	}
	return v
}

// MayPreempt reports whether groups may be stopped for a unit that would otherwise wait for d.
// For a guaranteed unit any group without a guarantee may be stopped.
func (p *Policy) MayPreempt(i Item, d time.Duration, stops []Stop) bool {
	for n := range stops {
		s := &stops[n]
		if s.Item.Guaranteed || !i.Guaranteed && s.Preemptions >= MaxPreemptions {
			return false
		}
	}
	return i.Guaranteed || p.Gain(i, d) > p.Loss(stops, i.Remaining)
}

// redoTime returns how long the group runs to do its unsaved work again.
func (s *Stop) redoTime() time.Duration {
	if s.Item.Size <= 0 {
		return 0
	}
	return time.Duration(s.Unsaved / s.Item.Size * float64(time.Second))
}

// delayCost returns the value that a delay of d costs a job, in weighted core-seconds. Times
// are estimates, so a delay that takes half of the slack is counted as half of the loss. The
// value is that of a job of the queue's mean work, since groups of all queues are added up.
func (i *Item) delayCost(d time.Duration) float64 {
	v := i.value(i.Work)
	last := lateShare * v * lostPart(d, i.lateSlack())
	return last + (1-lateShare)*v*lostPart(d, i.slack())
}

// lostPart returns the part of what is lost at the end of the slack that a delay loses; nothing
// if it is lost already.
func lostPart(d, slack time.Duration) float64 {
	switch {
	case slack < 0 || d <= 0:
		return 0
	case d >= slack:
		return 1
	}
	return float64(d) / float64(slack)
}
