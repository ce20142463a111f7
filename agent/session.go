package agent

import (
	"context"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"hemlockhinge/pause"
	"hemlockhinge/wire"
)

// Times of a session with an entry.
const (
	dialTimeout  = 2 * time.Second
	callTimeout  = 2 * time.Second
	minRedial    = 200 * time.Millisecond
	maxRedial    = 5 * time.Second
	refreshEvery = time.Second
)

// session is the connection with one entry.
type session struct {
	entry string
	addr  string
	peer  *wire.Peer
}

// keepSessions holds one session with each entry that settings or the entries
// themselves name.
func (a *Agent) keepSessions(c context.Context) {
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
			a.group.Go(func() { a.keepSession(x, v) })
		}
		for v, f := range on {
			if !slices.Contains(l, v) {
				f()
				delete(on, v)
			}
		}
		if !pause.For(c, refreshEvery) {
			return
		}
	}
}

func (a *Agent) entryAddresses() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := slices.Clone(a.set.Entries)
	for _, e := range a.policy.Entries {
		if !slices.Contains(l, e.Wire) {
			l = append(l, e.Wire)
		}
	}
	return l
}

// keepSession dials one entry again and again.
func (a *Agent) keepSession(c context.Context, addr string) {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRedial
	b.MaxInterval = maxRedial
	for {
		s := time.Now()
		err := a.runSession(c, addr)
		if c.Err() != nil {
			return
		}
		a.ports.Log.WithField("entry_address", addr).WithError(err).Debug("session_ended")
		if time.Since(s) > maxRedial {
			b.Reset()
		}
		if !pause.For(c, b.NextBackOff()) {
			return
		}
	}
}

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
	w, err := wire.CallFor[*wire.Welcome](c, p, a.announcement(), callTimeout)
	if err != nil {
		return err
	}
	if !a.addSession(w, addr, p) {
		<-c.Done()
		return nil
	}
	defer a.dropSession(w.Entry)
	return a.beat(c, p)
}

func (a *Agent) announcement() *wire.Announce {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := &wire.Announce{
		Agent:       a.set.ID,
		Incarnation: a.incarnation,
		Address:     a.address,
		Domain:      a.set.FailureDomain,
		Rack:        a.set.Rack,
		Capacity:    a.set.Capacity,
		Slots:       a.set.Slots,
		Connections: a.set.Connections,
		Services:    a.set.Services,
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

// addSession reports false when there is a session with this entry already,
// as happens when several addresses lead to one entry.
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
	a.heardAt = time.Now()
	a.apply(&w.Config)
	a.ports.Log.WithField("entry", w.Entry).Info("session_opened")
	return true
}

func (a *Agent) dropSession(entry string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.sessions, entry)
}

// apply takes a policy unless a higher version is known. The caller holds mu.
func (a *Agent) apply(p *wire.AgentConfig) {
	if p.Version < a.policy.Version {
		return
	}
	a.policy = *p
	a.meter.version.Set(float64(p.Version))
}

// confirm takes a later version from the answer to a heartbeat. It says whether
// the failure domain is out, since the entry may have skipped a version that
// another entry has told. The caller holds mu.
func (a *Agent) confirm(r *wire.Ack) {
	if r.Version <= a.policy.Version {
		return
	}
	a.policy.Version = r.Version
	a.policy.OutOfService = r.OutOfService
	a.meter.version.Set(float64(r.Version))
}

// beat sends heartbeats until the session fails, and at once when the agent
// begins to leave.
func (a *Agent) beat(c context.Context, p *wire.Peer) error {
	for {
		a.mu.Lock()
		m := &wire.Heartbeat{
			InFlight:  a.inFlight,
			Completed: a.served,
			Leaving:   a.leaving,
		}
		w := a.change
		l := a.leaving
		a.mu.Unlock()
		r, err := wire.CallFor[*wire.Ack](c, p, m, callTimeout)
		if err != nil {
			return err
		}
		a.mu.Lock()
		a.heardAt = time.Now()
		a.confirm(r)
		a.mu.Unlock()
		d := max(beatEvery, time.Duration(r.NextHeartbeatMS)*time.Millisecond)
		if err := a.waitBeat(c, p, w, l, d); err != nil {
			return err
		}
	}
}

func (a *Agent) waitBeat(c context.Context, p *wire.Peer, w <-chan struct{}, leaving bool, d time.Duration) error {
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
		w = a.change
		a.mu.Unlock()
		if n {
			return nil
		}
	}
}

// peers returns the peers of all sessions.
func (a *Agent) peers() []*wire.Peer {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := make([]*wire.Peer, 0, len(a.sessions))
	for _, s := range a.sessions {
		l = append(l, s.peer)
	}
	return l
}
