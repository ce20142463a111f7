package sched

import (
	"slices"

	"hemlockhinge/conf"
)

// replan finds places for all unclaimed units together on the reclaimable
// capacity, those that are hardest to place first.
func (s *State) replan() {
	s.surplus = s.reclaimable.Clone()
	s.unplacedUnits = 0
	for _, u := range s.hardestFirst() {
		u.placed = false
		u.workers = nil
		if u.claimedBy != "" {
			continue
		}
		s.planUnit(u)
	}
}

func (s *State) hardestFirst() []*guaranteedUnit {
	l := slices.Clone(s.units)
	slices.SortStableFunc(l, func(a, b *guaranteedUnit) int { return conf.CompareDifficulty(a.Shape, b.Shape) })
	return l
}

// planUnit finds a place for one more unit beside those in the plan.
func (s *State) planUnit(u *guaranteedUnit) {
	p, ok := s.surplus.Place(u.Shape, nil)
	u.placed = ok
	u.workers = p
	if !ok {
		s.unplacedUnits++
		return
	}
	s.surplus.Allocate(p, u.Shape.Size)
}

// removeFromPlan takes an unclaimed unit out of the plan.
func (s *State) removeFromPlan(u *guaranteedUnit) {
	if u.placed {
		s.surplus.Release(u.workers, u.Shape.Size)
	} else {
		s.unplacedUnits--
	}
	u.placed = false
	u.workers = nil
}

// allocateInPlan subtracts the place of a run from the reclaimable capacity: for
// the claimed unit u or, when u is nil, for a run that cannot be preempted in time
// for a claim. It does so only if the plan then has no more units without a place
// than before; otherwise nothing changes and it returns false.
func (s *State) allocateInPlan(u *guaranteedUnit, r *run) bool {
	o := s.savePlan()
	if u != nil {
		s.removeFromPlan(u)
		u.claimedBy = r.ID
	}
	s.reclaimable.Allocate(r.planWorkers, r.planSize)
	if s.surplus.HasFree(r.planWorkers, r.planSize) {
		s.surplus.Allocate(r.planWorkers, r.planSize)
		return true
	}
	s.replan()
	if s.unplacedUnits <= o.unplacedUnits && s.reclaimable.NotOvercommitted(r.planWorkers) {
		return true
	}
	s.reclaimable.Release(r.planWorkers, r.planSize)
	if u != nil {
		u.claimedBy = ""
	}
	s.restorePlan(o)
	return false
}

// planSnapshot is a copy of the plan, to restore it from.
type planSnapshot struct {
	workers       [][]int
	placed        []bool
	unplacedUnits int
}

func (s *State) savePlan() planSnapshot {
	p := planSnapshot{
		unplacedUnits: s.unplacedUnits,
	}
	for _, u := range s.units {
		p.workers = append(p.workers, u.workers)
		p.placed = append(p.placed, u.placed)
	}
	return p
}

func (s *State) restorePlan(p planSnapshot) {
	s.surplus = s.reclaimable.Clone()
	for i, u := range s.units {
		u.workers = p.workers[i]
		u.placed = p.placed[i]
		s.surplus.Allocate(u.workers, u.Shape.Size)
	}
	s.unplacedUnits = p.unplacedUnits
}

// unitFor returns the smallest unclaimed unit of the customer that the job fits
// into, or nil.
func (s *State) unitFor(j Job) *guaranteedUnit {
	var b *guaranteedUnit
	for _, u := range s.units {
		if u.Customer != j.Customer || u.claimedBy != "" || !j.Shape.FitsWithin(u.Shape) {
			continue
		}
		if b == nil || u.Shape.Total().Accelerators < b.Shape.Total().Accelerators {
			b = u
		}
	}
	return b
}
