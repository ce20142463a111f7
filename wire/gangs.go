package wire

import (
	"hemlockhinge/pack"
)

// Attempt identifies one attempt at running a job. Epoch is that of the scheduler which
// makes the attempt. Try distinguishes successive reservations for the same attempt number,
// and increases within an epoch.
type Attempt struct {
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
	Number   int
	Epoch    uint64
	Try      uint64
}

// Before reports whether a was made earlier than b.
func (a Attempt) Before(b Attempt) bool {
	if a.Epoch != b.Epoch {
		return a.Epoch < b.Epoch
	}
	return a.Try < b.Try
}

// Same reports whether a and b identify the same reservation of the same attempt.
func (a Attempt) Same(b Attempt) bool {
	return a.Job == b.Job && a.Number == b.Number && a.Epoch == b.Epoch && a.Try == b.Try
}

// Reserve asks an agent to reserve capacity for tasks of an attempt, each of the given
// size. The reply is Reserved.
type Reserve struct {
	_msgpack  struct{} `msgpack:",as_array"`
	Attempt   Attempt
	Size      pack.Size
	TaskCount int
}

// Reserved is the reply to Reserve. The reservation expires ValidMS milliseconds after the
// agent has granted it: the agent starts no task of the attempt later than that.
type Reserved struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Incarnation uint64
	ValidMS     uint32
}

// CancelReservation cancels a reservation.
type CancelReservation struct {
	_msgpack struct{} `msgpack:",as_array"`
	Attempt  Attempt
}

// GangPart is the part of a gang that runs at one agent: TaskCount tasks, numbered from
// FirstTask.
type GangPart struct {
	_msgpack  struct{} `msgpack:",as_array"`
	Agent     string
	Address   string
	FirstTask int
	TaskCount int
}

// TaskSpec describes the tasks of a job, which are all alike.
type TaskSpec struct {
	_msgpack struct{} `msgpack:",as_array"`
	Customer string
	Size     pack.Size
	Command  []string
	GraceMS  uint32
	Restore  bool
}

// Prepare transfers a committed attempt to the agent of its first part, which coordinates
// the gang and is called its lead.
type Prepare struct {
	_msgpack struct{} `msgpack:",as_array"`
	Attempt  Attempt
	Spec     TaskSpec
	Parts    []GangPart
}

// Join is sent by the lead and asks a member of the gang to get ready to start its tasks.
// The reply is Joined.
type Join struct {
	_msgpack struct{} `msgpack:",as_array"`
	Attempt  Attempt
	Spec     TaskSpec
	Part     GangPart
	Lead     string
}

// Joined says that a member is ready. Handle is a short identifier of the attempt, chosen
// by the member for use in Renew.
type Joined struct {
	_msgpack struct{} `msgpack:",as_array"`
	Handle   uint32
}

// StartTasks tells a member to start its tasks. The reply is MemberStatus.
type StartTasks struct {
	_msgpack struct{} `msgpack:",as_array"`
	Attempt  Attempt
}

// Renew renews the lease of a member. The reply is an Ack while all tasks of the member
// run, and MemberStatus otherwise.
type Renew struct {
	_msgpack struct{} `msgpack:",as_array"`
	Handle   uint32
}

// Phase is the state of an attempt at one agent.
type Phase uint8

// The phases, in order.
const (
	PhaseNone Phase = iota
	PhaseReserved
	PhaseReady
	PhaseStarting
	PhaseRunning
	PhaseStopping
	PhaseEnded
)

var phaseNames = [...]string{"none", "reserved", "ready", "starting", "running", "stopping", "ended"}

// String returns the name of the phase.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "invalid"
}

// Result is the result of one task.
type Result struct {
	_msgpack struct{} `msgpack:",as_array" json:"-"`
	Task     int      `json:"task"`
	OK       bool     `json:"ok"`
	Output   string   `json:"output,omitempty"`
	Worker   string   `json:"worker,omitempty"`
}

// MemberStatus is the state of an attempt at one agent. MayHaveRun says that a task may be
// running at the agent, or may have run there.
type MemberStatus struct {
	_msgpack   struct{} `msgpack:",as_array"`
	Attempt    Attempt
	Phase      Phase
	MayHaveRun bool
	IsLead     bool
	TaskCount  int
	Detail     string
	Results    []Result
	FirstTask  int
}

// Checkpoint asks a member to checkpoint its tasks. The reply, an Ack, is sent once all
// checkpoints are saved.
type Checkpoint struct {
	_msgpack struct{} `msgpack:",as_array"`
	Attempt  Attempt
}

// Stop stops an attempt. With WholeGang, the agent that leads the gang stops all of its
// members, after a checkpoint if Checkpoint is set. Without WholeGang, or at an agent that
// is not the lead, only the agent's own part is stopped. The reply is MemberStatus.
type Stop struct {
	_msgpack   struct{} `msgpack:",as_array"`
	Attempt    Attempt
	Checkpoint bool
	WholeGang  bool
	Reason     string
}

// GetMemberStatus asks for the state of an attempt at an agent. The reply is MemberStatus.
type GetMemberStatus struct {
	_msgpack struct{} `msgpack:",as_array"`
	Attempt  Attempt
}

// Outcome is the outcome of an attempt as a whole.
type Outcome uint8

// The outcomes of an attempt.
const (
	OutcomeRunning Outcome = iota
	OutcomeDone
	OutcomeFailed
	OutcomeNotRun
	OutcomePartial
	OutcomePreempted
	OutcomeCancelled
)

var outcomeNames = [...]string{"running", "done", "failed", "not_run", "partial", "preempted", "cancelled"}

// String returns the name of the outcome.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "invalid"
}

// AttemptReport is the final report of a lead on an attempt. BlamedAgent is the agent that
// caused the failure, if any. An Ack means that the report is recorded, so that the lead may
// discard it.
type AttemptReport struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Attempt     Attempt
	Agent       string
	Outcome     Outcome
	BlamedAgent string
	Detail      string
	Results     []Result
}
