package alloc

import "time"

// endWait returns how long the unit waits for groups that end on their own.
func (u *Unit) endWait() time.Duration {
	if u.EndWait > 0 {
		return u.EndWait
	}
	return u.Slack
}

// planInRoom returns a plan on the workers on which an earlier decision made room for the unit. A
// decision that chose anew each time would stop groups on other workers whenever their costs
// change, before the ones that were stopped first have ended.
func (p *preemptor) planInRoom(u *Unit) (preemptionPlan, bool) {
	if len(u.Room) == 0 {
		return preemptionPlan{}, false
	}
	if p.sharesOn == nil {
		p.indexGroups()
	}
	var l []option
	for _, o := range p.optionsFor(u) {
		if u.Room[o.worker] {
			l = append(l, o)
		}
	}
	v, ok := p.greedyPlan(u, l, func(*Worker) bool { return true })
	return v, ok && u.acceptsCost(v.cost)
}
