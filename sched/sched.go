// Package sched decides which jobs start, where, and what gives way.
//
// A State holds one failure domain: its workers, its queue, what runs, and the
// guaranteed units that are its share. Decide looks at the time and returns
// decisions; the caller carries them out and reports back. The package reads
// no clock and does no input or output.
//
// The order is: holders of guarantees claiming their shape, then classes by
// priority, within a class the customer that uses the smallest share, then
// age. Before anything that cannot be preempted takes a place, a plan is
// checked that has room for every unclaimed guaranteed unit at once. A large
// job that finds no room gets a reservation in the future, which smaller jobs
// may pass only where they do not delay it.
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
	maxTries     = 2000
	maxShadows   = 4
	moveSlack    = 20 * time.Second
	shareAdvance = 10 * time.Minute
	overdueMost  = 10 * time.Minute
	overdueSlack = 2 * time.Minute
	smallPart    = 2
	maxMoves     = 3
	startMargin  = 4 * time.Second
	holdTimeout  = 5 * time.Minute
	rampTime     = 20 * time.Second
	restartPause = 2 * time.Second
)

// Job is a job that waits or runs.
type Job struct {
	ID       string
	Customer string
	Class    string
	Shape    pack.Shape
	RunTime  time.Duration
	Created  time.Time
	// Once marks a job that must not be started again once it has run, and is
	// therefore never preempted.
	Once bool
	// Moves is how often the job was preempted.
	Moves int
	// Avoid lists workers on which the job has failed.
	Avoid []string
	// After is the earliest time of the next start.
	After time.Time
}

// Kind says what a decision is.
type Kind uint8

// The kinds of decisions.
const (
	// Start means that the job's attempt begins at the workers in At.
	Start Kind = iota + 1
	// Preempt means that the running job must checkpoint and stop.
	Preempt
	// Never means that no declared capacity can hold the job.
	Never
)

// Decision is one thing to do.
type Decision struct {
	kind   Kind
	job    string
	at     []string
	claim  string
	reason string
}

// Kind returns what is to be done.
func (d Decision) Kind() Kind { return d.kind }

// Job returns the id of the job.
func (d Decision) Job() string { return d.job }

// At returns the worker of each task of a job to start.
func (d Decision) At() []string { return d.at }

// Claim returns the guarantee that a job to start claims, if any.
func (d Decision) Claim() string { return d.claim }

// Reason says why, for people.
func (d Decision) Reason() string { return d.reason }

// unit is one guaranteed gang's worth, with the place that the plan keeps for
// it while it is unclaimed.
type unit struct {
	conf.Unit
	claimed string
	at      []int
	placed  bool
}

// hold keeps a place for a job until those that run there have stopped.
type hold struct {
	job   Job
	at    []int
	spot  []int
	unit  *unit
	until time.Time
}

// State is one failure domain. New makes one.
type State struct {
	objects *conf.Objects
	domain  string
	out     bool
	rampEnd time.Time
	starts  float64
	ramped  time.Time

	listed  map[string]WorkerInfo
	grid    *pack.Grid
	keep    *pack.Grid
	spare   *pack.Grid
	empty   *pack.Grid
	dirty   bool
	missing int
	changed bool
	look    time.Time

	units     []*unit
	queue     queue
	runs      map[string]*run
	holds     map[string]*hold
	waits     map[string]*wait
	classes   map[string]conf.JobClass
	customers map[string]conf.Customer
	shareSum  float64
	users     int
	usage     map[string]pack.Size
	tasks     map[string]int
	learn     Learner
	health    health
	now       time.Time
	changes   []Decision
}

// wait is the history of a job that found no room. Promise is the earliest
// start that was reckoned for it.
type wait struct {
	since   time.Time
	promise time.Time
	tried   time.Time
}

// WorkerInfo is what is known of one worker. Usable is false while it leaves
// or is not heard.
type WorkerInfo struct {
	ID       string
	Rack     string
	Capacity pack.Size
	Usable   bool
}

// New returns an empty state.
func New() *State {
	s := &State{
		objects: &conf.Objects{},
		listed:  map[string]WorkerInfo{},
		runs:    map[string]*run{},
		holds:   map[string]*hold{},
		waits:   map[string]*wait{},
		usage:   map[string]pack.Size{},
		tasks:   map[string]int{},
		dirty:   true,
	}
	s.rebuild()
	return s
}

// Learner returns what has been learnt about run times.
func (s *State) Learner() *Learner { return &s.learn }

// SetObjects takes the operators' objects, and the guaranteed units that are
// assigned to the failure domain. Units that are claimed stay so.
func (s *State) SetObjects(o *conf.Objects, units []conf.Unit, domain string, now time.Time) {
	d, _ := o.FailureDomain(domain)
	if s.out && !d.Out {
		s.rampEnd = now.Add(rampTime)
		s.ramped = now
		s.starts = 0
	}
	s.out = d.Out
	s.learnObjects(o)
	s.domain = domain
	s.units = nil
	for _, u := range units {
		s.units = append(s.units, &unit{
			Unit: u,
		})
	}
	for _, r := range s.runs {
		r.class = s.class(r.Job)
		s.reclaim(r)
	}
	for _, h := range s.holds {
		s.release(h)
	}
	s.dirty = true
	s.changed = true
}

// reclaim attaches a running job that has claimed a guarantee to a unit of it.
func (s *State) reclaim(r *run) {
	if r.unit == nil {
		return
	}
	n := r.unit.Guarantee
	r.unit = nil
	for _, u := range s.units {
		if u.Guarantee == n && u.claimed == "" && r.Shape.Within(u.Shape) {
			r.unit = u
			u.claimed = r.ID
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
	s.listed = m
	s.dirty = true
	s.changed = true
}

// rebuild makes the grids anew from the workers and what runs.
func (s *State) rebuild() {
	var w []pack.Worker
	for _, v := range s.listed {
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
	s.grid = s.empty.Clone()
	s.keep = s.empty.Clone()
	for _, h := range s.holds {
		s.release(h)
	}
	for _, r := range s.runs {
		s.seat(r)
	}
	s.dirty = false
	s.replan()
}

// Submit queues a job. Submitting it again changes nothing.
func (s *State) Submit(j Job) {
	if s.runs[j.ID] != nil || s.holds[j.ID] != nil {
		return
	}
	s.queue.push(j, s.priority(j))
	s.changed = true
}

func (s *State) priority(j Job) int {
	return s.classes[j.Class].Priority
}

// Remove takes a waiting job out, for instance when it is cancelled.
func (s *State) Remove(id string) {
	s.queue.remove(id)
	s.changed = true
	delete(s.waits, id)
	if h := s.holds[id]; h != nil {
		s.release(h)
	}
}

// mustStay reports whether work of a class cannot give way in time for every
// guarantee held here.
func (s *State) mustStay(c conf.JobClass) bool {
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
