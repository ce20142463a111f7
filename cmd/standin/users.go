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

const usersStoreHelp = `Runs the store of the users' platform in memory, with the configuration of a
file in it. PUT /switches sets faults, for instance {"out": true},
{"silent": true}, {"slow_ms": 240}, {"lose_answers": 3, "late_ms": 2000},
{"compact": true} or {"lapse_leases": true}.`

type usersStoreRun struct {
	Listen string `long:"listen" required:"true" description:"IP:port"`
	Config string `long:"config" required:"true" description:"file with the operators' configuration, as JSON"`
}

// Execute implements flags.Commander.
func (r *usersStoreRun) Execute([]string) error {
	b, err := os.ReadFile(r.Config)
	if err != nil {
		return err
	}
	s := stand.NewStore()
	s.Put(platform.ConfigKey, b)
	m := http.NewServeMux()
	m.Handle("/", s)
	m.HandleFunc("PUT /switches", func(w http.ResponseWriter, q *http.Request) { switchStore(s, w, q) })
	return serve(r.Listen, m)
}

// storeSwitches are the faults that can be set from outside.
type storeSwitches struct {
	Out         bool `json:"out"`
	Silent      bool `json:"silent"`
	SlowMS      int  `json:"slow_ms"`
	LoseAnswers int  `json:"lose_answers"`
	LateMS      int  `json:"late_ms"`
	Compact     bool `json:"compact"`
	LapseLeases bool `json:"lapse_leases"`
}

func switchStore(s *stand.Store, w http.ResponseWriter, q *http.Request) {
	var v storeSwitches
	if err := json.NewDecoder(q.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetUnavailable(v.Out, "")
	s.SetUnresponsive(v.Silent, "")
	s.SetExtraLatency(time.Duration(v.SlowMS) * time.Millisecond)
	s.LoseAnswers(v.LoseAnswers, time.Duration(v.LateMS)*time.Millisecond)
	if v.Compact {
		s.Compact()
	}
	if v.LapseLeases {
		s.ExpireLeases()
	}
}

const usersWorkerHelp = `Runs a worker of the users' platform, which reports to the agent at an address. Its
tasks take as long as the job says; jobs must be known to it, so it takes every
task as one of 1 s on one accelerator.`

type usersWorkerRun struct {
	Listen  string `long:"listen" required:"true" description:"IP:port"`
	Agent   string `long:"agent" required:"true" description:"IP:port of the agent's control address"`
	ID      string `long:"id" required:"true" description:"the worker's id"`
	Service string `long:"service" required:"true" description:"the service that it belongs to"`
	Zone    string `long:"zone" default:"split-a" description:"its failure domain"`
	Rack    string `long:"rack" default:"r1" description:"its rack"`
}

// Sizes of the worker.
const (
	usersCores        = 64000
	usersMemory       = 262144
	usersAccelerators = 8
)

// Execute implements flags.Commander.
func (r *usersWorkerRun) Execute([]string) error {
	f := stand.NewFleet()
	f.AcceptUnknownJobs()
	w := f.Add(&stand.Worker{
		ID:      r.ID,
		Service: r.Service,
		Zone:    r.Zone,
		Labels:  []string{"a", r.Rack},
		Capacity: stand.Size{
			CPU:   usersCores,
			MemMb: usersMemory,
			Gpu:   usersAccelerators,
		},
	})
	if _, _, err := net.SplitHostPort(r.Agent); err != nil {
		return fmt.Errorf("agent's address: %w", err)
	}
	go w.SendHeartbeats(context.Background(), platform.NewTransport(wire.TCP{}), r.Agent)
	return serve(r.Listen, w)
}
