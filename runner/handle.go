package runner

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/graph"
	"hemlockhinge/pause"
	"hemlockhinge/wire"
)

// Handle implements wire.Handler for the scheduler's calls.
func (r *Runner) Handle(c context.Context, p *wire.Peer, m wire.Message) (wire.Message, error) {
	switch v := m.(type) {
	case *wire.Lead:
		return r.follow(p, v)
	case *wire.Ping:
		return r.ping(p, v)
	case *wire.Launch:
		return r.launch(c, p, v)
	case *wire.Halt:
		return r.halt(c, p, v)
	case *wire.Noted:
		return r.note(p, v)
	}
	return nil, wire.Refuse(wire.CodeUnknown, "agent takes no message of kind %d", m.Kind())
}

// follow obeys a scheduler's session, unless a newer one is obeyed already.
func (r *Runner) follow(p *wire.Peer, m *wire.Lead) (wire.Message, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Epoch < r.lead.Epoch || (m.Epoch == r.lead.Epoch && m.Session <= r.lead.Session) {
		return nil, &wire.RefusedError{
			Code:   wire.CodeStale,
			Detail: "a newer scheduler is obeyed",
			Epoch:  r.lead.Epoch,
		}
	}
	if r.peer != nil && r.peer != p {
		go r.peer.Close()
	}
	r.lead = *m
	r.peer = p
	r.seq++
	r.p.Log.WithFields(logrus.Fields{"leader": m.Leader, "epoch": m.Epoch, "session": m.Session}).Info("scheduler_obeyed")
	return r.standing(), nil
}

// obeys returns nil when p is the session that is obeyed; r.mu is held.
func (r *Runner) obeys(p *wire.Peer) error {
	if p == r.peer {
		return nil
	}
	return &wire.RefusedError{
		Code:   wire.CodeStale,
		Detail: "a newer scheduler is obeyed",
		Epoch:  r.lead.Epoch,
	}
}

func (r *Runner) ping(p *wire.Peer, m *wire.Ping) (wire.Message, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.obeys(p); err != nil {
		return nil, err
	}
	r.touch(m.EchoMS)
	return &wire.Pong{
		WallMS:  r.p.Wall().UnixMilli(),
		AgentMS: r.clockMS(),
	}, nil
}

func (r *Runner) note(p *wire.Peer, m *wire.Noted) (wire.Message, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.obeys(p); err != nil {
		return nil, err
	}
	r.ledger.Note(m.Born, m.Through)
	pause.Wake(r.wake)
	return nil, nil
}

// maxLaunchAge is the age of the scheduler's newest word of the agent up to which
// its orders to start are carried out: a job may be cancelled meanwhile, or started
// elsewhere after a long silence.
const maxLaunchAge = 2 * time.Second

// launch starts a task. A refusal means that it certainly does not run.
func (r *Runner) launch(c context.Context, p *wire.Peer, m *wire.Launch) (wire.Message, error) {
	t, err := graph.ParseTask(m.Task)
	if err != nil {
		return nil, wire.Refuse(wire.CodeUnknown, "%v", err)
	}
	r.orders <- struct{}{}
	defer func() { <-r.orders }()
	o, err := r.begin(p, t, m)
	if err != nil {
		return nil, err
	}
	s, cancel := context.WithTimeout(c, orderTimeout)
	defer cancel()
	begun := time.Now()
	a, err := r.p.Worker.Start(s, o)
	r.p.Meter.WorkerCall("start", err, time.Since(begun))
	r.mu.Lock()
	r.tick(a.ClockMS)
	r.mu.Unlock()
	var n *NoAnswerError
	if errors.As(err, &n) {
		r.p.Log.WithError(err).WithFields(logrus.Fields{"task": m.Task, "attempt": m.Attempt, "token": o.Token}).Warn("start_unanswered")
		r.settle(c)
		return r.launchSettled(t, m)
	}
	return r.launchAnswered(t, m, err)
}

// begin checks a start and notes it in the ledger.
func (r *Runner) begin(p *wire.Peer, t graph.Task, m *wire.Launch) (StartOrder, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.obeys(p); err != nil {
		return StartOrder{}, err
	}
	r.touch(m.EchoMS)
	if age := r.clockMS() - m.EchoMS; age > maxLaunchAge.Milliseconds() {
		return StartOrder{}, wire.Refuse(wire.CodeExpired, "the order is %d ms old", age)
	}
	room := r.facts.Capacity.Sub(r.ledger.Used())
	switch {
	case !r.facts.Known || r.facts.Gone || !r.settled:
		return StartOrder{}, wire.Refuse(wire.CodeLost, "the worker is not known yet")
	case r.facts.Leaving:
		return StartOrder{}, wire.Refuse(wire.CodeLeaving, "the worker is leaving")
	case r.ledger.Holds(t, m.Attempt):
		return StartOrder{}, wire.Refuse(wire.CodeBusy, "another attempt of the task may be running")
	case !room.Fits(m.Size):
		return StartOrder{}, wire.Refuse(wire.CodeBusy, "no room: %+v of %+v are free", room, r.facts.Capacity)
	}
	return StartOrder{
		Worker:  r.facts.ID,
		Task:    t,
		Attempt: m.Attempt,
		Spec:    m.Spec,
		Saved:   m.Saved,
		Ticket:  m.Ticket,
		UntilMS: r.until(),
		Token:   r.ledger.Begin(t, m.Attempt, m.Size),
	}, nil
}

func (r *Runner) launchAnswered(t graph.Task, m *wire.Launch, err error) (wire.Message, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.ledger.Confirm(t, m.Attempt)
		r.changed()
		pause.Wake(r.wake)
		return &wire.Launched{
			Seq: r.seq,
		}, nil
	}
	r.ledger.Reject(t, m.Attempt)
	r.p.Log.WithError(err).WithFields(logrus.Fields{"task": m.Task, "attempt": m.Attempt}).Warn("start_rejected")
	if reason(err) == ReasonFence {
		r.ledger.Raise(r.ledger.Token() + fenceJump)
		r.settled = false
		pause.Wake(r.wake)
	}
	return nil, wire.Refuse(codeOf(reason(err)), "%v", err)
}

// launchSettled answers for a start that got no answer, once it is certain
// whether it took effect.
func (r *Runner) launchSettled(t graph.Task, m *wire.Launch) (wire.Message, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := r.ledger.Has(t, m.Attempt)
	for _, e := range r.ledger.Ends() {
		runs = runs || (e.Task == t && e.Attempt == m.Attempt)
	}
	r.p.Log.WithFields(logrus.Fields{"task": m.Task, "attempt": m.Attempt, "runs": runs}).Info("start_settled")
	if !runs {
		return nil, wire.Refuse(wire.CodeLost, "the start got no answer and did not take effect")
	}
	pause.Wake(r.wake)
	return &wire.Launched{
		Seq: r.seq,
	}, nil
}

func (r *Runner) halt(c context.Context, p *wire.Peer, m *wire.Halt) (wire.Message, error) {
	t, err := graph.ParseTask(m.Task)
	if err != nil {
		return nil, wire.Refuse(wire.CodeUnknown, "%v", err)
	}
	r.orders <- struct{}{}
	defer func() { <-r.orders }()
	r.mu.Lock()
	err = r.obeys(p)
	o := StopOrder{
		Worker:  r.facts.ID,
		Task:    t,
		Attempt: m.Attempt,
		Token:   r.ledger.Token(),
	}
	r.mu.Unlock()
	if err != nil {
		return nil, err
	}
	s, cancel := context.WithTimeout(c, orderTimeout)
	defer cancel()
	begun := time.Now()
	a, err := r.p.Worker.Stop(s, o)
	r.p.Meter.WorkerCall("stop", err, time.Since(begun))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tick(a.ClockMS)
	if err != nil {
		r.p.Log.WithError(err).WithFields(logrus.Fields{"task": m.Task, "attempt": m.Attempt}).Warn("stop_failed")
		return nil, wire.Refuse(codeOf(reason(err)), "%v", err)
	}
	pause.Wake(r.wake)
	return nil, nil
}

func reason(err error) Reason {
	var j *RejectedError
	if errors.As(err, &j) {
		return j.Reason
	}
	return ""
}

func codeOf(n Reason) wire.Code {
	switch n {
	case ReasonRoom:
		return wire.CodeBusy
	case ReasonOld:
		return wire.CodeDone
	case ReasonInvalid:
		return wire.CodeFailed
	case ReasonTicket:
		return wire.CodeTicket
	case ReasonFence, ReasonLate, ReasonOtherLife, ReasonNotSent, ReasonUnhealthy:
		return wire.CodeLost
	}
	return wire.CodeInternal
}
