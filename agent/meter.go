package agent

import (
	"errors"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"hemlockhinge/admin"
	"hemlockhinge/wire"
)

// meter is the agent's metrics.
type meter struct {
	requests *prometheus.CounterVec
	started  prometheus.Counter
	version  prometheus.Gauge
}

func newMeter(r *prometheus.Registry) meter {
	f := promauto.With(r)
	return meter{
		requests: f.NewCounterVec(prometheus.CounterOpts{
			Name: "hemlockhinge_agent_requests_total",
			Help: "Requests by what the agent decided.",
		}, []string{"decision"}),
		started: f.NewCounter(prometheus.CounterOpts{
			Name: "hemlockhinge_agent_tasks_started_total",
			Help: "Tasks started on the worker.",
		}),
		version: f.NewGauge(prometheus.GaugeOpts{
			Name: "hemlockhinge_agent_config_version",
			Help: "Version of the operators' objects in force.",
		}),
	}
}

// Dump is the agent's state as /v1/state shows it.
type Dump struct {
	Agent         string       `json:"agent"`
	Incarnation   uint64       `json:"incarnation"`
	FailureDomain string       `json:"failure_domain"`
	ConfigVersion uint64       `json:"config_version"`
	Out           bool         `json:"out"`
	Epoch         uint64       `json:"epoch"`
	Leaving       bool         `json:"leaving"`
	InFlight      int          `json:"in_flight"`
	Connections   int          `json:"connections"`
	Keys          int          `json:"idempotency_keys"`
	Entries       []string     `json:"entries"`
	Members       []MemberDump `json:"members"`
	Policy        []wire.Entry `json:"directory"`
}

// MemberDump is one attempt in a Dump.
type MemberDump struct {
	Job     string `json:"job"`
	Attempt int    `json:"attempt"`
	Epoch   uint64 `json:"epoch"`
	Phase   string `json:"phase"`
	Tasks   int    `json:"tasks"`
	Lead    bool   `json:"lead"`
	Detail  string `json:"detail,omitempty"`
}

// State returns the dump.
func (a *Agent) State() Dump {
	a.mu.Lock()
	defer a.mu.Unlock()
	d := Dump{
		Agent:         a.set.ID,
		Incarnation:   a.incarnation,
		FailureDomain: a.set.FailureDomain,
		ConfigVersion: a.policy.Version,
		Out:           a.policy.OutOfService,
		Epoch:         a.epoch,
		Leaving:       a.leaving,
		InFlight:      a.inFlight,
		Connections:   a.conns,
		Keys:          a.done.Len(),
		Policy:        a.policy.Entries,
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
			Lead:    a.leads[k] != nil,
			Detail:  m.Report().Detail,
		})
	}
	return d
}

// Ready returns nil when the agent takes work.
func (a *Agent) Ready() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.leaving:
		return errors.New("agent leaves")
	case len(a.sessions) == 0:
		return errors.New("no entry is reached")
	}
	return nil
}

func (a *Agent) routes() http.Handler {
	return admin.New(admin.Probe{
		State: func() any { return a.State() },
		Ready: a.Ready,
	}, a.registry)
}
