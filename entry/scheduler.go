package entry

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"hemlockhinge/jobs"
	"hemlockhinge/pause"
	"hemlockhinge/sched"
	"hemlockhinge/store"
	"hemlockhinge/wire"
)

// Intervals of a scheduler. decideDelay is the delay between a trigger and the pass of
// decisions, so that changes close together share a pass. warmUpTime is the delay
// between the start of a scheduler and its first decisions.
const (
	decideInterval       = time.Second
	decideDelay          = 10 * time.Millisecond
	attemptCheckInterval = time.Second
	warmUpTime           = 1500 * time.Millisecond
)

// scheduler schedules the jobs of one failure domain while this entry holds the role.
type scheduler struct {
	entry     *Entry
	domain    string
	epoch     uint64
	lease     store.Lease
	wake      chan struct{}
	stopped   chan struct{}
	stopOnce  sync.Once
	group     sync.WaitGroup
	startedAt time.Time

	mu             sync.Mutex
	state          *sched.State
	objectsVersion uint64
	workers        []sched.WorkerInfo
	// changedJobs is the set of jobs whose records applyChanges has yet to apply.
	changedJobs map[string]bool
	attempts    map[string]*attempt
	// lastMoves is when each job was last to be moved to another failure domain.
	lastMoves map[string]time.Time
}

func newScheduler(e *Entry, domain string, epoch uint64, l store.Lease) *scheduler {
	return &scheduler{
		entry:       e,
		domain:      domain,
		epoch:       epoch,
		lease:       l,
		wake:        make(chan struct{}, 1),
		stopped:     make(chan struct{}),
		startedAt:   time.Now(),
		state:       sched.New(),
		changedJobs: map[string]bool{},
		attempts:    map[string]*attempt{},
		lastMoves:   map[string]time.Time{},
	}
}

// stop stops the scheduler. Its operations that are in progress are fenced by its epoch.
func (s *scheduler) stop() { s.stopOnce.Do(func() { close(s.stopped) }) }

// triggerDecision makes run start the next pass of decisions without waiting for
// decideInterval.
func (s *scheduler) triggerDecision() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// holdsLease reports whether the lease of the role is valid by the clock of this
// process.
func (s *scheduler) holdsLease() bool {
	id, ok := s.entry.leaseID()
	return ok && id == s.lease
}

// run applies changes and makes decisions until c ends or the scheduler is stopped. It
// does nothing while the lease is not valid.
func (s *scheduler) run(c context.Context) {
	c, cancel := context.WithCancel(c)
	defer s.group.Wait()
	defer cancel()
	s.loadRecords(c)
	t := time.NewTicker(decideInterval)
	defer t.Stop()
	lastCheck := time.Now()
	for {
		select {
		case <-c.Done():
			return
		case <-s.stopped:
			return
		case <-t.C:
		case <-s.wake:
			pause.For(c, decideDelay)
		}
		if !s.holdsLease() {
			continue
		}
		s.applyChanges()
		if time.Since(lastCheck) >= attemptCheckInterval {
			lastCheck = time.Now()
			s.checkAttempts(c)
			s.rebalance(c)
		}
		if time.Since(s.startedAt) >= warmUpTime {
			s.decide(c)
		}
	}
}

// loadRecords lists all job records, so that every write of an earlier scheduler is
// known before the first decision.
func (s *scheduler) loadRecords(c context.Context) {
	for c.Err() == nil {
		l, _, err := s.entry.records.List(c)
		if err == nil {
			s.entry.cacheJobs(l)
			for _, r := range s.entry.openJobs(s.domain) {
				s.markChanged(r.ID)
			}
			return
		}
		s.entry.ports.Log.WithField("failure_domain", s.domain).WithError(err).Warn("jobs_not_read")
		select {
		case <-s.stopped:
			return
		default:
			pause.For(c, retryPause)
		}
	}
}

// markChanged makes the scheduler apply a job's record in its next pass.
func (s *scheduler) markChanged(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changedJobs[id] = true
	s.triggerDecision()
}

// applyChanges updates the scheduling state with the objects, workers and job records
// that have changed.
func (s *scheduler) applyChanges() {
	o, v := s.entry.objects()
	w := s.entry.connectedWorkers(s.domain)
	s.mu.Lock()
	defer s.mu.Unlock()
	if v != s.objectsVersion {
		s.objectsVersion = v
		s.state.SetObjects(o, s.entry.guaranteedUnits(s.domain), s.domain, time.Now())
	}
	if !slices.Equal(w, s.workers) {
		s.workers = w
		s.state.SetWorkers(w)
	}
	for id := range s.changedJobs {
		delete(s.changedJobs, id)
		r, ok := s.entry.cachedRecord(id)
		if !ok || r.Body.Domain != s.domain {
			s.state.Remove(id)
			delete(s.lastMoves, id)
			continue
		}
		s.applyRecord(r)
	}
}

// connectedWorkers returns the workers of a failure domain whose agents are connected.
func (e *Entry) connectedWorkers(domain string) []sched.WorkerInfo {
	e.mu.Lock()
	defer e.mu.Unlock()
	var l []sched.WorkerInfo
	for _, v := range e.sessions {
		if v.agent.Domain != domain {
			continue
		}
		l = append(l, sched.WorkerInfo{
			ID:       v.agent.Agent,
			Rack:     v.agent.Rack,
			Capacity: v.agent.Capacity,
			Usable:   !v.leaving,
		})
	}
	slices.SortFunc(l, func(a, b sched.WorkerInfo) int { return strings.Compare(a.ID, b.ID) })
	return l
}

// applyRecord updates the scheduling state with a changed record, and adopts, stops or
// ends the attempt or the job if the record requires it. The caller holds mu.
func (s *scheduler) applyRecord(r store.Record[jobs.Job]) {
	j := r.Body
	a := s.attempts[j.ID]
	if a != nil && !a.committedAt.IsZero() && pastAttempt(j, a.job.WireAttempt()) {
		s.forgetAttempt(j.ID)
		a = nil
	}
	switch {
	case j.State.Final():
		s.state.Remove(j.ID)
		delete(s.lastMoves, j.ID)
	case j.MayBeRunning() && a == nil:
		s.adopt(r)
	case j.MayBeRunning() && j.CancelRequested:
		s.group.Go(func() { s.stopAttempt(context.Background(), j.ID, cancelReason, false) })
	case j.State == jobs.Accepted && j.CancelRequested && a == nil:
		s.state.Remove(j.ID)
		s.group.Go(func() { s.finishJob(r, jobs.Cancelled, "cancelled before it started") })
	case j.State == jobs.Accepted && a == nil:
		s.state.Submit(schedJob(j))
	}
}

// schedJob converts a job to the type of package sched.
func schedJob(j jobs.Job) sched.Job {
	v := sched.Job{
		ID:             j.ID,
		Customer:       j.Customer,
		Class:          j.Class,
		Shape:          j.Shape,
		RunTime:        j.RunTime.Std(),
		Created:        j.Created,
		NotRestartable: !j.Idempotent,
		Preemptions:    j.Preemptions,
	}
	v.AvoidWorkers = j.FailedWorkers()
	return v
}

// forgetAttempt removes an attempt that is over according to the job's record, which
// another process may have written. The caller holds mu.
func (s *scheduler) forgetAttempt(id string) {
	if s.attempts[id] != nil {
		delete(s.attempts, id)
		s.state.MarkEnded(id, sched.AttemptEnd{}, time.Now())
	}
}

// decide makes a pass of decisions and executes them. Calls and writes are done without
// the lock.
func (s *scheduler) decide(c context.Context) {
	n := time.Now()
	s.mu.Lock()
	if !s.state.Due(n) {
		s.mu.Unlock()
		return
	}
	d := s.state.Decide(n)
	var l []func()
	for _, v := range d {
		l = append(l, s.execute(c, v))
	}
	s.mu.Unlock()
	s.entry.meter.decide.Observe(time.Since(n).Seconds())
	for _, f := range l {
		if f != nil {
			s.group.Go(f)
		}
	}
}

// execute begins to execute a decision, and returns the part that must run without the
// lock, or nil. The caller holds mu.
func (s *scheduler) execute(c context.Context, d sched.Decision) func() {
	r, ok := s.entry.cachedRecord(d.Job())
	if !ok {
		s.state.MarkEnded(d.Job(), sched.AttemptEnd{}, time.Now())
		return nil
	}
	switch d.Kind() {
	case sched.Start:
		a := newAttempt(s, r, d)
		s.attempts[d.Job()] = a
		return func() { a.start(c) }
	case sched.Preempt:
		return func() { s.preempt(c, r, d.Reason()) }
	case sched.Unschedulable:
		return func() { s.handleUnschedulable(c, r, d.Reason()) }
	}
	return nil
}

// preempt asks the lead to checkpoint and stop its gang.
func (s *scheduler) preempt(c context.Context, r store.Record[jobs.Job], why string) {
	s.log(r.ID).WithField("reason", why).Info("job_preempted")
	s.entry.meter.preempted.Inc()
	s.stopAttempt(c, r.ID, why, true)
}

// handleUnschedulable moves a job that does not fit this failure domain to one that can
// hold it, or ends it as refused if there is none.
func (s *scheduler) handleUnschedulable(c context.Context, r store.Record[jobs.Job], why string) {
	if d, err := s.entry.chooseDomain(r.Body, s.domain); err == nil {
		s.moveJob(c, r, d)
		return
	}
	s.finishJob(r, jobs.Refused, why)
}

// moveJob moves a queued job to another failure domain.
func (s *scheduler) moveJob(c context.Context, r store.Record[jobs.Job], domain string) {
	r.Body.Domain = domain
	if _, err := s.entry.writeJob(c, r); err != nil {
		s.log(r.ID).WithError(err).Warn("job_not_moved")
		return
	}
	s.log(r.ID).WithField("to", domain).Info("job_moved")
}

// Limits of moving jobs between failure domains.
const (
	// minWaitBeforeMove counts from the creation of the job, and from the scheduler's
	// start.
	minWaitBeforeMove = 15 * time.Second
	minMoveInterval   = 30 * time.Second
	maxMovesPerPass   = 8
)

// rebalance moves queued jobs to other failure domains. A job moves at once if this
// failure domain is out of service, or cannot hold the job without the workers on which
// it has failed. Otherwise it moves after a wait, if betterDomain returns another.
func (s *scheduler) rebalance(c context.Context) {
	o, _ := s.entry.objects()
	d, ok := o.FailureDomain(s.domain)
	outOfService := !ok || d.OutOfService
	moves := 0
	for _, r := range s.entry.openJobs(s.domain) {
		if r.Body.State != jobs.Accepted || r.Body.CancelRequested || moves >= maxMovesPerPass && !outOfService {
			continue
		}
		must := outOfService || s.needsFailedWorkers(r.Body)
		if !s.mayMove(r, must) {
			continue
		}
		t, err := s.entry.betterDomain(r.Body, s.domain, must)
		if err != nil {
			continue
		}
		moves++
		s.group.Go(func() { s.moveJob(c, r, t) })
	}
}

// needsFailedWorkers reports whether the failure domain cannot hold a job without the
// workers on which it has failed.
func (s *scheduler) needsFailedWorkers(j jobs.Job) bool {
	l := j.FailedWorkers()
	if len(l) == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.state.FitsWhenEmpty(j.Shape, l)
}

// mayMove reports whether a job may be moved now, and if so records the time of the
// move. A job with an attempt or a pending start is not moved.
func (s *scheduler) mayMove(r store.Record[jobs.Job], must bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := time.Now()
	if s.attempts[r.ID] != nil || s.state.AwaitingPreemption(r.ID) {
		return false
	}
	if !must && (n.Sub(r.Body.Created) < minWaitBeforeMove || n.Sub(s.startedAt) < minWaitBeforeMove) {
		return false
	}
	if n.Sub(s.lastMoves[r.ID]) < minMoveInterval && !must {
		return false
	}
	s.lastMoves[r.ID] = n
	return true
}

// status returns a summary of the failure domain.
func (s *scheduler) status() sched.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.View()
}

// applyAnnounce applies an agent's announcement to all attempts.
func (s *scheduler) applyAnnounce(v *wire.Announce) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.attempts {
		a.applyAnnounce(v)
	}
	s.triggerDecision()
}
