package wire

import (
	"slices"

	"hemlockhinge/pack"
)

// Ack is a reply without content, except as the reply to a heartbeat. There, Version is the
// version of the configuration, OutOfService says whether the agent's failure domain is out
// of service in that version, and NextHeartbeatMS is the time until the next heartbeat is
// due; zero means the default interval.
type Ack struct {
	_msgpack        struct{} `msgpack:",as_array"`
	Version         uint64
	NextHeartbeatMS uint32
	OutOfService    bool
}

// Refusal is a reply that says that the call was refused and had no effect. RetryAfterMS is
// the time after which to retry.
type Refusal struct {
	_msgpack     struct{} `msgpack:",as_array"`
	Code         Code
	Detail       string
	RetryAfterMS uint32
	Epoch        uint64
}

// Unknown replaces a received message whose kind this version does not know.
type Unknown struct {
	_msgpack     struct{} `msgpack:",as_array"`
	ReceivedKind Kind
}

// Open is the first message on a connection to an agent. Stream says that the connection
// carries requests, one after another, instead of calls.
type Open struct {
	_msgpack struct{} `msgpack:",as_array"`
	From     string
	Stream   bool
}

// Announce is the first call of an agent to an entry: it registers the agent. Members lists
// the attempts of which the agent has a part. The reply is Welcome.
type Announce struct {
	_msgpack    struct{} `msgpack:",as_array"`
	Agent       string
	Incarnation uint64
	Address     string
	Domain      string
	Rack        string
	Capacity    pack.Size
	Slots       int
	Connections int
	Services    []string
	Leaving     bool
	Members     []MemberStatus
}

// Entry is the id of an entry and the address at which it accepts wire connections.
type Entry struct {
	_msgpack struct{} `msgpack:",as_array"`
	ID       string
	Wire     string
}

// Welcome is the reply to Announce.
type Welcome struct {
	_msgpack struct{} `msgpack:",as_array"`
	Entry    string
	Config   AgentConfig
}

// Heartbeat is an agent's heartbeat and its current load. The reply is an Ack.
type Heartbeat struct {
	_msgpack  struct{} `msgpack:",as_array"`
	InFlight  int
	Completed uint64
	Leaving   bool
}

// AgentConfig is the part of the operators' configuration objects that an agent needs.
// OutOfService says that the agent's failure domain is out of service.
type AgentConfig struct {
	_msgpack     struct{} `msgpack:",as_array"`
	Version      uint64
	OutOfService bool
	Entries      []Entry
}

// GetObjects asks another entry for its operators' configuration objects if their version
// is higher than Version. The reply is Objects.
type GetObjects struct {
	_msgpack struct{} `msgpack:",as_array"`
	Version  uint64
}

// Objects holds one version of the operators' configuration objects. Text is compressed;
// it is empty if Version is not higher than the version in the request.
type Objects struct {
	_msgpack struct{} `msgpack:",as_array"`
	Version  uint64
	Text     []byte
}

// Same reports whether p and q are equal except for their versions.
func (p AgentConfig) Same(q AgentConfig) bool {
	return p.OutOfService == q.OutOfService && slices.EqualFunc(p.Entries, q.Entries, func(a, b Entry) bool {
		return a.ID == b.ID && a.Wire == b.Wire
	})
}

// GetHeartbeatAges asks another entry how long ago it last received a heartbeat from each of
// some agents. The reply is HeartbeatAges.
type GetHeartbeatAges struct {
	_msgpack struct{} `msgpack:",as_array"`
	Agents   []string
}

// HeartbeatAges is the reply to GetHeartbeatAges: for each agent asked for, the milliseconds
// since its last heartbeat; -1 means that there was none.
type HeartbeatAges struct {
	_msgpack struct{} `msgpack:",as_array"`
	MS       []int64
}
