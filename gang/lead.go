package gang

import (
	"time"

	"hemlockhinge/wire"
)

// Verdict is a lead's decision on the outcome of its gang.
type Verdict struct {
	outcome     wire.Outcome
	blamedAgent string
	detail      string
}

// Outcome returns how the attempt ended, or OutcomeRunning.
func (v Verdict) Outcome() wire.Outcome { return v.outcome }

// BlamedAgent returns the agent because of which the attempt ended, if any.
func (v Verdict) BlamedAgent() string { return v.blamedAgent }

// Detail explains the outcome.
func (v Verdict) Detail() string { return v.detail }

// Lead is the state that the lead of an attempt keeps of its members.
type Lead struct {
	parts []wire.GangPart
	// lastContact and reports are, for each part, the time of its last answer
	// and its last report.
	lastContact []time.Time
	reports     []wire.MemberStatus
	// startSent means that StartTasks may have been sent to some member.
	startSent bool
	verdict   Verdict
}

// NewLead returns the lead's state for a gang with these parts.
func NewLead(p []wire.GangPart) *Lead {
	return &Lead{
		parts:       p,
		lastContact: make([]time.Time, len(p)),
		reports:     make([]wire.MemberStatus, len(p)),
	}
}

// Parts returns the parts of the gang.
func (l *Lead) Parts() []wire.GangPart { return l.parts }

// Verdict returns the verdict so far.
func (l *Lead) Verdict() Verdict { return l.verdict }

// StartSent reports whether StartTasks may have been sent to any member.
func (l *Lead) StartSent() bool { return l.startSent }

// decide sets the verdict. Only the first call has an effect.
func (l *Lead) decide(o wire.Outcome, blamedAgent, detail string) {
	if l.verdict.outcome != wire.OutcomeRunning {
		return
	}
	l.verdict = Verdict{
		outcome:     o,
		blamedAgent: blamedAgent,
		detail:      detail,
	}
}

// RecordJoins records the answers to Join, one for each part. Unless all members are
// ready, the attempt is over and no task ran. It reports whether the gang may be
// started.
func (l *Lead) RecordJoins(errs []error) bool {
	for i, err := range errs {
		if err != nil {
			l.decide(wire.OutcomeNotRun, l.parts[i].Agent, err.Error())
			return false
		}
	}
	return l.verdict.outcome == wire.OutcomeRunning
}

// BeginStart records that StartTasks is about to be sent to the members. It returns
// false if the gang must not be started.
func (l *Lead) BeginStart(now time.Time) bool {
	if l.verdict.outcome != wire.OutcomeRunning {
		return false
	}
	l.startSent = true
	for i := range l.lastContact {
		l.lastContact[i] = now
	}
	return true
}

// RecordStarts records the answers to StartTasks. If every member refused, the
// attempt did not run; if only some members started, it ran in part.
func (l *Lead) RecordStarts(now time.Time, m []*wire.MemberStatus, errs []error) {
	refused, bad := 0, -1
	for i, err := range errs {
		if err == nil {
			l.RecordReport(now, i, *m[i])
			continue
		}
		bad = i
		if _, ok := wire.Refused(err); ok {
			refused++
		}
	}
	switch {
	case bad < 0:
	case refused == len(errs):
		l.decide(wire.OutcomeNotRun, l.parts[bad].Agent, errs[bad].Error())
	default:
		l.decide(wire.OutcomePartial, l.parts[bad].Agent, errs[bad].Error())
	}
}

// RecordRunning records that a member answered that all of its tasks run.
func (l *Lead) RecordRunning(now time.Time, i int) {
	l.lastContact[i] = now
	if l.reports[i].Phase != wire.PhaseEnded {
		l.reports[i].Phase = wire.PhaseRunning
	}
}

// RecordReport records a member's report. Once a member has reported its end, further
// reports are ignored: they may have been sent before it and arrived late.
func (l *Lead) RecordReport(now time.Time, i int, m wire.MemberStatus) {
	l.lastContact[i] = now
	if l.reports[i].Phase == wire.PhaseEnded {
		return
	}
	l.reports[i] = m
	switch m.Phase {
	case wire.PhaseStarting, wire.PhaseRunning:
	case wire.PhaseEnded:
		if !succeeded(m) {
			l.decide(failureOutcome(m), l.parts[i].Agent, m.Detail)
		}
	default:
		l.decide(failureOutcome(m), l.parts[i].Agent, "member is "+m.Phase.String()+": "+m.Detail)
	}
}

func failureOutcome(m wire.MemberStatus) wire.Outcome {
	for _, r := range m.Results {
		if !r.OK {
			return wire.OutcomeFailed
		}
	}
	return wire.OutcomePartial
}

func succeeded(m wire.MemberStatus) bool {
	if len(m.Results) != m.TaskCount {
		return false
	}
	for _, r := range m.Results {
		if !r.OK {
			return false
		}
	}
	return true
}

// Evaluate returns the verdict, which it sets if the gang has ended: when a member
// has not answered for Lease, or when all members have succeeded.
func (l *Lead) Evaluate(now time.Time) Verdict {
	if !l.startSent {
		return l.verdict
	}
	n := 0
	for i, m := range l.reports {
		if m.Phase == wire.PhaseEnded {
			n++
			continue
		}
		if now.Sub(l.lastContact[i]) >= Lease {
			l.decide(wire.OutcomePartial, l.parts[i].Agent, "member was not heard for "+Lease.String())
		}
	}
	if n == len(l.parts) {
		l.decide(wire.OutcomeDone, "", "")
	}
	return l.verdict
}

// HasSilentMember reports whether a member that has not ended has not answered for Lease.
func (l *Lead) HasSilentMember(now time.Time) bool {
	for i, m := range l.reports {
		if m.Phase != wire.PhaseEnded && now.Sub(l.lastContact[i]) >= Lease {
			return true
		}
	}
	return false
}

// Stop ends the gang for a reason that is not one of its members.
func (l *Lead) Stop(o wire.Outcome, detail string) { l.decide(o, "", detail) }

// AllRunning reports whether each member has reported that all of its tasks run or
// have ended.
func (l *Lead) AllRunning() bool {
	if !l.startSent {
		return false
	}
	for _, m := range l.reports {
		if m.Phase != wire.PhaseRunning && m.Phase != wire.PhaseEnded {
			return false
		}
	}
	return true
}

// Results returns the results of all tasks that have ended.
func (l *Lead) Results() []wire.Result {
	var r []wire.Result
	for _, m := range l.reports {
		r = append(r, m.Results...)
	}
	return r
}
