package entry

import (
	"context"
	"net"
	"time"

	"hemlockhinge/route"
	"hemlockhinge/wire"
)

// Times of sessions with agents. A session ends when no message has arrived for
// maxMissedHeartbeats intervals and heartbeatSlack.
const (
	announceTimeout      = 5 * time.Second
	minHeartbeatInterval = time.Second
	maxMissedHeartbeats  = 3
	heartbeatSlack       = 500 * time.Millisecond
	silenceCheckInterval = 500 * time.Millisecond
	callTimeout          = 2 * time.Second
	lostTargetRetention  = time.Minute
)

// Size in bytes of a heartbeat with its reply, and how many bytes a second an entry
// allows for the heartbeats of all its agents. The more agents are connected, the
// longer the interval between heartbeats.
const (
	heartbeatBytes          = 22
	heartbeatBytesPerSecond = 1500
)

// session is an incoming connection: from an agent, once agent is set by its Announce,
// or from another entry.
type session struct {
	entry *Entry
	peer  *wire.Peer
	// pushRequested makes supervise compare and send the agent's configuration.
	pushRequested chan struct{}

	// The fields below are guarded by the entry's mu.
	agent             wire.Announce
	lastReceived      time.Time
	heartbeatInterval time.Duration
	// leaving means that the agent is draining.
	leaving bool
	// ackedConfig is the last configuration that the agent has acknowledged.
	ackedConfig wire.AgentConfig
}

// accept serves connections from agents and other entries.
func (e *Entry) accept(c context.Context, l net.Listener) {
	defer context.AfterFunc(c, func() { _ = l.Close() })()
	for {
		n, err := l.Accept()
		if err != nil {
			return
		}
		e.group.Go(func() { e.serveConn(c, n) })
	}
}

func (e *Entry) serveConn(c context.Context, n net.Conn) {
	s := &session{
		entry:         e,
		pushRequested: make(chan struct{}, 1),
	}
	s.peer = wire.NewPeer(n, s)
	c, cancel := context.WithCancel(c)
	defer cancel()
	go s.supervise(c)
	_ = s.peer.Run(c)
	e.handleClose(s)
}

// supervise closes the connection when it times out, and pushes the configuration to
// the agent.
func (s *session) supervise(c context.Context) {
	defer s.peer.Close()
	t := time.NewTicker(silenceCheckInterval)
	defer t.Stop()
	from := time.Now()
	for {
		select {
		case <-c.Done():
			return
		case <-s.peer.Done():
			return
		case <-s.pushRequested:
			if !s.pushConfig(c) {
				return
			}
		case <-t.C:
			if s.timedOut(from) {
				return
			}
		}
	}
}

// timedOut reports whether the peer has not announced itself in time, or has been silent
// for too long.
func (s *session) timedOut(from time.Time) bool {
	s.entry.mu.Lock()
	defer s.entry.mu.Unlock()
	if s.agent.Agent == "" && s.lastReceived.IsZero() {
		return time.Since(from) > announceTimeout
	}
	return time.Since(s.lastReceived) > maxMissedHeartbeats*max(s.heartbeatInterval, minHeartbeatInterval)+heartbeatSlack
}

// agentHeartbeatInterval returns the interval at which agents should send heartbeats, so
// that all together stay within heartbeatBytesPerSecond. The caller holds mu.
func (e *Entry) agentHeartbeatInterval() time.Duration {
	d := time.Duration(len(e.sessions)) * heartbeatBytes * time.Second / heartbeatBytesPerSecond
	return max(minHeartbeatInterval, d)
}

// pushConfig sends the configuration to the agent unless the agent has it except for
// the version. It returns false if the agent did not acknowledge it.
func (s *session) pushConfig(c context.Context) bool {
	e := s.entry
	e.mu.Lock()
	p := e.agentConfig(s.agent.Domain)
	skip := s.agent.Agent == "" || p.Same(s.ackedConfig)
	e.mu.Unlock()
	if skip {
		return true
	}
	if _, err := wire.CallFor[*wire.Ack](c, s.peer, &p, callTimeout); err != nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.ackedConfig = p
	return true
}

// pushConfigToAll makes every session push its agent's configuration if it has changed
// in more than the version. The other agents get the version in the reply to their next
// heartbeat.
func (e *Entry) pushConfigToAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.sessions {
		select {
		case s.pushRequested <- struct{}{}:
		default:
		}
	}
}

// Handle implements wire.Handler.
func (s *session) Handle(c context.Context, _ *wire.Peer, m wire.Message) (wire.Message, error) {
	switch v := m.(type) {
	case *wire.Announce:
		return s.handleAnnounce(v)
	case *wire.Heartbeat:
		return s.handleHeartbeat(v)
	case *wire.AttemptReport:
		return s.entry.handleReport(c, v)
	case *wire.GetHeartbeatAges:
		s.entry.mu.Lock()
		defer s.entry.mu.Unlock()
		s.lastReceived = time.Now()
		return s.entry.heartbeatAges(v), nil
	case *wire.GetObjects:
		s.entry.mu.Lock()
		defer s.entry.mu.Unlock()
		s.lastReceived = time.Now()
		return s.entry.newerObjects(v), nil
	}
	return nil, wire.Refuse(wire.CodeUnknown, "an entry does not answer messages of kind %d", m.Kind())
}

// handleAnnounce registers an agent. A later session of an agent replaces an earlier
// one, but an earlier incarnation never replaces a later one.
func (s *session) handleAnnounce(v *wire.Announce) (wire.Message, error) {
	e := s.entry
	e.mu.Lock()
	o := e.sessions[v.Agent]
	if o != nil && o.agent.Incarnation > v.Incarnation {
		e.mu.Unlock()
		return nil, wire.Refuse(wire.CodeStaleEpoch, "agent %q has announced a later incarnation", v.Agent)
	}
	s.agent = *v
	s.leaving = v.Leaving
	s.lastReceived = time.Now()
	e.sessions[v.Agent] = s
	e.lastContact[v.Agent] = s.lastReceived
	s.ackedConfig = e.agentConfig(v.Domain)
	r := &wire.Welcome{
		Entry:  e.settings.ID,
		Config: s.ackedConfig,
	}
	h := e.schedulers[v.Domain]
	e.mu.Unlock()
	if o != nil {
		o.peer.Close()
	}
	e.dispatcher.setTarget(route.Target{
		ID:          v.Agent,
		Address:     v.Address,
		Incarnation: v.Incarnation,
		Domain:      v.Domain,
		Services:    v.Services,
		Slots:       v.Slots,
		Leaving:     v.Leaving,
	})
	if h != nil {
		h.applyAnnounce(v)
	}
	e.ports.Log.WithField("agent", v.Agent).WithField("failure_domain", v.Domain).Info("agent_announced")
	return r, nil
}

func (s *session) handleHeartbeat(v *wire.Heartbeat) (wire.Message, error) {
	e := s.entry
	n := time.Now()
	e.mu.Lock()
	if s.agent.Agent == "" {
		e.mu.Unlock()
		return nil, wire.Refuse(wire.CodeUnknown, "the agent has not announced itself")
	}
	s.lastReceived = n
	e.lastContact[s.agent.Agent] = n
	changed := s.leaving != v.Leaving
	s.leaving = v.Leaving
	h := e.schedulers[s.agent.Domain]
	s.heartbeatInterval = e.agentHeartbeatInterval()
	d, _ := e.config.objects.FailureDomain(s.agent.Domain)
	a := &wire.Ack{
		Version:      e.config.version,
		OutOfService: d.OutOfService,
	}
	if s.heartbeatInterval > minHeartbeatInterval {
		a.NextHeartbeatMS = uint32(s.heartbeatInterval.Milliseconds()) //nolint:gosec // minutes at most
	}
	e.mu.Unlock()
	e.dispatcher.setLoad(s.agent.Agent, v.InFlight, v.Leaving)
	if changed && h != nil {
		h.triggerDecision()
	}
	return a, nil
}

// handleClose removes the session of an agent after its connection has closed, unless a
// later session has replaced it.
func (e *Entry) handleClose(s *session) {
	e.mu.Lock()
	if e.sessions[s.agent.Agent] != s {
		e.mu.Unlock()
		return
	}
	delete(e.sessions, s.agent.Agent)
	h := e.schedulers[s.agent.Domain]
	e.mu.Unlock()
	e.dispatcher.markLost(s.agent.Agent)
	if h != nil {
		h.triggerDecision()
	}
	e.ports.Log.WithField("agent", s.agent.Agent).Info("agent_lost")
	time.AfterFunc(lostTargetRetention, func() { e.forgetTarget(s.agent.Agent) })
}

// forgetTarget removes a target unless its agent has connected again.
func (e *Entry) forgetTarget(id string) {
	e.mu.Lock()
	_, back := e.sessions[id]
	e.mu.Unlock()
	if !back {
		e.dispatcher.removeTarget(id)
	}
}

// heartbeatAges returns how long ago this entry last received a heartbeat or an
// announcement from each of the agents, or -1 if it never has. The caller holds mu.
func (e *Entry) heartbeatAges(v *wire.GetHeartbeatAges) *wire.HeartbeatAges {
	a := &wire.HeartbeatAges{}
	for _, n := range v.Agents {
		t, ok := e.lastContact[n]
		if !ok {
			a.MS = append(a.MS, -1)
			continue
		}
		a.MS = append(a.MS, time.Since(t).Milliseconds())
	}
	return a
}

// agentPeer returns the connection to an agent, or nil.
func (e *Entry) agentPeer(agent string) *wire.Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.sessions[agent]; s != nil {
		return s.peer
	}
	return nil
}
