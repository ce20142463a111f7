package sched

import (
	"time"

	"hemlockhinge/conf"
	"hemlockhinge/pack"
)

// run is a job that has been started.
type run struct {
	Job
	// workerIDs has the id of the worker of each task, which stays valid when
	// the grids are rebuilt, and workers its index into the grids.
	workerIDs []string
	workers   []int
	// planWorkers, planWorkerIDs and planSize are the place that the plan of
	// guaranteed units subtracts for the run: that of the claimed unit, if any.
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

// allocate subtracts the place of a run from the grids. Workers that are not in the
// grids any more are left out.
func (s *State) allocate(r *run) {
	r.workers = s.workerIndexes(r.workerIDs)
	r.planWorkers = s.workerIndexes(r.planWorkerIDs)
	s.free.Allocate(r.workers, r.Shape.Size)
	if r.notReclaimable || r.unit != nil {
		s.reclaimable.Allocate(r.planWorkers, r.planSize)
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
		notReclaimable: j.NotRestartable || s.notReclaimable(c),
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

// MarkRunning records that the tasks of a started job run.
func (s *State) MarkRunning(id string, now time.Time) {
	if r := s.runs[id]; r != nil && !r.confirmed {
		r.confirmed = true
		r.started = now
		r.lastCheckpoint = now
	}
}

// AttemptEnd describes how an attempt ended.
type AttemptEnd struct {
	// Success and Failed mean that the job itself has ended.
	Success bool
	Failed  bool
	// BlamedWorker is the worker because of which the attempt ended, if any.
	BlamedWorker string
	// Requeue means that the job returns to the queue.
	Requeue bool
}

// MarkEnded records that no task of a job runs any more.
func (s *State) MarkEnded(id string, e AttemptEnd, now time.Time) {
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
	if e.Requeue {
		if r.stopping {
			r.Preemptions++
		}
		r.NotBefore = now.Add(restartDelay)
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
func (s *State) recordHealth(r *run, e AttemptEnd, now time.Time) {
	before := s.health.quarantinedCount()
	switch {
	case e.Success:
		for _, w := range r.workerIDs {
			s.health.recordSuccess(w)
		}
	case e.BlamedWorker != "":
		s.health.recordFailure(e.BlamedWorker, r.ID, len(s.workers), now)
		r.AvoidWorkers = append(r.AvoidWorkers, e.BlamedWorker)
	}
	if s.health.quarantinedCount() != before {
		s.dirty = true
	}
}

// deallocate returns the place of a run to the grids.
func (s *State) deallocate(r *run) {
	s.free.Release(r.workers, r.Shape.Size)
	if r.notReclaimable || r.unit != nil {
		s.reclaimable.Release(r.planWorkers, r.planSize)
		s.surplus.Release(r.planWorkers, r.planSize)
	}
}
