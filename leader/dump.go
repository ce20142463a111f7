package leader

import (
	"cmp"
	"slices"
	"time"

	"hemlockhinge/graph"
)

// Dump is the scheduler's state in one process, for debugging by operators.
type Dump struct {
	Holder      string         `json:"holder"`
	Address     string         `json:"address"`
	Version     int64          `json:"configuration_version"`
	Revision    uint64         `json:"configuration_revision"`
	SettingsMS  int64          `json:"settings_confirmed_ms_ago"`
	Leading     bool           `json:"leads"`
	Epoch       uint64         `json:"epoch,omitempty"`
	TermStart   string         `json:"since,omitempty"`
	Jobs        []JobCountDump `json:"jobs,omitempty"`
	UnsavedJobs int            `json:"unsaved_jobs,omitempty"`
	Workers     map[string]int `json:"workers_by_state,omitempty"`
	Agents      []AgentDump    `json:"agents,omitempty"`
}

// JobCountDump is the number of jobs of one queue and customer in one state.
type JobCountDump struct {
	Queue    string      `json:"queue"`
	Class    int         `json:"class"`
	Customer string      `json:"customer"`
	State    graph.State `json:"state"`
	Count    int         `json:"count"`
}

// AgentDump is what the scheduler knows of one agent and its worker.
type AgentDump struct {
	Address        string `json:"address"`
	Worker         string `json:"worker"`
	Domain         string `json:"failure_domain"`
	Rack           string `json:"rack"`
	InSession      bool   `json:"in_session"`
	AccountedFor   bool   `json:"accounted_for"`
	AcceptsTasks   bool   `json:"answers"`
	Leaving        bool   `json:"leaving"`
	LastContactMS  int64  `json:"heard_ms_ago"`
	Runs           int    `json:"runs"`
	UnexpectedRuns int    `json:"unexpected_runs,omitempty"`
	FailureScore   int    `json:"doubt,omitempty"`
	Outlier        bool   `json:"outlier,omitempty"`
	// Speed is 1 for a normal worker, and while nothing is known of it; SpeedUncertainty is the
	// standard deviation of its logarithm.
	Speed            float64 `json:"speed"`
	SpeedUncertainty float64 `json:"speed_uncertainty"`
	FreeAccelerators int     `json:"free_accelerators"`
	Accelerators     int     `json:"accelerators"`
}

// Dump returns the scheduler's state in this process.
func (l *Leader) Dump() Dump {
	h, a := l.role.Holder()
	o := l.currentOperatorSettings()
	d := Dump{
		Holder:     h,
		Address:    a,
		SettingsMS: l.settingsAge(o).Milliseconds(),
	}
	if o.Config != nil {
		d.Version = o.Config.Version
		d.Revision = o.Config.Revision
	}
	l.mu.Lock()
	t := l.term
	l.mu.Unlock()
	if t == nil {
		return d
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	d.Leading = true
	d.Epoch = t.leadership.epoch
	d.TermStart = t.startedAt.UTC().Format(time.RFC3339)
	d.Jobs, d.UnsavedJobs = t.dumpJobs()
	d.Workers = map[string]int{}
	now := time.Now()
	for _, m := range t.agents {
		d.Workers[m.status()]++
		d.Agents = append(d.Agents, m.dump(now))
	}
	slices.SortFunc(d.Agents, func(a, b AgentDump) int { return cmp.Compare(a.Address, b.Address) })
	return d
}

// dumpJobs counts the jobs by queue, customer and state, and those whose progress is
// not in the store yet.
func (t *term) dumpJobs() (l []JobCountDump, unsaved int) {
	n := map[JobCountDump]int{}
	for _, j := range t.jobs {
		k := JobCountDump{
			Queue:    j.Queue,
			Customer: j.Customer,
			State:    j.state(),
		}
		if q := t.queue(j); q != nil {
			k.Class = q.Priority
		}
		n[k]++
		if j.progressVersion != j.storedVersion {
			unsaved++
		}
	}
	for k, c := range n {
		k.Count = c
		l = append(l, k)
	}
	slices.SortFunc(l, func(a, b JobCountDump) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.State, b.State))
	})
	return l, unsaved
}

// status names the state of an agent and its worker for operators.
func (m *agentState) status() string {
	switch {
	case m.worker.Gone || !m.worker.Known:
		return "gone"
	case m.peer == nil:
		return "silent_agent"
	case !m.accountedFor:
		return "unaccounted"
	case m.worker.Leaving:
		return "leaving"
	case !m.acceptsTasks:
		return "unanswering"
	}
	return "ready"
}

func (m *agentState) dump(now time.Time) AgentDump {
	f := m.worker
	return AgentDump{
		Address:          m.addr,
		Worker:           f.ID,
		Domain:           f.Zone,
		Rack:             f.Rack,
		InSession:        m.peer != nil,
		AccountedFor:     m.accountedFor,
		AcceptsTasks:     m.acceptsTasks,
		Leaving:          f.Leaving,
		LastContactMS:    now.Sub(m.lastContact).Milliseconds(),
		Runs:             len(m.runs),
		UnexpectedRuns:   len(m.unexpected),
		FailureScore:     m.failureScore(now),
		Outlier:          m.outlier,
		Speed:            m.speed.Factor,
		SpeedUncertainty: m.speed.Uncertainty,
		FreeAccelerators: f.Capacity.Sub(m.usedCapacity()).Accelerators,
		Accelerators:     f.Capacity.Accelerators,
	}
}
