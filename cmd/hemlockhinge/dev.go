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

const devHelp = `Runs a whole system in one process, for development: two entries, six
agents in three failure domains, and stand-ins for the platform's store and the
workers. It publishes an example configuration, prints the addresses of the
entries, and serves until SIGTERM.`

//go:embed dev_objects.json
var devObjects []byte

// Parameters of the example system.
const (
	devEntryCount       = 2
	devWorkersPerDomain = 2
	devSlots            = 8
	devConnections      = 64
	devDrainDelay       = 500 * time.Millisecond
	devRetryInterval    = 100 * time.Millisecond
	loopback            = "127.0.0.1:0"
)

var devDomains = []string{"split-a", "split-b", "kastela"}

type devOptions struct {
	Listen   string `long:"listen" default:"127.0.0.1:8080" description:"HTTP address of the first entry"`
	LogLevel string `long:"log-level" default:"warn" description:"debug, info, warn or error"`
}

func devCommand() command {
	return command{
		name:    "dev",
		short:   "Run a whole system in one process",
		long:    devHelp,
		options: &devOptions{},
	}
}

// devSite holds the daemons of one "hemlockhinge dev" process.
type devSite struct {
	log       *logrus.Entry
	store     *fakes.Store
	httpAddrs []string
	wireAddrs []string
	group     sync.WaitGroup
	errs      chan error
}

// Execute implements flags.Commander.
func (r *devOptions) Execute([]string) error {
	c, d := notifyShutdown()
	c, cancel := context.WithCancel(c)
	defer cancel()
	s := &devSite{
		log:   newLog(r.LogLevel),
		store: fakes.NewStore(),
		errs:  make(chan error, devEntryCount+devWorkersPerDomain*len(devDomains)),
	}
	stopEntries := make(chan struct{})
	for i := range devEntryCount {
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
		for n := range devWorkersPerDomain {
			s.startAgent(c, f, i*devWorkersPerDomain+n, stopAgents)
		}
	}
	if err := s.publish(c); err != nil {
		return err
	}
	s.printAddresses()
	var err error
	select {
	case <-d:
	case <-c.Done():
	case err = <-s.errs:
	}
	close(stopEntries)
	close(stopAgents)
	s.group.Wait()
	return err
}

// startEntry starts an entry. It resolves the ports beforehand, because the agents
// need the addresses of the entries in their settings.
func (s *devSite) startEntry(c context.Context, i int, listen string, stop <-chan struct{}) error {
	h, err := freeAddress(listen)
	if err != nil {
		return err
	}
	w, err := freeAddress(loopback)
	if err != nil {
		return err
	}
	s.httpAddrs = append(s.httpAddrs, h)
	s.wireAddrs = append(s.wireAddrs, w)
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
	s.runDaemon(func() error { return e.Run(c, stop) })
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

func (s *devSite) runDaemon(f func() error) {
	s.group.Go(func() {
		if err := f(); err != nil {
			s.errs <- err
		}
	})
}

func (s *devSite) startAgent(c context.Context, domain string, n int, stop <-chan struct{}) {
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
		Entries:       s.wireAddrs,
		Services:      []string{"raspored"},
		Slots:         devSlots,
		Connections:   devConnections,
		Capacity: pack.Size{
			Accelerators: 8,
			Cores:        128,
			MemoryGiB:    256,
		},
	})
	s.runDaemon(func() error { return a.Run(c, stop) })
}

// publish applies the example configuration through the first entry, and retries
// until that entry accepts connections.
func (s *devSite) publish(c context.Context) error {
	u := "http://" + s.httpAddrs[0]
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
				return fmt.Errorf("publish example configuration: status %d", p.StatusCode)
			}
			return nil
		}
		select {
		case <-c.Done():
			return c.Err()
		case err := <-s.errs:
			return err
		case <-time.After(devRetryInterval):
		}
	}
}

func (s *devSite) printAddresses() {
	for i, a := range s.httpAddrs {
		fmt.Printf("entry-%d http://%s\n", i+1, a)
	}
	fmt.Printf("try: curl http://%s/s/raspored/signs/12\n", s.httpAddrs[0])
	fmt.Printf("try: hemlockhinge --help\n")
}
