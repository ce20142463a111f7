// Package agent is the daemon that stands beside one worker.
//
// It is the authority over its worker: nothing starts there, is counted or is
// refused except by the agent. It keeps a session with each entry, grants
// reservations to schedulers, takes part in gangs or leads them, and admits
// requests into the worker's slots.
//
// # Usage
//
//	a := agent.New(agent.Ports{Net: wire.TCP{}, Worker: w, Log: log}, settings)
//	err := a.Run(ctx, drain) // closing drain stops it gracefully
package agent

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"hemlockhinge/admin"
	"hemlockhinge/conf"
	"hemlockhinge/gang"
	"hemlockhinge/once"
	"hemlockhinge/pause"
	"hemlockhinge/wire"
	"hemlockhinge/worker"
)

// Intervals of the agent's own work.
const (
	beatEvery   = time.Second
	tickEvery   = 200 * time.Millisecond
	pollEvery   = 500 * time.Millisecond
	stopTimeout = 30 * time.Second
	keepEnded   = time.Hour
)

// Ports is what the agent reaches the world through.
type Ports struct {
	Net    wire.Network
	Worker worker.Port
	Log    *logrus.Entry
}

// attemptKey names an attempt within this agent.
type attemptKey struct {
	job    string
	number int
}

func keyOf(a wire.Attempt) attemptKey {
	return attemptKey{
		job:    a.Job,
		number: a.Number,
	}
}

// Agent is the daemon. New makes one.
type Agent struct {
	ports       Ports
	set         conf.AgentSettings
	address     string
	incarnation uint64
	group       sync.WaitGroup
	hard        context.Context //nolint:containedctx // ends with the process

	mu         sync.Mutex
	policy     wire.AgentConfig
	epoch      uint64
	lastHandle uint32
	members    map[attemptKey]*member
	leads      map[attemptKey]*lead
	sessions   map[string]*session
	leaving    bool
	inFlight   int
	served     uint64
	conns      int
	heardAt    time.Time
	links      map[string]*wire.Peer
	done       once.Table
	change     chan struct{}

	registry *prometheus.Registry
	meter    meter
}

// New returns an agent that is not running yet.
func New(p Ports, s conf.AgentSettings) *Agent {
	a := &Agent{
		ports:       p,
		set:         s,
		address:     s.WireAddress,
		hard:        context.Background(),
		incarnation: uint64(time.Now().UnixNano()), //nolint:gosec // after 1970
		lastHandle:  rand.Uint32(),                 //nolint:gosec // tells incarnations apart
		members:     map[attemptKey]*member{},
		leads:       map[attemptKey]*lead{},
		sessions:    map[string]*session{},
		links:       map[string]*wire.Peer{},
		change:      make(chan struct{}),
		registry:    prometheus.NewRegistry(),
	}
	a.meter = newMeter(a.registry)
	a.ports.Log = p.Log.WithField("agent", s.ID)
	return a
}

// Run serves until drain is closed, and then stops gracefully, or until c
// ends, and then stops at once.
func (a *Agent) Run(c context.Context, drain <-chan struct{}) error {
	if err := a.stopStrays(c); err != nil {
		return err
	}
	w, h, err := admin.Listen(a.ports.Net, a.set.WireListen, a.set.HTTPListen)
	if err != nil {
		return err
	}
	defer func() { _ = w.Close() }()
	if a.address == "" {
		a.address = w.Addr().String()
	}
	s := admin.Serve(h, a.routes(), a.ports.Log)
	defer s.Close()
	c, cancel := context.WithCancel(c)
	defer a.group.Wait()
	defer cancel()
	a.hard = c
	a.heardAt = time.Now()
	a.ports.Log.WithField("wire", a.address).Info("agent_started")
	a.group.Go(func() { a.accept(c, w) })
	a.group.Go(func() { a.keepSessions(c) })
	a.group.Go(func() { a.tick(c) })
	select {
	case <-c.Done():
	case <-drain:
		a.drain(c)
	}
	a.ports.Log.Info("agent_stopped")
	return nil
}

// stopStrays stops tasks that an earlier incarnation left on the worker, so
// that announcing a new incarnation means that they are gone.
func (a *Agent) stopStrays(c context.Context) error {
	for {
		err := a.stopAll(c)
		if err == nil {
			return nil
		}
		a.ports.Log.WithError(err).Warn("worker_not_reached")
		if !pause.For(c, beatEvery) {
			return fmt.Errorf("clear worker: %w", err)
		}
	}
}

func (a *Agent) stopAll(c context.Context) error {
	l, err := a.ports.Worker.Tasks(c)
	if err != nil {
		return err
	}
	for _, t := range l {
		if t.State != worker.StateRunning {
			continue
		}
		if err := a.ports.Worker.Stop(c, t.ID); err != nil {
			return err
		}
	}
	return nil
}

// accept serves connections from entries and other agents.
func (a *Agent) accept(c context.Context, l net.Listener) {
	defer context.AfterFunc(c, func() { _ = l.Close() })()
	for {
		n, err := l.Accept()
		if err != nil {
			return
		}
		a.group.Go(func() { a.welcome(c, n) })
	}
}

// openTimeout bounds the wait for the first message of a connection.
const openTimeout = 10 * time.Second

func (a *Agent) welcome(c context.Context, n net.Conn) {
	w := wire.NewConn(n)
	defer func() { _ = w.Close() }()
	defer context.AfterFunc(c, func() { _ = w.Close() })()
	_ = w.SetReadDeadline(time.Now().Add(openTimeout))
	f, err := w.Read()
	if err != nil {
		return
	}
	_ = w.SetReadDeadline(time.Time{})
	o, ok := f.Message.(*wire.Open)
	switch {
	case !ok:
	case o.Stream:
		a.stream(c, w)
	default:
		_ = wire.NewPeerFromConn(w, wire.HandlerFunc(a.handle)).Run(c)
	}
}

// drain stops gracefully: no new work, all requests answered, all gangs
// checkpointed and stopped.
func (a *Agent) drain(c context.Context) {
	a.mu.Lock()
	a.leaving = true
	l := make([]*lead, 0, len(a.leads))
	for _, v := range a.leads {
		l = append(l, v)
	}
	a.notify()
	a.mu.Unlock()
	a.ports.Log.Info("agent_draining")
	for _, v := range l {
		v.stop(wire.OutcomePreempted, "agent stops", true)
	}
	c, cancel := context.WithTimeout(c, a.set.StopTimeout.Or(stopTimeout))
	defer cancel()
	for {
		a.mu.Lock()
		idle := a.inFlight == 0 && a.running() == 0 && len(a.leads) == 0
		w := a.change
		a.mu.Unlock()
		if idle {
			return
		}
		select {
		case <-c.Done():
			a.ports.Log.Warn("drain_timed_out")
			return
		case <-w:
		}
	}
}

// running counts members that are not over. The caller holds mu.
func (a *Agent) running() int {
	n := 0
	for _, m := range a.members {
		if m.Phase() != wire.PhaseEnded {
			n++
		}
	}
	return n
}

// notify wakes whoever waits for a change. The caller holds mu.
func (a *Agent) notify() {
	close(a.change)
	a.change = make(chan struct{})
}

// tick looks after members whose leases run out.
func (a *Agent) tick(c context.Context) {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	p := time.Now()
	for {
		select {
		case <-c.Done():
			return
		case <-t.C:
		}
		n := time.Now()
		a.expire(n)
		if n.Sub(p) >= pollEvery {
			p = n
			a.poll(c)
		}
	}
}

// expire stops members that must not run on, and forgets old ones.
func (a *Agent) expire(n time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	lonely := n.Sub(a.heardAt) >= gang.IsolationTimeout
	for k, m := range a.members {
		switch {
		case m.Phase() == wire.PhaseEnded && n.Sub(m.EndedAt()) > keepEnded:
			delete(a.members, k)
		case !m.Expired(n) && (!lonely || m.Phase() != wire.PhaseRunning):
		case m.Started():
			a.stopMember(m, "lease ran out")
		default:
			m.MarkEnded(n, "reservation ran out", nil)
			a.notify()
		}
	}
}
