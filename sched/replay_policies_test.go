package sched

import (
	"maps"
	"slices"
	"time"

	"hemlockhinge/conf"
	"hemlockhinge/pack"
)

// fifoPolicy is the baseline: one FIFO queue for all failure domains, first-fit
// placement, no preemption.
type fifoPolicy struct {
	domainGrids  []*pack.Grid
	outOfService []bool
	queue        []*simJob
	placements   map[*simJob][]int
}

func newFIFOPolicy(s site) *fifoPolicy {
	b := &fifoPolicy{
		placements: map[*simJob][]int{},
	}
	for _, d := range s.domains {
		b.domainGrids = append(b.domainGrids, d.Grid())
		b.outOfService = append(b.outOfService, false)
	}
	return b
}

func (b *fifoPolicy) submit(w *simJob, _ time.Time) { b.queue = append(b.queue, w) }

func (b *fifoPolicy) decide(time.Time) (start, stop []*simJob) {
	for len(b.queue) > 0 {
		w := b.queue[0]
		if !b.place(w) {
			break
		}
		b.queue = b.queue[1:]
		start = append(start, w)
	}
	return start, nil
}

func (b *fifoPolicy) place(w *simJob) bool {
	for i, g := range b.domainGrids {
		if b.outOfService[i] {
			continue
		}
		if at, ok := firstFit(g, w.job.Shape); ok {
			g.Allocate(at, w.job.Shape.Size)
			b.placements[w] = at
			w.domain = i
			return true
		}
	}
	return false
}

// firstFit takes the first workers in order that have free capacity. It considers
// racks only as far as the shape's adjacency asks for it.
func firstFit(g *pack.Grid, s pack.Shape) ([]int, bool) {
	var scopes [][]int
	switch s.Adjacency {
	case pack.AdjacentWorker:
		for i := range g.Len() {
			scopes = append(scopes, []int{i})
		}
	case pack.AdjacentRack:
		scopes = g.Racks()
	default:
		scopes = [][]int{slices.Concat(g.Racks()...)}
	}
	for _, l := range scopes {
		var at []int
		for _, i := range l {
			for range min(s.Tasks-len(at), g.Worker(i).Free.Count(s.Size)) {
				at = append(at, i)
			}
		}
		if len(at) == s.Tasks {
			return at, true
		}
	}
	return nil, false
}

func (b *fifoPolicy) ended(w *simJob, done bool, _ time.Time) {
	b.domainGrids[w.domain].Release(b.placements[w], w.job.Shape.Size)
	w.domain = -1
	if !done {
		b.queue = slices.Insert(b.queue, 0, w)
	}
}

func (b *fifoPolicy) setOutOfService(d int, out bool, _ time.Time) { b.outOfService[d] = out }

func (b *fifoPolicy) grids() []*pack.Grid { return b.domainGrids }

// unitsOf returns the guaranteed units that are assigned to a failure domain.
func unitsOf(o *conf.Objects, domain string) []conf.Unit {
	a, _ := o.Assign(nil)
	return a[domain]
}

// statePolicy is the policy under test: a State for each failure domain, and jobs
// sent to the domain that ChooseDomain picks, as entries do.
type statePolicy struct {
	site     site
	objects  *conf.Objects
	states   []*State
	jobs     map[string]*simJob
	domainOf map[string]int
	demand   []int
}

func newStatePolicy(s site) *statePolicy {
	u := &statePolicy{
		site:     s,
		objects:  objectsOf(s),
		jobs:     map[string]*simJob{},
		domainOf: map[string]int{},
		demand:   make([]int, len(s.domains)),
	}
	for _, d := range s.domains {
		x := New()
		x.SetObjects(u.objects, unitsOf(u.objects, d.Name), d.Name, epoch)
		var w []WorkerInfo
		g := d.Grid()
		for i := range g.Len() {
			v := g.Worker(i)
			w = append(w, WorkerInfo{
				ID:       v.ID,
				Rack:     v.Rack,
				Capacity: v.Total,
				Usable:   true,
			})
		}
		x.SetWorkers(w)
		u.states = append(u.states, x)
	}
	return u
}

func (u *statePolicy) submit(w *simJob, _ time.Time) {
	u.jobs[w.job.ID] = w
	u.submitTo(w, u.choose(w, -1))
}

func (u *statePolicy) candidate(w *simJob, i int) Candidate {
	d := u.site.domains[i]
	return Candidate{
		Name:             d.Name,
		HasUnclaimedUnit: u.states[i].unitFor(w.job) != nil,
		Demand:           pack.Size{Accelerators: u.demand[i]},
		Capacity:         d.Worker.Times(d.Workers),
	}
}

func (u *statePolicy) choose(w *simJob, not int) int {
	var l []Candidate
	for i, d := range u.site.domains {
		if i != not && !u.objects.FailureDomains[i].OutOfService && d.Grid().FitsWhenEmpty(w.job.Shape) {
			l = append(l, u.candidate(w, i))
		}
	}
	n, _ := ChooseDomain(w.job.Shape.Total(), l)
	return slices.IndexFunc(u.site.domains, func(d conf.FailureDomain) bool { return d.Name == n })
}

func (u *statePolicy) submitTo(w *simJob, d int) {
	u.domainOf[w.job.ID] = d
	u.demand[d] += w.job.Shape.Total().Accelerators
	u.states[d].Submit(w.job)
}

func (u *statePolicy) decide(now time.Time) (start, stop []*simJob) {
	u.rebalance(now)
	for i, s := range u.states {
		for _, d := range s.Decide(now) {
			w := u.jobs[d.Job()]
			switch d.Kind() {
			case Start:
				w.domain = i
				s.MarkRunning(d.Job(), now)
				start = append(start, w)
			case Preempt:
				stop = append(stop, w)
			}
		}
	}
	return start, stop
}

// rebalance moves waiting jobs to a failure domain with less demand, and away from
// one that is out of service, as the schedulers do.
func (u *statePolicy) rebalance(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(u.domainOf)) {
		d := u.domainOf[id]
		w := u.jobs[id]
		if w.domain >= 0 || !w.done.IsZero() || u.states[d].AwaitingPreemption(id) {
			continue
		}
		out := u.objects.FailureDomains[d].OutOfService
		if !out && now.Sub(w.job.Created) < 15*time.Second {
			continue
		}
		t := u.choose(w, d)
		if t < 0 || (!out && !ShouldMove(w.job.Shape.Total(), u.candidate(w, d), u.candidate(w, t))) {
			continue
		}
		a := w.job.Shape.Total().Accelerators
		u.states[d].Remove(id)
		u.demand[d] -= a
		u.submitTo(w, t)
	}
}

func (u *statePolicy) ended(w *simJob, done bool, now time.Time) {
	d := w.domain
	w.domain = -1
	u.states[d].MarkEnded(w.job.ID, AttemptEnd{
		Success: done,
		Requeue: !done,
	}, now)
	if done {
		u.demand[d] -= w.job.Shape.Total().Accelerators
		delete(u.domainOf, w.job.ID)
	}
}

func (u *statePolicy) setOutOfService(d int, out bool, now time.Time) {
	c := *u.objects
	c.FailureDomains = slices.Clone(u.objects.FailureDomains)
	c.FailureDomains[d].OutOfService = out
	u.objects = &c
	for i, s := range u.states {
		n := u.site.domains[i].Name
		s.SetObjects(u.objects, unitsOf(u.objects, n), n, now)
	}
}

func (u *statePolicy) grids() []*pack.Grid {
	var l []*pack.Grid
	for _, s := range u.states {
		l = append(l, s.free)
	}
	return l
}
