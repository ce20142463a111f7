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

// Intervals of a scheduler's work.
const (
	decideEvery  = time.Second
	decidePause  = 10 * time.Millisecond
	inquireEvery = time.Second
	warmUp       = 1500 * time.Millisecond
)

// scheduler is the role of one failure domain at this entry.
type scheduler struct {
	entry  *Entry
	domain string
	epoch  uint64
	lease  store.Lease
	wake   chan struct{}
	done   chan struct{}
	once   sync.Once
	group  sync.WaitGroup
	since  time.Time

	mu       sync.Mutex
	state    *sched.State
	version  uint64
	workers  []sched.WorkerInfo
	touched  map[string]bool
	attempts map[string]*attempt
	moved    map[string]time.Time
}

func newScheduler(e *Entry, domain string, epoch uint64, l store.Lease) *scheduler {
	return &scheduler{
		entry:    e,
		domain:   domain,
		epoch:    epoch,
		lease:    l,
		wake:     make(chan struct{}, 1),
		done:     make(chan struct{}),
		since:    time.Now(),
		state:    sched.New(),
		touched:  map[string]bool{},
		attempts: map[string]*attempt{},
		moved:    map[string]time.Time{},
	}
}

// end stops the scheduler; what it has begun is fenced by its epoch.
func (s *scheduler) end() { s.once.Do(func() { close(s.done) }) }

// poke has the scheduler decide soon.
func (s *scheduler) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// valid reports whether the role is held by this process's own clock.
func (s *scheduler) valid() bool {
	id, ok := s.entry.leaseID()
	return ok && id == s.lease
}

// run decides until the role ends.
func (s *scheduler) run(c context.Context) {
	c, cancel := context.WithCancel(c)
	defer s.group.Wait()
	defer cancel()
	s.load(c)
	t := time.NewTicker(decideEvery)
	defer t.Stop()
	inquired := time.Now()
	for {
		select {
		case <-c.Done():
			return
		case <-s.done:
			return
		case <-t.C:
		case <-s.wake:
			pause.For(c, decidePause)
		}
		if !s.valid() {
			continue
		}
		s.refresh()
		if time.Since(inquired) >= inquireEvery {
			inquired = time.Now()
			s.inquire(c)
			s.rebalance(c)
		}
		if time.Since(s.since) >= warmUp {
			s.decide(c)
		}
	}
}

// load reads all records once more, so that nothing that an earlier scheduler
// wrote is missed.
func (s *scheduler) load(c context.Context) {
	for c.Err() == nil {
		l, _, err := s.entry.records.List(c)
		if err == nil {
			s.entry.keepJobs(l)
			for _, r := range s.entry.openJobs(s.domain) {
				s.touch(r.ID)
			}
			return
		}
		s.entry.ports.Log.WithField("failure_domain", s.domain).WithError(err).Warn("jobs_not_read")
		select {
		case <-s.done:
			return
		default:
			pause.For(c, retryPause)
		}
	}
}

// touch has the scheduler look at a job's record again.
func (s *scheduler) touch(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.touched[id] = true
	s.poke()
}

// refresh takes over the objects, the workers and the records that changed.
func (s *scheduler) refresh() {
	o, v := s.entry.objects()
	w := s.entry.workers(s.domain)
	s.mu.Lock()
	defer s.mu.Unlock()
	if v != s.version {
		s.version = v
		s.state.SetObjects(o, s.entry.units(s.domain), s.domain, time.Now())
	}
	if !slices.Equal(w, s.workers) {
		s.workers = w
		s.state.SetWorkers(w)
	}
	for id := range s.touched {
		delete(s.touched, id)
		r, ok := s.entry.record(id)
		if !ok || r.Body.Domain != s.domain {
			s.state.Remove(id)
			delete(s.moved, id)
			continue
		}
		s.take(r)
	}
}

// workers lists the workers of a failure domain that are heard.
func (e *Entry) workers(domain string) []sched.WorkerInfo {
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

// take looks at a record that has changed. The caller holds mu.
func (s *scheduler) take(r store.Record[jobs.Job]) {
	j := r.Body
	a := s.attempts[j.ID]
	if a != nil && !a.committed.IsZero() && old(j, a.job.WireAttempt()) {
		s.forget(j.ID)
		a = nil
	}
	switch {
	case j.State.Final():
		s.state.Remove(j.ID)
		delete(s.moved, j.ID)
	case j.MayBeRunning() && a == nil:
		s.adopt(r)
	case j.MayBeRunning() && j.CancelRequested:
		s.group.Go(func() { s.stopAttempt(context.Background(), j.ID, cancelReason, false) })
	case j.State == jobs.Accepted && j.CancelRequested && a == nil:
		s.state.Remove(j.ID)
		s.group.Go(func() { s.finish(r, jobs.Cancelled, "cancelled before it started") })
	case j.State == jobs.Accepted && a == nil:
		s.state.Submit(schedJob(j))
	}
}

// schedJob is a job as the decisions see it.
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

// forget drops an attempt that is over by its record, which another process
// may have written. The caller holds mu.
func (s *scheduler) forget(id string) {
	if s.attempts[id] != nil {
		delete(s.attempts, id)
		s.state.MarkEnded(id, sched.AttemptEnd{}, time.Now())
	}
}

// decide asks the policy and carries out what it says.
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
		l = append(l, s.act(c, v))
	}
	s.mu.Unlock()
	s.entry.meter.decide.Observe(time.Since(n).Seconds())
	for _, f := range l {
		if f != nil {
			s.group.Go(f)
		}
	}
}

// act prepares a decision and returns what is left to do without the lock.
func (s *scheduler) act(c context.Context, d sched.Decision) func() {
	r, ok := s.entry.record(d.Job())
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
		return func() { s.never(c, r, d.Reason()) }
	}
	return nil
}

// preempt asks the lead to checkpoint and stop its gang.
func (s *scheduler) preempt(c context.Context, r store.Record[jobs.Job], why string) {
	s.log(r.ID).WithField("reason", why).Info("job_preempted")
	s.entry.meter.preempted.Inc()
	s.stopAttempt(c, r.ID, why, true)
}

// never refuses a job, or hands it to a failure domain that can hold it.
func (s *scheduler) never(c context.Context, r store.Record[jobs.Job], why string) {
	if d, err := s.entry.chooseDomain(r.Body, s.domain); err == nil {
		s.move(c, r, d)
		return
	}
	s.finish(r, jobs.Refused, why)
}

// move hands a waiting job to another failure domain.
func (s *scheduler) move(c context.Context, r store.Record[jobs.Job], domain string) {
	r.Body.Domain = domain
	if _, err := s.entry.writeJob(c, r); err != nil {
		s.log(r.ID).WithError(err).Warn("job_not_moved")
		return
	}
	s.log(r.ID).WithField("to", domain).Info("job_moved")
}

// Limits of moving jobs between failure domains.
const (
	moveAfter   = 15 * time.Second
	movePause   = 30 * time.Second
	movesAtOnce = 8
)

// rebalance hands on jobs that cannot start here: at once when the failure
// domain is out or the workers on which they failed are needed, and after a
// wait when another one has room.
func (s *scheduler) rebalance(c context.Context) {
	o, _ := s.entry.objects()
	d, ok := o.FailureDomain(s.domain)
	out := !ok || d.OutOfService
	moves := 0
	for _, r := range s.entry.openJobs(s.domain) {
		if r.Body.State != jobs.Accepted || r.Body.CancelRequested || moves >= movesAtOnce && !out {
			continue
		}
		must := out || s.barred(r.Body)
		if !s.mayMove(r, must) {
			continue
		}
		t, err := s.entry.betterDomain(r.Body, s.domain, must)
		if err != nil {
			continue
		}
		moves++
		s.group.Go(func() { s.move(c, r, t) })
	}
}

// barred reports whether the workers here could not hold a job without those
// on which it has failed.
func (s *scheduler) barred(j jobs.Job) bool {
	l := j.FailedWorkers()
	if len(l) == 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.state.FitsWhenEmpty(j.Shape, l)
}

func (s *scheduler) mayMove(r store.Record[jobs.Job], must bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := time.Now()
	if s.attempts[r.ID] != nil || s.state.AwaitingPreemption(r.ID) {
		return false
	}
	if !must && (n.Sub(r.Body.Created) < moveAfter || n.Sub(s.since) < moveAfter) {
		return false
	}
	if n.Sub(s.moved[r.ID]) < movePause && !must {
		return false
	}
	s.moved[r.ID] = n
	return true
}

// status sums up the failure domain.
func (s *scheduler) status() sched.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.View()
}

// announced looks at what an agent says that it holds.
func (s *scheduler) announced(v *wire.Announce) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.attempts {
		a.announced(v)
	}
	s.poke()
}
