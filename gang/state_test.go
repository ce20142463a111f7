package gang

import (
	"testing"
	"time"

	"hemlockhinge/wire"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// partState returns the state of a part whose last report and last contact were the
// given times ago; a negative time means that there was no report.
func partState(p wire.Phase, started bool, reportAge, contactAge time.Duration, now time.Time) PartState {
	w := PartState{
		Phase:       p,
		MayHaveRun:  started,
		LastContact: now.Add(-contactAge),
	}
	if reportAge >= 0 {
		w.ReportedAt = now.Add(-reportAge)
	}
	return w
}

func TestInferState(t *testing.T) {
	const never = -1
	now := start.Add(time.Hour)
	laterIncarnation := partState(wire.PhaseNone, false, 0, 0, now)
	laterIncarnation.LaterIncarnation = true
	for _, c := range []struct {
		name string
		age  time.Duration
		w    []PartState
		want AttemptState
	}{
		{name: "just committed", age: time.Second, want: AttemptOpen, w: []PartState{partState(wire.PhaseEnded, false, 0, 0, now)}},
		{name: "all ended unstarted", age: time.Hour, want: AttemptNotRun, w: []PartState{partState(wire.PhaseEnded, false, 0, 0, now), partState(wire.PhaseEnded, false, 0, 0, now)}},
		{name: "all ended, one started", age: time.Hour, want: AttemptOver, w: []PartState{partState(wire.PhaseEnded, true, 0, 0, now), partState(wire.PhaseEnded, false, 0, 0, now)}},
		{name: "a later incarnation cannot confirm that no task ran", age: time.Hour, want: AttemptOver, w: []PartState{laterIncarnation, partState(wire.PhaseEnded, false, 0, 0, now)}},
		{name: "an agent without a record cannot confirm that no task ran", age: time.Hour, want: AttemptOver, w: []PartState{partState(wire.PhaseNone, false, 0, 0, now)}},
		{name: "one ended just now, one does not report", age: time.Hour, want: AttemptOpen, w: []PartState{partState(wire.PhaseEnded, true, 0, 0, now), partState(wire.PhaseRunning, true, 0, 0, now)}},
		{name: "one ended long ago, one does not report", age: time.Hour, want: AttemptOver, w: []PartState{partState(wire.PhaseEnded, true, MaxStopDelay, 0, now), partState(wire.PhaseRunning, true, MaxStopDelay, 0, now)}},
		{name: "all members run", age: time.Hour, want: AttemptOpen, w: []PartState{partState(wire.PhaseRunning, true, 0, 0, now)}},
		{name: "no contact, isolation time not over", age: time.Hour, want: AttemptOpen, w: []PartState{partState(wire.PhaseNone, false, never, IsolationTimeout, now)}},
		{name: "no contact for the isolation time and the leases", age: time.Hour, want: AttemptOver, w: []PartState{partState(wire.PhaseNone, false, never, IsolationTimeout+MaxStopDelay, now)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if f := InferState(now, now.Add(-c.age), c.w); f != c.want {
				t.Errorf("state %d, want %d", f, c.want)
			}
		})
	}
}

func TestMemberStartDeadlineAndLease(t *testing.T) {
	m := NewMember(wire.Attempt{Job: "j"}, 1, start)
	if err := m.Start(start); err == nil {
		t.Error("started a member that has not joined")
	}
	if err := m.Join(start.Add(StartWindow)); err == nil {
		t.Error("joined a reservation that has expired")
	}
	if err := m.Join(start.Add(time.Second)); err != nil {
		t.Error(err)
	}
	if err := m.Start(start.Add(StartWindow)); err == nil || m.MayHaveRun() {
		t.Error("started a member after its start deadline")
	}
	if err := m.Start(start.Add(2 * time.Second)); err != nil || !m.MayHaveRun() {
		t.Errorf("start: %v", err)
	}
	m.MarkRunning()
	if m.Renew(start.Add(2*time.Second + Lease)) {
		t.Error("renewed a lease that has expired")
	}
	if !m.Expired(start.Add(2*time.Second+Lease)) || m.Expired(start.Add(4*time.Second)) {
		t.Error("lease expired too early or too late")
	}
}

func TestLeadOutcome(t *testing.T) {
	running := wire.MemberStatus{Phase: wire.PhaseRunning, TaskCount: 1, MayHaveRun: true}
	done := wire.MemberStatus{Phase: wire.PhaseEnded, TaskCount: 1, MayHaveRun: true, Results: []wire.Result{{OK: true}}}
	failed := wire.MemberStatus{Phase: wire.PhaseEnded, TaskCount: 1, MayHaveRun: true, Results: []wire.Result{{}}}
	refused := wire.Refuse(wire.CodeExpired, "late")
	lost := &wire.ClosedError{Remote: "w1"}
	parts := []wire.GangPart{{Agent: "w0"}, {Agent: "w1"}}
	for _, c := range []struct {
		name   string
		events func(l *Lead)
		want   wire.Outcome
	}{
		{name: "one member does not join", want: wire.OutcomeNotRun, events: func(l *Lead) { l.RecordJoins([]error{nil, lost}) }},
		{name: "all members refuse to start", want: wire.OutcomeNotRun, events: func(l *Lead) {
			l.BeginStart(start)
			l.RecordStarts(start, make([]*wire.MemberStatus, 2), []error{refused, refused})
		}},
		{name: "one member does not answer StartTasks", want: wire.OutcomePartial, events: func(l *Lead) {
			l.BeginStart(start)
			l.RecordStarts(start, make([]*wire.MemberStatus, 2), []error{refused, lost})
		}},
		{name: "all members run", want: wire.OutcomeRunning, events: func(l *Lead) { startGang(l, running, running) }},
		{name: "one member does not answer for a lease", want: wire.OutcomePartial, events: func(l *Lead) {
			startGang(l, running, running)
			l.RecordRunning(start.Add(Lease), 0)
			l.Evaluate(start.Add(Lease))
		}},
		{name: "one member fails", want: wire.OutcomeFailed, events: func(l *Lead) {
			startGang(l, running, running)
			l.RecordReport(start, 1, failed)
		}},
		{name: "one member is done, one runs", want: wire.OutcomeRunning, events: func(l *Lead) {
			startGang(l, running, running)
			l.RecordReport(start, 0, done)
			l.Evaluate(start)
		}},
		{name: "all members are done", want: wire.OutcomeDone, events: func(l *Lead) {
			startGang(l, done, done)
			l.Evaluate(start.Add(time.Hour))
		}},
		{name: "preempted, then a member does not answer", want: wire.OutcomePreempted, events: func(l *Lead) {
			startGang(l, running, running)
			l.Stop(wire.OutcomePreempted, "")
			l.Evaluate(start.Add(time.Hour))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := NewLead(parts)
			c.events(l)
			if o := l.Verdict().Outcome(); o != c.want {
				t.Errorf("outcome %s, want %s", o, c.want)
			}
		})
	}
}

func startGang(l *Lead, a, b wire.MemberStatus) {
	l.RecordJoins(make([]error, 2))
	l.BeginStart(start)
	l.RecordStarts(start, []*wire.MemberStatus{&a, &b}, make([]error, 2))
}
