package alloc

import (
	"cmp"
	"slices"
	"time"

	"hemlockhinge/graph"
)

// preemptor plans preemptions within one Decide.
type preemptor struct {
	workers []Worker
	groups  []Group
	// sharesOn lists what groups occupy on each worker; nil until the first plan.
	sharesOn [][]share
	// changes counts the changes of each worker's capacity and groups.
	changes []int
	// last holds the options for the last unit; consecutive units are often tasks of
	// one step.
	last cachedOptions
	// failed holds the units of each kind for which no acceptable plan was found; it
	// is cleared whenever groups are stopped.
	failed map[preemptionKind][]failedPreemption
}

// share is the part of a group on one worker.
type share struct {
	group int
	size  graph.Size
}

// cachedOptions are the options for units of one kind that wait equally long for ends. Each is valid
// while its worker has not changed.
type cachedOptions struct {
	kind    preemptionKind
	endWait time.Duration
	options []option
}

// preemptionKind holds the properties of a unit that decide which groups may be stopped
// for it and where it fits, other than those in failedPreemption.
type preemptionKind struct {
	requirements
	withinGuarantee bool
}

// failedPreemption is how long a unit waits for ends, and its work, where no acceptable plan was
// found. A unit of the same kind with no more of either has none either.
type failedPreemption struct {
	endWait time.Duration
	work    float64
}

func newPreemptor(w []Worker, g []Group) *preemptor {
	return &preemptor{
		workers: w,
		groups:  g,
		changes: make([]int, len(w)),
		failed:  map[preemptionKind][]failedPreemption{},
	}
}

// indexGroups fills sharesOn. Most passes preempt nothing and need no index.
func (p *preemptor) indexGroups() {
	p.sharesOn = make([][]share, len(p.workers))
	for i, g := range p.groups {
		if g.NonPreemptible || g.Stopping {
			continue
		}
		for n, z := range g.Usage {
			p.sharesOn[n] = append(p.sharesOn[n], share{
				group: i,
				size:  z,
			})
		}
	}
}

// workersChanged is called when capacity of these workers was allocated.
func (p *preemptor) workersChanged(at []int) {
	for _, i := range at {
		p.changes[i]++
	}
}

// knownToFail reports whether a unit that asked for no less had no acceptable plan.
func (p *preemptor) knownToFail(u *Unit) bool {
	if u.boundToWorkers() {
		return false
	}
	return slices.ContainsFunc(p.failed[kindOf(u)], func(f failedPreemption) bool {
		return u.endWait() <= f.endWait && u.Work <= f.work
	})
}

func (p *preemptor) recordFailure(u *Unit) {
	k := kindOf(u)
	p.failed[k] = append(p.failed[k], failedPreemption{
		endWait: u.endWait(),
		work:    u.Work,
	})
}

func kindOf(u *Unit) preemptionKind {
	return preemptionKind{
		requirements:    requirementsOf(u),
		withinGuarantee: u.WithinGuarantee,
	}
}

// plan returns the cheapest plan it finds by which a unit can start. For a one-rack
// gang, it prefers the cheapest plan within a rack.
func (p *preemptor) plan(u *Unit) (preemptionPlan, bool) {
	if p.sharesOn == nil {
		p.indexGroups()
	}
	base := p.optionsFor(u)
	if u.inRack() {
		best, found := preemptionPlan{}, false
		for _, r := range rackOrder(p.workers, u) {
			v, ok := p.greedyPlan(u, base, func(v *Worker) bool { return v.Rack == r })
			if ok && (!found || v.cost < best.cost) {
				best, found = v, true
			}
		}
		if found || u.limit.inOneRack {
			return best, found
		}
	}
	return p.greedyPlan(u, base, func(*Worker) bool { return true })
}

// option is the cheapest way to fit one task of a unit on a worker: the groups to stop
// there.
type option struct {
	worker int
	free   graph.Size
	stop   []int
	cost   float64
	fits   bool
	// running is how many tasks of the step run on the worker.
	running int
	// changes is the number of changes of the worker that the option considers.
	changes int
}

// optionsFor returns the options of all workers that may run tasks of a unit, before any
// group is stopped for it.
func (p *preemptor) optionsFor(u *Unit) []option {
	if u.boundToWorkers() {
		return p.allOptions(u)
	}
	if k := kindOf(u); p.last.options == nil || k != p.last.kind || u.endWait() != p.last.endWait {
		p.last = cachedOptions{
			kind:    k,
			endWait: u.endWait(),
			options: p.allOptions(u),
		}
		return p.last.options
	}
	for i := range p.last.options {
		if o := &p.last.options[i]; o.changes != p.changes[o.worker] {
			*o = p.optionOn(o.worker, u)
		}
	}
	return p.last.options
}

func (p *preemptor) allOptions(u *Unit) []option {
	l := make([]option, 0, len(p.workers))
	for i := range p.workers {
		if eligible(p.workers, i, u) && p.workers[i].accepts(u) {
			l = append(l, p.optionOn(i, u))
		}
	}
	u.sortOptions(p.workers, l)
	return l
}

// optionOn returns the option of one worker.
func (p *preemptor) optionOn(worker int, u *Unit) option {
	o := option{
		worker:  worker,
		free:    p.workers[worker].Free.Add(p.workers[worker].Releasing),
		running: u.RunningPerWorker[worker],
		changes: p.changes[worker],
	}
	p.update(&o, u, nil)
	return o
}

// update chooses the groups to stop on the worker of an option, by ascending cost and
// not among those that are stopped already.
func (p *preemptor) update(o *option, u *Unit, stopped map[int]bool) {
	o.stop, o.cost, o.fits = nil, 0, false
	if u.Step.MaxPerWorker > 0 && o.running >= u.Step.MaxPerWorker {
		return
	}
	if o.free.Holds(u.Step.Size) {
		o.fits = true
		return
	}
	l, most := p.victims(o, u, stopped)
	if !most.Holds(u.Step.Size) {
		return
	}
	slices.SortFunc(l, func(a, b victim) int { return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.group, b.group)) })
	free := o.free
	n := 0
	for ; !free.Holds(u.Step.Size); n++ {
		free = free.Add(l[n].size)
	}
	l = l[:n]
	// Spare groups, the most expensive first, that the others make unnecessary.
	for k := len(l) - 1; k >= 0; k-- {
		if rest := free.Sub(l[k].size); rest.Holds(u.Step.Size) {
			free = rest
			l = slices.Delete(l, k, k+1)
		}
	}
	o.fits = true
	for _, v := range l {
		o.stop = append(o.stop, v.group)
		o.cost += v.cost
	}
}

// victim is a group that may be stopped on a worker, and what that frees there.
type victim struct {
	group int
	size  graph.Size
	cost  float64
}

// victims returns the groups that may be stopped for a unit on the worker of an option,
// and the capacity that is free once all of them have ended.
func (p *preemptor) victims(o *option, u *Unit, stopped map[int]bool) ([]victim, graph.Size) {
	var l []victim
	most := o.free
	for _, w := range p.sharesOn[o.worker] {
		g := &p.groups[w.group]
		if stopped[w.group] || g.Stopping || !g.preemptibleBy(u) && !g.endsWithin(u.endWait()) {
			continue
		}
		v := victim{
			group: w.group,
			size:  w.size,
			cost:  g.preemptionCost(u),
		}
		l = append(l, v)
		most = most.Add(v.size)
	}
	return l, most
}

// greedyPlan places the tasks of the unit one by one, each on the admitted worker
// where that costs least.
func (p *preemptor) greedyPlan(u *Unit, base []option, admits func(*Worker) bool) (preemptionPlan, bool) {
	if len(u.Tasks) == 1 {
		return singlePlan(base)
	}
	var options []option
	at := map[int]int{}
	for _, o := range base {
		if admits(&p.workers[o.worker]) {
			at[o.worker] = len(options)
			options = append(options, o)
		}
	}
	var v preemptionPlan
	stopped := map[int]bool{}
	for range u.Tasks {
		n := cheapest(options)
		if n < 0 {
			return preemptionPlan{}, false
		}
		o := &options[n]
		v.at = append(v.at, o.worker)
		v.cost += o.cost
		changed := map[int]bool{n: true}
		for _, k := range o.stop {
			stopped[k] = true
			v.stop = append(v.stop, k)
			for i, z := range p.groups[k].Usage {
				if m, ok := at[i]; ok {
					options[m].free = options[m].free.Add(z)
					changed[m] = true
				}
			}
		}
		o.free = o.free.Sub(u.Step.Size)
		o.running++
		for m := range changed {
			p.update(&options[m], u, stopped)
		}
	}
	return v, true
}

// singlePlan is greedyPlan for a unit of one task, which may run on any worker.
func singlePlan(base []option) (preemptionPlan, bool) {
	n := cheapest(base)
	if n < 0 {
		return preemptionPlan{}, false
	}
	return preemptionPlan{
		at:   []int{base[n].worker},
		stop: base[n].stop,
		cost: base[n].cost,
	}, true
}

// cheapest returns the index of the cheapest option by which a task fits, -1 for none.
func cheapest(l []option) int {
	best := -1
	for i := range l {
		if l[i].fits && (best < 0 || l[i].cost < l[best].cost) {
			best = i
		}
	}
	return best
}
