package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"hemlockhinge/platform"
	"hemlockhinge/platform/stand"
	"hemlockhinge/wire"
)

const usersStoreHelp = `Runs the store of the users' platform in memory, and writes a file to it as the
operators' configuration. PUT /switches sets faults, for example {"out": true},
{"silent": true}, {"slow_ms": 240}, {"lose_answers": 3, "late_ms": 2000},
{"compact": true} or {"lapse_leases": true}.`

type usersStoreOptions struct {
	Listen string `long:"listen" required:"true" description:"IP:port"`
	Config string `long:"config" required:"true" description:"file with the operators' configuration, as JSON"`
}

// Execute implements flags.Commander.
func (r *usersStoreOptions) Execute([]string) error {
	b, err := os.ReadFile(r.Config)
	if err != nil {
		return err
	}
	s := stand.NewStore()
	s.Put(platform.ConfigKey, b)
	m := http.NewServeMux()
	m.Handle("/", s)
	m.HandleFunc("PUT /switches", func(w http.ResponseWriter, q *http.Request) { setStoreFaults(s, w, q) })
	return serve(r.Listen, m)
}

// storeFaults is the body of PUT /switches: the simulated faults of the store. Each
// call replaces all that an earlier call has set.
//
// Unavailable makes the store refuse every call with status 503. With Unresponsive it
// neither responds to a call nor executes it. The next LoseAnswers writes take effect
// after LostAnswerDelayMS without a response. Compact drops the history, so that
// watches must list anew, and ExpireLeases ends all leases; both happen once.
type storeFaults struct {
	Unavailable       bool `json:"out"`
	Unresponsive      bool `json:"silent"`
	ExtraLatencyMS    int  `json:"slow_ms"`
	LoseAnswers       int  `json:"lose_answers"`
	LostAnswerDelayMS int  `json:"late_ms"`
	Compact           bool `json:"compact"`
	ExpireLeases      bool `json:"lapse_leases"`
}

func setStoreFaults(s *stand.Store, w http.ResponseWriter, q *http.Request) {
	var v storeFaults
	if err := json.NewDecoder(q.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetUnavailable(v.Unavailable, "")
	s.SetUnresponsive(v.Unresponsive, "")
	s.SetExtraLatency(time.Duration(v.ExtraLatencyMS) * time.Millisecond)
	s.LoseAnswers(v.LoseAnswers, time.Duration(v.LostAnswerDelayMS)*time.Millisecond)
	if v.Compact {
		s.Compact()
	}
	if v.ExpireLeases {
		s.ExpireLeases()
	}
}

const usersWorkerHelp = `Runs a worker of the users' platform, which sends heartbeats to an agent. It
receives no job specifications, so it runs every task as one of 1 s on one
accelerator.`

type usersWorkerOptions struct {
	Listen  string `long:"listen" required:"true" description:"IP:port"`
	Agent   string `long:"agent" required:"true" description:"IP:port of the agent's control address"`
	ID      string `long:"id" required:"true" description:"the worker's id"`
	Service string `long:"service" required:"true" description:"the service that it belongs to"`
	Zone    string `long:"zone" default:"split-a" description:"its failure domain"`
	Rack    string `long:"rack" default:"r1" description:"its rack"`
}

// Capacity of the worker.
const (
	usersMilliCPU     = 64000
	usersMemoryMiB    = 262144
	usersAccelerators = 8
)

// Execute implements flags.Commander.
func (r *usersWorkerOptions) Execute([]string) error {
	f := stand.NewFleet()
	f.AcceptUnknownJobs()
	w := f.Add(&stand.Worker{
		ID:      r.ID,
		Service: r.Service,
		Zone:    r.Zone,
		Labels:  []string{"a", r.Rack},
		Capacity: stand.Size{
			CPU:   usersMilliCPU,
			MemMb: usersMemoryMiB,
			Gpu:   usersAccelerators,
		},
	})
	if _, _, err := net.SplitHostPort(r.Agent); err != nil {
		return fmt.Errorf("--agent: %w", err)
	}
	go w.SendHeartbeats(context.Background(), platform.NewTransport(wire.TCP{}), r.Agent)
	return serve(r.Listen, w)
}
