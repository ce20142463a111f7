package leader

import (
	"cmp"
	"slices"
	"time"
)

// Dump is the state of the scheduler's role in one process, for operators.
type Dump struct {
	Holder  string         `json:"holder"`
	Address string         `json:"address"`
	Leads   bool           `json:"leads"`
	Epoch   uint64         `json:"epoch,omitempty"`
	Since   string         `json:"since,omitempty"`
	Jobs    map[string]int `json:"jobs_by_queue_and_state,omitempty"`
	Unsaved int            `json:"unsaved_jobs,omitempty"`
	Agents  []AgentDump    `json:"agents,omitempty"`
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
	d.Jobs = map[string]int{}
	for _, j := range t.jobs {
		d.Jobs[j.Queue+" "+string(j.state())]++
		if j.version != j.stored {
			d.Unsaved++
		}
	}
	now := time.Now()
	for _, m := range t.members {
		d.Agents = append(d.Agents, m.dump(now))
	}
	slices.SortFunc(d.Agents, func(a, b AgentDump) int { return cmp.Compare(a.Address, b.Address) })
	return d
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
