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

// maxOveruseReports is the number of reports that a task uses more than it declared at
// which its member is stopped.
const maxOveruseReports = 3

// throttlePercent is the percentage of its cores that a task keeps when it is throttled
// for using more than it declared.
const throttlePercent = 50

// pollTasks reads the states of all tasks from the worker. It records results, limits
// tasks that use too much, ends members whose tasks have all ended, and stops members of
// which a task has failed or is lost.
func (a *Agent) pollTasks(c context.Context) {
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
		a.collectResults(m, l)
		a.limitUsage(m, l)
		if len(m.results) == m.Tasks() {
			m.MarkEnded(time.Now(), m.failedTask(), m.sortedResults())
			a.notifyLead(m)
			a.notifyChange()
			continue
		}
		d := m.failedTask()
		if d == "" {
			d = m.lostTask(l)
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

// lostTask describes a task that has no result though the worker no longer runs it. It
// returns an empty string if there is none.
func (m *member) lostTask(l []worker.Status) string {
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

// collectResults records the results of the member's tasks that have ended without being
// stopped.
func (a *Agent) collectResults(m *member, l []worker.Status) {
	for i, id := range m.taskIDs() {
		j := slices.IndexFunc(l, func(s worker.Status) bool { return s.ID == id })
		if j < 0 || l[j].State == worker.StateRunning || l[j].State == worker.StateStopped {
			continue
		}
		m.results[id] = wire.Result{
			Task:   m.firstTask + i,
			OK:     l[j].State == worker.StateDone,
			Output: l[j].Output,
			Worker: a.settings.ID,
		}
	}
}

// limitUsage throttles each task of a member that uses more than it declared. If a task
// goes on to do so, it stops the member. Other members on the worker are not affected.
func (a *Agent) limitUsage(m *member, l []worker.Status) {
	for _, s := range l {
		if s.State != worker.StateRunning || !exceedsDeclared(s.Usage, m.taskSize) || !slices.Contains(m.taskIDs(), s.ID) {
			continue
		}
		m.overuseReports[s.ID]++
		if m.overuseReports[s.ID] >= maxOveruseReports {
			a.stopMember(m, fmt.Sprintf("task %q uses %+v, more than the declared %+v", s.ID, s.Usage, m.taskSize))
			return
		}
		a.group.Go(func() {
			err := a.ports.Worker.Throttle(a.runCtx, s.ID, throttlePercent)
			if err != nil && !errors.Is(err, context.Canceled) {
				a.ports.Log.WithField("task", s.ID).WithError(err).Warn("throttle_failed")
			}
		})
	}
}

// exceedsDeclared reports whether usage exceeds the declared size. A resource that was not
// declared is not limited.
func exceedsDeclared(usage, declared pack.Size) bool {
	return exceedsLimit(usage.Accelerators, declared.Accelerators) ||
		exceedsLimit(usage.Cores, declared.Cores) ||
		exceedsLimit(usage.MemoryGiB, declared.MemoryGiB)
}

func exceedsLimit(used, declared int) bool { return declared > 0 && used > declared }

// failedTask describes a task that has failed. It returns an empty string if there is
// none.
func (m *member) failedTask() string {
	for _, r := range m.results {
		if !r.OK {
			return fmt.Sprintf("task %d failed: %s", r.Task, r.Output)
		}
	}
	return ""
}
