package wire

import (
	"math"
)

// Kind identifies the type of a message.
type Kind uint8

const maxKind = math.MaxUint8

// The kinds of messages. Their numbers are part of the protocol and must not change.
const (
	KindAck Kind = iota + 1
	KindRefusal
	KindUnknown
	KindOpen
	KindAnnounce
	KindWelcome
	KindHeartbeat
	KindAgentConfig
	KindReserve
	KindReserved
	KindCancelReservation
	KindPrepare
	KindJoin
	KindStartTasks
	KindRenew
	KindMemberStatus
	KindStop
	KindGetMemberStatus
	KindAttemptReport
	KindRequestHead
	KindAdmitted
	KindResponseHead
	KindBodyChunk
	KindBodyEnd
	KindBodyAbort
	KindGetHeartbeatAges
	KindHeartbeatAges
	KindCheckpoint
	KindGetObjects
	KindObjects
	KindJoined
	KindStartSession
	KindAgentStatus
	KindPing
	KindPong
	KindLaunch
	KindLaunched
	KindStopRun
	KindAckEnds
	KindGetJobState
	KindJobState
	KindGetPendingCount
	KindPendingCount
	KindStoreGet
	KindStoreCommit
	KindStoreAnswer
	KindInputWritten
	KindStorePoll
)

// constructors returns an empty message to decode into, by kind.
var constructors = [...]func() Message{
	KindAck:               func() Message { return &Ack{} },
	KindRefusal:           func() Message { return &Refusal{} },
	KindUnknown:           func() Message { return &Unknown{} },
	KindOpen:              func() Message { return &Open{} },
	KindAnnounce:          func() Message { return &Announce{} },
	KindWelcome:           func() Message { return &Welcome{} },
	KindHeartbeat:         func() Message { return &Heartbeat{} },
	KindAgentConfig:       func() Message { return &AgentConfig{} },
	KindReserve:           func() Message { return &Reserve{} },
	KindReserved:          func() Message { return &Reserved{} },
	KindCancelReservation: func() Message { return &CancelReservation{} },
	KindPrepare:           func() Message { return &Prepare{} },
	KindJoin:              func() Message { return &Join{} },
	KindStartTasks:        func() Message { return &StartTasks{} },
	KindRenew:             func() Message { return &Renew{} },
	KindMemberStatus:      func() Message { return &MemberStatus{} },
	KindStop:              func() Message { return &Stop{} },
	KindGetMemberStatus:   func() Message { return &GetMemberStatus{} },
	KindAttemptReport:     func() Message { return &AttemptReport{} },
	KindRequestHead:       func() Message { return &RequestHead{} },
	KindAdmitted:          func() Message { return &Admitted{} },
	KindResponseHead:      func() Message { return &ResponseHead{} },
	KindBodyChunk:         func() Message { return &BodyChunk{} },
	KindBodyEnd:           func() Message { return &BodyEnd{} },
	KindBodyAbort:         func() Message { return &BodyAbort{} },
	KindGetHeartbeatAges:  func() Message { return &GetHeartbeatAges{} },
	KindHeartbeatAges:     func() Message { return &HeartbeatAges{} },
	KindCheckpoint:        func() Message { return &Checkpoint{} },
	KindGetObjects:        func() Message { return &GetObjects{} },
	KindObjects:           func() Message { return &Objects{} },
	KindJoined:            func() Message { return &Joined{} },
	KindStartSession:      func() Message { return &StartSession{} },
	KindAgentStatus:       func() Message { return &AgentStatus{} },
	KindPing:              func() Message { return &Ping{} },
	KindPong:              func() Message { return &Pong{} },
	KindLaunch:            func() Message { return &Launch{} },
	KindLaunched:          func() Message { return &Launched{} },
	KindStopRun:           func() Message { return &StopRun{} },
	KindAckEnds:           func() Message { return &AckEnds{} },
	KindGetJobState:       func() Message { return &GetJobState{} },
	KindJobState:          func() Message { return &JobState{} },
	KindGetPendingCount:   func() Message { return &GetPendingCount{} },
	KindPendingCount:      func() Message { return &PendingCount{} },
	KindStoreGet:          func() Message { return &StoreGet{} },
	KindStoreCommit:       func() Message { return &StoreCommit{} },
	KindStoreAnswer:       func() Message { return &StoreAnswer{} },
	KindInputWritten:      func() Message { return &InputWritten{} },
	KindStorePoll:         func() Message { return &StorePoll{} },
}

// Message is the body of a frame. Every message type reports its own kind.
type Message interface {
	Kind() Kind
}

// Kind implements Message.
func (*Ack) Kind() Kind { return KindAck }

// Kind implements Message.
func (*Refusal) Kind() Kind { return KindRefusal }

// Kind implements Message.
func (*Unknown) Kind() Kind { return KindUnknown }

// Kind implements Message.
func (*Open) Kind() Kind { return KindOpen }

// Kind implements Message.
func (*Announce) Kind() Kind { return KindAnnounce }

// Kind implements Message.
func (*Welcome) Kind() Kind { return KindWelcome }

// Kind implements Message.
func (*Heartbeat) Kind() Kind { return KindHeartbeat }

// Kind implements Message.
func (*AgentConfig) Kind() Kind { return KindAgentConfig }

// Kind implements Message.
func (*Reserve) Kind() Kind { return KindReserve }

// Kind implements Message.
func (*Reserved) Kind() Kind { return KindReserved }

// Kind implements Message.
func (*CancelReservation) Kind() Kind { return KindCancelReservation }

// Kind implements Message.
func (*Prepare) Kind() Kind { return KindPrepare }

// Kind implements Message.
func (*Join) Kind() Kind { return KindJoin }

// Kind implements Message.
func (*StartTasks) Kind() Kind { return KindStartTasks }

// Kind implements Message.
func (*Renew) Kind() Kind { return KindRenew }

// Kind implements Message.
func (*MemberStatus) Kind() Kind { return KindMemberStatus }

// Kind implements Message.
func (*Stop) Kind() Kind { return KindStop }

// Kind implements Message.
func (*GetMemberStatus) Kind() Kind { return KindGetMemberStatus }

// Kind implements Message.
func (*AttemptReport) Kind() Kind { return KindAttemptReport }

// Kind implements Message.
func (*RequestHead) Kind() Kind { return KindRequestHead }

// Kind implements Message.
func (*Admitted) Kind() Kind { return KindAdmitted }

// Kind implements Message.
func (*ResponseHead) Kind() Kind { return KindResponseHead }

// Kind implements Message.
func (*BodyChunk) Kind() Kind { return KindBodyChunk }

// Kind implements Message.
func (*BodyEnd) Kind() Kind { return KindBodyEnd }

// Kind implements Message.
func (*BodyAbort) Kind() Kind { return KindBodyAbort }

// Kind implements Message.
func (*GetHeartbeatAges) Kind() Kind { return KindGetHeartbeatAges }

// Kind implements Message.
func (*HeartbeatAges) Kind() Kind { return KindHeartbeatAges }

// Kind implements Message.
func (*Checkpoint) Kind() Kind { return KindCheckpoint }

// Kind implements Message.
func (*Joined) Kind() Kind { return KindJoined }

// Kind implements Message.
func (*GetObjects) Kind() Kind { return KindGetObjects }

// Kind implements Message.
func (*Objects) Kind() Kind { return KindObjects }

// Kind implements Message.
func (*StartSession) Kind() Kind { return KindStartSession }

// Kind implements Message.
func (*AgentStatus) Kind() Kind { return KindAgentStatus }

// Kind implements Message.
func (*Ping) Kind() Kind { return KindPing }

// Kind implements Message.
func (*Pong) Kind() Kind { return KindPong }

// Kind implements Message.
func (*Launch) Kind() Kind { return KindLaunch }

// Kind implements Message.
func (*Launched) Kind() Kind { return KindLaunched }

// Kind implements Message.
func (*StopRun) Kind() Kind { return KindStopRun }

// Kind implements Message.
func (*AckEnds) Kind() Kind { return KindAckEnds }

// Kind implements Message.
func (*GetJobState) Kind() Kind { return KindGetJobState }

// Kind implements Message.
func (*JobState) Kind() Kind { return KindJobState }

// Kind implements Message.
func (*GetPendingCount) Kind() Kind { return KindGetPendingCount }

// Kind implements Message.
func (*PendingCount) Kind() Kind { return KindPendingCount }

// Kind implements Message.
func (*StoreGet) Kind() Kind { return KindStoreGet }

// Kind implements Message.
func (*StoreCommit) Kind() Kind { return KindStoreCommit }

// Kind implements Message.
func (*StoreAnswer) Kind() Kind { return KindStoreAnswer }

// Kind implements Message.
func (*InputWritten) Kind() Kind { return KindInputWritten }

// Kind implements Message.
func (*StorePoll) Kind() Kind { return KindStorePoll }
