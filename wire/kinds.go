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
	KindBeat
	KindPolicy
	KindReserve
	KindGranted
	KindDrop
	KindPrepare
	KindJoin
	KindRelease
	KindRenew
	KindMember
	KindStop
	KindQuery
	KindReport
	KindHead
	KindVerdict
	KindResponse
	KindChunk
	KindEnd
	KindAbort
	KindHeard
	KindAges
	KindSave
	KindSync
	KindObjects
	KindJoined
	KindLead
	KindStanding
	KindPing
	KindPong
	KindLaunch
	KindLaunched
	KindHalt
	KindNoted
	KindAskState
	KindJobState
	KindAskPending
	KindPending
	KindStoreGet
	KindStoreCommit
	KindStoreAnswer
)

// constructors returns an empty message to decode into, by kind.
var constructors = [...]func() Message{
	KindAck:         func() Message { return &Ack{} },
	KindRefusal:     func() Message { return &Refusal{} },
	KindUnknown:     func() Message { return &Unknown{} },
	KindOpen:        func() Message { return &Open{} },
	KindAnnounce:    func() Message { return &Announce{} },
	KindWelcome:     func() Message { return &Welcome{} },
	KindBeat:        func() Message { return &Beat{} },
	KindPolicy:      func() Message { return &Policy{} },
	KindReserve:     func() Message { return &Reserve{} },
	KindGranted:     func() Message { return &Granted{} },
	KindDrop:        func() Message { return &Drop{} },
	KindPrepare:     func() Message { return &Prepare{} },
	KindJoin:        func() Message { return &Join{} },
	KindRelease:     func() Message { return &Release{} },
	KindRenew:       func() Message { return &Renew{} },
	KindMember:      func() Message { return &Member{} },
	KindStop:        func() Message { return &Stop{} },
	KindQuery:       func() Message { return &Query{} },
	KindReport:      func() Message { return &Report{} },
	KindHead:        func() Message { return &Head{} },
	KindVerdict:     func() Message { return &Verdict{} },
	KindResponse:    func() Message { return &Response{} },
	KindChunk:       func() Message { return &Chunk{} },
	KindEnd:         func() Message { return &End{} },
	KindAbort:       func() Message { return &Abort{} },
	KindHeard:       func() Message { return &Heard{} },
	KindAges:        func() Message { return &Ages{} },
	KindSave:        func() Message { return &Save{} },
	KindSync:        func() Message { return &Sync{} },
	KindObjects:     func() Message { return &Objects{} },
	KindJoined:      func() Message { return &Joined{} },
	KindLead:        func() Message { return &Lead{} },
	KindStanding:    func() Message { return &Standing{} },
	KindPing:        func() Message { return &Ping{} },
	KindPong:        func() Message { return &Pong{} },
	KindLaunch:      func() Message { return &Launch{} },
	KindLaunched:    func() Message { return &Launched{} },
	KindHalt:        func() Message { return &Halt{} },
	KindNoted:       func() Message { return &Noted{} },
	KindAskState:    func() Message { return &AskState{} },
	KindJobState:    func() Message { return &JobState{} },
	KindAskPending:  func() Message { return &AskPending{} },
	KindPending:     func() Message { return &Pending{} },
	KindStoreGet:    func() Message { return &StoreGet{} },
	KindStoreCommit: func() Message { return &StoreCommit{} },
	KindStoreAnswer: func() Message { return &StoreAnswer{} },
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
func (*Beat) Kind() Kind { return KindBeat }

// Kind implements Message.
func (*Policy) Kind() Kind { return KindPolicy }

// Kind implements Message.
func (*Reserve) Kind() Kind { return KindReserve }

// Kind implements Message.
func (*Granted) Kind() Kind { return KindGranted }

// Kind implements Message.
func (*Drop) Kind() Kind { return KindDrop }

// Kind implements Message.
func (*Prepare) Kind() Kind { return KindPrepare }

// Kind implements Message.
func (*Join) Kind() Kind { return KindJoin }

// Kind implements Message.
func (*Release) Kind() Kind { return KindRelease }

// Kind implements Message.
func (*Renew) Kind() Kind { return KindRenew }

// Kind implements Message.
func (*Member) Kind() Kind { return KindMember }

// Kind implements Message.
func (*Stop) Kind() Kind { return KindStop }

// Kind implements Message.
func (*Query) Kind() Kind { return KindQuery }

// Kind implements Message.
func (*Report) Kind() Kind { return KindReport }

// Kind implements Message.
func (*Head) Kind() Kind { return KindHead }

// Kind implements Message.
func (*Verdict) Kind() Kind { return KindVerdict }

// Kind implements Message.
func (*Response) Kind() Kind { return KindResponse }

// Kind implements Message.
func (*Chunk) Kind() Kind { return KindChunk }

// Kind implements Message.
func (*End) Kind() Kind { return KindEnd }

// Kind implements Message.
func (*Abort) Kind() Kind { return KindAbort }

// Kind implements Message.
func (*Heard) Kind() Kind { return KindHeard }

// Kind implements Message.
func (*Ages) Kind() Kind { return KindAges }

// Kind implements Message.
func (*Save) Kind() Kind { return KindSave }

// Kind implements Message.
func (*Joined) Kind() Kind { return KindJoined }

// Kind implements Message.
func (*Sync) Kind() Kind { return KindSync }

// Kind implements Message.
func (*Objects) Kind() Kind { return KindObjects }

// Kind implements Message.
func (*Lead) Kind() Kind { return KindLead }

// Kind implements Message.
func (*Standing) Kind() Kind { return KindStanding }

// Kind implements Message.
func (*Ping) Kind() Kind { return KindPing }

// Kind implements Message.
func (*Pong) Kind() Kind { return KindPong }

// Kind implements Message.
func (*Launch) Kind() Kind { return KindLaunch }

// Kind implements Message.
func (*Launched) Kind() Kind { return KindLaunched }

// Kind implements Message.
func (*Halt) Kind() Kind { return KindHalt }

// Kind implements Message.
func (*Noted) Kind() Kind { return KindNoted }

// Kind implements Message.
func (*AskState) Kind() Kind { return KindAskState }

// Kind implements Message.
func (*JobState) Kind() Kind { return KindJobState }

// Kind implements Message.
func (*AskPending) Kind() Kind { return KindAskPending }

// Kind implements Message.
func (*Pending) Kind() Kind { return KindPending }

// Kind implements Message.
func (*StoreGet) Kind() Kind { return KindStoreGet }

// Kind implements Message.
func (*StoreCommit) Kind() Kind { return KindStoreCommit }

// Kind implements Message.
func (*StoreAnswer) Kind() Kind { return KindStoreAnswer }
