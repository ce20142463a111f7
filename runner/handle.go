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
	case *wire.StartSession:
		return r.acceptSession(p, v)
	case *wire.Ping:
		return r.handlePing(p, v)
	case *wire.Launch:
		return r.handleLaunch(c, p, v)
	case *wire.StopRun:
		return r.handleStopRun(c, p, v)
	case *wire.AckEnds:
		return r.handleAckEnds(p, v)
	}
	return nil, wire.Refuse(wire.CodeUnknown, "agent does not accept messages of kind %d", m.Kind())
}

// acceptSession makes a scheduler's session the active one, unless a newer session
// is active already.
func (r *Runner) acceptSession(p *wire.Peer, m *wire.StartSession) (wire.Message, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Epoch < r.session.Epoch || (m.Epoch == r.session.Epoch && m.Session <= r.session.Session) {
		return nil, &wire.RefusedError{
			Code:   wire.CodeStaleEpoch,
			Detail: "a newer scheduler session is active",
			Epoch:  r.session.Epoch,
		}
	}
	if r.peer != nil && r.peer != p {
		go r.peer.Close()
	}
	r.session = *m
	r.peer = p
	r.statusSeq++
	r.ports.Log.WithFields(logrus.Fields{"leader": m.Leader, "epoch": m.Epoch, "session": m.Session}).Info("scheduler_session_accepted")
	return r.status(), nil
}

// checkSession returns nil if p belongs to the active session, and a refusal
// otherwise. The caller holds r.mu.
func (r *Runner) checkSession(p *wire.Peer) error {
	if p == r.peer {
		return nil
	}
	return &wire.RefusedError{
		Code:   wire.CodeStaleEpoch,
		Detail: "a newer scheduler session is active",
		Epoch:  r.session.Epoch,
	}
}

func (r *Runner) handlePing(p *wire.Peer, m *wire.Ping) (wire.Message, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.checkSession(p); err != nil {
		return nil, err
	}
	r.recordContact(m.LastAgentMS)
	return &wire.Pong{
		WallMS:  r.ports.WallClock().UnixMilli(),
		AgentMS: r.clockMS(),
	}, nil
}

func (r *Runner) handleAckEnds(p *wire.Peer, m *wire.AckEnds) (wire.Message, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.checkSession(p); err != nil {
		return nil, err
	}
	r.ledger.Acknowledge(m.Born, m.Through)
	pause.Wake(r.wakePoll)
	return nil, nil
}

// handleLaunch starts a task. A refusal guarantees that the task is not running and
// will not be started by this request.
func (r *Runner) handleLaunch(c context.Context, p *wire.Peer, m *wire.Launch) (wire.Message, error) {
	t, err := graph.ParseTask(m.Task)
	if err != nil {
		return nil, wire.Refuse(wire.CodeUnknown, "%v", err)
	}
	if !r.takeOrderSlot(c, wire.MaxLaunchAge) {
		return nil, wire.Refuse(wire.CodeExpired, "launch request expired: an earlier order has no answer yet")
	}
	defer func() { <-r.orderSlot }()
	o, incarnation, err := r.admitStart(p, t, m)
	if err != nil {
		return nil, err
	}
	s, cancel := context.WithTimeout(c, orderTimeout)
	defer cancel()
	begun := time.Now()
	a, err := r.ports.Worker.Start(s, o)
	r.ports.Meter.WorkerCall("start", err, time.Since(begun))
	r.mu.Lock()
	r.syncClock(incarnation, a.ClockMS)
	r.mu.Unlock()
	var n *NoAnswerError
	if errors.As(err, &n) {
		r.ports.Log.WithError(err).WithFields(logrus.Fields{"task": m.Task, "attempt": m.Attempt, "token": o.Token}).Warn("start_unanswered")
		r.fenceOrdersLocked(c)
		return r.finishUnansweredStart(t, m)
	}
	return r.finishStart(t, m, err)
}

// takeOrderSlot waits for the order slot, and reports whether it was free within d.
func (r *Runner) takeOrderSlot(c context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case r.orderSlot <- struct{}{}:
		return true
	case <-t.C:
	case <-c.Done():
	}
	return false
}

// admitStart checks whether a start is allowed and, if so, records it in the ledger
// and returns the order for the worker and the incarnation that it is for.
func (r *Runner) admitStart(p *wire.Peer, t graph.Task, m *wire.Launch) (o StartOrder, incarnation int64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.checkSession(p); err != nil {
		return StartOrder{}, 0, err
	}
	r.recordContact(m.LastAgentMS)
	age := r.clockMS() - m.LastAgentMS
	r.ports.Meter.OrderAge(time.Duration(age) * time.Millisecond)
	if age > wire.MaxLaunchAge.Milliseconds() {
		return StartOrder{}, 0, wire.Refuse(wire.CodeExpired, "launch request expired: it is %d ms old", age)
	}
	free := r.worker.Capacity.Sub(r.ledger.Used())
	switch {
	case !r.worker.Known || r.worker.Gone || !r.fenced:
		return StartOrder{}, 0, wire.Refuse(wire.CodeLost, "the state of the worker is not known yet")
	case !r.registered:
		return StartOrder{}, 0, wire.Refuse(wire.CodeLost, "the agent is not registered yet")
	case m.Born != 0 && m.Born != r.worker.Born:
		return StartOrder{}, 0, wire.Refuse(wire.CodeLost, "the worker has restarted since the start was decided on")
	case r.worker.Leaving:
		return StartOrder{}, 0, wire.Refuse(wire.CodeLeaving, "the worker is shutting down")
	case r.ledger.HasOtherAttempt(t, m.Attempt):
		return StartOrder{}, 0, wire.Refuse(wire.CodeBusy, "another attempt of the task may be running")
	case !free.Holds(m.Size):
		return StartOrder{}, 0, wire.Refuse(wire.CodeBusy, "insufficient capacity: %+v of %+v are free", free, r.worker.Capacity)
	}
	return StartOrder{
		Worker:     r.worker.ID,
		Task:       t,
		Attempt:    m.Attempt,
		Spec:       m.Spec,
		Checkpoint: m.Checkpoint,
		Ticket:     m.Ticket,
		LeaseEndMS: r.leaseEnd(),
		Token:      r.ledger.Begin(t, m.Attempt, m.Size, time.Now()),
	}, r.ledger.Incarnation(), nil
}

// finishStart records the worker's answer to a start order in the ledger and returns
// the reply to the scheduler.
func (r *Runner) finishStart(t graph.Task, m *wire.Launch, err error) (wire.Message, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.ledger.Confirm(t, m.Attempt)
		r.markChanged()
		pause.Wake(r.wakePoll)
		return &wire.Launched{
			Seq: r.statusSeq,
		}, nil
	}
	r.ledger.Reject(t, m.Attempt)
	r.ports.Log.WithError(err).WithFields(logrus.Fields{"task": m.Task, "attempt": m.Attempt}).Warn("start_rejected")
	switch rejectionReason(err) {
	case ReasonStaleToken:
		r.ledger.RaiseToken(r.ledger.Token() + tokenJump)
		r.unfence()
	case ReasonNotSent, ReasonNoListener, ReasonOtherIncarnation:
		// The worker may be gone. No task is to be started here before it answers.
		r.unfence()
	default:
	}
	return nil, wire.Refuse(refusalCode(rejectionReason(err)), "%v", err)
}

// finishUnansweredStart replies to a launch whose start order was not answered. It is
// called after fenceOrdersLocked, when the ledger shows whether the order took effect.
func (r *Runner) finishUnansweredStart(t graph.Task, m *wire.Launch) (wire.Message, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := r.ledger.HasAttempt(t, m.Attempt)
	for _, e := range r.ledger.Ends() {
		runs = runs || (e.Task == t && e.Attempt == m.Attempt)
	}
	r.ports.Log.WithFields(logrus.Fields{"task": m.Task, "attempt": m.Attempt, "runs": runs}).Info("start_resolved")
	if !runs {
		return nil, wire.Refuse(wire.CodeLost, "the worker did not answer the start order, and it did not take effect")
	}
	pause.Wake(r.wakePoll)
	return &wire.Launched{
		Seq: r.statusSeq,
	}, nil
}

func (r *Runner) handleStopRun(c context.Context, p *wire.Peer, m *wire.StopRun) (wire.Message, error) {
	t, err := graph.ParseTask(m.Task)
	if err != nil {
		return nil, wire.Refuse(wire.CodeUnknown, "%v", err)
	}
	r.orderSlot <- struct{}{}
	defer func() { <-r.orderSlot }()
	r.mu.Lock()
	err = r.checkSession(p)
	o := StopOrder{
		Worker:  r.worker.ID,
		Task:    t,
		Attempt: m.Attempt,
		Token:   r.ledger.Token(),
	}
	incarnation := r.ledger.Incarnation()
	r.mu.Unlock()
	if err != nil {
		return nil, err
	}
	s, cancel := context.WithTimeout(c, orderTimeout)
	defer cancel()
	begun := time.Now()
	a, err := r.ports.Worker.Stop(s, o)
	r.ports.Meter.WorkerCall("stop", err, time.Since(begun))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.syncClock(incarnation, a.ClockMS)
	if err != nil {
		r.ports.Log.WithError(err).WithFields(logrus.Fields{"task": m.Task, "attempt": m.Attempt}).Warn("stop_failed")
		return nil, wire.Refuse(refusalCode(rejectionReason(err)), "%v", err)
	}
	pause.Wake(r.wakePoll)
	return nil, nil
}

func rejectionReason(err error) Reason {
	var j *RejectedError
	if errors.As(err, &j) {
		return j.Reason
	}
	return ""
}

// isNotSent reports whether an order that was rejected for a reason was never sent.
func isNotSent(n Reason) bool { return n == ReasonNotSent || n == ReasonNoListener }

func refusalCode(n Reason) wire.Code {
	switch n {
	case ReasonNoCapacity:
		return wire.CodeBusy
	case ReasonStaleAttempt:
		return wire.CodeAlreadyDone
	case ReasonInvalid:
		return wire.CodeFailed
	case ReasonTicket:
		return wire.CodeNoTicket
	case ReasonStaleToken, ReasonLeaseExpired, ReasonOtherIncarnation, ReasonNotSent, ReasonNoListener, ReasonUnhealthy:
		return wire.CodeLost
	}
	return wire.CodeInternal
}
