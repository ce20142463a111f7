// Package gang has the rules by which the members of a gang start, run and end
// together.
//
// Member is one agent's part of an attempt. Lead is the state that the agent which
// leads the attempt keeps of all members. Once all members have joined, the lead
// sends them wire.StartTasks, after which their tasks may run. InferState infers the
// state of an attempt whose lead does not report to the scheduler. The package reads
// no clock and does no input or output: each call is given the time.
//
// # Usage
//
//	m := gang.NewMember(attempt, tasks, now)
//	err := m.Join(now)
//	err = m.Start(now)
//	if m.Expired(now) { ... }
package gang

import (
	"time"

	"hemlockhinge/wire"
)

// Times of the gang protocol.
const (
	// StartWindow is how long after granting a reservation an agent may start it.
	// The operators' objects are read after all grants, so nothing starts on
	// a configuration read longer ago than this.
	StartWindow = 2500 * time.Millisecond
	// Lease is how long a member keeps running without an answer from its lead,
	// and how long a lead waits for an answer from a member.
	Lease = 3 * time.Second
	// RenewInterval is the interval at which leases are renewed.
	RenewInterval = time.Second
	// ClockMargin allows for clocks that run at different rates.
	ClockMargin = 500 * time.Millisecond
	// MaxStopDelay is the longest time that any member can keep running after
	// another member has stopped.
	MaxStopDelay = 2*Lease + ClockMargin
	// IsolationTimeout is how long an agent's tasks keep running while no entry
	// receives its messages.
	IsolationTimeout = 60 * time.Second
)

// Member is one agent's part of an attempt.
type Member struct {
	attempt wire.Attempt
	phase   wire.Phase
	tasks   int
	// startDeadline is when an unstarted reservation expires, and leaseExpiry
	// when a started member must stop.
	startDeadline time.Time
	leaseExpiry   time.Time
	started       bool
	detail        string
	results       []wire.Result
	endedAt       time.Time
}

// NewMember returns a reserved member.
func NewMember(a wire.Attempt, tasks int, now time.Time) *Member {
	return &Member{
		attempt:       a,
		phase:         wire.PhaseReserved,
		tasks:         tasks,
		startDeadline: now.Add(StartWindow),
	}
}

// Phase returns the member's phase.
func (m *Member) Phase() wire.Phase { return m.phase }

// Attempt returns the attempt that the member belongs to.
func (m *Member) Attempt() wire.Attempt { return m.attempt }

// Tasks returns the number of the member's tasks.
func (m *Member) Tasks() int { return m.tasks }

// LeaseExpiry returns when the member must stop unless its lease is renewed.
func (m *Member) LeaseExpiry() time.Time { return m.leaseExpiry }

// StartDeadline returns the time after which no task of the member may start.
func (m *Member) StartDeadline() time.Time { return m.startDeadline }

// MayHaveRun reports whether a task of the member may have run.
func (m *Member) MayHaveRun() bool { return m.started }

// EndedAt returns when the member ended, or the zero time.
func (m *Member) EndedAt() time.Time { return m.endedAt }

// Report returns the member's state for its lead and for schedulers.
func (m *Member) Report() wire.MemberStatus {
	return wire.MemberStatus{
		Attempt:    m.attempt,
		Phase:      m.phase,
		MayHaveRun: m.started,
		TaskCount:  m.tasks,
		Detail:     m.detail,
		Results:    m.results,
	}
}

// Join moves a reserved member to ready. It may be repeated.
func (m *Member) Join(now time.Time) error {
	if m.phase != wire.PhaseReserved && m.phase != wire.PhaseReady {
		return wire.Refuse(wire.CodeAlreadyDone, "attempt %d of job %q is %s", m.attempt.Number, m.attempt.Job, m.phase)
	}
	if !now.Before(m.startDeadline) {
		return m.expired()
	}
	m.phase = wire.PhaseReady
	return nil
}

func (m *Member) expired() error {
	return wire.Refuse(wire.CodeExpired, "reservation of attempt %d of job %q has expired", m.attempt.Number, m.attempt.Job)
}

// Start moves a ready member to starting when its lead sends StartTasks. From then
// on a task may run.
func (m *Member) Start(now time.Time) error {
	if m.phase != wire.PhaseReady {
		return wire.Refuse(wire.CodeAlreadyDone, "attempt %d of job %q is %s", m.attempt.Number, m.attempt.Job, m.phase)
	}
	if !now.Before(m.startDeadline) {
		return m.expired()
	}
	m.phase = wire.PhaseStarting
	m.started = true
	m.leaseExpiry = now.Add(Lease)
	return nil
}

// MarkRunning records that all tasks have started.
func (m *Member) MarkRunning() {
	if m.phase == wire.PhaseStarting {
		m.phase = wire.PhaseRunning
	}
}

// Renew extends the lease of a member that runs, and reports whether it did. A
// lease that has expired is not renewed.
func (m *Member) Renew(now time.Time) bool {
	if m.phase != wire.PhaseRunning && m.phase != wire.PhaseStarting {
		return false
	}
	if !now.Before(m.leaseExpiry) {
		return false
	}
	m.leaseExpiry = now.Add(Lease)
	return true
}

// Expired reports whether the member must stop: because its start deadline has
// passed before it started, or its lease has expired since.
func (m *Member) Expired(now time.Time) bool {
	switch m.phase {
	case wire.PhaseReserved, wire.PhaseReady:
		return !now.Before(m.startDeadline)
	case wire.PhaseStarting, wire.PhaseRunning:
		return !now.Before(m.leaseExpiry)
	}
	return false
}

// MarkStopping records that the member's tasks are being stopped.
func (m *Member) MarkStopping(detail string) {
	if m.phase == wire.PhaseEnded {
		return
	}
	m.phase = wire.PhaseStopping
	m.detail = detail
}

// MarkEnded records that no task of the member runs any more.
func (m *Member) MarkEnded(now time.Time, detail string, r []wire.Result) {
	if m.phase == wire.PhaseEnded {
		return
	}
	m.phase = wire.PhaseEnded
	m.detail = detail
	m.results = r
	m.endedAt = now
}
