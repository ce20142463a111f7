package wire

import (
	"hemlockhinge/store"
)

// StoreGet asks another process to read a key from the store. The reply is StoreAnswer.
type StoreGet struct {
	_msgpack struct{} `msgpack:",as_array"`
	Key      string
}

// StorePoll asks another process for the changes below a prefix after a revision of the
// store. The reply is StoreAnswer.
type StorePoll struct {
	_msgpack struct{} `msgpack:",as_array"`
	Prefix   string
	Revision uint64
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
// StoreUnknown it may have taken effect, or may still do so. StoreCompacted says that the
// store no longer has the changes that a poll asks for.
const (
	StoreDone StoreOutcome = iota + 1
	StoreNotFound
	StoreConflict
	StoreRefused
	StoreUnknown
	StoreCompacted
)

// StoreAnswer is the reply to a relayed call. Item and Revision are its result, Items the
// current values of the keys in a conflict, or the changes that a poll returns.
type StoreAnswer struct {
	_msgpack struct{} `msgpack:",as_array"`
	Outcome  StoreOutcome
	Item     store.Item
	Items    []store.Item
	Revision uint64
	Detail   string
}
