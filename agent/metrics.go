package agent

import (
	"errors"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"hemlockhinge/admin"
	"hemlockhinge/wire"
)

// metrics are the agent's Prometheus metrics.
type metrics struct {
	requests      *prometheus.CounterVec
	tasksStarted  prometheus.Counter
	configVersion prometheus.Gauge
}

func newMetrics(r *prometheus.Registry) metrics {
	f := promauto.With(r)
	return metrics{
		requests: f.NewCounterVec(prometheus.CounterOpts{
			Name: "hemlockhinge_agent_requests_total",
			Help: "Requests by what the agent decided.",
		}, []string{"decision"}),
		tasksStarted: f.NewCounter(prometheus.CounterOpts{
			Name: "hemlockhinge_agent_tasks_started_total",
			Help: "Tasks started on the worker.",
		}),
		configVersion: f.NewGauge(prometheus.GaugeOpts{
			Name: "hemlockhinge_agent_config_version",
			Help: "Version of the operators' objects in force.",
		}),
	}
}

// Dump is the agent's state as /v1/state returns it.
type Dump struct {
	Agent           string       `json:"agent"`
	Incarnation     uint64       `json:"incarnation"`
	FailureDomain   string       `json:"failure_domain"`
	ConfigVersion   uint64       `json:"config_version"`
	OutOfService    bool         `json:"out"`
	Epoch           uint64       `json:"epoch"`
	Leaving         bool         `json:"leaving"`
	InFlight        int          `json:"in_flight"`
	Connections     int          `json:"connections"`
	IdempotencyKeys int          `json:"idempotency_keys"`
	Entries         []string     `json:"entries"`
	Members         []MemberDump `json:"members"`
	Directory       []wire.Entry `json:"directory"`
}

// MemberDump is the state of one member in a Dump.
type MemberDump struct {
	Job     string `json:"job"`
	Attempt int    `json:"attempt"`
	Epoch   uint64 `json:"epoch"`
	Phase   string `json:"phase"`
	Tasks   int    `json:"tasks"`
	IsLead  bool   `json:"lead"`
	Detail  string `json:"detail,omitempty"`
}

// State returns a snapshot of the agent's state.
func (a *Agent) State() Dump {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := Dump{
		Agent:           a.settings.ID,
		Incarnation:     a.incarnation,
		FailureDomain:   a.settings.FailureDomain,
		ConfigVersion:   a.config.Version,
		OutOfService:    a.config.OutOfService,
		Epoch:           a.epoch,
		Leaving:         a.leaving,
		InFlight:        a.inFlight,
		Connections:     a.requestConns,
		IdempotencyKeys: a.idempotency.Len(),
		Directory:       a.config.Entries,
	}
	for n := range a.sessions {
		d.Entries = append(d.Entries, n)
	}
	for k, m := range a.members {
		d.Members = append(d.Members, MemberDump{
			Job:     k.job,
			Attempt: k.number,
			Epoch:   m.Attempt().Epoch,
			Phase:   m.Phase().String(),
			Tasks:   m.Tasks(),
			IsLead:  a.leads[k] != nil,
			Detail:  m.Report().Detail,
		})
	}
	return d
}

// Ready returns nil if the agent accepts work, and otherwise the reason why it does not.
func (a *Agent) Ready() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.leaving:
		return errors.New("agent is shutting down")
	case len(a.sessions) == 0:
		return errors.New("no session with any entry")
	}
	return nil
}

func (a *Agent) routes() http.Handler {
	return admin.New(admin.Probe{
		State: func() any { return a.State() },
		Ready: a.Ready,
	}, a.registry)
}
