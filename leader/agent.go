package leader

import (
	"context"
	"time"

	"hemlockhinge/graph"
	"hemlockhinge/pause"
	"hemlockhinge/speed"
	"hemlockhinge/store"
	"hemlockhinge/wire"
)

// pendingEnd is the reported end of a run that may not be recorded in the store yet.
type pendingEnd struct {
	number          int64
	task            graph.Task
	job             *job
	progressVersion uint64
}

// agentState is what the scheduler knows of one agent and its worker.
type agentState struct {
	addr   string
	cancel context.CancelFunc
	// registration is the revision of the agent's registration in the store.
	registration uint64
	// unregistered is set while the agent's registration is deleted.
	unregistered bool
	redial       chan struct{}
	// lossLogged is set once the loss of the agent is logged, so that it is logged
	// only once.
	lossLogged bool

	peer *wire.Peer
	// session is the number of the newest session, and reportSeq that of the newest
	// report in it.
	session   uint64
	reportSeq uint64
	// early is a report of a session that is being opened.
	early  earlyReport
	worker wire.WorkerInfo
	// accountedFor is false until all that may run at the worker is known in this
	// term, from the agent's report or because the worker's leases have expired.
	accountedFor bool
	// absence is what an earlier term has stored of the agent, nil if nothing, and absentTasks are
	// its tasks. They count while the agent is unaccounted for.
	absence     *absence
	absentTasks map[graph.Task]bool
	// absentSince is since when the agent has been out of contact by its absence. It is zero if there
	// is none, and once the agent is in session.
	absentSince time.Time
	// returning is set while the agent is in session, or a session waits for the end of its
	// absence.
	returning bool
	// vacant means that all leases of the worker have expired, by the newest report.
	vacant bool
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
	// speed is the lasting speed of the worker, and loggedSpeed the factor that was logged last.
	speed       speed.Speed
	loggedSpeed float64
	// outlier means that the worker fails or is slow beside others.
	outlier bool
	// lostStartAt is when a start was last refused because the worker did not answer the
	// agent, or the order came too late.
	lostStartAt time.Time
	// earlyLosses are runs that were lost soon after their start at the worker, which has not
	// answered since.
	earlyLosses []earlyLoss
	// agentRestarts counts how often the agent's process was restarted in this term.
	agentRestarts int
	// leavesAt is until when a leaving worker stays at least.
	leavesAt time.Time
}

// lostStartMemory is how long such a refusal lets tasks go to other workers first.
const lostStartMemory = 2 * time.Second

// failureScore rises with what has failed at the worker recently.
func (m *agentState) failureScore(now time.Time) int {
	n := m.failures.score(now)
	if now.Sub(m.lostStartAt) < lostStartMemory {
		n++
	}
	return n
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
		loggedSpeed: 1,
		speed:       unknownSpeed(),
	}
}

// applyAgent applies a change of an agent's registration; t.mu is held.
func (t *term) applyAgent(addr string, i store.Item) {
	m := t.agents[addr]
	switch {
	case i.Deleted && m == nil:
		return
	case i.Deleted:
		m.unregistered = true
		t.removeIfGone(m, time.Now())
		return
	case m != nil:
		m.unregistered = false
		m.registration = i.Revision
		pause.Wake(m.redial)
		return
	}
	c, cancel := context.WithCancel(t.ctx)
	m = newAgentState(addr, cancel)
	m.registration = i.Revision
	t.restoreAbsence(m)
	if t.inputsConfirmedAt.Sub(t.startedAtBoot) >= predecessorTime {
		// The agent has registered since the last scheduler ceased to start tasks, and accepts none
		// before that.
		t.markAccountedFor(m, accountedAsNew)
	}
	t.agents[addr] = m
	t.goroutines.Go(func() { t.maintainSession(c, m) })
}

// removeIfGone removes an agent whose registration was deleted, with its runs, once it is known
// that nothing runs at its worker: the next worker may have come before the deletion was seen, and
// tasks been started there. t.mu is held.
func (t *term) removeIfGone(m *agentState, now time.Time) {
	if !m.unregistered || !t.workerEnded(m, now) {
		return
	}
	m.cancel()
	delete(t.agents, m.addr)
	t.leader.ports.Meter.ForgetWorkerSpeed(m.addr)
	for _, r := range m.runs {
		t.removeLostRun(m, r)
	}
}

// workerEnded reports whether an agent's worker is gone, with all that it ran. An agent in session
// that was restarted may not know its worker yet, and says nothing of it until then. t.mu is held.
func (t *term) workerEnded(m *agentState, now time.Time) bool {
	switch {
	case m.worker.Known && m.worker.Gone:
		return true
	case m.peer != nil:
		return !m.worker.Known && m.vacant
	}
	return len(m.runs) == 0 || t.workerLeasesExpired(m, now)
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
