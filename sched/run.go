package sched

import (
	"time"

	"hemlockhinge/conf"
	"hemlockhinge/pack"
)

// run is a job that has been started.
type run struct {
	Job
	// workers is the worker of each task, as an index into the grids, and
	// workerIDs its id, which stays valid when the grids are rebuilt.
	workerIDs []string
	workers   []int
	// planWorkers, planWorkerIDs and planSize are the place that the plan takes
	// out for the run: that of the claimed unit, if any.
	planWorkers   []int
	planWorkerIDs []string
	planSize      pack.Size
	unit          *guaranteedUnit
	class         conf.JobClass
	// notReclaimable marks a run that cannot be preempted in time for a claim.
	notReclaimable bool
	started        time.Time
	lastCheckpoint time.Time
	stopping       bool
	// confirmed means that the job's tasks are reported to run.
	confirmed bool
}

// allocate takes the place of a run out of the grids. Workers that are not in the
// grids any more are left out.
func (s *State) allocate(r *run) {
	r.workers = s.workerIndexes(r.workerIDs)
	r.planWorkers = s.workerIndexes(r.planWorkerIDs)
	s.free.Take(r.workers, r.Shape.Size)
	if r.notReclaimable || r.unit != nil {
		s.reclaimable.Take(r.planWorkers, r.planSize)
	}
}

// workerIndexes returns the indexes of the workers that are in the grids.
func (s *State) workerIndexes(ids []string) []int {
	l := make([]int, 0, len(ids))
	for _, v := range ids {
		if i, ok := s.free.Index(v); ok {
			l = append(l, i)
		}
	}
	return l
}

// Adopt adds a job that is already running.
func (s *State) Adopt(j Job, at []string, claim string, started time.Time) {
	if s.runs[j.ID] != nil {
		return
	}
	s.Remove(j.ID)
	c := s.class(j)
	r := &run{
		Job:            j,
		workerIDs:      at,
		planWorkerIDs:  at,
		planSize:       j.Shape.Size,
		class:          c,
		notReclaimable: j.Once || s.notReclaimable(c),
		started:        started,
		lastCheckpoint: started,
		confirmed:      true,
	}
	if claim != "" {
		r.unit = &guaranteedUnit{
			Unit: conf.Unit{
				Guarantee: claim,
			},
		}
		s.reattachUnit(r)
	}
	s.runs[j.ID] = r
	s.updateUsage(r, 1)
	s.dirty = true
}

// Began records that the tasks of a started job run.
func (s *State) Began(id string, now time.Time) {
	if r := s.runs[id]; r != nil && !r.confirmed {
		r.confirmed = true
		r.started = now
		r.lastCheckpoint = now
	}
}

// Ending describes how an attempt ended.
type Ending struct {
	// Success and Failed mean that the job itself has ended.
	Success bool
	Failed  bool
	// Blame is the worker because of which the attempt ended, if any.
	Blame string
	// Again means that the job returns to the queue.
	Again bool
}

// Ended records that no task of a job runs any more.
func (s *State) Ended(id string, e Ending, now time.Time) {
	r := s.runs[id]
	if r == nil {
		return
	}
	delete(s.runs, id)
	s.updateUsage(r, -1)
	s.changed = true
	if !s.dirty {
		s.deallocate(r)
	}
	if r.unit != nil {
		r.unit.claimedBy = ""
	}
	if e.Success {
		s.estimator.Observe(r.Job, now.Sub(r.started))
	}
	s.recordHealth(r, e, now)
	if e.Again {
		if r.stopping {
			r.Moves++
		}
		r.After = now.Add(restartDelay)
		s.queue.push(r.Job, s.priority(r.Job))
	}
	if !s.dirty && r.unit != nil {
		s.planUnit(r.unit)
		if !r.unit.placed {
			s.replan()
		}
	}
}

// recordHealth records the result of an attempt in the workers' health.
func (s *State) recordHealth(r *run, e Ending, now time.Time) {
	before := s.health.quarantinedCount()
	switch {
	case e.Success:
		for _, w := range r.workerIDs {
			s.health.recordSuccess(w)
		}
	case e.Blame != "":
		s.health.recordFailure(e.Blame, r.ID, len(s.workers), now)
		r.Avoid = append(r.Avoid, e.Blame)
	}
	if s.health.quarantinedCount() != before {
		s.dirty = true
	}
}

// deallocate returns the place of a run to the grids.
func (s *State) deallocate(r *run) {
	s.free.Give(r.workers, r.Shape.Size)
	if r.notReclaimable || r.unit != nil {
		s.reclaimable.Give(r.planWorkers, r.planSize)
		s.surplus.Give(r.planWorkers, r.planSize)
	}
}
