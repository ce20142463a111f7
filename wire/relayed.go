package wire

import (
	"hemlockhinge/store"
)

// StoreGet asks another process to read a key from the store. The reply is StoreAnswer.
type StoreGet struct {
	_msgpack struct{} `msgpack:",as_array"`
	Key      string
}

// StoreCommit asks another process to commit a transaction to the store. The reply is
// StoreAnswer.
type StoreCommit struct {
	_msgpack struct{} `msgpack:",as_array"`
	Txn      store.Txn
}

// StoreOutcome is the outcome of a relayed store call.
type StoreOutcome uint8

// The outcomes of a relayed call. After StoreRefused it certainly had no effect; after
// StoreUnknown it may have taken effect, or may still do so.
const (
	StoreDone StoreOutcome = iota + 1
	StoreNotFound
	StoreConflict
	StoreRefused
	StoreUnknown
)

// StoreAnswer is the reply to a relayed call. Item and Revision are its result, Items the
// current values of the keys in a conflict.
type StoreAnswer struct {
	_msgpack struct{} `msgpack:",as_array"`
	Outcome  StoreOutcome
	Item     store.Item
	Items    []store.Item
	Revision uint64
	Detail   string
}
