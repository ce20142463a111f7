package agent

import (
	"context"
	"sync"
	"time"

	"hemlockhinge/gang"
	"hemlockhinge/pause"
	"hemlockhinge/wire"
)

// Timeouts and intervals of a lead's calls.
const (
	renewTimeout        = 900 * time.Millisecond
	reportRetryInterval = time.Second
	stopRetryInterval   = 500 * time.Millisecond
)

// lead coordinates the gang of one attempt, from joining its members until the scheduler
// has recorded the final report.
type lead struct {
	agent   *Agent
	attempt wire.Attempt
	spec    wire.TaskSpec

	// mu protects state and checkpointFirst.
	mu    sync.Mutex
	state *gang.Lead
	// handles are the handles that the members use for this attempt, by part. They
	// do not change once joinMembers has set them.
	handles []uint32
	// checkpointFirst says that the members are to checkpoint before they are stopped.
	checkpointFirst bool
	// wake makes renewUntilEnd evaluate the state without waiting for the next tick.
	wake chan struct{}
}

// handlePrepare makes this agent the lead of a committed attempt. It may be repeated.
func (a *Agent) handlePrepare(c context.Context, v *wire.Prepare) (wire.Message, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.fenceEpoch(v.Attempt); err != nil {
		return nil, err
	}
	k := keyOf(v.Attempt)
	if a.leads[k] != nil {
		return &wire.Ack{}, nil
	}
	if len(v.Parts) == 0 || v.Parts[0].Agent != a.settings.ID {
		return nil, wire.Refuse(wire.CodeUnknown, "agent %q does not lead attempt %d of job %q", a.settings.ID, k.number, k.job)
	}
	m, err := a.findMember(v.Attempt)
	if err != nil {
		return nil, err
	}
	if m.Phase() != wire.PhaseReserved {
		return nil, wire.Refuse(wire.CodeAlreadyDone, "attempt %d of job %q is already %s", k.number, k.job, m.Phase())
	}
	l := &lead{
		agent:   a,
		attempt: v.Attempt,
		spec:    v.Spec,
		state:   gang.NewLead(v.Parts),
		wake:    make(chan struct{}, 1),
	}
	a.leads[k] = l
	c = context.WithoutCancel(c)
	a.group.Go(func() { l.runGang(c) })
	return &wire.Ack{}, nil
}

// runGang joins and starts the members, renews their leases until the gang ends, stops
// them, and reports the outcome.
func (l *lead) runGang(c context.Context) {
	c, cancel := l.agent.withRunCtx(c)
	defer cancel()
	g := l.agent.ports.Log.WithField("job", l.attempt.Job).WithField("attempt", l.attempt.Number)
	g.WithField("members", len(l.state.Parts())).Info("gang_joining")
	if l.joinMembers(c) && l.startMembers(c) {
		g.Info("gang_started")
		l.renewUntilEnd(c)
		l.checkpointMembers(c)
	}
	v := l.verdict()
	g.WithField("outcome", v.Outcome()).WithField("detail", v.Detail()).Info("gang_ending")
	l.stopMembers(c)
	l.sendReport(c, l.finalReport())
	l.discardAttempt(c)
	l.agent.mu.Lock()
	defer l.agent.mu.Unlock()
	delete(l.agent.leads, keyOf(l.attempt))
	l.agent.notifyChange()
}

// requestStop ends the gang for a reason other than one of its members, after a
// checkpoint if checkpoint is set.
func (l *lead) requestStop(o wire.Outcome, why string, checkpoint bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Stop(o, why)
	l.checkpointFirst = l.checkpointFirst || checkpoint
	l.wakeUp()
}

func (l *lead) verdict() gang.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Verdict()
}

// forEachPart calls f for all parts in parallel, and waits until all calls have returned.
func (l *lead) forEachPart(f func(i int, p wire.GangPart)) {
	var w sync.WaitGroup
	for i, p := range l.state.Parts() {
		w.Go(func() { f(i, p) })
	}
	w.Wait()
}

// joinMembers asks all members to get ready, and reports whether all did.
func (l *lead) joinMembers(c context.Context) bool {
	n := len(l.state.Parts())
	e := make([]error, n)
	h := make([]uint32, n)
	c, cancel := context.WithTimeout(c, gang.StartWindow)
	defer cancel()
	l.forEachPart(func(i int, p wire.GangPart) {
		r, err := l.agent.callPart(c, p, &wire.Join{
			Attempt: l.attempt,
			Spec:    l.spec,
			Part:    p,
			Lead:    l.agent.settings.ID,
		})
		e[i] = err
		if j, ok := r.(*wire.Joined); ok {
			h[i] = j.Handle
		}
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handles = h
	return l.state.RecordJoins(e)
}

// startMembers has all members start their tasks, and reports whether all did.
func (l *lead) startMembers(c context.Context) bool {
	l.mu.Lock()
	ok := l.state.BeginStart(time.Now())
	l.mu.Unlock()
	if !ok {
		return false
	}
	n := len(l.state.Parts())
	e := make([]error, n)
	m := make([]*wire.MemberStatus, n)
	c, cancel := context.WithTimeout(c, gang.Lease)
	defer cancel()
	l.forEachPart(func(i int, p wire.GangPart) {
		m[i], e[i] = l.agent.callMember(c, p, &wire.StartTasks{
			Attempt: l.attempt,
		})
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.RecordStarts(time.Now(), m, e)
	return l.state.Verdict().Outcome() == wire.OutcomeRunning
}

// renewUntilEnd renews the members' leases until the gang is to end. It reports to the
// scheduler once all members run.
func (l *lead) renewUntilEnd(c context.Context) {
	t := time.NewTicker(gang.RenewInterval)
	defer t.Stop()
	reported := false
	for {
		if !reported && l.allRunning() {
			reported = true
			l.agent.group.Go(func() { l.sendReport(c, l.newReport(wire.OutcomeRunning)) })
		}
		select {
		case <-c.Done():
			return
		case <-t.C:
			l.renewLeases(c)
		case <-l.wake:
		}
		l.mu.Lock()
		v := l.state.Evaluate(time.Now())
		l.mu.Unlock()
		if v.Outcome() != wire.OutcomeRunning {
			return
		}
	}
}

func (l *lead) allRunning() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.AllRunning()
}

// renewLeases renews the leases of all members once, and records their answers.
func (l *lead) renewLeases(c context.Context) {
	c, cancel := context.WithTimeout(c, renewTimeout)
	defer cancel()
	l.forEachPart(func(i int, p wire.GangPart) {
		r, err := l.agent.callPart(c, p, &wire.Renew{
			Handle: l.handles[i],
		})
		l.mu.Lock()
		defer l.mu.Unlock()
		n := time.Now()
		switch m := r.(type) {
		case *wire.MemberStatus:
			l.state.RecordReport(n, i, *m)
		case *wire.Ack:
			l.state.RecordRunning(n, i)
		default:
			if _, ok := wire.Refused(err); ok {
				l.state.RecordReport(n, i, wire.MemberStatus{Detail: err.Error()})
			}
		}
	})
}

// checkpointMembers has all members checkpoint before any of them is stopped, for at most
// the grace period of the job's class. It renews the leases meanwhile, and returns early
// if a member does not answer for gang.Lease.
func (l *lead) checkpointMembers(c context.Context) {
	l.mu.Lock()
	k := l.checkpointFirst && l.state.AllRunning()
	l.mu.Unlock()
	if !k {
		return
	}
	c, cancel := context.WithTimeout(c, time.Duration(l.spec.GraceMS)*time.Millisecond)
	defer cancel()
	saved := make(chan struct{})
	go func() {
		defer close(saved)
		l.forEachPart(func(_ int, p wire.GangPart) {
			if _, err := l.agent.callPartWithoutTimeout(c, p, &wire.Checkpoint{Attempt: l.attempt}); err != nil {
				l.agent.ports.Log.WithField("job", l.attempt.Job).WithError(err).Warn("checkpoint_failed")
			}
		})
	}()
	defer func() { <-saved }()
	defer cancel()
	t := time.NewTicker(gang.RenewInterval)
	defer t.Stop()
	for {
		select {
		case <-saved:
			return
		case <-t.C:
		}
		l.renewLeases(c)
		l.mu.Lock()
		lost := l.state.HasSilentMember(time.Now())
		l.mu.Unlock()
		if lost {
			return
		}
	}
}

// notifyLead tells the lead of a member that the member has ended, so that the lead does
// not learn of it only at the next renewal. The caller holds mu.
func (a *Agent) notifyLead(m *member) {
	r := m.Report()
	p := m.leadPeer
	a.group.Go(func() {
		if p == nil {
			_, _ = a.handleMemberStatus(&r)
			return
		}
		c, cancel := context.WithTimeout(a.runCtx, callTimeout)
		defer cancel()
		_, _ = p.Call(c, &r)
	})
}

// handleMemberStatus handles the notice that a member has ended, if this agent leads its
// gang.
func (a *Agent) handleMemberStatus(v *wire.MemberStatus) (wire.Message, error) {
	a.mu.Lock()
	l := a.leads[keyOf(v.Attempt)]
	a.mu.Unlock()
	if l == nil || !l.attempt.Same(v.Attempt) {
		return nil, wire.Refuse(wire.CodeUnknown, "agent %q does not lead attempt %d of job %q", a.settings.ID, v.Attempt.Number, v.Attempt.Job)
	}
	l.recordEnd(v)
	return &wire.Ack{}, nil
}

// recordEnd records that a member has ended, and wakes the lead to evaluate it.
func (l *lead) recordEnd(v *wire.MemberStatus) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, p := range l.state.Parts() {
		if p.FirstTask == v.FirstTask && l.state.StartSent() {
			l.state.RecordReport(time.Now(), i, *v)
		}
	}
	l.wakeUp()
}

// wakeUp wakes the lead. The caller holds mu.
func (l *lead) wakeUp() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// stopMembers stops all members. For each, it waits until the member has ended or refuses
// the call, or gang.MaxStopDelay has passed, by when its lease has expired.
func (l *lead) stopMembers(c context.Context) {
	why := l.verdict().Detail()
	c, cancel := context.WithTimeout(c, gang.MaxStopDelay)
	defer cancel()
	l.forEachPart(func(_ int, p wire.GangPart) {
		for {
			m, err := l.agent.callMember(c, p, &wire.Stop{
				Attempt: l.attempt,
				Reason:  why,
			})
			_, gone := wire.Refused(err)
			if gone || (err == nil && m.Phase == wire.PhaseEnded) || !pause.For(c, stopRetryInterval) {
				return
			}
		}
	})
}

// newReport returns a report of an outcome, without details.
func (l *lead) newReport(o wire.Outcome) *wire.AttemptReport {
	return &wire.AttemptReport{
		Attempt: l.attempt,
		Agent:   l.agent.settings.ID,
		Outcome: o,
	}
}

// finalReport returns the report of the attempt's end. An attempt that was preempted
// before any release was sent has not run.
func (l *lead) finalReport() *wire.AttemptReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.state.Verdict()
	r := l.newReport(v.Outcome())
	if r.Outcome == wire.OutcomePreempted && !l.state.StartSent() {
		r.Outcome = wire.OutcomeNotRun
	}
	r.BlamedAgent = v.BlamedAgent()
	r.Detail = v.Detail()
	r.Results = l.state.Results()
	return r
}

// sendReport sends a report to all entries until one answers that it is recorded, which
// only the holder of the scheduler's lease does. It gives up a report that the gang runs
// once that is no longer so.
func (l *lead) sendReport(c context.Context, r *wire.AttemptReport) {
	for {
		for _, p := range l.agent.entryPeers() {
			if _, err := wire.CallFor[*wire.Ack](c, p, r, callTimeout); err == nil {
				return
			}
		}
		if !pause.For(c, reportRetryInterval) {
			return
		}
		if r.Outcome == wire.OutcomeRunning && l.verdict().Outcome() != wire.OutcomeRunning {
			return
		}
	}
}

// discardAttempt tells the members that they may remove the attempt. It is called when
// the scheduler has recorded the attempt's end.
func (l *lead) discardAttempt(c context.Context) {
	l.forEachPart(func(_ int, p wire.GangPart) {
		_, _ = l.agent.callPart(c, p, &wire.CancelReservation{
			Attempt: l.attempt,
		})
	})
}

// withRunCtx returns a context that ends with c, and also when the agent is stopped at
// once.
func (a *Agent) withRunCtx(c context.Context) (context.Context, context.CancelFunc) {
	c, cancel := context.WithCancel(c)
	s := context.AfterFunc(a.runCtx, cancel)
	return c, func() {
		s()
		cancel()
	}
}

// callMember is callPart for messages that are answered with a wire.MemberStatus.
func (a *Agent) callMember(c context.Context, p wire.GangPart, m wire.Message) (*wire.MemberStatus, error) {
	r, err := a.callPart(c, p, m)
	if err != nil {
		return nil, err
	}
	v, ok := r.(*wire.MemberStatus)
	if !ok {
		return nil, &wire.FrameError{
			Kind:   r.Kind(),
			Detail: "want a member status",
		}
	}
	return v, nil
}

// callPart calls the agent of a part, which may be this agent, with callTimeout.
func (a *Agent) callPart(c context.Context, p wire.GangPart, m wire.Message) (wire.Message, error) {
	c, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	return a.callPartWithoutTimeout(c, p, m)
}

// callPartWithoutTimeout is callPart without a timeout of its own, since a checkpoint may
// take long.
func (a *Agent) callPartWithoutTimeout(c context.Context, p wire.GangPart, m wire.Message) (wire.Message, error) {
	if p.Agent == a.settings.ID {
		return a.handle(c, nil, m)
	}
	l, err := a.agentPeer(c, p.Address)
	if err != nil {
		return nil, err
	}
	return l.Call(c, m)
}

// agentPeer returns the connection to the agent at addr. It dials if there is none.
func (a *Agent) agentPeer(c context.Context, addr string) (*wire.Peer, error) {
	a.mu.Lock()
	p := a.agentPeers[addr]
	a.mu.Unlock()
	if p != nil {
		return p, nil
	}
	d, cancel := context.WithTimeout(c, dialTimeout)
	defer cancel()
	n, err := a.ports.Net.Dial(d, addr)
	if err != nil {
		return nil, err
	}
	p = wire.NewPeer(n, wire.HandlerFunc(a.handle))
	if err := p.Conn().Send(&wire.Open{From: a.settings.ID}); err != nil {
		p.Close()
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if o := a.agentPeers[addr]; o != nil {
		p.Close()
		return o, nil
	}
	a.agentPeers[addr] = p
	a.group.Go(func() {
		_ = p.Run(a.runCtx)
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.agentPeers[addr] == p {
			delete(a.agentPeers, addr)
		}
	})
	return p, nil
}
