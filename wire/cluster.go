package wire

import (
	"hemlockhinge/graph"
)

// Lead is the first call of a scheduler to an agent. An agent obeys the session
// with the highest epoch, and of one epoch the newest. The reply is Standing.
type Lead struct {
	_msgpack struct{} `msgpack:",as_array"`
	Epoch    uint64
	Session  uint64
	Leader   string
}

// WorkerFacts is what a worker says of itself. Born is the Unix millisecond of
// its start; ID and Born together name one life of it. Known is false until the
// agent has heard its worker. LeavesMS is how long a leaving worker stays at
// least.
type WorkerFacts struct {
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

// RunState is one run at a worker. Uncertain means that the order to start it
// was not answered and is not settled yet.
type RunState struct {
	_msgpack  struct{} `msgpack:",as_array"`
	Task      string
	Attempt   int
	Saved     string
	Percent   int
	Uncertain bool
}

// EndState is one end that the worker has listed and the scheduler has not yet
// acknowledged. N counts the ends of one life of the worker.
type EndState struct {
	_msgpack struct{} `msgpack:",as_array"`
	N        int64
	Task     string
	Attempt  int
	How      string
	Saved    string
}

// Standing is all that an agent knows of its worker. Of two, the one with the
// higher Seq is newer. WallMS is the agent's clock of the day. Settled is false
// while earlier orders of the agent may still take effect. Vacant means that
// nothing can be running at the worker, though it does not answer. AgentMS is the
// agent's steady clock.
type Standing struct {
	_msgpack struct{} `msgpack:",as_array"`
	Seq      uint64
	Node     string
	Settled  bool
	Worker   WorkerFacts
	Runs     []RunState
	Ends     []EndState
	WallMS   int64
	Vacant   bool
	AgentMS  int64
}

// Ping renews the scheduler's contact with an agent. EchoMS is the newest AgentMS
// that the scheduler has heard, so that the agent knows how old the contact is,
// however long the message was under way. The reply is Pong.
type Ping struct {
	_msgpack struct{} `msgpack:",as_array"`
	EchoMS   int64
}

// Pong is the reply to Ping, with the agent's clock of the day and its steady one.
type Pong struct {
	_msgpack struct{} `msgpack:",as_array"`
	WallMS   int64
	AgentMS  int64
}

// Launch asks an agent to start a task; EchoMS is as in Ping. The reply is
// Launched, or a refusal after which it certainly does not run.
type Launch struct {
	_msgpack struct{} `msgpack:",as_array"`
	Task     string
	Attempt  int
	Spec     string
	Saved    string
	Ticket   string
	Size     graph.Size
	EchoMS   int64
}

// Launched says that a task runs; standings from Seq on list it.
type Launched struct {
	_msgpack struct{} `msgpack:",as_array"`
	Seq      uint64
}

// Halt asks an agent to stop a run.
type Halt struct {
	_msgpack struct{} `msgpack:",as_array"`
	Task     string
	Attempt  int
}

// Noted says that the ends up to Through of the worker's life are recorded.
type Noted struct {
	_msgpack struct{} `msgpack:",as_array"`
	Born     int64
	Through  int64
}

// AskState asks the scheduler where a job stands. The reply is JobState.
type AskState struct {
	_msgpack struct{} `msgpack:",as_array"`
	Job      string
}

// JobState is where a job stands, as a graph.State; empty when the scheduler
// does not know the job.
type JobState struct {
	_msgpack struct{} `msgpack:",as_array"`
	State    string
	Queue    string
}

// AskPending asks the scheduler how many jobs of a queue have not begun. The
// reply is Pending.
type AskPending struct {
	_msgpack struct{} `msgpack:",as_array"`
	Queue    string
}

// Pending is a number of jobs of a queue that have not begun.
type Pending struct {
	_msgpack struct{} `msgpack:",as_array"`
	Count    int
}
