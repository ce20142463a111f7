package alloc

import (
	"time"

	"hemlockhinge/graph"
)

// Group is a set of running tasks that are stopped together: a gang, or one task.
type Group struct {
	// Usage is the capacity that the group occupies, by worker index.
	Usage map[int]graph.Size
	// Urgent groups can be preempted only by units within the guarantee of their
	// customer, and only if Borrowed.
	Urgent bool
	// Borrowed is set if the group runs beyond the guarantee of its customer.
	Borrowed bool
	// NonPreemptible groups are never preempted.
	NonPreemptible bool
	// BudgetUsed is set if the group was preempted as often as units without a guarantee may
	// do.
	BudgetUsed bool
	// Service, Step and Tasks tell what it takes to start the group elsewhere.
	Service string
	Step    *graph.Step
	Tasks   int
	// Cost is the work, in core-seconds, that is lost if the group is stopped now.
	Cost float64
	// Stopping is set once the group has been told to stop; what it frees is then
	// counted by its workers.
	Stopping bool
	// Remaining is how long the group still runs, if that is known.
	Remaining time.Duration
	// RemainingKnown is set if Remaining is known.
	RemainingKnown bool
	// ExpectedRemaining is how much longer the group is expected to run, by its
	// progress or by estimates.
	ExpectedRemaining time.Duration
}

// endsWithin reports whether the group is known to end on its own within d, so
// that it need not be stopped.
func (g *Group) endsWithin(d time.Duration) bool { return g.RemainingKnown && g.Remaining <= d }

// preemptibleBy reports whether the group may be stopped for a unit.
func (g *Group) preemptibleBy(u *Unit) bool {
	switch {
	case !u.Urgent || g.NonPreemptible || g.BudgetUsed && !u.WithinGuarantee:
		return false
	case !g.Urgent:
		return true
	}
	return u.WithinGuarantee && g.Borrowed
}

// maxLossFactor bounds the work that preemption for an urgent unit may discard, as
// a multiple of the work of the unit.
const maxLossFactor = 2

// acceptsCost reports whether preemption for the unit may discard this much work.
// There is no bound for units within the guarantee of their customer, and for
// units of unknown work.
func (u *Unit) acceptsCost(cost float64) bool {
	return u.WithinGuarantee || u.Work == 0 || cost <= maxLossFactor*u.Work
}

// preemptionPlan lists the groups to stop for a unit, what that costs, and the
// worker of each of its tasks.
type preemptionPlan struct {
	at   []int
	stop []int
	cost float64
}

// urgentCost is added for urgent groups, so that they are stopped only if there is
// no other way.
const urgentCost = 1e9

// preemptionCost weighs the group against other candidates; 0 if it ends on its
// own in time.
func (g *Group) preemptionCost(u *Unit) float64 {
	switch {
	case g.endsWithin(u.endWait()):
		return 0
	case g.Urgent:
		return g.Cost + urgentCost
	}
	return g.Cost
}
