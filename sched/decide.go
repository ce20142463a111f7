package sched

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"hemlockhinge/pack"
)

// lookAhead is how many jobs of one customer and class are tried at a time.
const lookAhead = 100

// lookAgain is how long nothing may have changed before Decide is due anyway.
const lookAgain = 5 * time.Second

// Due reports whether Decide may find something to do.
func (s *State) Due(now time.Time) bool {
	return s.changed || now.Before(s.rampEnd) || !now.Before(s.look)
}

// lookBy has Decide be due at a time at the latest.
func (s *State) lookBy(t time.Time) {
	if t.Before(s.look) {
		s.look = t
	}
}

// Decide returns what to do now. Each decision is counted as made; the caller
// reports with Began and Ended how it went.
func (s *State) Decide(now time.Time) []Decision {
	s.now = now
	s.changes = nil
	s.changed = false
	s.look = now.Add(lookAgain)
	defer func() { s.changed = s.changed || len(s.changes) > 0 }()
	if s.health.refresh(now) {
		s.dirty = true
	}
	if s.dirty {
		s.rebuild()
	}
	if s.out {
		s.evacuate()
		return s.changes
	}
	s.progress(now)
	s.claims()
	s.borrow()
	return s.changes
}

// evacuate has everything checkpoint and leave, guaranteed work first. Work
// that may run only once stays until it ends.
func (s *State) evacuate() {
	for _, h := range s.orderedHolds() {
		s.release(h)
	}
	l := make([]*run, 0, len(s.runs))
	for _, r := range s.runs {
		if !r.stopping && !r.Once {
			l = append(l, r)
		}
	}
	slices.SortFunc(l, func(a, b *run) int {
		if (a.unit != nil) != (b.unit != nil) {
			if a.unit != nil {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.ID, b.ID)
	})
	for _, r := range l {
		s.preempt(r, "failure domain is out of service")
	}
}

// mayStart takes one start from the ramp that follows a failure domain's
// return.
func (s *State) mayStart() bool {
	if !s.now.Before(s.rampEnd) {
		return true
	}
	rate := float64(max(len(s.listed), 1)) / rampTime.Seconds()
	s.starts = min(s.starts+rate*s.now.Sub(s.ramped).Seconds(), rate+1)
	s.ramped = s.now
	if s.starts < 1 {
		return false
	}
	s.starts--
	return true
}

// claims starts jobs of customers that ask for their guaranteed shapes.
func (s *State) claims() {
	if len(s.units) == 0 {
		return
	}
	open := map[string]int{}
	for _, u := range s.units {
		if u.claimed == "" {
			open[u.Customer]++
		}
	}
	for _, p := range s.queue.priorities() {
		for _, c := range s.queue.customers(p) {
			for _, j := range s.queue.jobs(p, c, open[c]+lookAhead) {
				if open[c] == 0 {
					break
				}
				u := s.unitFor(j)
				if u == nil || s.early(j) {
					continue
				}
				if s.claim(j, u) {
					open[c]--
				}
			}
		}
	}
}

// early reports whether a job may not start yet, and looks again when it may.
func (s *State) early(j Job) bool {
	if !s.now.Before(j.After) {
		return false
	}
	s.lookBy(j.After)
	return true
}

// claim gives a job the shape that its customer is guaranteed, on free
// capacity or on what borrowed work gives back.
func (s *State) claim(j Job, u *unit) bool {
	k := s.avoid(j)
	if spot, ok := s.grid.Place(u.Shape, k); ok {
		r := s.newRun(j, spot[:j.Shape.Tasks])
		s.setSpot(r, spot, u.Shape.Size)
		if s.fix(u, r) {
			r.unit = u
			s.begin(r)
			return true
		}
	}
	spot, out, ok := s.evict(u.Shape, s.victims(j, true), k)
	if ok && s.claimBy(j, u, spot, out) {
		return true
	}
	if !u.placed {
		return false
	}
	spot = slices.Clone(u.at)
	s.yield(spot)
	return s.claimBy(j, u, spot, s.inTheWay(spot, u.Shape.Size))
}

// yield gives up the places in a spot that are kept for borrowed work: the claim
// and that work would each wait for the other.
func (s *State) yield(spot []int) {
	for _, h := range s.orderedHolds() {
		if h.unit == nil && overlaps(h.at, spot) {
			s.release(h)
		}
	}
}

func (s *State) claimBy(j Job, u *unit, spot []int, out []*run) bool {
	r := s.newRun(j, spot[:j.Shape.Tasks])
	s.setSpot(r, spot, u.Shape.Size)
	if !s.fix(u, r) {
		return false
	}
	s.holdFor(j, r.at, spot, u, out, "guarantee "+u.Guarantee+" is claimed")
	s.progress(s.now)
	return true
}

// inTheWay lists preemptible runs to remove so that a spot becomes free.
func (s *State) inTheWay(spot []int, z pack.Size) []*run {
	t := s.grid.Clone()
	t.Take(spot, z)
	for _, r := range s.runs {
		if r.stopping {
			t.Give(r.at, r.Shape.Size)
		}
	}
	var out []*run
	for _, v := range s.victims(Job{}, true) {
		if t.Sound(spot) {
			break
		}
		if overlaps(v.run.at, spot) && !t.Sound(common(v.run.at, spot)) {
			t.Give(v.run.at, v.run.Shape.Size)
			out = append(out, v.run)
		}
	}
	return out
}

func overlaps(a, b []int) bool { return len(common(a, b)) > 0 }

func common(a, b []int) []int {
	var l []int
	for _, i := range a {
		if slices.Contains(b, i) {
			l = append(l, i)
		}
	}
	return l
}

// pass is one walk over the queue for work beyond guarantees.
type pass struct {
	far      *pack.Grid
	shadows  []shadow
	failed   map[tried]bool
	declared map[pack.Shape]bool
	tries    int
	ending   []*run
}

// tried names what jobs have in common that find no room together.
type tried struct {
	shape pack.Shape
	long  bool
	fixed bool
}

// borrow starts other jobs: by class, then by customer's share, then by age.
func (s *State) borrow() {
	p := &pass{
		far:      s.grid.Clone(),
		failed:   map[tried]bool{},
		declared: map[pack.Shape]bool{},
	}
	for _, q := range s.queue.priorities() {
		s.borrowClass(p, q)
	}
}

// borrowClass walks the customers of a class, the one whose first job has the
// best standing first, one job at a time.
func (s *State) borrowClass(p *pass, priority int) {
	var h turns
	for _, n := range s.queue.customers(priority) {
		h = append(h, s.turnOf(n, s.queue.jobs(priority, n, lookAhead)))
	}
	heap.Init(&h)
	for len(h) > 0 && p.tries < maxTries {
		t := h[0]
		p.tries++
		s.try(p, t.jobs[0])
		if len(t.jobs) == 1 {
			heap.Pop(&h)
			continue
		}
		h[0] = s.turnOf(t.customer, t.jobs[1:])
		heap.Fix(&h, 0)
	}
}

// try starts a job if there is room, or reserves room in the future.
func (s *State) try(p *pass, j Job) {
	if s.early(j) || s.overLimit(j) {
		return
	}
	if !s.mayEverRun(p, j) {
		s.queue.remove(j.ID)
		delete(s.waits, j.ID)
		s.changes = append(s.changes, Decision{
			kind:   Never,
			job:    j.ID,
			reason: "no declared capacity of failure domain " + s.domain + " can hold the job",
		})
		return
	}
	c := s.class(j)
	t := tried{
		shape: j.Shape,
		long:  !p.short(s.now.Add(s.learn.Pessimistic(j))),
		fixed: j.Once || s.mustStay(c),
	}
	if !p.failed[t] {
		at, ok := s.room(p, j, t.long)
		if ok && s.startBorrowed(p, j, at) {
			return
		}
		p.failed[t] = len(j.Avoid) == 0
		if ok {
			return
		}
	}
	if c.Urgent && s.urge(j) {
		p.far.Take(s.holds[j.ID].at, j.Shape.Size)
		return
	}
	s.blocked(p, j)
}

// room finds a place for a job now, beside the shadows if it runs long.
func (s *State) room(p *pass, j Job, long bool) ([]int, bool) {
	if !long {
		return s.grid.Place(j.Shape, s.avoid(j))
	}
	at, ok := p.far.Place(j.Shape, s.avoid(j))
	return at, ok && s.grid.Covers(at, j.Shape.Size)
}

// startBorrowed starts a job unless the ramp or the plan is against it.
func (s *State) startBorrowed(p *pass, j Job, at []int) bool {
	r := s.newRun(j, at)
	if !s.mayStart() || (r.fixed && !s.fix(nil, r)) {
		return false
	}
	s.begin(r)
	p.far.Take(at, j.Shape.Size)
	return true
}

// urge preempts borrowed work of less urgent classes.
func (s *State) urge(j Job) bool {
	at, out, ok := s.evict(j.Shape, s.victims(j, false), s.avoid(j))
	if !ok {
		return false
	}
	s.holdFor(j, at, nil, nil, out, "urgent job "+j.ID)
	return true
}

func (s *State) overLimit(j Job) bool {
	c := s.customers[j.Customer]
	a := s.usage[j.Customer].Accelerators + j.Shape.Total().Accelerators
	t := s.tasks[j.Customer] + j.Shape.Tasks
	return (c.MaxRunningAccelerators > 0 && a > c.MaxRunningAccelerators) ||
		(c.MaxRunningTasks > 0 && t > c.MaxRunningTasks)
}

// declared reports whether the failure domain could hold the job when empty.
func (s *State) declared(j Job) bool {
	if s.empty.Fits(j.Shape) {
		return true
	}
	d, ok := s.objects.FailureDomain(s.domain)
	return !ok || d.Grid().Fits(j.Shape)
}

// mayEverRun is declared, remembered for the shapes of this pass.
func (s *State) mayEverRun(p *pass, j Job) bool {
	v, ok := p.declared[j.Shape]
	if !ok {
		v = s.declared(j)
		p.declared[j.Shape] = v
	}
	return v
}

// avoid leaves out workers on which the job has failed, as long as the others
// could hold it, and those on probation that run something.
func (s *State) avoid(j Job) pack.Skip {
	l := s.known(j.Avoid)
	if len(l) > 0 && !s.empty.FitsWithout(j.Shape, l) {
		l = nil
	}
	for w := range s.health.workers {
		i, ok := s.grid.Index(w)
		if ok && s.health.onProbation(w) && s.grid.Worker(i).Free != s.grid.Worker(i).Total {
			l = append(l, i)
		}
	}
	if len(l) == 0 {
		return nil
	}
	return func(i int) bool { return slices.Contains(l, i) }
}

// newRun makes a run that has not begun.
func (s *State) newRun(j Job, at []int) *run {
	c := s.class(j)
	return &run{
		Job:      j,
		at:       at,
		ids:      s.grid.IDs(at),
		spot:     at,
		spotIDs:  s.grid.IDs(at),
		spotSize: j.Shape.Size,
		class:    c,
		fixed:    j.Once || s.mustStay(c),
		started:  s.now,
		saved:    s.now,
	}
}

// setSpot records the place that the plan keeps for a run's unit, of which the
// run may use a part.
func (s *State) setSpot(r *run, spot []int, z pack.Size) {
	r.spot = spot
	r.spotIDs = s.grid.IDs(spot)
	r.spotSize = z
}

// begin starts a run whose place is free.
func (s *State) begin(r *run) {
	s.queue.remove(r.ID)
	delete(s.waits, r.ID)
	s.runs[r.ID] = r
	s.grid.Take(r.at, r.Shape.Size)
	s.count(r, 1)
	d := Decision{
		kind: Start,
		job:  r.ID,
		at:   r.ids,
	}
	if r.unit != nil {
		d.claim = r.unit.Guarantee
	}
	s.changes = append(s.changes, d)
}
