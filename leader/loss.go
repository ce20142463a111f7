package leader

import (
	"slices"
	"time"

	"hemlockhinge/graph"
)

// lossMemory is how long the fate of a worker may stay unknown before the runs that were lost
// there count no more.
const lossMemory = 2 * time.Minute

// earlyLoss is a run that was lost soon after its start, while its worker did not answer:
// either the worker has crashed, or it is only out of contact.
type earlyLoss struct {
	task    graph.Task
	attempt int
	// incarnation of the worker and agentRestarts of the agent are those at the start.
	incarnation   int64
	agentRestarts int
	lostAt        time.Time
}

// lostEarly reports whether a lost run may have crashed its worker, as far as its reports
// tell. A run that this term has not started has been there for longer.
func (r *run) lostEarly() bool { return r.incarnation > 0 && r.phase == running && !r.survived }

// recordEarlyLoss remembers a run that was lost early, until the worker answers again.
func (t *term) recordEarlyLoss(m *agentState, r *run) {
	if !r.lostEarly() || m.worker.Leaving {
		return
	}
	m.earlyLosses = append(m.earlyLosses, earlyLoss{
		task:          r.task,
		attempt:       r.attempt,
		incarnation:   r.incarnation,
		agentRestarts: r.agentRestarts,
		lostAt:        time.Now(),
	})
	t.resolveEarlyLosses(m)
}

// resolveEarlyLosses decides which of the runs that were lost early at an agent's worker have
// crashed it, once its incarnation is known. The agent itself tells of crashes, with what else
// it had started, unless it was restarted since.
func (t *term) resolveEarlyLosses(m *agentState) {
	if m.peer == nil || !m.worker.Known || !m.acceptsTasks {
		return
	}
	for _, v := range m.earlyLosses {
		j := t.jobs[v.task.Job]
		if j != nil && m.worker.Born != v.incarnation && m.agentRestarts != v.agentRestarts {
			t.recordCrash(j, m, v.task, v.attempt, true)
		}
	}
	m.earlyLosses = nil
}

// countEarlyLosses returns how many runs of each task were lost early at workers whose fate
// is not known, and drops those that are too old.
func (t *term) countEarlyLosses(now time.Time) map[graph.Task]int {
	n := map[graph.Task]int{}
	for _, m := range t.agents {
		m.earlyLosses = slices.DeleteFunc(m.earlyLosses, func(v earlyLoss) bool { return now.Sub(v.lostAt) > lossMemory })
		for _, v := range m.earlyLosses {
			if !t.survivedSince(v) {
				n[v.task]++
			}
		}
	}
	return n
}

// survivedSince reports whether a later attempt at the task has worked, or its job is gone.
func (t *term) survivedSince(v earlyLoss) bool {
	j := t.jobs[v.task.Job]
	return j == nil || j.progress.Task(j.Job, v.task).SurvivedAttempt >= v.attempt
}
