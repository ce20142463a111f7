package leader

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/alloc"
	"hemlockhinge/graph"
	"hemlockhinge/wire"
)

// stopUnwantedRuns stops the runs of ended jobs, the members of incomplete gangs, and
// unexpected runs.
func (t *term) stopUnwantedRuns(now time.Time, h *heldBack) {
	for _, j := range t.jobs {
		for k, r := range j.runs {
			if j.progress.Task(j.Job, k).Done {
				if r.superseded {
					t.stopRun(r, now)
				}
				continue
			}
			// The missing members of a gang may run where no agent has reported yet.
			incomplete := j.Steps[k.Step].Gang && !j.gangComplete(k, now) && !h.holdsMember(j, k)
			if r.stopping || !j.schedulable() || incomplete {
				t.stopRun(r, now)
			}
		}
	}
	for _, m := range t.agents {
		for k, a := range m.unexpected {
			if m.peer != nil && now.Sub(a.stopSentAt) > stopRetryInterval {
				a.stopSentAt = now
				m.unexpected[k] = a
				t.sendStop(m, k, a.attempt)
			}
		}
	}
}

// gangStartTimeout is how long the members of a gang wait until the others are
// started. It is shorter than the time for which a worker lets them wait.
const gangStartTimeout = 1500 * time.Millisecond

// gangComplete reports whether all members of a gang run or are being started.
func (j *job) gangComplete(k graph.Task, now time.Time) bool {
	for i := range j.Steps[k.Step].Count {
		k.Index = i
		r := j.runs[k]
		if r == nil || (r.phase == launching && now.Sub(r.startedAt) > gangStartTimeout) {
			return false
		}
	}
	return true
}

// preempt stops a run so that the more urgent unit u can start.
func (t *term) preempt(r *run, u *alloc.Unit, now time.Time) {
	j := t.jobs[r.task.Job]
	j.preemptions++
	j.countGroupPreemption(r.task)
	t.leader.ports.Meter.Preempted()
	r.stopping = true
	t.log.WithFields(r.logFields(now)).WithFields(logrus.Fields{
		"preempted_for":    u.Job,
		"requested":        fmt.Sprintf("%dx%v", len(u.Tasks), u.Step.Size),
		"within_guarantee": u.WithinGuarantee,
	}).Info("run_preempted")
	t.stopRun(r, now)
}

// countGroupPreemption counts the preemption of a run for its group, that of a gang once.
func (j *job) countGroupPreemption(k graph.Task) {
	if j.Steps[k.Step].Gang && k.Index > 0 {
		return
	}
	if j.groupPreemptions == nil {
		j.groupPreemptions = map[graph.Task]int{}
	}
	j.groupPreemptions[k]++
}

// vacate stops a run because a worker of its group leaves before it ends.
func (t *term) vacate(r *run, now time.Time) {
	t.log.WithFields(r.logFields(now)).WithField("leaves_in_ms", r.agent.leavesAt.Sub(now).Milliseconds()).Info("run_vacated")
	r.stopping = true
	t.stopRun(r, now)
}

// logFields describes a run that is stopped before its end.
func (r *run) logFields(now time.Time) logrus.Fields {
	return logrus.Fields{
		"task":    r.task.String(),
		"attempt": r.attempt,
		"agent":   r.agent.addr,
		"ran_ms":  now.Sub(r.startedAt).Milliseconds(),
		"weight":  coreEquivalents(r.size),
	}
}

func (t *term) stopRun(r *run, now time.Time) {
	if r.phase != running || r.agent.peer == nil || now.Sub(r.stopSentAt) < stopRetryInterval {
		return
	}
	r.stopSentAt = now
	r.stopping = true
	t.sendStop(r.agent, r.task, r.attempt)
}

func (t *term) sendStop(m *agentState, k graph.Task, attempt int) {
	t.log.WithFields(logrus.Fields{"task": k.String(), "attempt": attempt, "agent": m.addr}).Info("stop_sent")
	p := m.peer
	t.goroutines.Go(func() {
		c, cancel := context.WithTimeout(t.ctx, stopRetryInterval)
		defer cancel()
		_, err := p.Call(c, &wire.StopRun{
			Task:    k.String(),
			Attempt: attempt,
		})
		if err != nil {
			t.log.WithError(err).WithField("task", k.String()).Info("stop_unconfirmed")
		}
	})
}
