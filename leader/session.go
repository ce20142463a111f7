package leader

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/pause"
	"hemlockhinge/wire"
)

// Time limits of a session with an agent.
const (
	dialTimeout        = 400 * time.Millisecond
	sessionOpenTimeout = 600 * time.Millisecond
	pingInterval       = 500 * time.Millisecond
	pingTimeout        = 800 * time.Millisecond
	redialDelay        = 150 * time.Millisecond
	silenceMargin      = 500 * time.Millisecond
	// maxPingLateness is how long a session lasts without contact while this process is
	// late.
	maxPingLateness = 3 * time.Second
)

// errRoleMayHaveExpired says that no session is opened before the role is renewed.
var errRoleMayHaveExpired = errors.New("the scheduler's role may have expired")

// maintainSession opens sessions with an agent, one after the other, until c ends.
func (t *term) maintainSession(c context.Context, m *agentState) {
	select {
	case <-c.Done():
		return
	case <-t.ready:
	}
	for c.Err() == nil {
		if err := t.runSession(c, m); err != nil && c.Err() == nil && !m.lossLogged {
			m.lossLogged = true
			t.log.WithError(err).WithField("agent", m.addr).Info("agent_lost")
		}
		select {
		case <-c.Done():
		case <-m.redial:
		case <-time.After(redialDelay):
		}
	}
}

// runSession opens one session with an agent and returns when it is lost.
func (t *term) runSession(c context.Context, m *agentState) error {
	c, cancel := context.WithCancel(c)
	defer cancel()
	n, err := t.dial(c, m.addr)
	if err != nil {
		return err
	}
	o := t.startSessionMessage()
	p := wire.NewPeer(n, wire.HandlerFunc(func(_ context.Context, _ *wire.Peer, v wire.Message) (wire.Message, error) {
		if s, ok := v.(*wire.AgentStatus); ok {
			t.applyReport(m, o.Session, s)
		}
		return nil, nil
	}))
	t.goroutines.Go(func() {
		var e *wire.PanicError
		if err := p.Run(c); errors.As(err, &e) {
			t.log.WithError(e).WithFields(logrus.Fields{"agent": m.addr, "stack": e.Stack}).Error("handler_panicked")
		}
	})
	defer p.Close()
	s, err := wire.CallFor[*wire.AgentStatus](c, p, o, t.allowingForLag(sessionOpenTimeout))
	if err != nil {
		t.endIfSuperseded(err)
		return err
	}
	defer t.leftContact(m)
	if err := t.endAbsence(c, m); err != nil {
		return fmt.Errorf("end absence: %w", err)
	}
	t.sessionOpened(m, p, o.Session, s)
	defer t.sessionClosed(m, p)
	return t.pingLoop(c, m, p)
}

// dial connects to an agent, unless the role may have expired: a successor may have a session with
// the agent already, whose process forgets that if it is restarted.
func (t *term) dial(c context.Context, addr string) (net.Conn, error) {
	d, stop := context.WithTimeout(c, t.allowingForLag(dialTimeout))
	defer stop()
	if t.leader.role.mayHaveExpired() {
		return nil, errRoleMayHaveExpired
	}
	n, err := t.leader.ports.Net.Dial(d, addr)
	if err == nil && t.leader.role.mayHaveExpired() {
		_ = n.Close()
		return nil, errRoleMayHaveExpired
	}
	return n, err
}

func (t *term) startSessionMessage() *wire.StartSession {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sessionCount++
	return &wire.StartSession{
		Epoch:   t.leadership.epoch,
		Session: t.sessionCount,
		Leader:  t.leader.settings.ID,
	}
}

// endIfSuperseded ends the term if an agent refused a message because it has seen a
// higher epoch.
func (t *term) endIfSuperseded(err error) {
	var f *wire.RefusedError
	if errors.As(err, &f) && f.Code == wire.CodeStaleEpoch && f.Epoch > t.leadership.epoch {
		t.log.WithField("later_epoch", f.Epoch).Warn("later_term_seen")
		t.cancel()
	}
}

// sessionOpened resets what belongs to the previous session and applies the first
// status report, and a newer one that has overtaken it.
func (t *term) sessionOpened(m *agentState, p *wire.Peer, session uint64, s *wire.AgentStatus) {
	m.lossLogged = false
	t.mu.Lock()
	m.peer = p
	m.session = session
	m.reportSeq = 0
	m.lastAcknowledgedEnd = 0
	m.lastContact = time.Now()
	t.endSilence(m)
	if s.AgentMS < m.agentClockMS {
		m.agentRestarts++
		for _, r := range m.runs {
			r.progress.forgetPace()
		}
	}
	m.agentClockMS = s.AgentMS
	for _, r := range m.runs {
		// The first report of a session includes all earlier starts.
		r.listedFromSeq = 0
		if r.phase == launching {
			r.startUnconfirmed = true
		}
	}
	t.applyReportOfSession(m, session, s, true)
	if m.early.session == session {
		t.applyReportOfSession(m, session, m.early.status, false)
	}
	m.early = earlyReport{}
	t.mu.Unlock()
	t.log.WithFields(logrus.Fields{"agent": m.addr, "node": s.Node, "worker": s.Worker.ID, "runs": len(s.Runs), "ends": len(s.Ends)}).Info("agent_connected")
}

func (t *term) sessionClosed(m *agentState, p *wire.Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.peer == p {
		m.peer = nil
	}
}

// pingLoop pings an agent until a ping fails or c ends.
func (t *term) pingLoop(c context.Context, m *agentState, p *wire.Peer) error {
	for wait := time.Duration(0); pause.For(c, wait); wait = pingInterval {
		if _, certain := t.leader.role.certain(); !certain {
			continue
		}
		sentAt := time.Now()
		t.mu.Lock()
		v := &wire.Ping{
			LastAgentMS: m.agentClockMS,
		}
		t.mu.Unlock()
		r, err := wire.CallFor[*wire.Pong](c, p, v, pingTimeout)
		if err != nil && t.mayBeLate(m, err) {
			continue
		}
		if err != nil {
			t.endIfSuperseded(err)
			return err
		}
		t.mu.Lock()
		m.lastContact = time.Now()
		m.agentClockMS = max(m.agentClockMS, r.AgentMS)
		m.clockOffset = time.UnixMilli(r.WallMS).Sub(t.monotonicTimeOfDay(sentAt))
		m.hasClockOffset = true
		t.mu.Unlock()
	}
	return c.Err()
}

// mayBeLate reports whether a ping that failed may have been answered in time, because
// this process handles messages late. That is no reason to end the session, unless it
// lasts.
func (t *term) mayBeLate(m *agentState, err error) bool {
	if !errors.Is(err, context.DeadlineExceeded) || t.lag() < toleratedLag {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(m.lastContact) < maxPingLateness
}

// workerLeasesExpired reports whether the tasks of an agent that is out of contact
// have certainly ended: an agent renews its worker's leases only while it is in
// contact with a scheduler, this one or its predecessor.
func (t *term) workerLeasesExpired(m *agentState, now time.Time) bool {
	return t.silence(m, now) > t.leaseExpiry()
}
