package wire

import (
	"time"

	"hemlockhinge/graph"
)

// StartSession is the first call of a scheduler to an agent: it opens a session. An agent
// accepts orders only from the session with the highest epoch and, within an epoch, the
// highest session number. The reply is AgentStatus.
type StartSession struct {
	_msgpack struct{} `msgpack:",as_array"`
	Epoch    uint64
	Session  uint64
	Leader   string
}

// WorkerInfo is what a worker reports about itself. Born is the time of its start in Unix
// milliseconds; ID and Born together identify one incarnation of the worker. Known is
// false until the agent has received a heartbeat from its worker. Leaving means that the
// worker is shutting down, and LeavesMS is for how long it still stays at least. Gone means
// that it has deregistered.
type WorkerInfo struct {
	_msgpack struct{} `msgpack:",as_array"`
	Known    bool
	ID       string
	Born     int64
	Machine  string
	Service  string
	Zone     string
	Labels   []string
	Capacity graph.Size
	Leaving  bool
	LeavesMS int64
	Gone     bool
	Rack     string
}

// RunState is the state of one run at a worker. Saved is the id of its newest checkpoint.
// Uncertain means that the worker has not answered the order to start it, and that the
// order may still take effect.
type RunState struct {
	_msgpack  struct{} `msgpack:",as_array"`
	Task      string
	Attempt   int
	Saved     string
	Percent   int
	Uncertain bool
}

// EndState is the end of one run that the worker has listed and the scheduler has not
// acknowledged yet. N numbers the ends within one incarnation of the worker. How is a
// graph.Outcome, and Saved the id of the run's newest checkpoint. An end for which How is
// graph.OutcomeWorkerCrashed or OutcomeStartUnresolved was not listed: its N is 0, and it is not
// acknowledged.
type EndState struct {
	_msgpack struct{} `msgpack:",as_array"`
	N        int64
	Task     string
	Attempt  int
	How      string
	Saved    string
}

// AgentStatus is an agent's full status report about its worker and runs. A report with a
// higher Seq is newer. Settled is false while earlier orders of the agent may still take
// effect, or its worker keeps ends that are not in the report. Vacant means that the worker does not answer and nothing can be running there,
// since all leases have expired. WallMS is the agent's wall clock and AgentMS its monotonic
// clock. ListedMS is the reading of that clock when the worker last listed its runs.
type AgentStatus struct {
	_msgpack struct{} `msgpack:",as_array"`
	Seq      uint64
	Node     string
	Settled  bool
	Worker   WorkerInfo
	Runs     []RunState
	Ends     []EndState
	WallMS   int64
	Vacant   bool
	AgentMS  int64
	ListedMS int64
	// Unregistered means that the store has no registration of the agent for its present worker,
	// so that other schedulers may not know of it. It takes no tasks.
	Unregistered bool
}

// Ping renews the scheduler's contact with an agent. LastAgentMS is the newest AgentMS that
// the scheduler has received. From it the agent computes the age of the contact, however
// long the message was delayed. The reply is Pong.
type Ping struct {
	_msgpack    struct{} `msgpack:",as_array"`
	LastAgentMS int64
}

// Pong is the reply to Ping. WallMS is the agent's wall clock and AgentMS its monotonic
// clock.
type Pong struct {
	_msgpack struct{} `msgpack:",as_array"`
	WallMS   int64
	AgentMS  int64
}

// MaxLaunchAge bounds the age of a Launch, which the agent measures by its own clock from
// LastAgentMS. It refuses older ones: the job may have been cancelled in the meantime, or
// started on another worker after a long loss of contact.
const MaxLaunchAge = 2 * time.Second

// Launch asks an agent to start a task at the incarnation of its worker that was started at
// Born, in Unix milliseconds; 0 stands for any. LastAgentMS is as in Ping. The reply is
// Launched, or a refusal, which guarantees that the task does not run.
type Launch struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Task        string
	Attempt     int
	Spec        string
	Checkpoint  string
	Ticket      string
	Size        graph.Size
	LastAgentMS int64
	Born        int64
}

// Launched says that a task runs. Status reports with a sequence number of Seq or higher
// include it.
type Launched struct {
	_msgpack struct{} `msgpack:",as_array"`
	Seq      uint64
}

// StopRun asks an agent to stop a run.
type StopRun struct {
	_msgpack struct{} `msgpack:",as_array"`
	Task     string
	Attempt  int
}

// AckEnds acknowledges that the ends up to number Through of the worker's incarnation Born
// are recorded, so that the agent may discard them.
type AckEnds struct {
	_msgpack struct{} `msgpack:",as_array"`
	Born     int64
	Through  int64
}

// GetJobState asks the scheduler for the state of a job. The reply is JobState.
type GetJobState struct {
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
}

// JobState is the state of a job as a graph.State, and its queue by name and by where it took
// the job. State is empty if the scheduler does not know the job. Revision is that of the job's record
// in the store.
type JobState struct {
	_msgpack struct{} `msgpack:",as_array"`
	State    string
	Queue    string
	Host     string
	Prefix   string
	Customer string
	Revision uint64
}

// GetPendingCount asks the scheduler how many jobs of a queue have not started yet. The reply
// is PendingCount.
type GetPendingCount struct {
	_msgpack struct{} `msgpack:",as_array"`
	Queue    string
}

// PendingCount is the number of jobs of a queue that have not started yet.
type PendingCount struct {
	_msgpack struct{} `msgpack:",as_array"`
	Count    int
}

// InputWritten tells the scheduler that an entry has written a job, or the cancellation of
// CancelledJob, at a revision of the store. The scheduler's watch normally shows the write
// first. The reply is an Ack.
type InputWritten struct {
	_msgpack     struct{} `msgpack:",as_array"`
	Revision     uint64
	CancelledJob string
}
