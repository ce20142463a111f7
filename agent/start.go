package agent

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"hemlockhinge/gang"
	"hemlockhinge/pack"
	"hemlockhinge/wire"
	"hemlockhinge/worker"
)

// maxParallelStarts limits the number of starts that a member sends to the worker in
// parallel.
const maxParallelStarts = 16

// fenceEpoch refuses an attempt whose epoch is below the highest one seen, and records the
// epoch otherwise. The caller holds mu.
func (a *Agent) fenceEpoch(t wire.Attempt) error {
	if t.Epoch < a.epoch {
		return &wire.RefusedError{
			Code:   wire.CodeStaleEpoch,
			Detail: fmt.Sprintf("epoch %d of job %q is below %d", t.Epoch, t.Job, a.epoch),
			Epoch:  a.epoch,
		}
	}
	a.epoch = t.Epoch
	return nil
}

// checkAcceptsWork refuses new work if the agent is shutting down or its failure domain is
// out of service. The caller holds mu.
func (a *Agent) checkAcceptsWork() error {
	if a.leaving {
		return wire.Refuse(wire.CodeLeaving, "agent %q is shutting down", a.settings.ID)
	}
	if a.config.OutOfService {
		return wire.Refuse(wire.CodeOutOfService, "failure domain %q is out of service", a.settings.FailureDomain)
	}
	return nil
}

// freeCapacity returns the capacity that no active member has reserved. The caller holds
// mu.
func (a *Agent) freeCapacity() pack.Size {
	z := a.settings.Capacity
	for _, m := range a.members {
		if m.Phase() != wire.PhaseEnded {
			z = z.Sub(m.taskSize.Times(m.Tasks()))
		}
	}
	return z
}

// handleReserve reserves capacity for an attempt. A later try of the same attempt replaces
// a reservation that has not started.
func (a *Agent) handleReserve(v *wire.Reserve) (wire.Message, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.fenceEpoch(v.Attempt); err != nil {
		return nil, err
	}
	if err := a.checkAcceptsWork(); err != nil {
		return nil, err
	}
	k := keyOf(v.Attempt)
	if m := a.members[k]; m != nil && (m.MayHaveRun() || !m.Attempt().Before(v.Attempt)) {
		return nil, wire.Refuse(wire.CodeAlreadyDone, "attempt %d of job %q is already %s", k.number, k.job, m.Phase())
	}
	if !a.freeCapacity().Holds(v.Size.Times(v.TaskCount)) {
		return nil, wire.Refuse(wire.CodeBusy, "agent %q has no free capacity for %d tasks of %+v", a.settings.ID, v.TaskCount, v.Size)
	}
	a.lastHandle++
	a.members[k] = &member{
		handle:         a.lastHandle,
		Member:         gang.NewMember(v.Attempt, v.TaskCount, time.Now()),
		taskSize:       v.Size,
		results:        map[string]wire.Result{},
		overuseReports: map[string]int{},
	}
	return &wire.Reserved{
		Incarnation: a.incarnation,
		ValidMS:     uint32(gang.StartWindow.Milliseconds()), //nolint:gosec // a constant
	}, nil
}

// handleCancelReservation removes an attempt that has not started here or has ended. It
// refuses to remove one that may be running.
func (a *Agent) handleCancelReservation(v *wire.CancelReservation) (wire.Message, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := keyOf(v.Attempt)
	m := a.members[k]
	switch {
	case m == nil || !m.Attempt().Same(v.Attempt):
	case m.Phase() == wire.PhaseEnded || !m.MayHaveRun():
		delete(a.members, k)
		a.notifyChange()
	default:
		return nil, wire.Refuse(wire.CodeBusy, "attempt %d of job %q is %s, not reserved or ended", k.number, k.job, m.Phase())
	}
	return &wire.Ack{}, nil
}

// findMember returns the member of exactly this try of an attempt. The caller holds mu.
func (a *Agent) findMember(t wire.Attempt) (*member, error) {
	m := a.members[keyOf(t)]
	if m == nil || !m.Attempt().Same(t) {
		return nil, wire.Refuse(wire.CodeUnknown, "agent %q has no such try of attempt %d of job %q", a.settings.ID, t.Number, t.Job)
	}
	return m, nil
}

// handleJoin moves a member to ready. The connection p, on which the call arrived, is kept
// to tell the lead when the member ends.
func (a *Agent) handleJoin(p *wire.Peer, v *wire.Join) (wire.Message, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m, err := a.findMember(v.Attempt)
	if err != nil {
		return nil, err
	}
	if err := a.checkAcceptsWork(); err != nil {
		return nil, err
	}
	if v.Part.TaskCount != m.Tasks() {
		return nil, wire.Refuse(wire.CodeUnknown, "part has %d tasks, but %d are reserved", v.Part.TaskCount, m.Tasks())
	}
	m.spec = v.Spec
	m.firstTask = v.Part.FirstTask
	m.leadPeer = p
	return &wire.Joined{
		Handle: m.handle,
	}, m.Join(time.Now())
}

// handleStartTasks starts the tasks of a ready member. If a start fails, the whole member
// is stopped.
func (a *Agent) handleStartTasks(c context.Context, v *wire.StartTasks) (wire.Message, error) {
	a.mu.Lock()
	m, err := a.findMember(v.Attempt)
	if err == nil {
		err = a.checkAcceptsWork()
	}
	if err == nil {
		err = m.Start(time.Now())
	}
	a.mu.Unlock()
	if err != nil {
		return nil, err
	}
	err = a.startTasks(c, m)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.ports.Log.WithField("job", v.Attempt.Job).WithError(err).Warn("task_start_failed")
		a.stopMember(m, err.Error())
	} else {
		m.MarkRunning()
		a.metrics.tasksStarted.Add(float64(m.Tasks()))
	}
	r := m.Report()
	return &r, nil
}

// startTasks starts all tasks of a member. The worker refuses a start that arrives after
// the member's start deadline.
func (a *Agent) startTasks(c context.Context, m *member) error {
	a.mu.Lock()
	u := m.LeaseExpiry()
	b := m.StartDeadline()
	a.mu.Unlock()
	g, c := errgroup.WithContext(c)
	g.SetLimit(maxParallelStarts)
	for i, id := range m.taskIDs() {
		g.Go(func() error {
			err := a.ports.Worker.Start(c, worker.Task{
				ID:          id,
				Size:        m.taskSize,
				Command:     m.spec.Command,
				StartBefore: b,
				LeaseUntil:  u,
				Restore:     m.spec.Restore,
			})
			if err != nil {
				return fmt.Errorf("start task %d: %w", m.firstTask+i, err)
			}
			return nil
		})
	}
	return g.Wait()
}
