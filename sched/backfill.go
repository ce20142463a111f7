package sched

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"hemlockhinge/pack"
)

// reservation is capacity set aside from a future time on for a job that does not
// fit now.
type reservation struct {
	start   time.Time
	workers []int
	size    pack.Size
}

// endsBeforeReservations reports whether a run that ends at the given time delays
// no reservation.
func (p *queuePass) endsBeforeReservations(end time.Time) bool {
	for _, h := range p.reservations {
		if end.After(h.start) {
			return false
		}
	}
	return true
}

// handleBlocked records that a job does not fit now, unless maxReservations jobs
// are ahead of it. It preempts small or overtaking runs for the job if the limits
// allow it, and otherwise makes a reservation. Jobs that would not end before the
// reservation starts must then leave its capacity free.
func (s *State) handleBlocked(p *queuePass, j Job) {
	if len(p.reservations) >= maxReservations {
		return
	}
	w := s.blockedJobs[j.ID]
	if w == nil {
		w = &blockedJob{
			since: s.now,
		}
		s.blockedJobs[j.ID] = w
	}
	if s.preemptForBlocked(j, w) {
		p.extra.Allocate(s.pending[j.ID].workers, j.Shape.Size)
		return
	}
	h, after, ok := s.earliestReservation(p, j)
	if !ok {
		return
	}
	if w.expectedStart.IsZero() || h.start.Before(w.expectedStart) {
		w.expectedStart = h.start
	}
	p.extra.LimitFree(after)
	p.reservations = append(p.reservations, h)
}

// overdue reports whether a job is blocked beyond the start estimated for it, or
// for longer than overdueAfter, since the estimate may be far off.
func (s *State) overdue(w *blockedJob) bool {
	if s.now.Sub(w.since) > overdueAfter {
		return true
	}
	return !w.expectedStart.IsZero() && s.now.After(w.expectedStart.Add(overdueSlack))
}

// preemptForBlocked preempts runs for a job that has been blocked for a while.
// Small runs may be preempted since they soon find another place. Once the job is
// overdue, so may runs that have overtaken it, however wrong the run times were
// that let them be backfilled; this bounds the delay that backfilling can cause.
func (s *State) preemptForBlocked(j Job, w *blockedJob) bool {
	if s.now.Sub(w.since) < blockedPreemptInterval || s.now.Sub(w.lastPreemptTry) < blockedPreemptInterval {
		return false
	}
	w.lastPreemptTry = s.now
	o := s.overdue(w)
	maxSmall := coreEquivalents(&run{Job: j}) / smallRunDivisor
	v := slices.DeleteFunc(s.victims(j, true), func(x victim) bool {
		r := x.run
		if r.class.Priority < s.priority(j) || !r.confirmed {
			return true
		}
		overtaking := o && overtook(r, j, w)
		small := coreEquivalents(r) <= maxSmall && r.Preemptions < maxPreemptions
		return !overtaking && !small
	})
	at, preempted, ok := s.planPreemption(j.Shape, v, s.excludedWorkers(j))
	if !ok || !s.withinPreemptionLimit(j, w, preempted, o) {
		return false
	}
	s.startAfterPreemption(j, at, nil, nil, preempted, "room for job "+j.ID)
	return true
}

// overtook reports whether a run belongs to a younger job that started while j
// was blocked, or that runs although j was preempted before.
func overtook(r *run, j Job, w *blockedJob) bool {
	return r.Created.After(j.Created) && (j.Preemptions > 0 || !r.started.Before(w.since))
}

// withinPreemptionLimit reports whether the runs to preempt for a job are small
// enough in total. Runs that overtook an overdue job do not count.
func (s *State) withinPreemptionLimit(j Job, w *blockedJob, preempted []*run, overdue bool) bool {
	total := 0.0
	for _, r := range preempted {
		if overdue && overtook(r, j, w) {
			continue
		}
		total += coreEquivalents(r)
	}
	return total <= coreEquivalents(&run{Job: j})/smallRunDivisor
}

// earliestReservation returns the earliest time and place at which a job fits
// beside the existing reservations, if runs end as estimated, and the capacity
// that is left at that time.
func (s *State) earliestReservation(p *queuePass, j Job) (reservation, *pack.Grid, bool) {
	if p.runsByEnd == nil {
		p.runsByEnd = s.sortRunsByEnd()
	}
	k := s.excludedWorkers(j)
	n := sort.Search(len(p.runsByEnd)+1, func(n int) bool {
		_, ok := s.freeAfter(p, n).Place(j.Shape, k)
		return ok
	})
	if n > len(p.runsByEnd) {
		return reservation{}, nil, false
	}
	g := s.freeAfter(p, n)
	at, ok := g.Place(j.Shape, k)
	if !ok {
		return reservation{}, nil, false
	}
	h := reservation{
		start:   s.now,
		workers: at,
		size:    j.Shape.Size,
	}
	if n > 0 {
		h.start = s.now.Add(s.estimator.remaining(p.runsByEnd[n-1], s.now))
	}
	g.Allocate(at, h.size)
	return h, g, true
}

// sortRunsByEnd lists the runs in the order of their estimated ends.
func (s *State) sortRunsByEnd() []*run {
	l := make([]*run, 0, len(s.runs))
	for _, r := range s.runs {
		l = append(l, r)
	}
	slices.SortFunc(l, func(a, b *run) int {
		if c := cmp.Compare(s.estimator.remaining(a, s.now), s.estimator.remaining(b, s.now)); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	})
	return l
}

// freeAfter returns the capacity beside the reservations once the first n runs
// have ended.
func (s *State) freeAfter(p *queuePass, n int) *pack.Grid {
	g := s.free.Clone()
	for _, r := range p.runsByEnd[:n] {
		g.Release(r.workers, r.Shape.Size)
	}
	for _, h := range p.reservations {
		g.Allocate(h.workers, h.size)
	}
	return g
}
