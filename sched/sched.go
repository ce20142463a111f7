// Package sched decides which jobs of a failure domain start, on which workers,
// and which running jobs are preempted for them.
//
// A State holds one failure domain: its workers, its queue, its running jobs,
// and the units of the customers' guarantees that are assigned to it. Decide
// takes the current time and returns decisions; the caller carries them out and
// reports the results. The package reads no clock and does no input or output.
//
// Jobs that claim a guaranteed unit of their customer start first, if need be by
// preemption. All other jobs borrow capacity that no claimed unit uses. They are
// ordered by the priority of their class, then by their customer's share of the
// usage, then by age. A job that cannot be preempted in time for a claim is
// placed only if all unclaimed units together still have a place afterwards. A
// large job that does not fit now gets a reservation for a later time; smaller
// jobs are backfilled ahead of it only where they do not delay it.
//
// # Usage
//
//	s := sched.New()
//	s.SetObjects(objects, units, "split-a", now)
//	s.SetWorkers(workers)
//	s.Submit(job)
//	for _, d := range s.Decide(now) { ... }
package sched

import (
	"slices"
	"time"

	"hemlockhinge/conf"
	"hemlockhinge/pack"
)

// Limits of one call of Decide, and times of the policy.
const (
	// maxJobsPerPass is how many jobs beyond guarantees one call of Decide
	// tries to place.
	maxJobsPerPass = 2000
	// maxReservations is how many blocked jobs get a reservation in one call
	// of Decide.
	maxReservations = 4
	// blockedPreemptInterval is how long a job must have been blocked before
	// others are preempted for it, and the time between two such tries.
	blockedPreemptInterval = 20 * time.Second
	// fairShareDelay is by how much jobs of a customer that uses its fair share
	// are postponed in the order by age.
	fairShareDelay = 10 * time.Minute
	// overdueAfter is how long a job may be blocked before it is overdue,
	// whatever start was estimated for it.
	overdueAfter = 10 * time.Minute
	// overdueSlack is how far a job's start may be behind its estimate before
	// the job is overdue.
	overdueSlack = 2 * time.Minute
	// smallRunDivisor: runs of at most 1/smallRunDivisor of a blocked job's
	// size may be preempted for it, up to the same size in total.
	smallRunDivisor = 2
	// maxPreemptions is how often a run may have been preempted and still be
	// preempted as a small run for a blocked job.
	maxPreemptions = 3
	// startMargin is the part of a guarantee's reclaim time that is reserved for
	// starting the claiming job once the preempted ones have stopped.
	startMargin = 4 * time.Second
	// preemptionTimeout is how long a job waits for the runs that were
	// preempted for it to stop, before it returns to the queue.
	preemptionTimeout = 5 * time.Minute
	// rampTime is how long starts are rate-limited after a failure domain has
	// returned to service.
	rampTime = 20 * time.Second
	// restartDelay is the least time between the end of an attempt and the
	// job's next start.
	restartDelay = 2 * time.Second
)

// Job is a job that is queued or running.
type Job struct {
	ID       string
	Customer string
	Class    string
	Shape    pack.Shape
	RunTime  time.Duration
	Created  time.Time
	// NotRestartable marks a job that must not be started again once it has run. It is
	// therefore never preempted.
	NotRestartable bool
	// Preemptions counts the job's preemptions.
	Preemptions int
	// AvoidWorkers lists workers on which the job has failed.
	AvoidWorkers []string
	// NotBefore is the earliest time of the next start.
	NotBefore time.Time
}

// Kind is the kind of a decision.
type Kind uint8

// The kinds of decisions.
const (
	// Start means that an attempt of the job starts on the decision's Workers.
	Start Kind = iota + 1
	// Preempt means that the running job must checkpoint and stop.
	Preempt
	// Unschedulable means that the job does not fit the failure domain's declared
	// capacity, even if all of it is free.
	Unschedulable
)

// Decision is an action for the caller to carry out.
type Decision struct {
	kind    Kind
	job     string
	workers []string
	claim   string
	reason  string
}

// Kind returns the kind of the decision.
func (d Decision) Kind() Kind { return d.kind }

// Job returns the id of the job.
func (d Decision) Job() string { return d.job }

// Workers returns the worker of each task of a job to start.
func (d Decision) Workers() []string { return d.workers }

// Claim returns the name of the guarantee that a job to start claims, or "".
func (d Decision) Claim() string { return d.claim }

// Reason explains the decision in words, for operators.
func (d Decision) Reason() string { return d.reason }

// guaranteedUnit is one gang's worth of guaranteed capacity. While it is
// unclaimed, workers is the place that the plan sets aside for it, if placed.
type guaranteedUnit struct {
	conf.Unit
	// claimedBy is the id of the job that claims the unit, or "".
	claimedBy string
	workers   []int
	placed    bool
}

// pendingStart is a job whose place is set aside until the runs that were
// preempted for it have stopped.
type pendingStart struct {
	job Job
	// workers is the worker of each task, and planWorkers that of each task of
	// the claimed unit, which may have more of them.
	workers     []int
	planWorkers []int
	unit        *guaranteedUnit
	deadline    time.Time
}

// State is the scheduling state of one failure domain. New makes one.
type State struct {
	objects      *conf.Objects
	domain       string
	outOfService bool
	// rampEnd is when the rate limit on starts ends that follows a return to
	// service. The limit is a token bucket, last refilled at rampRefilled.
	rampEnd      time.Time
	rampTokens   float64
	rampRefilled time.Time

	// workers is each announced worker by its id. The grids have only those
	// that are usable and not quarantined.
	workers map[string]WorkerInfo
	// free is the capacity that neither runs nor pending starts use.
	free *pack.Grid
	// reclaimable is the capacity that is free or can be preempted in time for
	// a claim: all but claimed units and runs that are not reclaimable.
	reclaimable *pack.Grid
	// surplus is the reclaimable capacity that the plan does not set aside for
	// unclaimed units.
	surplus *pack.Grid
	// empty is the capacity of all workers in the grids, as if nothing ran.
	empty *pack.Grid
	// dirty means that the grids must be rebuilt before they are used.
	dirty bool
	// unplacedUnits counts the unclaimed units that the plan has no place for.
	unplacedUnits int
	// changed means that Decide may find something to do; nextDecide is when
	// it is due in any case.
	changed    bool
	nextDecide time.Time

	units       []*guaranteedUnit
	queue       queue
	runs        map[string]*run
	pending     map[string]*pendingStart
	blockedJobs map[string]*blockedJob
	classes     map[string]conf.JobClass
	customers   map[string]conf.Customer
	// shareSum is the sum of all customers' weighted usage, and
	// activeCustomers the number of those that use something.
	shareSum        float64
	activeCustomers int
	usage           map[string]pack.Size
	runningTasks    map[string]int
	estimator       RunTimeEstimator
	health          healthTracker
	now             time.Time
	decisions       []Decision
}

// blockedJob is the history of a job that did not fit. expectedStart is the
// earliest start that was estimated for it.
type blockedJob struct {
	since          time.Time
	expectedStart  time.Time
	lastPreemptTry time.Time
}

// WorkerInfo describes one worker. Usable is false while the worker drains or
// its heartbeats are missing.
type WorkerInfo struct {
	ID       string
	Rack     string
	Capacity pack.Size
	Usable   bool
}

// New returns an empty state.
func New() *State {
	s := &State{
		objects:      &conf.Objects{},
		workers:      map[string]WorkerInfo{},
		runs:         map[string]*run{},
		pending:      map[string]*pendingStart{},
		blockedJobs:  map[string]*blockedJob{},
		usage:        map[string]pack.Size{},
		runningTasks: map[string]int{},
		dirty:        true,
	}
	s.rebuild()
	return s
}

// Estimator returns the estimator of run times.
func (s *State) Estimator() *RunTimeEstimator { return &s.estimator }

// SetObjects sets the operators' objects and the guaranteed units that are
// assigned to the failure domain. Running jobs keep the units that they claim.
func (s *State) SetObjects(o *conf.Objects, units []conf.Unit, domain string, now time.Time) {
	d, _ := o.FailureDomain(domain)
	if s.outOfService && !d.OutOfService {
		s.rampEnd = now.Add(rampTime)
		s.rampRefilled = now
		s.rampTokens = 0
	}
	s.outOfService = d.OutOfService
	s.indexObjects(o)
	s.domain = domain
	s.units = nil
	for _, u := range units {
		s.units = append(s.units, &guaranteedUnit{
			Unit: u,
		})
	}
	for _, r := range s.runs {
		r.class = s.class(r.Job)
		s.reattachUnit(r)
	}
	for _, h := range s.pending {
		s.cancelPending(h)
	}
	s.dirty = true
	s.changed = true
}

// reattachUnit attaches a running job that has claimed a unit to an unclaimed
// unit of the same guarantee, after the units were replaced.
func (s *State) reattachUnit(r *run) {
	if r.unit == nil {
		return
	}
	n := r.unit.Guarantee
	r.unit = nil
	for _, u := range s.units {
		if u.Guarantee == n && u.claimedBy == "" && r.Shape.FitsWithin(u.Shape) {
			r.unit = u
			u.claimedBy = r.ID
			return
		}
	}
}

// SetWorkers replaces the list of workers.
func (s *State) SetWorkers(l []WorkerInfo) {
	m := make(map[string]WorkerInfo, len(l))
	for _, w := range l {
		m[w.ID] = w
	}
	s.workers = m
	s.dirty = true
	s.changed = true
}

// rebuild recomputes the grids from the workers and runs. Pending starts return
// to the queue.
func (s *State) rebuild() {
	var w []pack.Worker
	for _, v := range s.workers {
		if v.Usable && !s.health.quarantined(v.ID) {
			w = append(w, pack.Worker{
				ID:    v.ID,
				Rack:  v.Rack,
				Total: v.Capacity,
				Free:  v.Capacity,
			})
		}
	}
	slices.SortFunc(w, func(a, b pack.Worker) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	s.empty = pack.NewGrid(w)
	s.free = s.empty.Clone()
	s.reclaimable = s.empty.Clone()
	for _, h := range s.pending {
		s.cancelPending(h)
	}
	for _, r := range s.runs {
		s.allocate(r)
	}
	s.dirty = false
	s.replan()
}

// Submit queues a job. It has no effect if the job is known already.
func (s *State) Submit(j Job) {
	if s.runs[j.ID] != nil || s.pending[j.ID] != nil {
		return
	}
	s.queue.push(j, s.priority(j))
	s.changed = true
}

func (s *State) priority(j Job) int {
	return s.classes[j.Class].Priority
}

// Remove takes a job that has not started out of the queue, for instance when it
// is cancelled.
func (s *State) Remove(id string) {
	s.queue.remove(id)
	s.changed = true
	delete(s.blockedJobs, id)
	if h := s.pending[id]; h != nil {
		s.cancelPending(h)
	}
}

// notReclaimable reports whether jobs of a class cannot be preempted within the
// reclaim time of every guaranteed unit of this failure domain.
func (s *State) notReclaimable(c conf.JobClass) bool {
	if c.NotPreemptible {
		return true
	}
	for _, u := range s.units {
		if c.Grace.Std()+startMargin > u.Reclaim {
			return true
		}
	}
	return false
}
