// Package agent implements the daemon that manages one worker.
//
// Only the agent starts tasks and admits requests on its worker, and it does the
// accounting of the worker's capacity. It keeps a session with each entry, grants
// reservations to schedulers, is a member or the lead of gangs, and admits requests
// to the worker's slots.
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

// Intervals and time limits.
const (
	// heartbeatInterval is the shortest interval between heartbeats; an entry may ask
	// for a longer one.
	heartbeatInterval = time.Second
	// tickInterval is how often leases are checked, and how long to wait before a
	// failed stop is tried again.
	tickInterval = 200 * time.Millisecond
	// pollInterval is how often the worker is asked for the states of its tasks.
	pollInterval = 500 * time.Millisecond
	// defaultStopTimeout limits a graceful stop unless the settings say otherwise.
	defaultStopTimeout = 30 * time.Second
	// endedRetention is how long members that have ended are remembered.
	endedRetention = time.Hour
)

// Ports are the agent's external dependencies.
type Ports struct {
	Net    wire.Network
	Worker worker.Port
	Log    *logrus.Entry
}

// attemptKey identifies an attempt within this agent.
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

// Agent is the daemon. Use New to create one.
type Agent struct {
	ports       Ports
	settings    conf.AgentSettings
	address     string
	incarnation uint64
	group       sync.WaitGroup
	// runCtx is the context of Run. It ends when the agent is stopped at once, or
	// when Run returns.
	runCtx context.Context //nolint:containedctx // ends with the process

	// mu protects the fields from here to changed, except idempotency, which has a
	// lock of its own.
	mu     sync.Mutex
	config wire.AgentConfig
	// epoch is the highest scheduler epoch seen.
	epoch      uint64
	lastHandle uint32
	members    map[attemptKey]*member
	leads      map[attemptKey]*lead
	sessions   map[string]*session
	// leaving is set when a graceful stop has begun.
	leaving bool
	// inFlight counts the requests that occupy slots, and completed those that
	// have ended.
	inFlight  int
	completed uint64
	// requestConns counts the connections that carry requests.
	requestConns int
	// lastContact is when an entry last answered.
	lastContact time.Time
	// agentPeers are the connections to other agents, by address.
	agentPeers  map[string]*wire.Peer
	idempotency once.Table
	// changed is closed and replaced by notifyChange.
	changed chan struct{}

	registry *prometheus.Registry
	metrics  metrics
}

// New returns an agent. Call Run to start it.
func New(p Ports, s conf.AgentSettings) *Agent {
	a := &Agent{
		ports:       p,
		settings:    s,
		address:     s.WireAddress,
		runCtx:      context.Background(),
		incarnation: uint64(time.Now().UnixNano()), //nolint:gosec // after 1970
		lastHandle:  rand.Uint32(),                 //nolint:gosec // tells incarnations apart
		members:     map[attemptKey]*member{},
		leads:       map[attemptKey]*lead{},
		sessions:    map[string]*session{},
		agentPeers:  map[string]*wire.Peer{},
		changed:     make(chan struct{}),
		registry:    prometheus.NewRegistry(),
	}
	a.metrics = newMetrics(a.registry)
	a.ports.Log = p.Log.WithField("agent", s.ID)
	return a
}

// Run runs the agent. It stops gracefully when drain is closed, and at once when c
// ends.
func (a *Agent) Run(c context.Context, drain <-chan struct{}) error {
	if err := a.stopLeftoverTasks(c); err != nil {
		return err
	}
	w, h, err := admin.Listen(a.ports.Net, a.settings.WireListen, a.settings.HTTPListen)
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
	a.runCtx = c
	a.lastContact = time.Now()
	a.ports.Log.WithField("wire", a.address).Info("agent_started")
	a.group.Go(func() { a.accept(c, w) })
	a.group.Go(func() { a.maintainSessions(c) })
	a.group.Go(func() { a.superviseMembers(c) })
	select {
	case <-c.Done():
	case <-drain:
		a.drain(c)
	}
	a.ports.Log.Info("agent_stopped")
	return nil
}

// stopLeftoverTasks stops the tasks that an earlier incarnation of the agent left on
// the worker. Schedulers take the announcement of a new incarnation as proof that none
// of them runs any more.
func (a *Agent) stopLeftoverTasks(c context.Context) error {
	for {
		err := a.stopRunningTasks(c)
		if err == nil {
			return nil
		}
		a.ports.Log.WithError(err).Warn("worker_not_reached")
		if !pause.For(c, heartbeatInterval) {
			return fmt.Errorf("stop leftover tasks: %w", err)
		}
	}
}

// stopRunningTasks stops every task that the worker lists as running.
func (a *Agent) stopRunningTasks(c context.Context) error {
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

// accept accepts connections from entries and other agents until c ends.
func (a *Agent) accept(c context.Context, l net.Listener) {
	defer context.AfterFunc(c, func() { _ = l.Close() })()
	for {
		n, err := l.Accept()
		if err != nil {
			return
		}
		a.group.Go(func() { a.serveConn(c, n) })
	}
}

// firstMessageTimeout limits the wait for the first message on a new connection.
const firstMessageTimeout = 10 * time.Second

// serveConn serves one connection. Its first message says whether it carries requests
// or calls.
func (a *Agent) serveConn(c context.Context, n net.Conn) {
	w := wire.NewConn(n)
	defer func() { _ = w.Close() }()
	defer context.AfterFunc(c, func() { _ = w.Close() })()
	_ = w.SetReadDeadline(time.Now().Add(firstMessageTimeout))
	f, err := w.Read()
	if err != nil {
		return
	}
	_ = w.SetReadDeadline(time.Time{})
	o, ok := f.Message.(*wire.Open)
	switch {
	case !ok:
	case o.Stream:
		a.serveRequests(c, w)
	default:
		_ = wire.NewPeerFromConn(w, wire.HandlerFunc(a.handle)).Run(c)
	}
}

// drain refuses new work, has the gangs that this agent leads checkpointed and stopped,
// and waits until all requests are answered and no member is active, or the stop
// timeout has passed.
func (a *Agent) drain(c context.Context) {
	a.mu.Lock()
	a.leaving = true
	l := make([]*lead, 0, len(a.leads))
	for _, v := range a.leads {
		l = append(l, v)
	}
	a.notifyChange()
	a.mu.Unlock()
	a.ports.Log.Info("agent_draining")
	for _, v := range l {
		v.requestStop(wire.OutcomePreempted, "agent is shutting down", true)
	}
	c, cancel := context.WithTimeout(c, a.settings.StopTimeout.Or(defaultStopTimeout))
	defer cancel()
	for {
		a.mu.Lock()
		idle := a.inFlight == 0 && a.activeMembers() == 0 && len(a.leads) == 0
		w := a.changed
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

// activeMembers returns the number of members that have not ended. The caller holds mu.
func (a *Agent) activeMembers() int {
	n := 0
	for _, m := range a.members {
		if m.Phase() != wire.PhaseEnded {
			n++
		}
	}
	return n
}

// notifyChange wakes all goroutines that wait on changed. The caller holds mu.
func (a *Agent) notifyChange() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// superviseMembers periodically stops members whose lease has expired and polls the
// states of tasks, until c ends.
func (a *Agent) superviseMembers(c context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	p := time.Now()
	for {
		select {
		case <-c.Done():
			return
		case <-t.C:
		}
		n := time.Now()
		a.expireMembers(n)
		if n.Sub(p) >= pollInterval {
			p = n
			a.pollTasks(c)
		}
	}
}

// expireMembers stops members whose reservation or lease has expired, and all running
// members once no entry has answered for gang.IsolationTimeout. It removes members that
// ended more than endedRetention ago.
func (a *Agent) expireMembers(n time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	isolated := n.Sub(a.lastContact) >= gang.IsolationTimeout
	for k, m := range a.members {
		switch {
		case m.Phase() == wire.PhaseEnded && n.Sub(m.EndedAt()) > endedRetention:
			delete(a.members, k)
		case !m.Expired(n) && (!isolated || m.Phase() != wire.PhaseRunning):
		case m.MayHaveRun():
			a.stopMember(m, "lease ran out")
		default:
			m.MarkEnded(n, "reservation ran out", nil)
			a.notifyChange()
		}
	}
}
