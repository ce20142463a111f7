package sched

import (
	"cmp"
	"slices"
	"time"

	"hemlockhinge/pack"
)

// victim is a run that may be preempted, and the cost of doing so.
type victim struct {
	run  *run
	cost float64
}

// victims lists the runs that may be preempted for a job, cheapest first: those
// that borrow capacity and are preemptible. With claim set, they must also be
// reclaimable in time; otherwise, they must be of a less urgent class than j.
func (s *State) victims(j Job, claim bool) []victim {
	var l []victim
	p := s.priority(j)
	for _, r := range s.runs {
		if r.unit != nil || r.class.NotPreemptible || r.NotRestartable || r.stopping || (claim && r.notReclaimable) {
			continue
		}
		if !claim && r.class.Priority <= p {
			continue
		}
		l = append(l, victim{
			run:  r,
			cost: s.preemptionCost(r),
		})
	}
	slices.SortFunc(l, func(a, b victim) int {
		if c := cmp.Compare(a.cost, b.cost); c != 0 {
			return c
		}
		return cmp.Compare(a.run.ID, b.run.ID)
	})
	return l
}

// coreEquivalents is the size of a run in cores, with accelerators weighted.
func coreEquivalents(r *run) float64 {
	t := r.Shape.Total()
	return float64(max(t.Accelerators*coresPerAccelerator, t.Cores, 1))
}

// coresPerAccelerator is how many cores one accelerator counts as.
const coresPerAccelerator = 16

// Cost of preempting a run: the wait for another place, and the share of its
// unsaved work that is lost on average because a checkpoint may fail.
const (
	restartCost  = 10 * time.Minute
	unsavedShare = 0.02
)

// preemptionCost is the expected loss when a run is preempted, in core seconds.
// It rises with each earlier preemption of the job.
func (s *State) preemptionCost(r *run) float64 {
	w := restartCost.Seconds() * float64(1+r.Preemptions)
	return (w + unsavedShare*s.now.Sub(r.lastCheckpoint).Seconds()) * coreEquivalents(r)
}

// planPreemption finds a place for a shape and the runs to preempt for it, at low cost.
// Runs that are stopping already count as stopped.
func (s *State) planPreemption(z pack.Shape, v []victim, k pack.Skip) ([]int, []*run, bool) {
	t := s.free.Clone()
	for _, r := range s.runs {
		if r.stopping {
			t.Release(r.workers, r.Shape.Size)
		}
	}
	if p, ok := t.Place(z, k); ok {
		return p, nil, true
	}
	switch z.Adjacency {
	case pack.AdjacentRack:
		return s.planPreemptionByGroup(t, z, v, k, t.Racks())
	case pack.AdjacentWorker:
		l := make([][]int, 0, t.Len())
		for i := range t.Len() {
			l = append(l, []int{i})
		}
		return s.planPreemptionByGroup(t, z, v, k, l)
	}
	return selectVictims(t, z, v, k)
}

// planPreemptionByGroup tries each group of workers by itself and returns the
// cheapest solution.
func (s *State) planPreemptionByGroup(t *pack.Grid, z pack.Shape, v []victim, k pack.Skip, groups [][]int) ([]int, []*run, bool) {
	w := victimsByWorker(v, t.Len())
	best := -1.0
	var at []int
	var preempted []*run
	for _, g := range groups {
		in := map[int]bool{}
		for _, i := range g {
			in[i] = true
		}
		l := victimsInGroup(w, g)
		p, o, ok := selectVictims(t.Clone(), z, l, func(i int) bool { return !in[i] || isSkipped(k, i) })
		if !ok {
			continue
		}
		if c := s.totalCost(o); best < 0 || c < best {
			best, at, preempted = c, p, o
		}
	}
	return at, preempted, best >= 0
}

func (s *State) totalCost(l []*run) float64 {
	c := 0.0
	for _, r := range l {
		c += s.preemptionCost(r)
	}
	return c
}

// victimsByWorker lists for each worker the victims that run there.
func victimsByWorker(v []victim, n int) [][]victim {
	w := make([][]victim, n)
	for _, x := range v {
		for _, i := range slices.Compact(slices.Sorted(slices.Values(x.run.workers))) {
			w[i] = append(w[i], x)
		}
	}
	return w
}

// victimsInGroup lists the victims on a group of workers, cheapest first.
func victimsInGroup(w [][]victim, g []int) []victim {
	var l []victim
	m := map[string]bool{}
	for _, i := range g {
		for _, x := range w[i] {
			if !m[x.run.ID] {
				m[x.run.ID] = true
				l = append(l, x)
			}
		}
	}
	slices.SortFunc(l, func(a, b victim) int {
		if c := cmp.Compare(a.cost, b.cost); c != 0 {
			return c
		}
		return cmp.Compare(a.run.ID, b.run.ID)
	})
	return l
}

// selectVictims removes victims from t, cheapest first, until the shape fits. It then
// puts back each victim whose removal turns out not to be needed.
func selectVictims(t *pack.Grid, z pack.Shape, v []victim, k pack.Skip) ([]int, []*run, bool) {
	var preempted []*run
	p, ok := t.Place(z, k)
	for _, x := range v {
		if ok {
			break
		}
		t.Release(x.run.workers, x.run.Shape.Size)
		preempted = append(preempted, x.run)
		p, ok = t.Place(z, k)
	}
	if !ok {
		return nil, nil, false
	}
	for i := len(preempted) - 1; i >= 0; i-- {
		t.Allocate(preempted[i].workers, preempted[i].Shape.Size)
		q, ok := t.Place(z, k)
		if ok && t.NotOvercommitted(preempted[i].workers) {
			p = q
			preempted = slices.Delete(preempted, i, i+1)
			continue
		}
		t.Release(preempted[i].workers, preempted[i].Shape.Size)
	}
	return p, preempted, true
}

// startAfterPreemption preempts the given runs and sets the workers in at aside for a
// job, which starts once the runs have stopped. place is the place of the unit u that
// the job claims, if any; why explains the preemption to operators.
func (s *State) startAfterPreemption(j Job, at, place []int, u *guaranteedUnit, preempted []*run, why string) {
	s.queue.remove(j.ID)
	delete(s.blockedJobs, j.ID)
	s.pending[j.ID] = &pendingStart{
		job:         j,
		workers:     at,
		planWorkers: place,
		unit:        u,
		deadline:    s.now.Add(preemptionTimeout),
	}
	s.free.Allocate(at, j.Shape.Size)
	for _, r := range preempted {
		s.preempt(r, why)
	}
}

func (s *State) preempt(r *run, why string) {
	r.stopping = true
	s.decisions = append(s.decisions, Decision{
		kind:   Preempt,
		job:    r.ID,
		reason: why,
	})
}

// cancelPending returns a pending start to the queue. While the state is dirty,
// the grids are left alone: they are about to be rebuilt without the start.
func (s *State) cancelPending(h *pendingStart) {
	delete(s.pending, h.job.ID)
	if !s.dirty {
		s.free.Release(h.workers, h.job.Shape.Size)
	}
	if h.unit != nil && h.unit.claimedBy == h.job.ID {
		h.unit.claimedBy = ""
		if !s.dirty {
			s.reclaimable.Release(h.planWorkers, h.unit.Shape.Size)
			s.surplus.Release(h.planWorkers, h.unit.Shape.Size)
			s.planUnit(h.unit)
		}
	}
	s.queue.push(h.job, s.priority(h.job))
}

// startPending starts the jobs whose places have become free, and returns those
// that have waited longer than preemptionTimeout to the queue.
func (s *State) startPending(now time.Time) {
	for _, h := range s.sortedPending() {
		if !now.Before(h.deadline) {
			s.cancelPending(h)
			continue
		}
		if !s.free.NotOvercommitted(h.workers) {
			continue
		}
		delete(s.pending, h.job.ID)
		s.free.Release(h.workers, h.job.Shape.Size)
		r := s.newRun(h.job, h.workers)
		r.unit = h.unit
		if h.unit != nil {
			s.setPlanPlace(r, h.planWorkers, h.unit.Shape.Size)
		}
		if h.unit == nil && r.notReclaimable && !s.allocateInPlan(nil, r) {
			s.queue.push(h.job, s.priority(h.job))
			continue
		}
		s.startRun(r)
	}
}

func (s *State) sortedPending() []*pendingStart {
	l := make([]*pendingStart, 0, len(s.pending))
	for _, h := range s.pending {
		l = append(l, h)
	}
	slices.SortFunc(l, func(a, b *pendingStart) int { return cmp.Compare(a.job.ID, b.job.ID) })
	return l
}

func isSkipped(k pack.Skip, i int) bool { return k != nil && k(i) }
