package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/gang"
	"hemlockhinge/jobs"
	"hemlockhinge/sched"
	"hemlockhinge/store"
	"hemlockhinge/wire"
)

// Time limits of the steps of a start.
const (
	reserveTimeout = time.Second
	commitTimeout  = 4 * time.Second
	writeTimeout   = 10 * time.Second
)

// attempt is one try of running a job, as its scheduler sees it. Its fields
// are guarded by the scheduler's mu.
type attempt struct {
	sched     *scheduler
	job       jobs.Job
	at        []string
	committed time.Time
	words     map[string]gang.PartState
	leadGone  bool
	asking    bool
	stop      *wire.Stop
}

func newAttempt(s *scheduler, r store.Record[jobs.Job], d sched.Decision) *attempt {
	j := r.Body
	j.Attempt++
	j.Epoch = s.epoch
	j.Try = uint64(time.Now().UnixNano()) //nolint:gosec // after 1970
	j.Guarantee = d.Claim()
	return &attempt{
		sched: s,
		job:   j,
		at:    d.Workers(),
		words: map[string]gang.PartState{},
	}
}

func (s *scheduler) log(job string) *logrus.Entry {
	return s.entry.ports.Log.WithField("job", job).WithField("failure_domain", s.domain)
}

// start takes an attempt from reservations to its commit, and hands it to the
// lead. Until the commit nothing has happened that needs undoing: reservations
// run out by themselves.
func (a *attempt) start(c context.Context) {
	j := a.job
	parts, err := a.reserve(c)
	if err != nil {
		a.dropAll(c, parts)
		a.giveUp("reserve", err)
		return
	}
	j.Parts = parts
	r, err := a.commit(c, j)
	var u *store.UncertainError
	switch {
	case errors.As(err, &u):
		a.sched.log(j.ID).WithError(err).Warn("commit_unknown")
		a.giveUp("commit", err)
		return
	case err != nil:
		a.dropAll(c, parts)
		a.giveUp("commit", err)
		return
	}
	a.sched.mu.Lock()
	a.job = r.Body
	a.committed = time.Now()
	a.sched.mu.Unlock()
	a.sched.log(j.ID).WithField("attempt", j.Attempt).WithField("workers", len(parts)).Info("job_committed")
	if err := a.prepare(c, r.Body); err != nil {
		a.sched.log(j.ID).WithError(err).Warn("lead_not_reached")
		a.sched.mu.Lock()
		a.leadGone = true
		a.sched.mu.Unlock()
	}
}

// giveUp ends an attempt that was not committed, as far as is known; if it was
// after all, the record shows it and the scheduler adopts it.
func (a *attempt) giveUp(step string, err error) {
	s := a.sched
	s.log(a.job.ID).WithField("step", step).WithError(err).Info("attempt_given_up")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts[a.job.ID] == a {
		delete(s.attempts, a.job.ID)
		r, ok := s.entry.record(a.job.ID)
		s.state.MarkEnded(a.job.ID, sched.AttemptEnd{
			Requeue: ok && r.Body.State == jobs.Accepted && r.Body.Domain == s.domain,
		}, time.Now())
		s.touched[a.job.ID] = true
	}
	s.poke()
}

// reserve asks each worker's agent for its part. It returns the parts that
// were granted, and the first refusal.
func (a *attempt) reserve(c context.Context) ([]jobs.Part, error) {
	l := a.parts()
	e := make([]error, len(l))
	var w sync.WaitGroup
	for i := range l {
		w.Go(func() { e[i] = a.reserveOne(c, &l[i]) })
	}
	w.Wait()
	for i := len(l) - 1; i >= 0; i-- {
		if e[i] != nil {
			l = slices.Delete(l, i, i+1)
		}
	}
	return l, errors.Join(e...)
}

// parts groups the tasks by worker.
func (a *attempt) parts() []jobs.Part {
	var l []jobs.Part
	for i, w := range a.at {
		if n := len(l); n > 0 && l[n-1].Worker == w {
			l[n-1].Tasks++
			continue
		}
		l = append(l, jobs.Part{
			Worker:    w,
			FirstTask: i,
			Tasks:     1,
		})
	}
	return l
}

// reserveOne asks one agent. One that does not answer in time is dropped until
// it announces itself again, so that the next try goes elsewhere.
func (a *attempt) reserveOne(c context.Context, p *jobs.Part) error {
	e := a.sched.entry
	e.mu.Lock()
	s := e.sessions[p.Worker]
	if s != nil {
		p.Address = s.agent.Address
	}
	e.mu.Unlock()
	if s == nil {
		return wire.Refuse(wire.CodeUnknown, "agent %q is not connected", p.Worker)
	}
	g, err := wire.CallFor[*wire.Reserved](c, s.peer, &wire.Reserve{
		Attempt:   a.job.WireAttempt(),
		Size:      a.job.Shape.Size,
		TaskCount: p.Tasks,
	}, reserveTimeout)
	if errors.Is(err, context.DeadlineExceeded) {
		s.peer.Close()
	}
	if err != nil {
		return err
	}
	p.Incarnation = g.Incarnation
	return nil
}

func (a *attempt) dropAll(c context.Context, l []jobs.Part) {
	for _, p := range l {
		if v := a.sched.entry.peerOf(p.Worker); v != nil {
			go func() {
				_, _ = wire.CallFor[*wire.Ack](c, v, &wire.CancelReservation{Attempt: a.job.WireAttempt()}, callTimeout)
			}()
		}
	}
}

// commit reads the head of the objects, after all grants, and then writes the
// record. This write alone decides that the attempt exists.
func (a *attempt) commit(c context.Context, j jobs.Job) (store.Record[jobs.Job], error) {
	c, cancel := context.WithTimeout(c, commitTimeout)
	defer cancel()
	r, ok := a.sched.entry.record(j.ID)
	if !ok {
		return r, wire.Refuse(wire.CodeUnknown, "job %q is gone", j.ID)
	}
	o, err := a.sched.entry.confirm(c)
	if err != nil {
		return r, err
	}
	if d, ok := o.FailureDomain(a.sched.domain); !ok || d.OutOfService {
		return r, wire.Refuse(wire.CodeOutOfService, "failure domain %q is out of service", a.sched.domain)
	}
	if r.Body.State != jobs.Accepted || r.Body.CancelRequested || r.Body.Attempt != j.Attempt-1 || r.Body.Domain != a.sched.domain {
		return r, wire.Refuse(wire.CodeAlreadyDone, "job %q has changed meanwhile", j.ID)
	}
	if !a.sched.valid() {
		return r, wire.Refuse(wire.CodeStaleEpoch, "the scheduler's lease has lapsed")
	}
	j.State = jobs.Committed
	r.Body = j
	return a.sched.entry.writeJob(c, r)
}

// prepare hands the attempt to the agent of the first part.
func (a *attempt) prepare(c context.Context, j jobs.Job) error {
	k, _ := a.sched.entry.objects()
	g, _ := k.JobClass(j.Class)
	m := &wire.Prepare{
		Attempt: j.WireAttempt(),
		Spec: wire.TaskSpec{
			Customer: j.Customer,
			Size:     j.Shape.Size,
			Command:  j.Command,
			GraceMS:  uint32(g.Grace.Std().Milliseconds()), //nolint:gosec // bounded by conf
			Restore:  j.Checkpointed,
		},
	}
	for _, p := range j.Parts {
		m.Parts = append(m.Parts, wire.GangPart{
			Agent:     p.Worker,
			Address:   p.Address,
			FirstTask: p.FirstTask,
			TaskCount: p.Tasks,
		})
	}
	v := a.sched.entry.peerOf(j.Parts[0].Worker)
	if v == nil {
		return wire.Refuse(wire.CodeUnknown, "agent %q is not connected", j.Parts[0].Worker)
	}
	_, err := wire.CallFor[*wire.Ack](c, v, m, callTimeout)
	return err
}

// adopt takes over an attempt that another scheduler, or an unanswered commit
// of this one, has begun. The caller holds mu.
func (s *scheduler) adopt(r store.Record[jobs.Job]) {
	j := r.Body
	n := time.Now()
	b := j.Started
	if b.IsZero() {
		b = n
	}
	s.state.Adopt(schedJob(j), j.Workers(), j.Guarantee, b)
	s.attempts[j.ID] = &attempt{
		sched:     s,
		job:       j,
		at:        j.Workers(),
		committed: n,
		words:     map[string]gang.PartState{},
		leadGone:  true,
	}
	s.log(j.ID).WithField("attempt", j.Attempt).Info("job_adopted")
	if j.CancelRequested {
		s.group.Go(func() { s.stopAttempt(context.Background(), j.ID, cancelReason, false) })
	}
}

// cancelReason is why a job stops that its caller has cancelled.
const cancelReason = "cancelled by its caller"

// stopAttempt has a running attempt stopped. The inquiry repeats it until the
// attempt is over.
func (s *scheduler) stopAttempt(c context.Context, job, why string, checkpoint bool) {
	s.mu.Lock()
	a := s.attempts[job]
	if a == nil || a.committed.IsZero() {
		s.mu.Unlock()
		return
	}
	if a.stop == nil {
		a.stop = &wire.Stop{
			Attempt:    a.job.WireAttempt(),
			WholeGang:  true,
			Checkpoint: checkpoint,
			Reason:     why,
		}
	}
	a.stop.Checkpoint = a.stop.Checkpoint && checkpoint
	s.mu.Unlock()
	a.sendStop(c)
}

// sendStop tells the lead to stop the gang, or the first member that answers;
// the lead misses a member that has stopped, and stops the others.
func (a *attempt) sendStop(c context.Context) {
	a.sched.mu.Lock()
	m := *a.stop
	l := a.job.Parts
	a.sched.mu.Unlock()
	for _, p := range l {
		v := a.sched.entry.peerOf(p.Worker)
		if v == nil {
			continue
		}
		if _, err := wire.CallFor[*wire.MemberStatus](c, v, &m, callTimeout); err == nil {
			return
		}
	}
}
