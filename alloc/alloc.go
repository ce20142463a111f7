// Package alloc decides which tasks start where, and what gives way.
//
// A Unit is what must start together: a whole gang, or one task. Decide goes
// through the units by their rank and places each on the workers that fit it
// best; it reads no clock and does no input or output.
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

// Worker is one worker that may take tasks. Free is what its runs leave.
type Worker struct {
	ID      string
	Rack    string
	Service string
	Labels  []string
	Total   graph.Size
	Free    graph.Size
	// Coming is what groups that are being stopped will leave.
	Coming graph.Size
	// Serving and Filling say that tasks with a target for their response
	// times, or tasks that fill what others leave, run there. They disturb one
	// another and are kept apart.
	Serving bool
	Filling bool
	// Closed workers take no new task.
	Closed bool
	// Doubt is higher for workers whose last tasks went badly.
	Doubt int

	// far is what units may take that run on when kept places are needed.
	far graph.Size
}

// room returns what a unit may take of a worker now.
func (v *Worker) room(u *Unit) graph.Size {
	if u.long {
		return v.Free.Min(v.far)
	}
	return v.Free
}

// Unit is what must start together.
type Unit struct {
	Job     string
	Service string
	Step    *graph.Step
	// Tasks are the tasks to start.
	Tasks []graph.Task
	// Rank orders units; lower ones come first.
	Rank float64
	// Held is how many tasks of the same step and occurrence each worker
	// already runs, by the worker's index. Units of one step share it.
	Held map[int]int
	// Urgent units may have others stopped; Claim ones are within what their
	// customer is guaranteed.
	Urgent bool
	Claim  bool
	// Slack is how long the unit can wait without being late.
	Slack time.Duration
	// Waits is set for urgent units that are to start only in free room.
	Waits bool
	// Allowed, if not nil, are the only workers that may run the step, by their
	// index.
	Allowed map[int]bool
	// Spread allows a gang that belongs into one rack to be spread.
	Spread bool
	// Runs is how long the unit is expected to run.
	Runs time.Duration
	// Idle is for how long the unit's job could have run and nothing of it did.
	Idle time.Duration
	// Work is what the unit does, in the measure of Group.Cost; 0 when unknown.
	Work float64
	// Reserve has room kept for the unit when it finds none.
	Reserve bool

	// long units run on when kept places are needed.
	long bool
}

// Placement starts each task of a unit on the worker of the same index in At.
type Placement struct {
	Unit *Unit
	At   []int
}

// Eviction stops a group, given by its index, so that a unit can start.
type Eviction struct {
	Group int
	For   *Unit
}

// Decision is what is to start, and what is to stop for more urgent units.
type Decision struct {
	Start []Placement
	Stop  []Eviction
}

// Decide places units in the order of their rank. An urgent unit that finds no
// room has groups stopped, and the room that it will take is kept from the units
// after it. For the first others that find none, room is kept in the future: units
// after them get it only if they are over by then. Free of the workers is reduced
// by what is placed or taken for urgent units.
func Decide(w []Worker, g []Group, u []Unit) Decision {
	slices.SortStableFunc(u, func(a, b Unit) int { return cmp.Compare(a.Rank, b.Rank) })
	for i := range w {
		w[i].far = w[i].Free
	}
	var d Decision
	var b backfill
	calm := calmServices(w)
	full := map[shape]bool{}
	kept := map[shape]bool{}
	for i := range u {
		v := &u[i]
		v.long = b.bars(v, calm[v.Service])
		// Room only shrinks, so a shape that found none finds none later.
		z := shapeOf(v)
		if !full[z] {
			if d.start(w, v) {
				continue
			}
			full[z] = v.Held == nil && v.Allowed == nil
		}
		if v.mayStop() && d.makeWay(w, g, v) {
			continue
		}
		if v.Reserve && !kept[z] {
			kept[z] = true
			b.keep(w, g, v)
		}
	}
	return d
}

// start places a unit and takes its room, if there is any.
func (d *Decision) start(w []Worker, u *Unit) bool {
	at, ok := place(w, u)
	if !ok {
		return false
	}
	take(w, u, at)
	d.Start = append(d.Start, Placement{
		Unit: u,
		At:   at,
	})
	return true
}

// mayStop reports whether groups may be stopped for a unit.
func (u *Unit) mayStop() bool { return u.Urgent && !u.Waits }

// makeWay has groups stopped so that a unit can start, and takes the room that it
// will have; false when there is no way that is worth it.
func (d *Decision) makeWay(w []Worker, g []Group, u *Unit) bool {
	p, ok := makeRoom(w, g, u)
	if !ok || !u.worth(p.cost) {
		return false
	}
	for _, k := range p.evict {
		if g[k].endsWithin(u.Slack) {
			continue
		}
		d.Stop = append(d.Stop, Eviction{
			Group: k,
			For:   u,
		})
		g[k].Stopping = true
		for n, z := range g[k].Parts {
			w[n].Coming = w[n].Coming.Add(z)
		}
	}
	take(w, u, p.at)
	return true
}

// shape is all that decides whether a unit finds room.
type shape struct {
	service string
	label   string
	rack    string
	size    graph.Size
	tasks   int
	most    int
	oneRack bool
	spread  bool
	long    bool
}

func shapeOf(u *Unit) shape {
	return shape{
		service: u.Service,
		label:   u.Step.Label,
		rack:    u.Step.DataRack,
		size:    u.Step.Size,
		tasks:   len(u.Tasks),
		most:    u.Step.MaxPerWorker,
		oneRack: u.Step.OneRack,
		spread:  u.Spread,
		long:    u.long,
	}
}

// take reduces the free room of workers by a unit's tasks.
func take(w []Worker, u *Unit, at []int) {
	for _, k := range at {
		w[k].Free = w[k].Free.Sub(u.Step.Size)
		w[k].far = w[k].far.Sub(u.Step.Size)
		w[k].Serving = w[k].Serving || u.Step.TailTarget > 0
		w[k].Filling = w[k].Filling || u.Step.Filler
		if u.Held != nil {
			u.Held[k]++
		}
	}
}

// place finds workers for all tasks of a unit.
func place(w []Worker, u *Unit) ([]int, bool) {
	if u.Step.OneRack && len(u.Tasks) > 1 {
		for _, r := range racks(w, u) {
			if at, ok := fill(w, u, func(v *Worker) bool { return v.Rack == r }); ok {
				return at, true
			}
		}
		if !u.Spread && rackCould(w, u) {
			return nil, false
		}
	}
	if u.Step.DataRack != "" {
		if at, ok := fill(w, u, func(v *Worker) bool { return v.Rack == u.Step.DataRack }); ok {
			return at, true
		}
		if !u.Spread && dataCould(w, u) {
			return nil, false
		}
	}
	return fill(w, u, func(*Worker) bool { return true })
}

// racks returns the racks, the data's own first, then the fullest first.
func racks(w []Worker, u *Unit) []string {
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

// rackCould reports whether some rack could hold the unit if it were empty.
func rackCould(w []Worker, u *Unit) bool {
	n := map[string]int{}
	for i := range w {
		if usable(w, i, u) {
			n[w[i].Rack] += capacity(w[i].Total, u, 0)
		}
	}
	for _, v := range n {
		if v >= len(u.Tasks) {
			return true
		}
	}
	return false
}

// dataCould reports whether the data's rack could hold the unit if it were
// empty.
func dataCould(w []Worker, u *Unit) bool {
	n := 0
	for i := range w {
		if usable(w, i, u) && w[i].Rack == u.Step.DataRack {
			n += capacity(w[i].Total, u, 0)
		}
	}
	return n >= len(u.Tasks)
}

func usable(w []Worker, i int, u *Unit) bool {
	v := &w[i]
	if u.Allowed != nil && !u.Allowed[i] {
		return false
	}
	if v.Closed || v.Service != u.Service {
		return false
	}
	if u.Step.Filler && v.Serving || u.Step.TailTarget > 0 && v.Filling {
		return false
	}
	return u.Step.Label == "" || slices.Contains(v.Labels, u.Step.Label)
}

// capacity returns how many tasks of a unit fit into a size.
func capacity(z graph.Size, u *Unit, held int) int {
	n := len(u.Tasks)
	t := u.Step.Size
	for _, v := range [][2]int{{z.MilliCPU, t.MilliCPU}, {z.MemoryMiB, t.MemoryMiB}, {z.Accelerators, t.Accelerators}} {
		if v[1] > 0 {
			n = min(n, v[0]/v[1])
		}
	}
	if m := u.Step.MaxPerWorker; m > 0 {
		n = min(n, m-held)
	}
	return max(n, 0)
}

// fill spreads the tasks over the workers that ok allows: those without doubt
// first, then the ones that they leave the least room on.
func fill(w []Worker, u *Unit, ok func(*Worker) bool) ([]int, bool) {
	type spot struct {
		worker int
		fits   int
	}
	var spots []spot
	total := 0
	for i := range w {
		z := w[i].room(u)
		if !z.Fits(u.Step.Size) || !usable(w, i, u) || !ok(&w[i]) {
			continue
		}
		if n := capacity(z, u, u.Held[i]); n > 0 {
			spots = append(spots, spot{
				worker: i,
				fits:   n,
			})
			total += n
		}
	}
	if total < len(u.Tasks) {
		return nil, false
	}
	slices.SortFunc(spots, func(a, b spot) int {
		x, y := &w[a.worker], &w[b.worker]
		return cmp.Or(
			cmp.Compare(x.Doubt, y.Doubt),
			cmp.Compare(waste(x, u, a.fits), waste(y, u, b.fits)),
			cmp.Compare(x.ID, y.ID),
		)
	})
	var at []int
	for _, s := range spots {
		for range min(s.fits, len(u.Tasks)-len(at)) {
			at = append(at, s.worker)
		}
	}
	return at, true
}

// waste is what a worker would have left, as a share of its whole size: its
// scarcest part counts most.
func waste(v *Worker, u *Unit, fits int) float64 {
	z := v.Free.Sub(u.Step.Size.Times(min(fits, len(u.Tasks))))
	return share(z.MilliCPU, v.Total.MilliCPU) + share(z.MemoryMiB, v.Total.MemoryMiB) + share(z.Accelerators, v.Total.Accelerators)
}

func share(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}
