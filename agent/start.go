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

// startsAtOnce bounds the starts on the worker that run in parallel.
const startsAtOnce = 16

// fence refuses an epoch below the highest seen. The caller holds mu.
func (a *Agent) fence(t wire.Attempt) error {
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

// mayStart refuses new work while the agent leaves or its failure domain is
// out. The caller holds mu.
func (a *Agent) mayStart() error {
	if a.leaving {
		return wire.Refuse(wire.CodeLeaving, "agent %q leaves", a.set.ID)
	}
	if a.policy.OutOfService {
		return wire.Refuse(wire.CodeOutOfService, "failure domain %q is out of service", a.set.FailureDomain)
	}
	return nil
}

// free returns the capacity that no member holds. The caller holds mu.
func (a *Agent) free() pack.Size {
	z := a.set.Capacity
	for _, m := range a.members {
		if m.Phase() != wire.PhaseEnded {
			z = z.Sub(m.size.Times(m.Tasks()))
		}
	}
	return z
}

func (a *Agent) reserve(v *wire.Reserve) (wire.Message, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.fence(v.Attempt); err != nil {
		return nil, err
	}
	if err := a.mayStart(); err != nil {
		return nil, err
	}
	k := keyOf(v.Attempt)
	if m := a.members[k]; m != nil && (m.Started() || !m.Attempt().Before(v.Attempt)) {
		return nil, wire.Refuse(wire.CodeAlreadyDone, "attempt %d of job %q is %s here", k.number, k.job, m.Phase())
	}
	if !a.free().Holds(v.Size.Times(v.TaskCount)) {
		return nil, wire.Refuse(wire.CodeBusy, "agent %q has no room for %d tasks of %+v", a.set.ID, v.TaskCount, v.Size)
	}
	a.lastHandle++
	a.members[k] = &member{
		handle:  a.lastHandle,
		Member:  gang.NewMember(v.Attempt, v.TaskCount, time.Now()),
		size:    v.Size,
		results: map[string]wire.Result{},
		strikes: map[string]int{},
	}
	return &wire.Reserved{
		Incarnation: a.incarnation,
		ValidMS:     uint32(gang.StartWindow.Milliseconds()), //nolint:gosec // a constant
	}, nil
}

// dropReservation ends an attempt that has not started here, and forgets one
// that is over.
func (a *Agent) dropReservation(v *wire.CancelReservation) (wire.Message, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := keyOf(v.Attempt)
	m := a.members[k]
	switch {
	case m == nil || !m.Attempt().Same(v.Attempt):
	case m.Phase() == wire.PhaseEnded || !m.Started():
		delete(a.members, k)
		a.notify()
	default:
		return nil, wire.Refuse(wire.CodeBusy, "attempt %d of job %q is %s here", k.number, k.job, m.Phase())
	}
	return &wire.Ack{}, nil
}

// find returns the member of an attempt. The caller holds mu.
func (a *Agent) find(t wire.Attempt) (*member, error) {
	m := a.members[keyOf(t)]
	if m == nil || !m.Attempt().Same(t) {
		return nil, wire.Refuse(wire.CodeUnknown, "agent %q does not hold attempt %d of job %q", a.set.ID, t.Number, t.Job)
	}
	return m, nil
}

// join gets a member ready. The lead is told of its end on the connection that
// the call came by.
func (a *Agent) join(p *wire.Peer, v *wire.Join) (wire.Message, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m, err := a.find(v.Attempt)
	if err != nil {
		return nil, err
	}
	if err := a.mayStart(); err != nil {
		return nil, err
	}
	if v.Part.TaskCount != m.Tasks() {
		return nil, wire.Refuse(wire.CodeUnknown, "part has %d tasks, %d are reserved", v.Part.TaskCount, m.Tasks())
	}
	m.spec = v.Spec
	m.first = v.Part.FirstTask
	m.lead = p
	return &wire.Joined{
		Handle: m.handle,
	}, m.Join(time.Now())
}

func (a *Agent) release(c context.Context, v *wire.StartTasks) (wire.Message, error) {
	a.mu.Lock()
	m, err := a.find(v.Attempt)
	if err == nil {
		err = a.mayStart()
	}
	if err == nil {
		err = m.Release(time.Now())
	}
	a.mu.Unlock()
	if err != nil {
		return nil, err
	}
	err = a.startTasks(c, m)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err != nil {
		a.ports.Log.WithField("job", v.Attempt.Job).WithError(err).Warn("start_failed")
		a.stopMember(m, err.Error())
	} else {
		m.MarkRunning()
		a.meter.started.Add(float64(m.Tasks()))
	}
	r := m.Report()
	return &r, nil
}

// startTasks starts every task of a member. The worker refuses a start that
// reaches it after the reservation's window.
func (a *Agent) startTasks(c context.Context, m *member) error {
	a.mu.Lock()
	u := m.LeaseExpiry()
	b := m.StartDeadline()
	a.mu.Unlock()
	g, c := errgroup.WithContext(c)
	g.SetLimit(startsAtOnce)
	for i, id := range m.taskIDs() {
		g.Go(func() error {
			err := a.ports.Worker.Start(c, worker.Task{
				ID:          id,
				Size:        m.size,
				Command:     m.spec.Command,
				StartBefore: b,
				LeaseUntil:  u,
				Restore:     m.spec.Restore,
			})
			if err != nil {
				return fmt.Errorf("start task %d: %w", m.first+i, err)
			}
			return nil
		})
	}
	return g.Wait()
}
