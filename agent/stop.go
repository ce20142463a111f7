package agent

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"hemlockhinge/gang"
	"hemlockhinge/pause"
	"hemlockhinge/wire"
)

// stop ends an attempt here, or the whole gang when this agent leads it.
func (a *Agent) stop(v *wire.Stop) (wire.Message, error) {
	a.mu.Lock()
	l := a.leads[keyOf(v.Attempt)]
	if v.WholeGang && l != nil {
		a.mu.Unlock()
		o := wire.OutcomeCancelled
		if v.Checkpoint {
			o = wire.OutcomePreempted
		}
		l.stop(o, v.Reason, v.Checkpoint)
		a.mu.Lock()
	}
	defer a.mu.Unlock()
	m, err := a.find(v.Attempt)
	if err != nil {
		return nil, err
	}
	if !v.WholeGang || l == nil {
		a.stopMember(m, v.Reason)
	}
	r := m.Report()
	return &r, nil
}

// stopMember begins to stop a member's tasks. The caller holds mu.
func (a *Agent) stopMember(m *member, why string) {
	if m.stopping || m.Phase() == wire.PhaseEnded {
		return
	}
	if !m.Started() {
		m.MarkEnded(time.Now(), why, nil)
		a.notify()
		return
	}
	m.stopping = true
	m.MarkStopping(why)
	a.ports.Log.WithField("job", m.Attempt().Job).WithField("reason", why).Info("member_stopping")
	a.group.Go(func() { a.stopTasks(a.hard, m, why) })
}

// stopTasks stops every task, and ends the member once the worker has
// confirmed each stop or has ended them by their leases.
func (a *Agent) stopTasks(c context.Context, m *member, why string) {
	for _, id := range m.taskIDs() {
		for !a.stopTask(c, m, id) {
			if !pause.For(c, tickEvery) {
				return
			}
		}
	}
	l, _ := a.ports.Worker.Tasks(c)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.collect(m, l)
	m.MarkEnded(time.Now(), why, m.list())
	a.tellLead(m)
	a.notify()
}

// stopTask reports whether a task is gone.
func (a *Agent) stopTask(c context.Context, m *member, id string) bool {
	if err := a.ports.Worker.Stop(c, id); err == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().After(m.LeaseExpiry().Add(gang.ClockMargin))
}

// save checkpoints each task of a member; the lead bounds the time.
func (a *Agent) save(c context.Context, v *wire.Checkpoint) (wire.Message, error) {
	a.mu.Lock()
	m, err := a.find(v.Attempt)
	a.mu.Unlock()
	if err != nil {
		return nil, err
	}
	g, c := errgroup.WithContext(c)
	for _, id := range m.taskIDs() {
		g.Go(func() error { return a.ports.Worker.Checkpoint(c, id) })
	}
	return &wire.Ack{}, g.Wait()
}
