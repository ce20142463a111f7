package leader

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/fence"
	"hemlockhinge/graph"
	"hemlockhinge/pause"
	"hemlockhinge/store"
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

// pendingEnd is the reported end of a run that may not be recorded in the store yet.
type pendingEnd struct {
	number          int64
	job             *job
	progressVersion uint64
}

// agentState is what the scheduler knows of one agent and its worker.
type agentState struct {
	addr   string
	cancel context.CancelFunc
	redial chan struct{}
	// lossLogged is set once the loss of the agent is logged, so that it is logged
	// only once.
	lossLogged bool

	peer *wire.Peer
	// session is the number of the newest session, and reportSeq that of the newest
	// report in it.
	session   uint64
	reportSeq uint64
	worker    wire.WorkerInfo
	// accountedFor is false until all that may run at the worker is known in this
	// term, from the agent's report or because the worker's leases have expired.
	accountedFor bool
	// acceptsTasks means that the worker answers its agent and takes tasks.
	acceptsTasks bool
	// lastContact is when the agent was last certainly in contact.
	lastContact time.Time
	runs        map[graph.Task]*run
	// unexpected are the runs at the worker that should not exist. Their sizes count
	// as used until they have ended.
	unexpected map[graph.Task]unexpectedRun
	// Ends are numbered by the worker. lastEnd is the last that was processed,
	// lastRecordedEnd the last up to which all are recorded in the store, and
	// lastAcknowledgedEnd the last that was acknowledged to the agent.
	lastEnd             int64
	pendingEnds         []pendingEnd
	lastRecordedEnd     int64
	lastAcknowledgedEnd int64
	// agentClockMS is the newest value received of the agent's monotonic clock.
	agentClockMS int64
	// clockOffset is the agent's time of day relative to monotonicTimeOfDay; it is
	// valid if hasClockOffset is set.
	clockOffset    time.Duration
	hasClockOffset bool
	failures       failureTracker
	// leavesAt is until when a leaving worker stays at least.
	leavesAt time.Time
}

// unexpectedRun is a run that should not exist; the scheduler stops it.
type unexpectedRun struct {
	attempt    int
	size       graph.Size
	stopSentAt time.Time
}

func newAgentState(addr string, cancel context.CancelFunc) *agentState {
	return &agentState{
		addr:        addr,
		cancel:      cancel,
		redial:      make(chan struct{}, 1),
		lastContact: time.Now(),
		runs:        map[graph.Task]*run{},
		unexpected:  map[graph.Task]unexpectedRun{},
	}
}

// applyAgent applies a change of an agent's registration; t.mu is held.
func (t *term) applyAgent(addr string, i store.Item) {
	m := t.agents[addr]
	if i.Deleted {
		if m != nil {
			m.cancel()
			delete(t.agents, addr)
			for _, r := range m.runs {
				t.removeLostRun(m, r)
			}
		}
		return
	}
	if m != nil {
		pause.Wake(m.redial)
		return
	}
	c, cancel := context.WithCancel(t.ctx)
	m = newAgentState(addr, cancel)
	t.agents[addr] = m
	t.goroutines.Go(func() { t.maintainSession(c, m) })
}

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
	d, stop := context.WithTimeout(c, t.allowingForLag(dialTimeout))
	n, err := t.leader.ports.Net.Dial(d, m.addr)
	stop()
	if err != nil {
		return err
	}
	o := t.startSessionMessage()
	p := wire.NewPeer(n, wire.HandlerFunc(func(_ context.Context, _ *wire.Peer, v wire.Message) (wire.Message, error) {
		if s, ok := v.(*wire.AgentStatus); ok {
			t.applyReport(m, o.Session, s, false)
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
	t.sessionOpened(m, p, o.Session, s)
	defer t.sessionClosed(m, p)
	return t.pingLoop(c, m, p)
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
// status report.
func (t *term) sessionOpened(m *agentState, p *wire.Peer, session uint64, s *wire.AgentStatus) {
	m.lossLogged = false
	t.mu.Lock()
	m.peer = p
	m.session = session
	m.reportSeq = 0
	m.lastAcknowledgedEnd = 0
	m.lastContact = time.Now()
	m.agentClockMS = s.AgentMS
	for _, r := range m.runs {
		// The first report of a session includes all earlier starts.
		r.listedFromSeq = 0
		if r.phase == launching {
			r.startUnconfirmed = true
		}
	}
	t.mu.Unlock()
	t.log.WithFields(logrus.Fields{"agent": m.addr, "node": s.Node, "worker": s.Worker.ID, "runs": len(s.Runs), "ends": len(s.Ends)}).Info("agent_connected")
	t.applyReport(m, session, s, true)
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
// contact with a scheduler.
func (t *term) workerLeasesExpired(m *agentState, now time.Time) bool {
	limit := time.Duration(float64(t.leader.settings.SilenceTolerance)*(1+fence.MaxClockDrift)) + silenceMargin
	return m.peer == nil && now.Sub(m.lastContact) > limit
}

// applyReport applies a status report of an agent, unless it is older than the last
// one. The report that opens a session is always the newest. A report of an earlier
// session may have waited to be handled for long, and is dropped.
func (t *term) applyReport(m *agentState, session uint64, s *wire.AgentStatus, opening bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if session != m.session || s.Seq < m.reportSeq || (s.Seq == m.reportSeq && !opening) {
		return
	}
	m.reportSeq = s.Seq
	before := m.condition()
	if s.AgentMS > m.agentClockMS {
		// From now on messages to the agent carry this reading, by which it may renew
		// its worker's leases.
		m.agentClockMS = s.AgentMS
		m.lastContact = time.Now()
	}
	t.applyWorkerInfo(m, s)
	if s.Worker.Known {
		for _, e := range s.Ends {
			t.applyReportedEnd(m, e)
		}
	}
	listed := map[graph.Task]bool{}
	for _, v := range s.Runs {
		if k, err := graph.ParseTask(v.Task); err == nil {
			listed[k] = true
			t.applyReportedRun(m, k, v)
		}
	}
	m.acceptsTasks = s.Settled && !s.Vacant
	if s.Vacant || (s.Settled && s.Worker.Known) {
		m.accountedFor = true
		t.removeUnlistedRuns(m, s, listed)
	}
	m.acknowledgeEnds()
	if opening || m.condition() != before {
		t.requestPass()
	}
}

// agentCondition is what a report can change of an agent that matters to a scheduling
// pass. Passes read the progress of runs at their regular interval.
type agentCondition struct {
	accountedFor bool
	acceptsTasks bool
	known        bool
	leaving      bool
	gone         bool
	incarnation  int64
	capacity     graph.Size
	lastEnd      int64
	runs         int
	unconfirmed  int
	unexpected   int
}

func (m *agentState) condition() agentCondition {
	v := agentCondition{
		accountedFor: m.accountedFor,
		acceptsTasks: m.acceptsTasks,
		known:        m.worker.Known,
		leaving:      m.worker.Leaving,
		gone:         m.worker.Gone,
		incarnation:  m.worker.Born,
		capacity:     m.worker.Capacity,
		lastEnd:      m.lastEnd,
		runs:         len(m.runs),
		unexpected:   len(m.unexpected),
	}
	for _, r := range m.runs {
		if r.phase == launching {
			v.unconfirmed++
		}
	}
	return v
}

// removeUnlistedRuns removes the runs that an agent's report does not list. The report
// must be conclusive: either no earlier order of the agent can take effect any more and
// the agent knows what its worker runs, or all leases of its worker have expired.
func (t *term) removeUnlistedRuns(m *agentState, s *wire.AgentStatus, listed map[graph.Task]bool) {
	for k := range m.unexpected {
		if !listed[k] {
			delete(m.unexpected, k)
		}
	}
	for k, r := range m.runs {
		if !listed[k] && r.mustBeListed(m.session, s) {
			t.removeLostRun(m, r)
		}
	}
}

// mustBeListed reports whether a conclusive report of a session lists the run if the
// run exists. A start without a reply may still be on its way to the agent or wait there:
// it can take effect no more in a later session, or once the agent considers the request
// expired.
func (r *run) mustBeListed(session uint64, s *wire.AgentStatus) bool {
	if r.startUnconfirmed {
		return session > r.session || s.AgentMS-r.requestClockMS > wire.MaxLaunchAge.Milliseconds()
	}
	return r.phase == running && s.Seq >= r.listedFromSeq
}

// applyWorkerInfo applies what an agent reports of its worker, and resets the ends
// and failures when the worker has restarted.
func (t *term) applyWorkerInfo(m *agentState, s *wire.AgentStatus) {
	w := s.Worker
	if !w.Known {
		m.worker.Known = false
		return
	}
	if w.Born != m.worker.Born {
		m.lastEnd = 0
		m.lastRecordedEnd = 0
		m.lastAcknowledgedEnd = 0
		m.pendingEnds = nil
		m.failures = failureTracker{}
	}
	m.worker = w
	m.leavesAt = time.Now().Add(time.Duration(w.LeavesMS) * time.Millisecond)
}

// applyReportedRun applies one run of an agent's report.
func (t *term) applyReportedRun(m *agentState, k graph.Task, v wire.RunState) {
	j := t.jobs[k.Job]
	if j == nil {
		t.recordUnexpectedRun(m, k, v, graph.Size{})
		return
	}
	if k.Step >= len(j.Steps) {
		return
	}
	z := j.Steps[k.Step].Size
	r := j.runs[k]
	if p := j.progress.Task(j.Job, k); r == nil && p != nil && !p.Done && j.schedulable() {
		r = t.adoptRun(j, m, k, v)
	}
	if r == nil || r.agent != m || r.attempt != v.Attempt {
		t.recordUnexpectedRun(m, k, v, z)
		return
	}
	r.checkpoint = v.Saved
	r.progress.observe(v.Percent, time.Now())
	if r.startUnconfirmed && !v.Uncertain {
		r.startUnconfirmed = false
		r.phase = running
	}
	if p := j.progress.Task(j.Job, k); p != nil {
		p.Attempt = max(p.Attempt, v.Attempt)
		if v.Saved != "" {
			p.Checkpoint = v.Saved
		}
	}
}

// adoptRun records a run that an earlier term started.
func (t *term) adoptRun(j *job, m *agentState, k graph.Task, v wire.RunState) *run {
	r := &run{
		task:      k,
		attempt:   v.Attempt,
		agent:     m,
		size:      j.Steps[k.Step].Size,
		phase:     running,
		startedAt: time.Now(),
	}
	j.runs[k] = r
	m.runs[k] = r
	j.markStarted()
	t.log.WithFields(logrus.Fields{"task": k.String(), "attempt": v.Attempt, "agent": m.addr}).Info("run_adopted")
	return r
}

// recordUnexpectedRun records a run that should not exist, so that it is stopped.
func (t *term) recordUnexpectedRun(m *agentState, k graph.Task, v wire.RunState, z graph.Size) {
	a, recorded := m.unexpected[k]
	if !recorded {
		t.log.WithFields(logrus.Fields{"task": v.Task, "attempt": v.Attempt, "agent": m.addr}).Warn("run_unexpected")
	}
	a.attempt = v.Attempt
	a.size = z
	m.unexpected[k] = a
}

// applyReportedEnd applies one end of a run in an agent's report.
func (t *term) applyReportedEnd(m *agentState, e wire.EndState) {
	if e.N <= m.lastEnd {
		return
	}
	m.lastEnd = e.N
	k, err := graph.ParseTask(e.Task)
	j := t.jobs[k.Job]
	if err != nil || j == nil {
		m.pendingEnds = append(m.pendingEnds, pendingEnd{
			number: e.N,
		})
		return
	}
	t.recordEnd(j, m, graph.End{
		Task:       k,
		Attempt:    e.Attempt,
		Outcome:    graph.Outcome(e.How),
		Checkpoint: e.Saved,
	})
	m.pendingEnds = append(m.pendingEnds, pendingEnd{
		number:          e.N,
		job:             j,
		progressVersion: j.progressVersion,
	})
}

// recordEnd records the end of a run in the progress of its job.
func (t *term) recordEnd(j *job, m *agentState, e graph.End) {
	if r := j.runs[e.Task]; r != nil && r.attempt == e.Attempt {
		delete(j.runs, e.Task)
		delete(r.agent.runs, e.Task)
		m.failures.recordEnd(e, time.Now())
		if e.Outcome == graph.OutcomeDone && r.checkpoint == "" {
			t.observeRunTime(j, time.Since(r.startedAt))
		}
	}
	attempts := j.MaxAttempts
	if q := t.queue(j); q != nil {
		attempts = q.MaxAttempts
	}
	f := logrus.Fields{"task": e.Task.String(), "attempt": e.Attempt, "outcome": e.Outcome, "agent": m.addr}
	if !j.progress.RecordEnd(j.Job, e, attempts) {
		t.log.WithFields(f).Info("run_ended")
		return
	}
	j.progressVersion++
	if j.progress.State.Final() {
		pause.Wake(t.flushNow)
	}
	f["state"] = j.progress.State
	t.log.WithFields(f).Info("run_ended")
}

// removeLostRun removes a run that is over although no end of it was reported.
func (t *term) removeLostRun(m *agentState, r *run) {
	delete(m.runs, r.task)
	j := t.jobs[r.task.Job]
	if j == nil || j.runs[r.task] != r {
		return
	}
	delete(j.runs, r.task)
	t.log.WithFields(logrus.Fields{"task": r.task.String(), "attempt": r.attempt, "agent": m.addr}).Info("run_lost")
	t.requestPass()
}

// acknowledgeEnds tells the agent which ends are recorded in the store, so that its
// worker can discard them; t.mu is held.
func (m *agentState) acknowledgeEnds() {
	for len(m.pendingEnds) > 0 {
		e := m.pendingEnds[0]
		if e.job != nil && e.job.storedVersion < e.progressVersion {
			break
		}
		m.lastRecordedEnd = e.number
		m.pendingEnds = m.pendingEnds[1:]
	}
	if m.lastRecordedEnd <= m.lastAcknowledgedEnd || m.peer == nil {
		return
	}
	m.lastAcknowledgedEnd = m.lastRecordedEnd
	p := m.peer
	v := &wire.AckEnds{
		Born:    m.worker.Born,
		Through: m.lastRecordedEnd,
	}
	go func() {
		if err := p.Conn().Send(v); err != nil {
			p.Close()
		}
	}()
}
