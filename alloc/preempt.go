package alloc

import (
	"cmp"
	"slices"
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
	case !u.Urgent || g.NonPreemptible:
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

// planPreemption returns the cheapest plan it finds by which a unit can start. For
// a one-rack gang, it prefers the cheapest plan within a rack.
func planPreemption(w []Worker, g []Group, u *Unit) (preemptionPlan, bool) {
	if u.Step.OneRack && len(u.Tasks) > 1 {
		best, found := preemptionPlan{}, false
		for _, r := range rackOrder(w, u) {
			p, ok := greedyPlan(w, g, u, func(v *Worker) bool { return v.Rack == r })
			if ok && (!found || p.cost < best.cost) {
				best, found = p, true
			}
		}
		if found {
			return best, true
		}
	}
	return greedyPlan(w, g, u, func(*Worker) bool { return true })
}

// greedyPlan places the tasks of the unit one by one, each on the admitted worker
// where that costs least.
func greedyPlan(w []Worker, g []Group, u *Unit, ok func(*Worker) bool) (preemptionPlan, bool) {
	free := make([]graph.Size, len(w))
	for i := range w {
		free[i] = w[i].Free.Add(w[i].Releasing)
	}
	var p preemptionPlan
	preempted := make([]bool, len(g))
	running := map[int]int{}
	for k, n := range u.RunningPerWorker {
		running[k] = n
	}
	for range u.Tasks {
		best, list, cost := -1, []int(nil), 0.0
		for i := range w {
			full := u.Step.MaxPerWorker > 0 && running[i] >= u.Step.MaxPerWorker
			if full || !eligible(w, i, u) || !ok(&w[i]) {
				continue
			}
			l, c, fits := cheapestVictims(g, preempted, i, free[i], u)
			if fits && (best < 0 || c < cost) {
				best, list, cost = i, l, c
			}
		}
		if best < 0 {
			return preemptionPlan{}, false
		}
		for _, k := range list {
			preempted[k] = true
			p.stop = append(p.stop, k)
			for i, z := range g[k].Usage {
				free[i] = free[i].Add(z)
			}
		}
		p.cost += cost
		free[best] = free[best].Sub(u.Step.Size)
		running[best]++
		p.at = append(p.at, best)
	}
	return p, true
}

// cheapestVictims returns the groups to stop on a worker so that one task fits,
// chosen by ascending cost.
func cheapestVictims(g []Group, preempted []bool, worker int, free graph.Size, u *Unit) (list []int, cost float64, ok bool) {
	if free.Holds(u.Step.Size) {
		return nil, 0, true
	}
	var victims []int
	for i := range g {
		_, here := g[i].Usage[worker]
		if here && !preempted[i] && !g[i].Stopping && (g[i].preemptibleBy(u) || g[i].endsWithin(u.Slack)) {
			victims = append(victims, i)
		}
	}
	slices.SortFunc(victims, func(a, b int) int { return cmp.Compare(g[a].preemptionCost(u), g[b].preemptionCost(u)) })
	for _, i := range victims {
		if free.Holds(u.Step.Size) {
			break
		}
		list = append(list, i)
		free = free.Add(g[i].Usage[worker])
	}
	if !free.Holds(u.Step.Size) {
		return nil, 0, false
	}
	// Spare groups, the most expensive first, that the others make unnecessary.
	for k := len(list) - 1; k >= 0; k-- {
		if rest := free.Sub(g[list[k]].Usage[worker]); rest.Holds(u.Step.Size) {
			free = rest
			list = slices.Delete(list, k, k+1)
		}
	}
	for _, i := range list {
		cost += g[i].preemptionCost(u)
	}
	return list, cost, true
}

// urgentCost is added for urgent groups, so that they are stopped only if there is
// no other way.
const urgentCost = 1e9

// preemptionCost weighs the group against other candidates; 0 if it ends on its
// own in time.
func (g *Group) preemptionCost(u *Unit) float64 {
	switch {
	case g.endsWithin(u.Slack):
		return 0
	case g.Urgent:
		return g.Cost + urgentCost
	}
	return g.Cost
}
