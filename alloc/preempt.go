package alloc

import (
	"cmp"
	"slices"
	"time"

	"hemlockhinge/graph"
)

// Group is what stops together: a gang, or one task, that runs now.
type Group struct {
	// Parts is what the group takes of each worker, by the worker's index.
	Parts map[int]graph.Size
	// Urgent groups give way only to claims, and only when they are borrowed.
	Urgent   bool
	Borrowed bool
	// Fixed groups never give way.
	Fixed bool
	// Cost is the work that is lost when the group stops now.
	Cost float64
	// Stopping groups have been told to stop; their room is Coming.
	Stopping bool
	// Remaining is how long the group still runs; Timed says that it is known.
	Remaining time.Duration
	Timed     bool
	// Expected is how long the group is expected to run on.
	Expected time.Duration
}

// endsWithin reports whether the group ends by itself soon enough, so that
// nothing has to be stopped.
func (g *Group) endsWithin(d time.Duration) bool { return g.Timed && g.Remaining <= d }

// givesWay reports whether a group may be stopped for a unit.
func (g *Group) givesWay(u *Unit) bool {
	switch {
	case !u.Urgent || g.Fixed:
		return false
	case !g.Urgent:
		return true
	}
	return u.Claim && g.Borrowed
}

// maxLoss is how much work an urgent unit may have thrown away, as a multiple of its
// own.
const maxLoss = 2

// worth reports whether a unit may have so much work thrown away. What a customer is
// guaranteed has no such bound.
func (u *Unit) worth(cost float64) bool {
	return u.Claim || u.Work == 0 || cost <= maxLoss*u.Work
}

// plan is a way to make room for a unit.
type plan struct {
	at    []int
	evict []int
	cost  float64
}

// makeRoom finds the cheapest set of groups whose stop lets a unit start, and
// where it would then start.
func makeRoom(w []Worker, g []Group, u *Unit) (plan, bool) {
	if u.Step.OneRack && len(u.Tasks) > 1 {
		best, found := plan{}, false
		for _, r := range racks(w, u) {
			p, ok := evictions(w, g, u, func(v *Worker) bool { return v.Rack == r })
			if ok && (!found || p.cost < best.cost) {
				best, found = p, true
			}
		}
		if found {
			return best, true
		}
	}
	return evictions(w, g, u, func(*Worker) bool { return true })
}

// evictions places the unit's tasks one by one, each where it costs least.
func evictions(w []Worker, g []Group, u *Unit, ok func(*Worker) bool) (plan, bool) {
	free := make([]graph.Size, len(w))
	for i := range w {
		free[i] = w[i].Free.Add(w[i].Coming)
	}
	var p plan
	gone := make([]bool, len(g))
	held := map[int]int{}
	for k, n := range u.Held {
		held[k] = n
	}
	for range u.Tasks {
		best, list, cost := -1, []int(nil), 0.0
		for i := range w {
			full := u.Step.MaxPerWorker > 0 && held[i] >= u.Step.MaxPerWorker
			if full || !usable(w, i, u) || !ok(&w[i]) {
				continue
			}
			l, c, fits := cheapest(g, gone, i, free[i], u)
			if fits && (best < 0 || c < cost) {
				best, list, cost = i, l, c
			}
		}
		if best < 0 {
			return plan{}, false
		}
		for _, k := range list {
			gone[k] = true
			p.evict = append(p.evict, k)
			for i, z := range g[k].Parts {
				free[i] = free[i].Add(z)
			}
		}
		p.cost += cost
		free[best] = free[best].Sub(u.Step.Size)
		held[best]++
		p.at = append(p.at, best)
	}
	return p, true
}

// cheapest returns the groups to stop on a worker so that one task fits.
func cheapest(g []Group, gone []bool, worker int, free graph.Size, u *Unit) (list []int, cost float64, ok bool) {
	if free.Fits(u.Step.Size) {
		return nil, 0, true
	}
	var may []int
	for i := range g {
		_, here := g[i].Parts[worker]
		if here && !gone[i] && !g[i].Stopping && (g[i].givesWay(u) || g[i].endsWithin(u.Slack)) {
			may = append(may, i)
		}
	}
	slices.SortFunc(may, func(a, b int) int { return cmp.Compare(g[a].price(u), g[b].price(u)) })
	for _, i := range may {
		if free.Fits(u.Step.Size) {
			break
		}
		list = append(list, i)
		free = free.Add(g[i].Parts[worker])
	}
	if !free.Fits(u.Step.Size) {
		return nil, 0, false
	}
	// Drop, the dearest first, what the others make needless.
	for k := len(list) - 1; k >= 0; k-- {
		if rest := free.Sub(g[list[k]].Parts[worker]); rest.Fits(u.Step.Size) {
			free = rest
			list = slices.Delete(list, k, k+1)
		}
	}
	for _, i := range list {
		cost += g[i].price(u)
	}
	return list, cost, true
}

// urgentPrice is added for an urgent group: it is stopped only where no other
// way makes room.
const urgentPrice = 1e9

// price is what a group's stop costs in the choice among groups; nothing when it
// ends by itself in time.
func (g *Group) price(u *Unit) float64 {
	switch {
	case g.endsWithin(u.Slack):
		return 0
	case g.Urgent:
		return g.Cost + urgentPrice
	}
	return g.Cost
}
