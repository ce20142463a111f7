package leader

import (
	"cmp"
	"slices"
	"time"

	"hemlockhinge/graph"
)

// Dump is the state of the scheduler's role in one process, for operators.
type Dump struct {
	Holder  string         `json:"holder"`
	Address string         `json:"address"`
	Leads   bool           `json:"leads"`
	Epoch   uint64         `json:"epoch,omitempty"`
	Since   string         `json:"since,omitempty"`
	Jobs    []JobsDump     `json:"jobs,omitempty"`
	Unsaved int            `json:"unsaved_jobs,omitempty"`
	Workers map[string]int `json:"workers_by_state,omitempty"`
	Agents  []AgentDump    `json:"agents,omitempty"`
}

// JobsDump counts the jobs of one queue and customer in one state.
type JobsDump struct {
	Queue    string      `json:"queue"`
	Class    int         `json:"class"`
	Customer string      `json:"customer"`
	State    graph.State `json:"state"`
	Count    int         `json:"count"`
}

// AgentDump is what a scheduler believes of one agent and its worker.
type AgentDump struct {
	Address  string `json:"address"`
	Worker   string `json:"worker"`
	Domain   string `json:"failure_domain"`
	Rack     string `json:"rack"`
	Session  bool   `json:"in_session"`
	Known    bool   `json:"accounted_for"`
	Open     bool   `json:"answers"`
	Leaving  bool   `json:"leaving"`
	HeardMS  int64  `json:"heard_ms_ago"`
	Runs     int    `json:"runs"`
	Stray    int    `json:"unexpected_runs,omitempty"`
	Doubt    int    `json:"doubt,omitempty"`
	FreeAcc  int    `json:"free_accelerators"`
	TotalAcc int    `json:"accelerators"`
}

// Dump returns the state of the role in this process.
func (l *Leader) Dump() Dump {
	h, a := l.role.Holder()
	d := Dump{
		Holder:  h,
		Address: a,
	}
	l.mu.Lock()
	t := l.term
	l.mu.Unlock()
	if t == nil {
		return d
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	d.Leads = true
	d.Epoch = t.grip.epoch
	d.Since = t.began.UTC().Format(time.RFC3339)
	d.Jobs, d.Unsaved = t.dumpJobs()
	d.Workers = map[string]int{}
	now := time.Now()
	for _, m := range t.members {
		d.Workers[m.condition()]++
		d.Agents = append(d.Agents, m.dump(now))
	}
	slices.SortFunc(d.Agents, func(a, b AgentDump) int { return cmp.Compare(a.Address, b.Address) })
	return d
}

// dumpJobs counts the jobs, and those whose progress is not in the store yet.
func (t *term) dumpJobs() (l []JobsDump, unsaved int) {
	n := map[JobsDump]int{}
	for _, j := range t.jobs {
		k := JobsDump{
			Queue:    j.Queue,
			Customer: j.Customer,
			State:    j.state(),
		}
		if q := t.queue(j); q != nil {
			k.Class = q.Priority
		}
		n[k]++
		if j.version != j.stored {
			unsaved++
		}
	}
	for k, c := range n {
		k.Count = c
		l = append(l, k)
	}
	slices.SortFunc(l, func(a, b JobsDump) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.State, b.State))
	})
	return l, unsaved
}

// condition names the state that a member's worker is in, for operators.
func (m *member) condition() string {
	switch {
	case m.facts.Gone || !m.facts.Known:
		return "gone"
	case m.peer == nil:
		return "silent_agent"
	case !m.known:
		return "unaccounted"
	case m.facts.Leaving:
		return "leaving"
	case !m.open:
		return "unanswering"
	}
	return "ready"
}

func (m *member) dump(now time.Time) AgentDump {
	f := m.facts
	return AgentDump{
		Address:  m.addr,
		Worker:   f.ID,
		Domain:   f.Zone,
		Rack:     f.Rack,
		Session:  m.peer != nil,
		Known:    m.known,
		Open:     m.open,
		Leaving:  f.Leaving,
		HeardMS:  now.Sub(m.heard).Milliseconds(),
		Runs:     len(m.runs),
		Stray:    len(m.alien),
		Doubt:    m.judge.doubt(now),
		FreeAcc:  f.Capacity.Sub(m.used()).Accelerators,
		TotalAcc: f.Capacity.Accelerators,
	}
}
