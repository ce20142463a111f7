package wire

import (
	"hemlockhinge/store"
)

// StoreGet asks another process to read a key of the store. The reply is
// StoreAnswer.
type StoreGet struct {
	_msgpack struct{} `msgpack:",as_array"`
	Key      string
}

// StoreCommit asks another process to change keys of the store. The reply is
// StoreAnswer.
type StoreCommit struct {
	_msgpack struct{} `msgpack:",as_array"`
	Txn      store.Txn
}

// StoreOutcome is how a relayed call of the store went.
type StoreOutcome uint8

// The outcomes of a relayed call: after StoreUnknown it may have taken effect,
// or may still do so.
const (
	StoreDone StoreOutcome = iota + 1
	StoreNotFound
	StoreConflict
	StoreRefused
	StoreUnknown
)

// StoreAnswer is the reply to a relayed call.
type StoreAnswer struct {
	_msgpack struct{} `msgpack:",as_array"`
	Outcome  StoreOutcome
	Item     store.Item
	Items    []store.Item
	Revision uint64
	Detail   string
}
