package leader

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/graph"
)

// heldBack tells which tasks may be running at workers that this term knows nothing of yet: their
// agents have not reported, and their leases have not expired. Only these tasks must not be started.
// The zero value holds nothing back.
type heldBack struct {
	// before is the revision of the store up to which all jobs are held back.
	before uint64
	// tasks are held back one by one.
	tasks map[graph.Task]bool
	// agents are the addresses of the agents that are unaccounted for, sorted.
	agents []string
}

// heldBackWork returns what is held back now; t.mu is held.
func (t *term) heldBackWork() heldBack {
	var h heldBack
	for _, m := range t.agents {
		if m.accountedFor {
			continue
		}
		h.agents = append(h.agents, m.addr)
		switch {
		case m.absence == nil:
			h.before = max(h.before, t.leadership.epoch)
		case !m.absence.TasksKnown:
			h.before = max(h.before, m.absence.Before)
		default:
			h.addTasks(m.absentTasks)
		}
	}
	slices.Sort(h.agents)
	return h
}

func (h *heldBack) addTasks(l map[graph.Task]bool) {
	if h.tasks == nil {
		h.tasks = map[graph.Task]bool{}
	}
	for k := range l {
		h.tasks[k] = true
	}
}

// holdsJob reports whether all tasks of a job are held back.
func (h *heldBack) holdsJob(j *job) bool { return j.revision < h.before }

// holds reports whether a task of a job is held back.
func (h *heldBack) holds(j *job, k graph.Task) bool { return h.holdsJob(j) || h.tasks[k] }

// holdsMember reports whether a member of a task's gang is held back.
func (h *heldBack) holdsMember(j *job, k graph.Task) bool {
	if h.holdsJob(j) {
		return true
	}
	for i := range j.Steps[k.Step].Count {
		k.Index = i
		if h.tasks[k] {
			return true
		}
	}
	return false
}

// countJobs returns how many jobs that may be scheduled have tasks that are held back.
func (h *heldBack) countJobs(jobs map[string]*job) int {
	held := map[string]bool{}
	for k := range h.tasks {
		if j := jobs[k.Job]; j != nil && j.schedulable() {
			held[k.Job] = true
		}
	}
	for id, j := range jobs {
		if j.schedulable() && h.holdsJob(j) {
			held[id] = true
		}
	}
	return len(held)
}

// Ways in which a term learns all that may run at a worker.
const (
	accountedByReport = "report"
	accountedByExpiry = "leases_expired"
	accountedAsNew    = "registered_later"
)

// markAccountedFor records that all that may run at an agent's worker is known; t.mu is held.
func (t *term) markAccountedFor(m *agentState, source string) {
	if m.accountedFor {
		return
	}
	m.accountedFor = true
	t.log.WithFields(logrus.Fields{
		"agent":   m.addr,
		"source":  source,
		"term_ms": time.Since(t.startedAt).Milliseconds(),
	}).Info("agent_accounted_for")
}

// recordHeldBack logs when jobs begin and cease to wait for agents that are unaccounted for; t.mu
// is held.
func (t *term) recordHeldBack(h *heldBack, now time.Time) {
	jobs := 0
	if len(h.agents) > 0 {
		jobs = h.countJobs(t.jobs)
	}
	t.leader.ports.Meter.HeldBack(len(h.agents), jobs)
	if (jobs > 0) != t.heldBackSince.IsZero() {
		return
	}
	f := logrus.Fields{"jobs": jobs, "agents": len(h.agents)}
	if jobs > 0 {
		t.heldBackSince = now
		f["agent"] = h.agents[0]
		f["before_revision"] = h.before
		f["tasks"] = len(h.tasks)
	} else {
		f["waited_ms"] = now.Sub(t.heldBackSince).Milliseconds()
		t.heldBackSince = time.Time{}
	}
	t.log.WithFields(f).Info("jobs_held_back")
}
