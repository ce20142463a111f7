package main

import (
	"bytes"
	"context"
	_ "embed"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/agent"
	"hemlockhinge/conf"
	"hemlockhinge/entry"
	"hemlockhinge/fakes"
	"hemlockhinge/pack"
	"hemlockhinge/wire"
)

const devHelp = `Runs everything in one process: two entries, six agents in three
failure domains, and stand-ins for the platform's store and the workers. It
publishes an example configuration, prints the addresses, and serves until
SIGTERM.`

//go:embed dev_objects.json
var devObjects []byte

// Sizes of the example.
const (
	devEntries    = 2
	devWorkers    = 2
	devSlots      = 8
	devConns      = 64
	devDrainDelay = 500 * time.Millisecond
	devReadyWait  = 100 * time.Millisecond
	loopback      = "127.0.0.1:0"
)

var devDomains = []string{"split-a", "split-b", "kastela"}

type devRun struct {
	Listen   string `long:"listen" default:"127.0.0.1:8080" description:"HTTP address of the first entry"`
	LogLevel string `long:"log-level" default:"warn" description:"debug, info, warn or error"`
}

func devCommand() command {
	return command{
		name:  "dev",
		short: "Run everything in one process",
		long:  devHelp,
		run:   &devRun{},
	}
}

// site is the processes of a dev run.
type site struct {
	log     *logrus.Entry
	store   *fakes.Store
	entries []string
	wires   []string
	group   sync.WaitGroup
	fail    chan error
}

// Execute implements flags.Commander.
func (r *devRun) Execute([]string) error {
	c, d := untilSignal()
	c, cancel := context.WithCancel(c)
	defer cancel()
	s := &site{
		log:   newLog(r.LogLevel),
		store: fakes.NewStore(),
		fail:  make(chan error, devEntries+devWorkers*len(devDomains)),
	}
	stopEntries := make(chan struct{})
	for i := range devEntries {
		a := loopback
		if i == 0 {
			a = r.Listen
		}
		if err := s.startEntry(c, i, a, stopEntries); err != nil {
			return err
		}
	}
	stopAgents := make(chan struct{})
	for i, f := range devDomains {
		for n := range devWorkers {
			s.startAgent(c, f, i*devWorkers+n, stopAgents)
		}
	}
	if err := s.publish(c); err != nil {
		return err
	}
	s.print()
	var err error
	select {
	case <-d:
	case <-c.Done():
	case err = <-s.fail:
	}
	close(stopEntries)
	close(stopAgents)
	s.group.Wait()
	return err
}

// startEntry starts an entry on addresses that it finds out first, since the
// other processes must be told them.
func (s *site) startEntry(c context.Context, i int, listen string, stop <-chan struct{}) error {
	h, err := freeAddress(listen)
	if err != nil {
		return err
	}
	w, err := freeAddress(loopback)
	if err != nil {
		return err
	}
	s.entries = append(s.entries, h)
	s.wires = append(s.wires, w)
	e := entry.New(entry.Ports{
		Net:   wire.TCP{},
		Store: s.store,
		Log:   s.log,
	}, conf.EntrySettings{
		ID:            fmt.Sprintf("entry-%d", i+1),
		FailureDomain: devDomains[i%len(devDomains)],
		HTTPListen:    h,
		WireListen:    w,
		DrainDelay:    conf.Duration(devDrainDelay),
	})
	s.run(func() error { return e.Run(c, stop) })
	return nil
}

func freeAddress(listen string) (string, error) {
	l, err := wire.TCP{}.Listen(listen)
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

func (s *site) run(f func() error) {
	s.group.Go(func() {
		if err := f(); err != nil {
			s.fail <- err
		}
	})
}

func (s *site) startAgent(c context.Context, domain string, n int, stop <-chan struct{}) {
	id := fmt.Sprintf("%s-w%d", domain, n)
	a := agent.New(agent.Ports{
		Net:    wire.TCP{},
		Worker: fakes.NewWorker(id),
		Log:    s.log,
	}, conf.AgentSettings{
		ID:            id,
		FailureDomain: domain,
		Rack:          domain + "-r1",
		WireListen:    loopback,
		HTTPListen:    loopback,
		Entries:       s.wires,
		Services:      []string{"raspored"},
		Slots:         devSlots,
		Connections:   devConns,
		Capacity: pack.Size{
			Accelerators: 8,
			Cores:        128,
			MemoryGiB:    256,
		},
	})
	s.run(func() error { return a.Run(c, stop) })
}

// publish puts the example objects in force through the first entry.
func (s *site) publish(c context.Context) error {
	u := "http://" + s.entries[0]
	for {
		r, err := http.NewRequestWithContext(c, http.MethodPut, u+"/v1/config", bytes.NewReader(devObjects))
		if err != nil {
			return err
		}
		r.Header.Set("If-Match", `"0"`)
		p, err := http.DefaultClient.Do(r)
		if err == nil {
			defer func() { _ = p.Body.Close() }()
			if p.StatusCode != http.StatusOK {
				return fmt.Errorf("publish the example objects: status %d", p.StatusCode)
			}
			return nil
		}
		select {
		case <-c.Done():
			return c.Err()
		case err := <-s.fail:
			return err
		case <-time.After(devReadyWait):
		}
	}
}

func (s *site) print() {
	for i, a := range s.entries {
		fmt.Printf("entry-%d http://%s\n", i+1, a)
	}
	fmt.Printf("try: curl http://%s/s/raspored/signs/12\n", s.entries[0])
	fmt.Printf("try: hemlockhinge --help\n")
}
