package agent

import (
	"context"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"hemlockhinge/pause"
	"hemlockhinge/wire"
)

// Timeouts and intervals of the sessions with entries.
const (
	dialTimeout            = 2 * time.Second
	callTimeout            = 2 * time.Second
	minRedialDelay         = 200 * time.Millisecond
	maxRedialDelay         = 5 * time.Second
	sessionRefreshInterval = time.Second
)

// session is an open session with an entry.
type session struct {
	entry string
	addr  string
	peer  *wire.Peer
}

// maintainSessions maintains one session with each entry that is listed in the settings
// or in the configuration that entries send.
func (a *Agent) maintainSessions(c context.Context) {
	on := map[string]context.CancelFunc{}
	defer func() {
		for _, f := range on {
			f()
		}
	}()
	for {
		l := a.entryAddresses()
		for _, v := range l {
			if on[v] != nil {
				continue
			}
			x, cancel := context.WithCancel(c)
			on[v] = cancel
			a.group.Go(func() { a.maintainSession(x, v) })
		}
		for v, f := range on {
			if !slices.Contains(l, v) {
				f()
				delete(on, v)
			}
		}
		if !pause.For(c, sessionRefreshInterval) {
			return
		}
	}
}

// entryAddresses returns the addresses of all known entries, without duplicates.
func (a *Agent) entryAddresses() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := slices.Clone(a.settings.Entries)
	for _, e := range a.config.Entries {
		if !slices.Contains(l, e.Wire) {
			l = append(l, e.Wire)
		}
	}
	return l
}

// maintainSession runs sessions with one entry, one after another, with exponential
// backoff between them. A session that lasted longer than the longest backoff resets it.
func (a *Agent) maintainSession(c context.Context, addr string) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRedialDelay
	b.MaxInterval = maxRedialDelay
	for {
		s := time.Now()
		err := a.runSession(c, addr)
		if c.Err() != nil {
			return
		}
		a.ports.Log.WithField("entry_address", addr).WithError(err).Debug("session_ended")
		if time.Since(s) > maxRedialDelay {
			b.Reset()
		}
		if !pause.For(c, b.NextBackOff()) {
			return
		}
	}
}

// runSession dials an entry, announces the agent, and sends heartbeats until the session
// fails. If another connection already serves as the session with this entry, it sends
// nothing more and keeps the connection open until c ends.
func (a *Agent) runSession(c context.Context, addr string) error {
	d, cancel := context.WithTimeout(c, dialTimeout)
	n, err := a.ports.Net.Dial(d, addr)
	cancel()
	if err != nil {
		return err
	}
	c, cancel = context.WithCancel(c)
	defer cancel()
	p := wire.NewPeer(n, wire.HandlerFunc(a.handle))
	e := make(chan struct{})
	go func() {
		defer close(e)
		_ = p.Run(c)
	}()
	defer func() { <-e }()
	defer p.Close()
	w, err := wire.CallFor[*wire.Welcome](c, p, a.newAnnounce(), callTimeout)
	if err != nil {
		return err
	}
	if !a.addSession(w, addr, p) {
		<-c.Done()
		return nil
	}
	defer a.removeSession(w.Entry)
	return a.sendHeartbeats(c, p)
}

// newAnnounce returns the message that opens a session. It lists all members, without
// the results of their tasks.
func (a *Agent) newAnnounce() *wire.Announce {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := &wire.Announce{
		Agent:       a.settings.ID,
		Incarnation: a.incarnation,
		Address:     a.address,
		Domain:      a.settings.FailureDomain,
		Rack:        a.settings.Rack,
		Capacity:    a.settings.Capacity,
		Slots:       a.settings.Slots,
		Connections: a.settings.Connections,
		Services:    a.settings.Services,
		Leaving:     a.leaving,
	}
	for k, v := range a.members {
		r := v.Report()
		r.Results = nil
		r.IsLead = a.leads[k] != nil
		m.Members = append(m.Members, r)
	}
	return m
}

// addSession registers a session and applies the configuration that came with the entry's
// welcome. It returns false if there already is a session with the entry, which happens
// if several addresses lead to one entry.
func (a *Agent) addSession(w *wire.Welcome, addr string, p *wire.Peer) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.sessions[w.Entry] != nil {
		return false
	}
	a.sessions[w.Entry] = &session{
		entry: w.Entry,
		addr:  addr,
		peer:  p,
	}
	a.lastContact = time.Now()
	a.applyConfig(&w.Config)
	a.ports.Log.WithField("entry", w.Entry).Info("session_opened")
	return true
}

func (a *Agent) removeSession(entry string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.sessions, entry)
}

// applyConfig applies a configuration unless a higher version is known. The caller holds
// mu.
func (a *Agent) applyConfig(p *wire.AgentConfig) {
	if p.Version < a.config.Version {
		return
	}
	a.config = *p
	a.metrics.configVersion.Set(float64(p.Version))
}

// applyHeartbeatAck applies a later version of the configuration from the answer to a
// heartbeat. The answer also says whether the failure domain is out of service, since the
// entry may have skipped a version that another entry has sent to this agent. The caller
// holds mu.
func (a *Agent) applyHeartbeatAck(r *wire.Ack) {
	if r.Version <= a.config.Version {
		return
	}
	a.config.Version = r.Version
	a.config.OutOfService = r.OutOfService
	a.metrics.configVersion.Set(float64(r.Version))
}

// sendHeartbeats sends heartbeats until the session fails. When the agent begins to shut
// down, the next heartbeat is sent at once.
func (a *Agent) sendHeartbeats(c context.Context, p *wire.Peer) error {
	for {
		a.mu.Lock()
		m := &wire.Heartbeat{
			InFlight:  a.inFlight,
			Completed: a.completed,
			Leaving:   a.leaving,
		}
		w := a.changed
		l := a.leaving
		a.mu.Unlock()
		r, err := wire.CallFor[*wire.Ack](c, p, m, callTimeout)
		if err != nil {
			return err
		}
		a.mu.Lock()
		a.lastContact = time.Now()
		a.applyHeartbeatAck(r)
		a.mu.Unlock()
		d := max(heartbeatInterval, time.Duration(r.NextHeartbeatMS)*time.Millisecond)
		if err := a.waitForNextHeartbeat(c, p, w, l, d); err != nil {
			return err
		}
	}
}

// waitForNextHeartbeat waits until d has passed or a.leaving differs from leaving. w is
// the channel that is closed at the next change. It returns an error if the session ends.
func (a *Agent) waitForNextHeartbeat(c context.Context, p *wire.Peer, w <-chan struct{}, leaving bool, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		select {
		case <-c.Done():
			return c.Err()
		case <-p.Done():
			return &wire.ClosedError{
				Remote: p.Conn().Remote(),
			}
		case <-t.C:
			return nil
		case <-w:
		}
		a.mu.Lock()
		n := a.leaving != leaving
		w = a.changed
		a.mu.Unlock()
		if n {
			return nil
		}
	}
}

// entryPeers returns the connections of all sessions.
func (a *Agent) entryPeers() []*wire.Peer {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := make([]*wire.Peer, 0, len(a.sessions))
	for _, s := range a.sessions {
		l = append(l, s.peer)
	}
	return l
}
