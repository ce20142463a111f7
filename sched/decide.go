package sched

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"hemlockhinge/pack"
)

// maxJobsPerCustomer is how many jobs of one customer and class one call of
// Decide tries to place.
const maxJobsPerCustomer = 100

// maxDecideInterval is the time after which Decide is due even if nothing has
// changed.
const maxDecideInterval = 5 * time.Second

// Due reports whether Decide may find something to do.
func (s *State) Due(now time.Time) bool {
	return s.changed || now.Before(s.rampEnd) || !now.Before(s.nextDecide)
}

// decideBy makes Decide due at time t at the latest.
func (s *State) decideBy(t time.Time) {
	if t.Before(s.nextDecide) {
		s.nextDecide = t
	}
}

// Decide returns what to do now. The state assumes that every decision is carried
// out; the caller reports the results with MarkRunning and MarkEnded.
func (s *State) Decide(now time.Time) []Decision {
	s.now = now
	s.decisions = nil
	s.changed = false
	s.nextDecide = now.Add(maxDecideInterval)
	defer func() { s.changed = s.changed || len(s.decisions) > 0 }()
	if s.health.endQuarantines(now) {
		s.dirty = true
	}
	if s.dirty {
		s.rebuild()
	}
	if s.outOfService {
		s.evacuate()
		return s.decisions
	}
	s.startPending(now)
	s.startClaims()
	s.startBorrowing()
	return s.decisions
}

// evacuate preempts all runs, those that claim guaranteed units first. Jobs that
// must not be started twice run to their end.
func (s *State) evacuate() {
	for _, h := range s.sortedPending() {
		s.cancelPending(h)
	}
	l := make([]*run, 0, len(s.runs))
	for _, r := range s.runs {
		if !r.stopping && !r.NotRestartable {
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

// takeRampToken reports whether a job may start now. For rampTime after the
// failure domain has returned to service, it takes a token from the bucket.
func (s *State) takeRampToken() bool {
	if !s.now.Before(s.rampEnd) {
		return true
	}
	rate := float64(max(len(s.workers), 1)) / rampTime.Seconds()
	s.rampTokens = min(s.rampTokens+rate*s.now.Sub(s.rampRefilled).Seconds(), rate+1)
	s.rampRefilled = s.now
	if s.rampTokens < 1 {
		return false
	}
	s.rampTokens--
	return true
}

// startClaims starts jobs that fit an unclaimed guaranteed unit of their
// customer.
func (s *State) startClaims() {
	if len(s.units) == 0 {
		return
	}
	open := map[string]int{}
	for _, u := range s.units {
		if u.claimedBy == "" {
			open[u.Customer]++
		}
	}
	for _, p := range s.queue.priorities() {
		for _, c := range s.queue.customers(p) {
			for _, j := range s.queue.jobs(p, c, open[c]+maxJobsPerCustomer) {
				if open[c] == 0 {
					break
				}
				u := s.unitFor(j)
				if u == nil || s.notYetEligible(j) {
					continue
				}
				if s.claimUnit(j, u) {
					open[c]--
				}
			}
		}
	}
}

// notYetEligible reports whether a job's earliest start time is in the future, and if
// so makes Decide due at that time.
func (s *State) notYetEligible(j Job) bool {
	if !s.now.Before(j.NotBefore) {
		return false
	}
	s.decideBy(j.NotBefore)
	return true
}

// claimUnit gives a job a guaranteed unit of its customer, on free capacity or by
// preempting borrowing jobs.
func (s *State) claimUnit(j Job, u *guaranteedUnit) bool {
	k := s.excludedWorkers(j)
	if place, ok := s.free.Place(u.Shape, k); ok {
		r := s.newRun(j, place[:j.Shape.Tasks])
		s.setPlanPlace(r, place, u.Shape.Size)
		if s.allocateInPlan(u, r) {
			r.unit = u
			s.startRun(r)
			return true
		}
	}
	place, preempted, ok := s.planPreemption(u.Shape, s.victims(j, true), k)
	if ok && s.claimAfterPreemption(j, u, place, preempted) {
		return true
	}
	if !u.placed {
		return false
	}
	place = slices.Clone(u.workers)
	s.cancelOverlapping(place)
	return s.claimAfterPreemption(j, u, place, s.victimsOn(place, u.Shape.Size))
}

// cancelOverlapping cancels the pending starts of borrowing jobs on the given
// workers. Otherwise the claim and such a job would each wait for capacity that
// is set aside for the other.
func (s *State) cancelOverlapping(place []int) {
	for _, h := range s.sortedPending() {
		if h.unit == nil && overlaps(h.workers, place) {
			s.cancelPending(h)
		}
	}
}

// claimAfterPreemption claims a unit for a job that starts once the preempted runs
// have stopped.
func (s *State) claimAfterPreemption(j Job, u *guaranteedUnit, place []int, preempted []*run) bool {
	r := s.newRun(j, place[:j.Shape.Tasks])
	s.setPlanPlace(r, place, u.Shape.Size)
	if !s.allocateInPlan(u, r) {
		return false
	}
	s.startAfterPreemption(j, r.workers, place, u, preempted, "guarantee "+u.Guarantee+" is claimed")
	s.startPending(s.now)
	return true
}

// victimsOn lists the runs to preempt so that the given workers have capacity z
// free for each place.
func (s *State) victimsOn(place []int, z pack.Size) []*run {
	t := s.free.Clone()
	t.Allocate(place, z)
	for _, r := range s.runs {
		if r.stopping {
			t.Release(r.workers, r.Shape.Size)
		}
	}
	var preempted []*run
	for _, v := range s.victims(Job{}, true) {
		if t.NotOvercommitted(place) {
			break
		}
		if overlaps(v.run.workers, place) && !t.NotOvercommitted(intersection(v.run.workers, place)) {
			t.Release(v.run.workers, v.run.Shape.Size)
			preempted = append(preempted, v.run)
		}
	}
	return preempted
}

func overlaps(a, b []int) bool { return len(intersection(a, b)) > 0 }

// intersection returns the elements of a that are also in b.
func intersection(a, b []int) []int {
	var l []int
	for _, i := range a {
		if slices.Contains(b, i) {
			l = append(l, i)
		}
	}
	return l
}

// queuePass is the state of one walk over the queue for jobs beyond guarantees.
type queuePass struct {
	// extra is the free capacity that the reservations do not need; a job that
	// may still run when a reservation starts must fit into it.
	extra        *pack.Grid
	reservations []reservation
	// unplaceable has the kinds of jobs for which no place was found in this
	// pass, so that equal jobs are not tried again.
	unplaceable  map[placementKey]bool
	fitsDeclared map[pack.Shape]bool
	considered   int
	runsByEnd    []*run
}

// placementKey has the properties of a job on which its placement depends: jobs
// with the same key fail to fit together.
type placementKey struct {
	shape          pack.Shape
	long           bool
	notReclaimable bool
}

// startBorrowing starts jobs beyond guarantees: by class, then by the customer's
// share of the usage, then by age.
func (s *State) startBorrowing() {
	p := &queuePass{
		extra:        s.free.Clone(),
		unplaceable:  map[placementKey]bool{},
		fitsDeclared: map[pack.Shape]bool{},
	}
	for _, q := range s.queue.priorities() {
		s.startBorrowingClass(p, q)
	}
}

// startBorrowingClass tries the jobs of one priority in the order of their
// effective creation times, which are compared anew after each job.
func (s *State) startBorrowingClass(p *queuePass, priority int) {
	var h customerHeap
	for _, n := range s.queue.customers(priority) {
		h = append(h, s.newCustomerQueue(n, s.queue.jobs(priority, n, maxJobsPerCustomer)))
	}
	heap.Init(&h)
	for len(h) > 0 && p.considered < maxJobsPerPass {
		t := h[0]
		p.considered++
		s.tryStart(p, t.jobs[0])
		if len(t.jobs) == 1 {
			heap.Pop(&h)
			continue
		}
		h[0] = s.newCustomerQueue(t.customer, t.jobs[1:])
		heap.Fix(&h, 0)
	}
}

// tryStart starts a job if it fits; otherwise it may preempt others for the job
// or make a reservation.
func (s *State) tryStart(p *queuePass, j Job) {
	if s.notYetEligible(j) || s.exceedsLimits(j) {
		return
	}
	if !s.mayEverFit(p, j) {
		s.queue.remove(j.ID)
		delete(s.blockedJobs, j.ID)
		s.decisions = append(s.decisions, Decision{
			kind:   Unschedulable,
			job:    j.ID,
			reason: "no declared capacity of failure domain " + s.domain + " can hold the job",
		})
		return
	}
	c := s.class(j)
	t := placementKey{
		shape:          j.Shape,
		long:           !p.endsBeforeReservations(s.now.Add(s.estimator.Pessimistic(j))),
		notReclaimable: j.NotRestartable || s.notReclaimable(c),
	}
	if !p.unplaceable[t] {
		at, ok := s.findPlace(p, j, t.long)
		if ok && s.startBorrowed(p, j, at) {
			return
		}
		p.unplaceable[t] = len(j.AvoidWorkers) == 0
		if ok {
			return
		}
	}
	if c.Urgent && s.preemptForUrgent(j) {
		p.extra.Allocate(s.pending[j.ID].workers, j.Shape.Size)
		return
	}
	s.handleBlocked(p, j)
}

// findPlace finds free workers for a job. A job that may run beyond the start of
// a reservation gets only capacity that the reservations do not need.
func (s *State) findPlace(p *queuePass, j Job, long bool) ([]int, bool) {
	if !long {
		return s.free.Place(j.Shape, s.excludedWorkers(j))
	}
	at, ok := p.extra.Place(j.Shape, s.excludedWorkers(j))
	return at, ok && s.free.HasFree(at, j.Shape.Size)
}

// startBorrowed starts a job on free capacity, unless the rate limit after a
// return to service or the plan of guaranteed units forbids it.
func (s *State) startBorrowed(p *queuePass, j Job, at []int) bool {
	r := s.newRun(j, at)
	if !s.takeRampToken() || (r.notReclaimable && !s.allocateInPlan(nil, r)) {
		return false
	}
	s.startRun(r)
	p.extra.Allocate(at, j.Shape.Size)
	return true
}

// preemptForUrgent preempts borrowing jobs of less urgent classes.
func (s *State) preemptForUrgent(j Job) bool {
	at, preempted, ok := s.planPreemption(j.Shape, s.victims(j, false), s.excludedWorkers(j))
	if !ok {
		return false
	}
	s.startAfterPreemption(j, at, nil, nil, preempted, "urgent job "+j.ID)
	return true
}

func (s *State) exceedsLimits(j Job) bool {
	c := s.customers[j.Customer]
	a := s.usage[j.Customer].Accelerators + j.Shape.Total().Accelerators
	t := s.runningTasks[j.Customer] + j.Shape.Tasks
	return (c.MaxRunningAccelerators > 0 && a > c.MaxRunningAccelerators) ||
		(c.MaxRunningTasks > 0 && t > c.MaxRunningTasks)
}

// fitsDeclaredCapacity reports whether the failure domain could hold the job when
// empty, with the workers present or with those declared.
func (s *State) fitsDeclaredCapacity(j Job) bool {
	if s.empty.FitsWhenEmpty(j.Shape) {
		return true
	}
	d, ok := s.objects.FailureDomain(s.domain)
	return !ok || d.Grid().FitsWhenEmpty(j.Shape)
}

// mayEverFit is fitsDeclaredCapacity, cached by shape during a pass.
func (s *State) mayEverFit(p *queuePass, j Job) bool {
	v, ok := p.fitsDeclared[j.Shape]
	if !ok {
		v = s.fitsDeclaredCapacity(j)
		p.fitsDeclared[j.Shape] = v
	}
	return v
}

// excludedWorkers excludes the workers on which the job has failed, as long as
// the others could hold it when empty, and workers on probation that already run
// something.
func (s *State) excludedWorkers(j Job) pack.Skip {
	l := s.workerIndexes(j.AvoidWorkers)
	if len(l) > 0 && !s.empty.FitsWhenEmptyWithout(j.Shape, l) {
		l = nil
	}
	for w := range s.health.workers {
		i, ok := s.free.Index(w)
		if ok && s.health.onProbation(w) && s.free.Worker(i).Free != s.free.Worker(i).Total {
			l = append(l, i)
		}
	}
	if len(l) == 0 {
		return nil
	}
	return func(i int) bool { return slices.Contains(l, i) }
}

// newRun returns a run that has not started.
func (s *State) newRun(j Job, at []int) *run {
	c := s.class(j)
	return &run{
		Job:            j,
		workers:        at,
		workerIDs:      s.free.IDs(at),
		planWorkers:    at,
		planWorkerIDs:  s.free.IDs(at),
		planSize:       j.Shape.Size,
		class:          c,
		notReclaimable: j.NotRestartable || s.notReclaimable(c),
		started:        s.now,
		lastCheckpoint: s.now,
	}
}

// setPlanPlace records the place of the claimed unit. The run itself may use a
// part of it.
func (s *State) setPlanPlace(r *run, place []int, z pack.Size) {
	r.planWorkers = place
	r.planWorkerIDs = s.free.IDs(place)
	r.planSize = z
}

// startRun starts a run on capacity that is free.
func (s *State) startRun(r *run) {
	s.queue.remove(r.ID)
	delete(s.blockedJobs, r.ID)
	s.runs[r.ID] = r
	s.free.Allocate(r.workers, r.Shape.Size)
	s.updateUsage(r, 1)
	d := Decision{
		kind:    Start,
		job:     r.ID,
		workers: r.workerIDs,
	}
	if r.unit != nil {
		d.claim = r.unit.Guarantee
	}
	s.decisions = append(s.decisions, d)
}
