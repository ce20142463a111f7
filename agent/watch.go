package agent

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"hemlockhinge/pack"
	"hemlockhinge/wire"
	"hemlockhinge/worker"
)

// usageStrikes is how many reports of too much usage stop a task.
const usageStrikes = 3

// throttlePercent is the share of its cores left to a task that uses more
// than it declared.
const throttlePercent = 50

// poll reads the states of all tasks from the worker.
func (a *Agent) poll(c context.Context) {
	run := a.runningMembers()
	if len(run) == 0 {
		return
	}
	l, err := a.ports.Worker.Tasks(c)
	if err != nil {
		a.ports.Log.WithError(err).Warn("worker_not_reached")
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, m := range run {
		if m.Phase() != wire.PhaseRunning {
			continue
		}
		a.collect(m, l)
		a.police(m, l)
		if len(m.results) == m.Tasks() {
			m.MarkEnded(time.Now(), m.failed(), m.list())
			a.tellLead(m)
			a.notify()
			continue
		}
		d := m.failed()
		if d == "" {
			d = m.vanished(l)
		}
		if d != "" {
			a.stopMember(m, d)
		}
	}
}

// runningMembers returns the members whose tasks have all started.
func (a *Agent) runningMembers() []*member {
	a.mu.Lock()
	defer a.mu.Unlock()
	var l []*member
	for _, m := range a.members {
		if m.Phase() == wire.PhaseRunning {
			l = append(l, m)
		}
	}
	return l
}

// vanished names a task that the worker no longer runs though it has not
// ended, or is empty.
func (m *member) vanished(l []worker.Status) string {
	for _, id := range m.taskIDs() {
		if _, ok := m.results[id]; ok {
			continue
		}
		j := slices.IndexFunc(l, func(s worker.Status) bool { return s.ID == id })
		if j < 0 || l[j].State == worker.StateStopped {
			return fmt.Sprintf("the worker no longer runs task %q", id)
		}
	}
	return ""
}

// collect takes over the results of tasks that have ended by themselves.
func (a *Agent) collect(m *member, l []worker.Status) {
	for i, id := range m.taskIDs() {
		j := slices.IndexFunc(l, func(s worker.Status) bool { return s.ID == id })
		if j < 0 || l[j].State == worker.StateRunning || l[j].State == worker.StateStopped {
			continue
		}
		m.results[id] = wire.Result{
			Task:   m.first + i,
			OK:     l[j].State == worker.StateDone,
			Output: l[j].Output,
			Worker: a.set.ID,
		}
	}
}

// police throttles a task that uses more than it declared, and stops its part
// when it goes on; its neighbours are left alone.
func (a *Agent) police(m *member, l []worker.Status) {
	for _, s := range l {
		if s.State != worker.StateRunning || !exceeds(s.Usage, m.size) || !slices.Contains(m.taskIDs(), s.ID) {
			continue
		}
		m.strikes[s.ID]++
		if m.strikes[s.ID] >= usageStrikes {
			a.stopMember(m, fmt.Sprintf("task %q uses %+v, more than the declared %+v", s.ID, s.Usage, m.size))
			return
		}
		a.group.Go(func() {
			err := a.ports.Worker.Throttle(a.hard, s.ID, throttlePercent)
			if err != nil && !errors.Is(err, context.Canceled) {
				a.ports.Log.WithField("task", s.ID).WithError(err).Warn("throttle_failed")
			}
		})
	}
}

// exceeds reports whether usage is above what was declared; a resource that
// was not declared is not bounded.
func exceeds(usage, declared pack.Size) bool {
	return above(usage.Accelerators, declared.Accelerators) ||
		above(usage.Cores, declared.Cores) ||
		above(usage.MemoryGiB, declared.MemoryGiB)
}

func above(used, declared int) bool { return declared > 0 && used > declared }

// failed says which task failed, or is empty.
func (m *member) failed() string {
	for _, r := range m.results {
		if !r.OK {
			return fmt.Sprintf("task %d failed: %s", r.Task, r.Output)
		}
	}
	return ""
}
