// Package alloc places tasks on workers and selects what to preempt for them.
//
// A Unit is a set of tasks that must start together: a whole gang, or one task.
// Decide visits the units in the order of their rank and places each by best fit.
// It reads no clock and does no I/O.
//
// # Usage
//
//	d := alloc.Decide(workers, groups, units)
//	for _, p := range d.Start { ... }
package alloc

import (
	"cmp"
	"slices"
	"time"

	"hemlockhinge/graph"
)

// Worker is a worker that may run tasks.
type Worker struct {
	ID      string
	Rack    string
	Service string
	Labels  []string
	Total   graph.Size
	// Free is the capacity that no run occupies.
	Free graph.Size
	// Releasing is the capacity that groups which are being stopped will free.
	Releasing graph.Size
	// RunsLatencyTasks is set if the worker runs tasks with a response-time target. They
	// and best-effort tasks disturb each other, so the two kinds never share a
	// worker.
	RunsLatencyTasks bool
	// RunsBestEffort is set if the worker runs best-effort tasks.
	RunsBestEffort bool
	// Unschedulable excludes the worker from new placements.
	Unschedulable bool
	// KeepApart excludes the worker from new placements while a unit with Apart set has just
	// started there.
	KeepApart bool
	// Leaving means that the worker shuts down, and LeavesIn is for how long it still
	// stays at least.
	Leaving  bool
	LeavesIn time.Duration
	// FailureScore rises with recent failures of the worker; workers with a lower value
	// are preferred.
	FailureScore int
	// Outlier means that the worker fails or is slow beside the others of its service. Units
	// are placed there only as a last resort.
	Outlier bool
	// Speed is the speed relative to the service's normal one; 0 means 1.
	Speed float64

	// extra is the free capacity that no reservation will need, available to units
	// that may still run when a reservation starts (the "extra nodes" of EASY
	// backfilling).
	extra graph.Size
	// placed means that this Decide has placed a unit on the worker.
	placed bool
	// apartGroup is the ApartGroup of the units with Apart set that this Decide has placed here.
	apartGroup int
	// speedClass is the slowest speed among those that count as equal to the worker's.
	speedClass float64
}

// accepts reports whether the worker may be given a unit beside what starts there.
func (v *Worker) accepts(u *Unit) bool {
	return v.holdsGroup(u) || !v.KeepApart && (!u.Apart || !v.placed)
}

// holdsGroup reports whether this Decide has placed units of the unit's apart group on the worker.
func (v *Worker) holdsGroup(u *Unit) bool { return u.ApartGroup != 0 && v.apartGroup == u.ApartGroup }

// freeFor returns the capacity that a unit may use on the worker now.
func (v *Worker) freeFor(u *Unit) graph.Size {
	if u.extraOnly {
		return v.Free.Min(v.extra)
	}
	return v.Free
}

// Unit is a set of tasks that must start together.
type Unit struct {
	Job     string
	Service string
	Step    *graph.Step
	Tasks   []graph.Task
	// Rank orders the units; the lowest is placed first.
	Rank float64
	// RunningPerWorker counts, by worker index, the tasks of the same step and occurrence that
	// already run there. Units of one step share the map. Nil if the step does not
	// limit its tasks per worker.
	RunningPerWorker map[int]int
	// Urgent units may preempt others.
	Urgent bool
	// WithinGuarantee is set if the unit is within the guarantee of its customer.
	WithinGuarantee bool
	// Slack is how long the unit can wait without being late.
	Slack time.Duration
	// EndWait is how long the unit waits for groups that end on their own, rather than stop them;
	// zero means Slack. A shorter time leaves some of the slack for stopping them after all,
	// should they take longer than expected.
	EndWait time.Duration
	// Room holds the indexes of the workers on which an earlier decision made room for the
	// unit, nil if there are none. The unit keeps to them, so that no further groups are stopped
	// elsewhere.
	Room map[int]bool
	// NoPreemption forbids preemption for an urgent unit: it starts only on free
	// capacity.
	NoPreemption bool
	// Apart asks for workers on which nothing else is started at about the same time, because
	// a task of the unit may crash its worker. Workers with much free capacity are
	// preferred, since less is lost there.
	Apart bool
	// ApartGroup, if not 0, is a group of units with Apart set that may start on one worker
	// together.
	ApartGroup int
	// AllowedWorkers, if not nil, holds the indexes of the only workers that may run the
	// step.
	AllowedWorkers map[int]bool
	// AnyRack lifts the rack constraints: a one-rack gang may span racks, and a
	// unit may run outside the rack of its data.
	AnyRack bool
	// ExpectedRuntime is the expected run time of the unit.
	ExpectedRuntime time.Duration
	// IdleTime is how long the job of the unit has been runnable with none of its
	// tasks running.
	IdleTime time.Duration
	// Work is the work of the unit in core-seconds, comparable with Group.Cost; 0
	// if unknown.
	Work float64
	// Reserve asks for a reservation of future capacity if the unit cannot start
	// now.
	Reserve bool
	// MinSpeed is the slowest speed of workers at which the unit meets its objective; 0
	// means any. The unit takes slower workers only if no fast enough ones can be had.
	MinSpeed float64
	// WaitForSpeed lets the unit wait for fast enough workers while it has slack, instead
	// of starting on slower ones. A unit within its guarantee must get it only while there
	// is time left for preemption on slower workers.
	WaitForSpeed bool
	// Uneven is set for all units of a service whose workers differ much in speed. Those
	// without MinSpeed take the slowest workers first.
	Uneven bool

	// extraOnly restricts the unit to extra capacity, because it may still run
	// when a reservation starts.
	extraOnly bool
	// admitsOutliers lets the unit run on outliers.
	admitsOutliers bool
	// limit restricts the current attempt to place the unit by speed.
	limit speedLimit
	// neededSpeed is the speed above which workers are wasted on the unit.
	neededSpeed float64
}

// Placement starts task i of a unit on the worker with index At[i].
type Placement struct {
	Unit *Unit
	At   []int
}

// Preemption stops the group with index Group so that the unit For can start.
type Preemption struct {
	Group int
	For   *Unit
}

// Decision lists the units to start and the groups to stop for more urgent units. Room has the
// units for which capacity is withheld until groups have ended, and the workers of their tasks.
type Decision struct {
	Start []Placement
	Stop  []Preemption
	Room  []Placement
}

// Decide places the units in the order of their rank. For an urgent unit that does
// not fit, it selects groups to stop and withholds the capacity that the unit will
// use from the units after it. For the first other units that do not fit, it
// reserves future capacity; units after them may use that capacity only if they
// end before the reservation starts.
//
// A unit with MinSpeed starts on fast enough workers, stops groups there, or waits for
// them; otherwise it is placed at any speed, the fastest first.
//
// Decide sorts u, updates the capacity of the workers for what it places, withholds
// and stops, and marks the groups that it stops.
func Decide(w []Worker, g []Group, u []Unit) Decision {
	slices.SortStableFunc(u, func(a, b Unit) int { return cmp.Compare(a.Rank, b.Rank) })
	for i := range w {
		w[i].extra = w[i].Free
	}
	c := pass{
		preemptor:   newPreemptor(w, g),
		unplaceable: map[requirements]bool{},
		reserved:    map[requirements]bool{},
	}
	lightlyLoaded := lightlyLoadedServices(w)
	o := newOutliers(w)
	s := newSpeeds(w, u)
	for i := range u {
		v := &u[i]
		starved := lightlyLoaded[v.Service] && v.IdleTime >= maxStarvedTime
		s.setNeededSpeed(v)
		c.limit(v, speedLimit{}, starved)
		v.admitsOutliers = o.admitted(w, v, starved)
		if l, ok := s.fastLimit(v); ok {
			c.limit(v, l, starved)
			if c.try(v) {
				continue
			}
			if v.waitsForSpeed() {
				c.reserve(v)
				continue
			}
		}
		if v.usesSpeed() {
			c.limit(v, v.anySpeed(), starved)
		}
		if !c.try(v) {
			c.reserve(v)
		}
	}
	return c.decision
}

// pass is the state of one Decide.
type pass struct {
	decision  Decision
	backfill  backfill
	preemptor *preemptor
	// unplaceable holds requirements that do not fit on free capacity, and reserved those
	// for which a reservation was tried.
	unplaceable map[requirements]bool
	reserved    map[requirements]bool
}

// try starts a unit, or selects groups to stop for it, within the limit of its current
// attempt, and reports whether it did.
func (c *pass) try(u *Unit) bool {
	// Free capacity only shrinks: requirements that could not be met once
	// cannot be met by a later unit either.
	z := requirementsOf(u)
	if !c.unplaceable[z] {
		if c.decision.start(c.preemptor, u) {
			return true
		}
		c.unplaceable[z] = !u.boundToWorkers()
	}
	return u.mayPreempt() && c.decision.preempt(c.preemptor, u)
}

// reserve reserves future capacity for a unit that asks for it.
func (c *pass) reserve(u *Unit) {
	if !u.Reserve {
		return
	}
	if z := requirementsOf(u); !c.reserved[z] {
		c.reserved[z] = true
		c.backfill.reserve(c.preemptor.workers, c.preemptor.groups, u)
	}
}

// start places a unit on free capacity, and reports whether it fits.
func (d *Decision) start(p *preemptor, u *Unit) bool {
	at, ok := place(p.workers, u)
	if !ok {
		return false
	}
	allocate(p.workers, u, at)
	p.workersChanged(at)
	d.Start = append(d.Start, Placement{
		Unit: u,
		At:   at,
	})
	return true
}

func (u *Unit) mayPreempt() bool { return u.Urgent && !u.NoPreemption }

// preempt selects groups to stop so that a unit can start, and withholds the
// capacity that the unit will use. It returns false if no selection makes the unit
// fit, or if the lost work is out of proportion.
func (d *Decision) preempt(p *preemptor, u *Unit) bool {
	v, ok := p.planInRoom(u)
	if !ok && p.knownToFail(u) {
		return false
	}
	if !ok {
		v, ok = p.plan(u)
	}
	if !ok || !u.acceptsCost(v.cost) {
		p.recordFailure(u)
		return false
	}
	for _, k := range v.stop {
		g := &p.groups[k]
		if g.endsWithin(u.endWait()) {
			continue
		}
		d.Stop = append(d.Stop, Preemption{
			Group: k,
			For:   u,
		})
		g.Stopping = true
		for n, z := range g.Usage {
			p.workers[n].Releasing = p.workers[n].Releasing.Add(z)
			p.changes[n]++
		}
	}
	if len(v.stop) > 0 {
		clear(p.failed)
	}
	allocate(p.workers, u, v.at)
	p.workersChanged(v.at)
	d.Room = append(d.Room, Placement{
		Unit: u,
		At:   v.at,
	})
	return true
}

// requirements holds all properties of a unit that decide whether it fits.
type requirements struct {
	service      string
	label        string
	dataRack     string
	size         graph.Size
	tasks        int
	maxPerWorker int
	oneRack      bool
	anyRack      bool
	extraOnly    bool
	apart        bool
	apartGroup   int
	outliers     bool
	limit        speedLimit
}

func requirementsOf(u *Unit) requirements {
	return requirements{
		service:      u.Service,
		label:        u.Step.Label,
		dataRack:     u.Step.DataRack,
		size:         u.Step.Size,
		tasks:        len(u.Tasks),
		maxPerWorker: u.Step.MaxPerWorker,
		oneRack:      u.Step.OneRack,
		anyRack:      u.AnyRack,
		extraOnly:    u.extraOnly,
		apart:        u.Apart,
		apartGroup:   u.ApartGroup,
		outliers:     u.admitsOutliers,
		limit:        u.limit,
	}
}

// boundToWorkers reports whether requirements do not tell all that decides where the unit
// fits, since particular workers may run its tasks or already do.
func (u *Unit) boundToWorkers() bool { return u.RunningPerWorker != nil || u.AllowedWorkers != nil }

// allocate subtracts the tasks of a unit from the free capacity of the workers.
func allocate(w []Worker, u *Unit, at []int) {
	for _, k := range at {
		w[k].Free = w[k].Free.Sub(u.Step.Size)
		w[k].extra = w[k].extra.Sub(u.Step.Size)
		w[k].RunsLatencyTasks = w[k].RunsLatencyTasks || u.Step.TailLatencyTarget > 0
		w[k].RunsBestEffort = w[k].RunsBestEffort || u.Step.BestEffort
		w[k].placed = true
		if u.Apart {
			w[k].KeepApart = true
			w[k].apartGroup = u.ApartGroup
		}
		if u.RunningPerWorker != nil {
			u.RunningPerWorker[k]++
		}
	}
}

// inRack reports whether the unit is a gang that asks for one rack.
func (u *Unit) inRack() bool { return u.Step.OneRack && len(u.Tasks) > 1 }

// place chooses a worker for each task of a unit, on free capacity only.
func place(w []Worker, u *Unit) ([]int, bool) {
	if u.inRack() {
		if at, ok := placeInRack(w, u); ok {
			return at, true
		}
		if u.limit.inOneRack || !u.AnyRack && fitsOneEmptyRack(w, u) {
			return nil, false
		}
	}
	if u.Step.DataRack != "" {
		if at, ok := assign(w, u, func(v *Worker) bool { return v.Rack == u.Step.DataRack }); ok {
			return at, true
		}
		if !u.AnyRack && fitsEmptyDataRack(w, u) {
			return nil, false
		}
	}
	return assign(w, u, func(*Worker) bool { return true })
}

// rackOrder returns all racks in the order in which to try them: the rack of the
// data first, then by ascending free accelerators.
func rackOrder(w []Worker, u *Unit) []string {
	free := map[string]int{}
	var names []string
	for i := range w {
		if _, ok := free[w[i].Rack]; !ok {
			names = append(names, w[i].Rack)
		}
		free[w[i].Rack] += w[i].Free.Accelerators
	}
	slices.SortFunc(names, func(a, b string) int {
		if a == u.Step.DataRack || b == u.Step.DataRack {
			if a == u.Step.DataRack {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(free[a], free[b]), cmp.Compare(a, b))
	})
	return names
}

// fitsOneEmptyRack reports whether some rack could hold the unit if nothing ran
// there.
func fitsOneEmptyRack(w []Worker, u *Unit) bool {
	n := map[string]int{}
	for i := range w {
		if eligible(w, i, u) {
			n[w[i].Rack] += taskCapacity(w[i].Total, u, 0)
		}
	}
	for _, v := range n {
		if v >= len(u.Tasks) {
			return true
		}
	}
	return false
}

// fitsEmptyDataRack reports whether the rack of the data could hold the unit if
// nothing ran there.
func fitsEmptyDataRack(w []Worker, u *Unit) bool {
	n := 0
	for i := range w {
		if eligible(w, i, u) && w[i].Rack == u.Step.DataRack {
			n += taskCapacity(w[i].Total, u, 0)
		}
	}
	return n >= len(u.Tasks)
}

// eligible reports whether worker i may run tasks of the unit, regardless of free
// capacity.
func eligible(w []Worker, i int, u *Unit) bool {
	v := &w[i]
	if u.AllowedWorkers != nil && !u.AllowedWorkers[i] {
		return false
	}
	if v.Unschedulable || v.Service != u.Service || v.Outlier && !u.admitsOutliers || u.limit.excludes(v, u) {
		return false
	}
	if u.Step.BestEffort && v.RunsLatencyTasks || u.Step.TailLatencyTarget > 0 && v.RunsBestEffort {
		return false
	}
	return u.Step.Label == "" || slices.Contains(v.Labels, u.Step.Label)
}

// taskCapacity returns how many tasks of a unit fit into z on a worker that
// already runs the given number of tasks of the same step.
func taskCapacity(z graph.Size, u *Unit, running int) int {
	n := len(u.Tasks)
	t := u.Step.Size
	for _, v := range [][2]int{{z.MilliCPU, t.MilliCPU}, {z.MemoryMiB, t.MemoryMiB}, {z.Accelerators, t.Accelerators}} {
		if v[1] > 0 {
			n = min(n, v[0]/v[1])
		}
	}
	if m := u.Step.MaxPerWorker; m > 0 {
		n = min(n, m-running)
	}
	return max(n, 0)
}

// candidate is a worker on which some tasks of a unit fit.
type candidate struct {
	worker int
	fits   int
}

// assign places the tasks on the workers that ok admits: those with the fewest
// recent failures first, then by speed if it matters to the unit, then by best fit.
func assign(w []Worker, u *Unit, ok func(*Worker) bool) ([]int, bool) {
	var candidates []candidate
	total := 0
	for i := range w {
		z := w[i].freeFor(u)
		if !z.Holds(u.Step.Size) || !eligible(w, i, u) || !w[i].accepts(u) || !ok(&w[i]) {
			continue
		}
		if n := taskCapacity(z, u, u.RunningPerWorker[i]); n > 0 {
			candidates = append(candidates, candidate{
				worker: i,
				fits:   n,
			})
			total += n
		}
	}
	if total < len(u.Tasks) {
		return nil, false
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		x, y := &w[a.worker], &w[b.worker]
		return cmp.Or(
			u.compareGroup(x, y),
			cmp.Compare(x.FailureScore, y.FailureScore),
			u.compareSpeed(x, y),
			u.compareLeftover(leftoverShare(x, u, a.fits), leftoverShare(y, u, b.fits)),
			cmp.Compare(x.ID, y.ID),
		)
	})
	if u.limit.order != ignoreSpeed {
		return takeBySpeed(w, u, candidates), true
	}
	return take(u, candidates, func(candidate) bool { return true }), true
}

// take assigns the tasks of a unit to the first candidates that ok admits, as far as they
// hold them.
func take(u *Unit, l []candidate, ok func(candidate) bool) []int {
	var at []int
	for _, c := range l {
		if !ok(c) {
			continue
		}
		for range min(c.fits, len(u.Tasks)-len(at)) {
			at = append(at, c.worker)
		}
	}
	return at
}

// compareGroup orders workers that hold units of the unit's apart group first, so that the group
// keeps few workers from others.
func (u *Unit) compareGroup(x, y *Worker) int {
	switch a, b := x.holdsGroup(u), y.holdsGroup(u); {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// compareLeftover orders workers by what stays free on them: the least first, by best fit,
// and the most first for units that are kept apart.
func (u *Unit) compareLeftover(a, b float64) int {
	if u.Apart {
		return cmp.Compare(b, a)
	}
	return cmp.Compare(a, b)
}

// leftoverShare adds up, over all resources, the share of the total that would
// stay free on the worker. A unit of a resource counts the more, the less of it
// the worker has.
func leftoverShare(v *Worker, u *Unit, fits int) float64 {
	z := v.Free.Sub(u.Step.Size.Times(min(fits, len(u.Tasks))))
	return ratio(z.MilliCPU, v.Total.MilliCPU) + ratio(z.MemoryMiB, v.Total.MemoryMiB) + ratio(z.Accelerators, v.Total.Accelerators)
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
