package agent

import (
	"context"
	"sync"
	"time"

	"hemlockhinge/gang"
	"hemlockhinge/pause"
	"hemlockhinge/wire"
)

// Time limits of a lead's calls.
const (
	renewTimeout  = 900 * time.Millisecond
	reportEvery   = time.Second
	stopPartEvery = 500 * time.Millisecond
)

// lead drives one attempt, from joining its members to the report that its
// scheduler has recorded.
type lead struct {
	agent   *Agent
	attempt wire.Attempt
	spec    wire.TaskSpec

	mu         sync.Mutex
	state      *gang.Lead
	handles    []uint32
	checkpoint bool
	wake       chan struct{}
}

// prepare makes this agent the lead of a committed attempt.
func (a *Agent) prepare(c context.Context, v *wire.Prepare) (wire.Message, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.fence(v.Attempt); err != nil {
		return nil, err
	}
	k := keyOf(v.Attempt)
	if a.leads[k] != nil {
		return &wire.Ack{}, nil
	}
	if len(v.Parts) == 0 || v.Parts[0].Agent != a.set.ID {
		return nil, wire.Refuse(wire.CodeUnknown, "agent %q does not lead attempt %d of job %q", a.set.ID, k.number, k.job)
	}
	m, err := a.find(v.Attempt)
	if err != nil {
		return nil, err
	}
	if m.Phase() != wire.PhaseReserved {
		return nil, wire.Refuse(wire.CodeAlreadyDone, "attempt %d of job %q is %s here", k.number, k.job, m.Phase())
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
	a.group.Go(func() { l.run(c) })
	return &wire.Ack{}, nil
}

// run takes the gang through its life.
func (l *lead) run(c context.Context) {
	c, cancel := l.agent.untilStopped(c)
	defer cancel()
	g := l.agent.ports.Log.WithField("job", l.attempt.Job).WithField("attempt", l.attempt.Number)
	g.WithField("members", len(l.state.Parts())).Info("gang_joining")
	if l.join(c) && l.release(c) {
		g.Info("gang_released")
		l.renew(c)
		l.save(c)
	}
	v := l.verdict()
	g.WithField("outcome", v.Outcome()).WithField("detail", v.Detail()).Info("gang_ending")
	l.stopMembers(c)
	l.report(c, l.final())
	l.forget(c)
	l.agent.mu.Lock()
	defer l.agent.mu.Unlock()
	delete(l.agent.leads, keyOf(l.attempt))
	l.agent.notify()
}

// stop ends the gang for a reason from outside.
func (l *lead) stop(o wire.Outcome, why string, checkpoint bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Stop(o, why)
	l.checkpoint = l.checkpoint || checkpoint
	l.poke()
}

func (l *lead) verdict() gang.Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Verdict()
}

// each calls f for all parts in parallel.
func (l *lead) each(f func(i int, p wire.GangPart)) {
	var w sync.WaitGroup
	for i, p := range l.state.Parts() {
		w.Go(func() { f(i, p) })
	}
	w.Wait()
}

func (l *lead) join(c context.Context) bool {
	n := len(l.state.Parts())
	e := make([]error, n)
	h := make([]uint32, n)
	c, cancel := context.WithTimeout(c, gang.StartWindow)
	defer cancel()
	l.each(func(i int, p wire.GangPart) {
		r, err := l.agent.callPart(c, p, &wire.Join{
			Attempt: l.attempt,
			Spec:    l.spec,
			Part:    p,
			Lead:    l.agent.set.ID,
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

func (l *lead) release(c context.Context) bool {
	l.mu.Lock()
	ok := l.state.BeginRelease(time.Now())
	l.mu.Unlock()
	if !ok {
		return false
	}
	n := len(l.state.Parts())
	e := make([]error, n)
	m := make([]*wire.MemberStatus, n)
	c, cancel := context.WithTimeout(c, gang.Lease)
	defer cancel()
	l.each(func(i int, p wire.GangPart) {
		m[i], e[i] = l.agent.callMember(c, p, &wire.StartTasks{
			Attempt: l.attempt,
		})
	})
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.RecordReleases(time.Now(), m, e)
	return l.state.Verdict().Outcome() == wire.OutcomeRunning
}

// renew keeps the gang's leases until it ends.
func (l *lead) renew(c context.Context) {
	t := time.NewTicker(gang.RenewInterval)
	defer t.Stop()
	told := false
	for {
		if !told && l.running() {
			told = true
			l.agent.group.Go(func() { l.report(c, l.outcome(wire.OutcomeRunning)) })
		}
		select {
		case <-c.Done():
			return
		case <-t.C:
			l.renewAll(c)
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

func (l *lead) running() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.AllRunning()
}

func (l *lead) renewAll(c context.Context) {
	c, cancel := context.WithTimeout(c, renewTimeout)
	defer cancel()
	l.each(func(i int, p wire.GangPart) {
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

// save has all members checkpoint before any of them stops, within the grace
// of the job's class. The leases are kept meanwhile; once a member is missing
// the gang stops at once.
func (l *lead) save(c context.Context) {
	l.mu.Lock()
	k := l.checkpoint && l.state.AllRunning()
	l.mu.Unlock()
	if !k {
		return
	}
	c, cancel := context.WithTimeout(c, time.Duration(l.spec.GraceMS)*time.Millisecond)
	defer cancel()
	saved := make(chan struct{})
	go func() {
		defer close(saved)
		l.each(func(_ int, p wire.GangPart) {
			if _, err := l.agent.callSlow(c, p, &wire.Checkpoint{Attempt: l.attempt}); err != nil {
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
		l.renewAll(c)
		l.mu.Lock()
		lost := l.state.HasSilentMember(time.Now())
		l.mu.Unlock()
		if lost {
			return
		}
	}
}

// tellLead tells a member's lead that it has ended, ahead of the next renewal.
// The caller holds mu.
func (a *Agent) tellLead(m *member) {
	r := m.Report()
	p := m.lead
	a.group.Go(func() {
		if p == nil {
			_, _ = a.memberEnded(&r)
			return
		}
		c, cancel := context.WithTimeout(a.hard, callTimeout)
		defer cancel()
		_, _ = p.Call(c, &r)
	})
}

// memberEnded takes the word of a member that has ended to its lead here.
func (a *Agent) memberEnded(v *wire.MemberStatus) (wire.Message, error) {
	a.mu.Lock()
	l := a.leads[keyOf(v.Attempt)]
	a.mu.Unlock()
	if l == nil || !l.attempt.Same(v.Attempt) {
		return nil, wire.Refuse(wire.CodeUnknown, "agent %q does not lead attempt %d of job %q", a.set.ID, v.Attempt.Number, v.Attempt.Job)
	}
	l.ended(v)
	return &wire.Ack{}, nil
}

// ended records that a member has ended, and has the lead look at once.
func (l *lead) ended(v *wire.MemberStatus) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, p := range l.state.Parts() {
		if p.FirstTask == v.FirstTask && l.state.Released() {
			l.state.RecordReport(time.Now(), i, *v)
		}
	}
	l.poke()
}

// poke wakes the lead. The caller holds mu.
func (l *lead) poke() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// stopMembers stops each member, and waits until it has ended or its lease
// must have run out.
func (l *lead) stopMembers(c context.Context) {
	why := l.verdict().Detail()
	c, cancel := context.WithTimeout(c, gang.MaxStopDelay)
	defer cancel()
	l.each(func(_ int, p wire.GangPart) {
		for {
			m, err := l.agent.callMember(c, p, &wire.Stop{
				Attempt: l.attempt,
				Reason:  why,
			})
			_, gone := wire.Refused(err)
			if gone || (err == nil && m.Phase == wire.PhaseEnded) || !pause.For(c, stopPartEvery) {
				return
			}
		}
	})
}

// outcome builds a report.
func (l *lead) outcome(o wire.Outcome) *wire.AttemptReport {
	return &wire.AttemptReport{
		Attempt: l.attempt,
		Agent:   l.agent.set.ID,
		Outcome: o,
	}
}

func (l *lead) final() *wire.AttemptReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := l.state.Verdict()
	r := l.outcome(v.Outcome())
	if r.Outcome == wire.OutcomePreempted && !l.state.Released() {
		r.Outcome = wire.OutcomeNotRun
	}
	r.BlamedAgent = v.BlamedAgent()
	r.Detail = v.Detail()
	r.Results = l.state.Results()
	return r
}

// report tells the entries until the one that holds the scheduler's lease has
// recorded it.
func (l *lead) report(c context.Context, r *wire.AttemptReport) {
	for {
		for _, p := range l.agent.peers() {
			if _, err := wire.CallFor[*wire.Ack](c, p, r, callTimeout); err == nil {
				return
			}
		}
		if !pause.For(c, reportEvery) {
			return
		}
		if r.Outcome == wire.OutcomeRunning && l.verdict().Outcome() != wire.OutcomeRunning {
			return
		}
	}
}

// forget lets the members drop the attempt once its end is recorded.
func (l *lead) forget(c context.Context) {
	l.each(func(_ int, p wire.GangPart) {
		_, _ = l.agent.callPart(c, p, &wire.CancelReservation{
			Attempt: l.attempt,
		})
	})
}

// untilStopped returns a context that ends when the agent is stopped at once.
func (a *Agent) untilStopped(c context.Context) (context.Context, context.CancelFunc) {
	c, cancel := context.WithCancel(c)
	s := context.AfterFunc(a.hard, cancel)
	return c, func() {
		s()
		cancel()
	}
}

func (a *Agent) callMember(c context.Context, p wire.GangPart, m wire.Message) (*wire.MemberStatus, error) {
	r, err := a.callPart(c, p, m)
	if err != nil {
		return nil, err
	}
	v, ok := r.(*wire.MemberStatus)
	if !ok {
		return nil, &wire.FrameError{
			Kind:   r.Kind(),
			Detail: "a member was expected",
		}
	}
	return v, nil
}

// callPart calls the agent of a part, which may be this one.
func (a *Agent) callPart(c context.Context, p wire.GangPart, m wire.Message) (wire.Message, error) {
	c, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	return a.callSlow(c, p, m)
}

// callSlow is callPart without a time limit of its own.
func (a *Agent) callSlow(c context.Context, p wire.GangPart, m wire.Message) (wire.Message, error) {
	if p.Agent == a.set.ID {
		return a.handle(c, nil, m)
	}
	l, err := a.link(c, p.Address)
	if err != nil {
		return nil, err
	}
	return l.Call(c, m)
}

// link returns a connection to another agent, dialling when there is none.
func (a *Agent) link(c context.Context, addr string) (*wire.Peer, error) {
	a.mu.Lock()
	p := a.links[addr]
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
	if err := p.Conn().Send(&wire.Open{From: a.set.ID}); err != nil {
		p.Close()
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if o := a.links[addr]; o != nil {
		p.Close()
		return o, nil
	}
	a.links[addr] = p
	a.group.Go(func() {
		_ = p.Run(a.hard)
		a.mu.Lock()
		defer a.mu.Unlock()
		if a.links[addr] == p {
			delete(a.links, addr)
		}
	})
	return p, nil
}
