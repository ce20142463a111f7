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

// Time limits of the steps of starting an attempt.
const (
	reserveTimeout = time.Second
	commitTimeout  = 4 * time.Second
	writeTimeout   = 10 * time.Second
)

// attempt is the scheduler's state of one attempt to run a job. Its fields are guarded
// by the scheduler's mu.
type attempt struct {
	sched *scheduler
	job   jobs.Job
	// taskWorkers is the worker of each task; tasks on the same worker are adjacent.
	taskWorkers []string
	// committedAt is zero until the attempt has been committed.
	committedAt time.Time
	// partStates is the last known state of each part, by worker.
	partStates map[string]gang.PartState
	// leadLost means that the lead was not reached, or has not confirmed that it leads
	// the attempt.
	leadLost bool
	// checking means that a call of check is in progress.
	checking bool
	// stopOrder is nil until the attempt is to be stopped.
	stopOrder *wire.Stop
}

func newAttempt(s *scheduler, r store.Record[jobs.Job], d sched.Decision) *attempt {
	j := r.Body
	j.Attempt++
	j.Epoch = s.epoch
	j.Try = uint64(time.Now().UnixNano()) //nolint:gosec // after 1970
	j.Guarantee = d.Claim()
	return &attempt{
		sched:       s,
		job:         j,
		taskWorkers: d.Workers(),
		partStates:  map[string]gang.PartState{},
	}
}

func (s *scheduler) log(job string) *logrus.Entry {
	return s.entry.ports.Log.WithField("job", job).WithField("failure_domain", s.domain)
}

// start reserves capacity for an attempt, commits it, and transfers it to its lead. If
// it fails before the commit, nothing needs to be undone: reservations expire by
// themselves.
func (a *attempt) start(c context.Context) {
	j := a.job
	parts, err := a.reserve(c)
	if err != nil {
		a.cancelReservations(c, parts)
		a.abandon("reserve", err)
		return
	}
	j.Parts = parts
	r, err := a.commit(c, j)
	var u *store.UncertainError
	switch {
	case errors.As(err, &u):
		a.sched.log(j.ID).WithError(err).Warn("commit_outcome_unknown")
		a.abandon("commit", err)
		return
	case err != nil:
		a.cancelReservations(c, parts)
		a.abandon("commit", err)
		return
	}
	a.sched.mu.Lock()
	a.job = r.Body
	a.committedAt = time.Now()
	a.sched.mu.Unlock()
	a.sched.log(j.ID).WithField("attempt", j.Attempt).WithField("workers", len(parts)).Info("job_committed")
	if err := a.sendPrepare(c, r.Body); err != nil {
		a.sched.log(j.ID).WithError(err).Warn("lead_not_reached")
		a.sched.mu.Lock()
		a.leadLost = true
		a.sched.mu.Unlock()
	}
}

// abandon ends an attempt that is not known to be committed. If it was committed after
// all, the job's record shows this and the scheduler adopts the attempt.
func (a *attempt) abandon(step string, err error) {
	s := a.sched
	s.log(a.job.ID).WithField("step", step).WithError(err).Info("attempt_abandoned")
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts[a.job.ID] == a {
		delete(s.attempts, a.job.ID)
		r, ok := s.entry.cachedRecord(a.job.ID)
		s.state.MarkEnded(a.job.ID, sched.AttemptEnd{
			Requeue: ok && r.Body.State == jobs.Accepted && r.Body.Domain == s.domain,
		}, time.Now())
		s.changedJobs[a.job.ID] = true
	}
	s.triggerDecision()
}

// reserve asks the agent of each worker to reserve its part. It returns the parts that
// were reserved, and the errors of all others.
func (a *attempt) reserve(c context.Context) ([]jobs.Part, error) {
	l := a.groupByWorker()
	e := make([]error, len(l))
	var w sync.WaitGroup
	for i := range l {
		w.Go(func() { e[i] = a.reservePart(c, &l[i]) })
	}
	w.Wait()
	for i := len(l) - 1; i >= 0; i-- {
		if e[i] != nil {
			l = slices.Delete(l, i, i+1)
		}
	}
	return l, errors.Join(e...)
}

// groupByWorker returns a part for each worker, with the tasks that run there.
func (a *attempt) groupByWorker() []jobs.Part {
	var l []jobs.Part
	for i, w := range a.taskWorkers {
		if n := len(l); n > 0 && l[n-1].Worker == w {
			l[n-1].TaskCount++
			continue
		}
		l = append(l, jobs.Part{
			Worker:    w,
			FirstTask: i,
			TaskCount: 1,
		})
	}
	return l
}

// reservePart asks one agent to reserve its part. If the agent does not answer in time,
// its connection is closed, so that its worker is not used again before the agent has
// reconnected.
func (a *attempt) reservePart(c context.Context, p *jobs.Part) error {
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
		TaskCount: p.TaskCount,
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

// cancelReservations frees reserved parts early. It does not wait for replies.
func (a *attempt) cancelReservations(c context.Context, l []jobs.Part) {
	for _, p := range l {
		if v := a.sched.entry.agentPeer(p.Worker); v != nil {
			go func() {
				_, _ = wire.CallFor[*wire.Ack](c, v, &wire.CancelReservation{Attempt: a.job.WireAttempt()}, callTimeout)
			}()
		}
	}
}

// commit reads the latest version of the objects from the store, after all parts have
// been reserved, and then writes the job's record. The attempt exists if and only if
// this write takes effect.
func (a *attempt) commit(c context.Context, j jobs.Job) (store.Record[jobs.Job], error) {
	c, cancel := context.WithTimeout(c, commitTimeout)
	defer cancel()
	r, ok := a.sched.entry.cachedRecord(j.ID)
	if !ok {
		return r, wire.Refuse(wire.CodeUnknown, "job %q has no record", j.ID)
	}
	o, err := a.sched.entry.readLatestObjects(c)
	if err != nil {
		return r, err
	}
	if d, ok := o.FailureDomain(a.sched.domain); !ok || d.OutOfService {
		return r, wire.Refuse(wire.CodeOutOfService, "failure domain %q is out of service", a.sched.domain)
	}
	if r.Body.State != jobs.Accepted || r.Body.CancelRequested || r.Body.Attempt != j.Attempt-1 || r.Body.Domain != a.sched.domain {
		return r, wire.Refuse(wire.CodeAlreadyDone, "job %q has changed since it was planned", j.ID)
	}
	if !a.sched.holdsLease() {
		return r, wire.Refuse(wire.CodeStaleEpoch, "the scheduler's lease has expired")
	}
	j.State = jobs.Committed
	r.Body = j
	return a.sched.entry.writeJob(c, r)
}

// sendPrepare transfers the attempt to the agent of the first part, which is the lead.
func (a *attempt) sendPrepare(c context.Context, j jobs.Job) error {
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
			TaskCount: p.TaskCount,
		})
	}
	v := a.sched.entry.agentPeer(j.Parts[0].Worker)
	if v == nil {
		return wire.Refuse(wire.CodeUnknown, "agent %q is not connected", j.Parts[0].Worker)
	}
	_, err := wire.CallFor[*wire.Ack](c, v, m, callTimeout)
	return err
}

// adopt adds an attempt that is in the job's record but not known to this scheduler:
// it was committed by an earlier scheduler, or by a write whose outcome was unknown.
// The caller holds mu.
func (s *scheduler) adopt(r store.Record[jobs.Job]) {
	j := r.Body
	n := time.Now()
	b := j.Started
	if b.IsZero() {
		b = n
	}
	s.state.Adopt(schedJob(j), j.Workers(), j.Guarantee, b)
	s.attempts[j.ID] = &attempt{
		sched:       s,
		job:         j,
		taskWorkers: j.Workers(),
		committedAt: n,
		partStates:  map[string]gang.PartState{},
		leadLost:    true,
	}
	s.log(j.ID).WithField("attempt", j.Attempt).Info("job_adopted")
	if j.CancelRequested {
		s.group.Go(func() { s.stopAttempt(context.Background(), j.ID, cancelReason, false) })
	}
}

// cancelReason is the reason sent when a job is stopped because it was cancelled.
const cancelReason = "cancelled by its caller"

// stopAttempt sends a request to stop a committed attempt. The regular checks of
// attempts repeat the request until the attempt is over.
func (s *scheduler) stopAttempt(c context.Context, job, why string, checkpoint bool) {
	s.mu.Lock()
	a := s.attempts[job]
	if a == nil || a.committedAt.IsZero() {
		s.mu.Unlock()
		return
	}
	if a.stopOrder == nil {
		a.stopOrder = &wire.Stop{
			Attempt:    a.job.WireAttempt(),
			WholeGang:  true,
			Checkpoint: checkpoint,
			Reason:     why,
		}
	}
	a.stopOrder.Checkpoint = a.stopOrder.Checkpoint && checkpoint
	s.mu.Unlock()
	a.sendStop(c)
}

// sendStop asks the lead to stop the gang. If the lead does not answer, it asks the
// next member that does: the lead detects that this member has stopped, and stops the
// others.
func (a *attempt) sendStop(c context.Context) {
	a.sched.mu.Lock()
	m := *a.stopOrder
	l := a.job.Parts
	a.sched.mu.Unlock()
	for _, p := range l {
		v := a.sched.entry.agentPeer(p.Worker)
		if v == nil {
			continue
		}
		if _, err := wire.CallFor[*wire.MemberStatus](c, v, &m, callTimeout); err == nil {
			return
		}
	}
}
