package leader

import (
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/graph"
	"hemlockhinge/pause"
	"hemlockhinge/wire"
)

// earlyReport is a report that was handled before the answer that opens its session.
type earlyReport struct {
	session uint64
	status  *wire.AgentStatus
}

// applyReport applies a status report of an agent, unless it is older than the last
// one. A report of an earlier session may have waited to be handled for long, and is dropped. One
// of a session that is not open yet is kept until it is: the agent does not send it again.
func (t *term) applyReport(m *agentState, session uint64, s *wire.AgentStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if session > m.session {
		t.keepEarlyReport(m, session, s)
		return
	}
	t.applyReportOfSession(m, session, s, false)
}

// keepEarlyReport keeps the newest report of a session that is not open yet; t.mu is held.
func (t *term) keepEarlyReport(m *agentState, session uint64, s *wire.AgentStatus) {
	if m.early.session == session && s.Seq < m.early.status.Seq {
		return
	}
	m.early = earlyReport{
		session: session,
		status:  s,
	}
	t.log.WithFields(logrus.Fields{"agent": m.addr, "session": session, "seq": s.Seq}).Info("report_before_session")
}

// applyReportOfSession is applyReport for a session that was opened; t.mu is held. The report that
// opens a session counts even if one with its number was applied.
func (t *term) applyReportOfSession(m *agentState, session uint64, s *wire.AgentStatus, opening bool) {
	if t.agents[m.addr] != m || session != m.session || s.Seq < m.reportSeq || (s.Seq == m.reportSeq && !opening) {
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
			t.applyReportedRun(m, k, v, s.ListedMS)
		}
	}
	m.vacant = s.Vacant
	m.acceptsTasks = s.Settled && !s.Vacant && !s.Unregistered
	if s.Vacant || (s.Settled && s.Worker.Known) {
		t.markAccountedFor(m, accountedByReport)
		t.removeUnlistedRuns(m, s, listed)
	}
	t.resolveEarlyLosses(m)
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
	launching    int
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
			v.launching++
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
		t.updateMachine(m, w)
		m.lastEnd = 0
		m.lastRecordedEnd = 0
		m.lastAcknowledgedEnd = 0
		m.pendingEnds = nil
		m.failures = failureTracker{}
	}
	m.worker = w
	m.leavesAt = time.Now().Add(time.Duration(w.LeavesMS) * time.Millisecond)
}

// applyReportedRun applies one run of an agent's report; listedMS is when the worker listed it, by
// the agent's clock.
func (t *term) applyReportedRun(m *agentState, k graph.Task, v wire.RunState, listedMS int64) {
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
	progresses := v.Percent > r.progress.percent
	if j.Steps[k.Step].LongRunning {
		progresses = r.progress.observeAtWork(v.Percent >= fullPercent, listedMS) > survivalTime
	}
	if !r.survived && progresses && time.Since(r.startedAt) > survivalTime {
		r.survived = true
		j.recordSurvival(k, v.Attempt)
	}
	if j.Steps[k.Step].LongRunning {
		// Its progress says whether it is at work, not when it ends.
		r.progress.percent = v.Percent
	} else {
		r.progress.observe(v.Percent, time.Now())
		r.progress.observePace(v.Percent, listedMS)
		t.observeProgress(j, r)
	}
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
		adopted:   true,
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
	k, err := graph.ParseTask(e.Task)
	j := t.jobs[k.Job]
	if o := graph.Outcome(e.How); o == graph.OutcomeWorkerCrashed || o == graph.OutcomeStartUnresolved {
		if err == nil && j != nil {
			t.recordCrash(j, m, k, e.Attempt, o == graph.OutcomeWorkerCrashed)
		}
		return
	}
	if e.N <= m.lastEnd {
		return
	}
	m.lastEnd = e.N
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
		task:            k,
		job:             j,
		progressVersion: j.progressVersion,
	})
}

// recordEnd records the end of a run in the progress of its job. Another run of the task may
// exist at another agent: the end then belongs to an earlier one, which this scheduler took for
// lost, or did not know.
func (t *term) recordEnd(j *job, m *agentState, e graph.End) {
	r := j.runs[e.Task]
	switch {
	case r == nil:
	case r.agent.addr != m.addr || r.attempt != e.Attempt:
		r.superseded = r.superseded || e.Outcome == graph.OutcomeDone
	default:
		if e.Outcome == graph.OutcomeDone {
			t.observeEnd(j, r)
		}
		delete(j.runs, e.Task)
		delete(r.agent.runs, e.Task)
		m.failures.recordEnd(e, time.Now())
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

// observeEnd learns from the run time of a run that is done.
func (t *term) observeEnd(j *job, r *run) {
	d := time.Since(r.startedAt)
	if r.checkpoint == "" {
		t.observeRunTime(j, time.Duration(float64(d)*t.runSpeed(j, r)))
	}
	t.observeSpeed(j, r, d, false)
}

// removeLostRun removes a run that is over although no end of it was reported.
func (t *term) removeLostRun(m *agentState, r *run) {
	delete(m.runs, r.task)
	j := t.jobs[r.task.Job]
	if j == nil || j.runs[r.task] != r {
		return
	}
	delete(j.runs, r.task)
	if m.peer == nil || !m.acceptsTasks || m.worker.Born != r.incarnation {
		t.recordEarlyLoss(m, r)
	}
	t.log.WithFields(logrus.Fields{
		"task":       r.task.String(),
		"attempt":    r.attempt,
		"agent":      m.addr,
		"worker":     m.worker.ID,
		"started_ms": time.Since(r.startedAt).Milliseconds(),
	}).Info("run_lost")
	t.requestPass()
}
