package leader

import (
	"time"

	"github.com/sirupsen/logrus"
)

// hasUnaccountedAgents reports whether a worker may still run something that an earlier
// term started and that has not been reported to this one.
func (t *term) hasUnaccountedAgents() bool {
	for _, m := range t.agents {
		if !m.accountedFor {
			return true
		}
	}
	return false
}

// Ways in which a term learns all that may run at a worker.
const (
	accountedByReport = "report"
	accountedByExpiry = "leases_expired"
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

// recordHeldBack logs when jobs begin and cease to wait for agents that are unaccounted for, and
// which agents these are; t.mu is held.
func (t *term) recordHeldBack(jobs int, now time.Time) {
	var agents []string
	for _, m := range t.agents {
		if !m.accountedFor {
			agents = append(agents, m.addr)
		}
	}
	t.leader.ports.Meter.HeldBack(len(agents), jobs)
	if (jobs > 0) != t.heldBackSince.IsZero() {
		return
	}
	f := logrus.Fields{"jobs": jobs, "agents": len(agents)}
	if jobs > 0 {
		t.heldBackSince = now
		f["agent"] = agents[0]
	} else {
		f["waited_ms"] = now.Sub(t.heldBackSince).Milliseconds()
		t.heldBackSince = time.Time{}
	}
	t.log.WithFields(f).Info("jobs_held_back")
}
