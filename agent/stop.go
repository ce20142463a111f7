package agent

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"hemlockhinge/gang"
	"hemlockhinge/pause"
	"hemlockhinge/wire"
)

// handleStop stops this agent's member of an attempt, or the whole gang if that is asked
// for and this agent leads it.
func (a *Agent) handleStop(v *wire.Stop) (wire.Message, error) {
	a.mu.Lock()
	l := a.leads[keyOf(v.Attempt)]
	if v.WholeGang && l != nil {
		a.mu.Unlock()
		o := wire.OutcomeCancelled
		if v.Checkpoint {
			o = wire.OutcomePreempted
		}
		l.requestStop(o, v.Reason, v.Checkpoint)
		a.mu.Lock()
	}
	defer a.mu.Unlock()
	m, err := a.findMember(v.Attempt)
	if err != nil {
		return nil, err
	}
	if !v.WholeGang || l == nil {
		a.stopMember(m, v.Reason)
	}
	r := m.Report()
	return &r, nil
}

// stopMember begins to stop a member's tasks, and returns at once. A member that has not
// started ends here. The caller holds mu.
func (a *Agent) stopMember(m *member, why string) {
	if m.stopping || m.Phase() == wire.PhaseEnded {
		return
	}
	if !m.MayHaveRun() {
		m.MarkEnded(time.Now(), why, nil)
		a.notifyChange()
		return
	}
	m.stopping = true
	m.MarkStopping(why)
	a.ports.Log.WithField("job", m.Attempt().Job).WithField("reason", why).Info("member_stopping")
	a.group.Go(func() { a.stopTasks(a.runCtx, m, why) })
}

// stopTasks stops all tasks of a member. It ends the member once each task is stopped,
// either confirmed by the worker or because the task's lease has expired.
func (a *Agent) stopTasks(c context.Context, m *member, why string) {
	for _, id := range m.taskIDs() {
		for !a.stopTask(c, m, id) {
			if !pause.For(c, tickInterval) {
				return
			}
		}
	}
	l, _ := a.ports.Worker.Tasks(c)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.collectResults(m, l)
	m.MarkEnded(time.Now(), why, m.sortedResults())
	a.notifyLead(m)
	a.notifyChange()
}

// stopTask tries to stop a task, and reports whether it no longer runs: the worker has
// confirmed the stop, or the lease expired more than gang.ClockMargin ago, by when the
// worker has stopped the task itself.
func (a *Agent) stopTask(c context.Context, m *member, id string) bool {
	if err := a.ports.Worker.Stop(c, id); err == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().After(m.LeaseExpiry().Add(gang.ClockMargin))
}

// handleCheckpoint checkpoints all tasks of a member. The lead limits the time that this
// may take.
func (a *Agent) handleCheckpoint(c context.Context, v *wire.Checkpoint) (wire.Message, error) {
	a.mu.Lock()
	m, err := a.findMember(v.Attempt)
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
