package entry

import (
	"context"
	"net"
	"time"

	"hemlockhinge/route"
	"hemlockhinge/wire"
)

// Times of sessions with agents.
const (
	announceWait = 5 * time.Second
	beatEvery    = time.Second
	beatsMissed  = 3
	beatSlack    = 500 * time.Millisecond
	beatCheck    = 500 * time.Millisecond
	callTimeout  = 2 * time.Second
	forgetAfter  = time.Minute
)

// Bytes of a heartbeat with its answer, and how many of them a second an entry
// spends on all its agents. With more agents the heartbeats are less frequent.
const (
	beatBytes  = 22
	beatBudget = 1500
)

// session is the connection with one agent.
type session struct {
	entry *Entry
	peer  *wire.Peer
	push  chan struct{}

	// The fields below are guarded by the entry's mu.
	agent   wire.Announce
	beatAt  time.Time
	every   time.Duration
	leaving bool
	// held is the last policy that the agent has acknowledged.
	held wire.AgentConfig
}

// accept serves connections from agents and other entries.
func (e *Entry) accept(c context.Context, l net.Listener) {
	defer context.AfterFunc(c, func() { _ = l.Close() })()
	for {
		n, err := l.Accept()
		if err != nil {
			return
		}
		e.group.Go(func() { e.welcome(c, n) })
	}
}

func (e *Entry) welcome(c context.Context, n net.Conn) {
	s := &session{
		entry: e,
		push:  make(chan struct{}, 1),
	}
	s.peer = wire.NewPeer(n, s)
	c, cancel := context.WithCancel(c)
	defer cancel()
	go s.guard(c)
	_ = s.peer.Run(c)
	e.closed(s)
}

// guard ends a session whose agent is not heard, and pushes policies.
func (s *session) guard(c context.Context) {
	defer s.peer.Close()
	t := time.NewTicker(beatCheck)
	defer t.Stop()
	from := time.Now()
	for {
		select {
		case <-c.Done():
			return
		case <-s.peer.Done():
			return
		case <-s.push:
			if !s.pushPolicy(c) {
				return
			}
		case <-t.C:
			if s.silent(from) {
				return
			}
		}
	}
}

func (s *session) silent(from time.Time) bool {
	s.entry.mu.Lock()
	defer s.entry.mu.Unlock()
	if s.agent.Agent == "" && s.beatAt.IsZero() {
		return time.Since(from) > announceWait
	}
	return time.Since(s.beatAt) > beatsMissed*max(s.every, beatEvery)+beatSlack
}

// beatInterval is how often an agent should send heartbeats, so that all of
// them together stay within the budget. The caller holds mu.
func (e *Entry) beatInterval() time.Duration {
	d := time.Duration(len(e.sessions)) * beatBytes * time.Second / beatBudget
	return max(beatEvery, d)
}

func (s *session) pushPolicy(c context.Context) bool {
	e := s.entry
	e.mu.Lock()
	p := e.policy(s.agent.Domain)
	skip := s.agent.Agent == "" || p.Same(s.held)
	e.mu.Unlock()
	if skip {
		return true
	}
	if _, err := wire.CallFor[*wire.Ack](c, s.peer, &p, callTimeout); err != nil {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s.held = p
	return true
}

// pushAll sends the policy to all agents whose failure domain it changes
// something for; the others learn the version with their next heartbeat.
func (e *Entry) pushAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.sessions {
		select {
		case s.push <- struct{}{}:
		default:
		}
	}
}

// Handle implements wire.Handler.
func (s *session) Handle(c context.Context, _ *wire.Peer, m wire.Message) (wire.Message, error) {
	switch v := m.(type) {
	case *wire.Announce:
		return s.announce(v)
	case *wire.Heartbeat:
		return s.beat(v)
	case *wire.AttemptReport:
		return s.entry.report(c, v)
	case *wire.GetHeartbeatAges:
		s.entry.mu.Lock()
		defer s.entry.mu.Unlock()
		s.beatAt = time.Now()
		return s.entry.ages(v), nil
	case *wire.GetObjects:
		s.entry.mu.Lock()
		defer s.entry.mu.Unlock()
		s.beatAt = time.Now()
		return s.entry.newer(v), nil
	}
	return nil, wire.Refuse(wire.CodeUnknown, "an entry does not answer messages of kind %d", m.Kind())
}

// announce takes an agent in. A later session of an agent replaces an earlier
// one; an earlier incarnation never replaces a later one.
func (s *session) announce(v *wire.Announce) (wire.Message, error) {
	e := s.entry
	e.mu.Lock()
	o := e.sessions[v.Agent]
	if o != nil && o.agent.Incarnation > v.Incarnation {
		e.mu.Unlock()
		return nil, wire.Refuse(wire.CodeStaleEpoch, "agent %q has announced a later incarnation", v.Agent)
	}
	s.agent = *v
	s.leaving = v.Leaving
	s.beatAt = time.Now()
	e.sessions[v.Agent] = s
	e.heard[v.Agent] = s.beatAt
	s.held = e.policy(v.Domain)
	r := &wire.Welcome{
		Entry:  e.set.ID,
		Config: s.held,
	}
	h := e.scheds[v.Domain]
	e.mu.Unlock()
	if o != nil {
		o.peer.Close()
	}
	e.gate.set(route.Target{
		ID:          v.Agent,
		Address:     v.Address,
		Incarnation: v.Incarnation,
		Domain:      v.Domain,
		Services:    v.Services,
		Slots:       v.Slots,
		Leaving:     v.Leaving,
	})
	if h != nil {
		h.announced(v)
	}
	e.ports.Log.WithField("agent", v.Agent).WithField("failure_domain", v.Domain).Info("agent_announced")
	return r, nil
}

func (s *session) beat(v *wire.Heartbeat) (wire.Message, error) {
	e := s.entry
	n := time.Now()
	e.mu.Lock()
	if s.agent.Agent == "" {
		e.mu.Unlock()
		return nil, wire.Refuse(wire.CodeUnknown, "the agent has not announced itself")
	}
	s.beatAt = n
	e.heard[s.agent.Agent] = n
	changed := s.leaving != v.Leaving
	s.leaving = v.Leaving
	h := e.scheds[s.agent.Domain]
	s.every = e.beatInterval()
	d, _ := e.config.objects.FailureDomain(s.agent.Domain)
	a := &wire.Ack{
		Version:      e.config.version,
		OutOfService: d.OutOfService,
	}
	if s.every > beatEvery {
		a.NextHeartbeatMS = uint32(s.every.Milliseconds()) //nolint:gosec // minutes at most
	}
	e.mu.Unlock()
	e.gate.load(s.agent.Agent, v.InFlight, v.Leaving)
	if changed && h != nil {
		h.poke()
	}
	return a, nil
}

// closed ends a session.
func (e *Entry) closed(s *session) {
	e.mu.Lock()
	if e.sessions[s.agent.Agent] != s {
		e.mu.Unlock()
		return
	}
	delete(e.sessions, s.agent.Agent)
	h := e.scheds[s.agent.Domain]
	e.mu.Unlock()
	e.gate.lost(s.agent.Agent)
	if h != nil {
		h.poke()
	}
	e.ports.Log.WithField("agent", s.agent.Agent).Info("agent_lost")
	time.AfterFunc(forgetAfter, func() { e.forgetTarget(s.agent.Agent) })
}

// forgetTarget drops a target that has not come back.
func (e *Entry) forgetTarget(id string) {
	e.mu.Lock()
	_, back := e.sessions[id]
	e.mu.Unlock()
	if !back {
		e.gate.remove(id)
	}
}

// ages answers how long ago agents were heard. The caller holds mu.
func (e *Entry) ages(v *wire.GetHeartbeatAges) *wire.HeartbeatAges {
	a := &wire.HeartbeatAges{}
	for _, n := range v.Agents {
		t, ok := e.heard[n]
		if !ok {
			a.MS = append(a.MS, -1)
			continue
		}
		a.MS = append(a.MS, time.Since(t).Milliseconds())
	}
	return a
}

// peerOf returns the connection with an agent, or nil.
func (e *Entry) peerOf(agent string) *wire.Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.sessions[agent]; s != nil {
		return s.peer
	}
	return nil
}
