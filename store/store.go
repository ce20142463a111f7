// Package store is the port to the platform's key-value service.
//
// The service offers compare-and-swap, leases and watches. Port is what the
// daemons need of it; Client is the adapter for its HTTP interface. A Table
// reads and writes typed records below one prefix and resolves lost answers:
// each value carries the ids of its latest writes, so a writer that got no
// answer reads the key again and knows whether its write took effect.
//
// # Usage
//
//	t := store.NewTable[Job](port, "entry-1", "job/")
//	r, err := t.Swap(ctx, id, 0, job, 0) // creates, or *ConflictError
package store

import (
	"context"
	"fmt"
	"time"
)

// MaxValue is the largest value that the service holds, in bytes.
const MaxValue = 1 << 20

// Lease identifies a lease; zero means none.
type Lease uint64

// Item is one key and its value. Deleted items appear in watches only.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Lease    Lease  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Page is a part of a listing or the outcome of a watch. Revision is the
// store's revision when it was read.
type Page struct {
	Items    []Item `json:"items"`
	Revision uint64 `json:"revision"`
	More     bool   `json:"more,omitempty"`
}

// Port is the platform's key-value service.
type Port interface {
	// Get returns one item, or *NotFoundError.
	Get(c context.Context, key string) (Item, error)
	// Put writes the value when the key's revision is rev; zero means that
	// the key must not exist. It returns the new revision, *ConflictError,
	// or *UnavailableError, after which the effect is unknown.
	Put(c context.Context, key string, value []byte, rev uint64, l Lease) (uint64, error)
	// Delete removes the key when its revision is rev.
	Delete(c context.Context, key string, rev uint64) error
	// List returns items below a prefix, in key order, after a key.
	List(c context.Context, prefix, after string) (Page, error)
	// Watch waits for changes below a prefix later than rev. An empty page
	// means that nothing changed while it waited; *CompactedError means that
	// the caller must list again.
	Watch(c context.Context, prefix string, rev uint64) (Page, error)
	// Grant makes a lease that lapses after ttl unless kept.
	Grant(c context.Context, ttl time.Duration) (Lease, error)
	// Keep renews a lease, or returns *NotFoundError once it has lapsed.
	Keep(c context.Context, l Lease) error
	// Revoke ends a lease and deletes its keys.
	Revoke(c context.Context, l Lease) error
}

// NotFoundError says that a key or a lease does not exist.
type NotFoundError struct {
	Key string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("key %q does not exist in the store", e.Key)
}

// ConflictError says that a key has another revision than the writer expected.
type ConflictError struct {
	Key  string
	Want uint64
	Have uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q has revision %d, not %d", e.Key, e.Have, e.Want)
}

// UnavailableError says that the service gave no answer. A write may or may
// not have taken effect, unless Refused is set.
type UnavailableError struct {
	Op      string
	Key     string
	Refused bool
	Err     error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store %s of key %q: no answer: %v", e.Op, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// TooLargeError says that a value exceeds MaxValue.
type TooLargeError struct {
	Key  string
	Size int
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("key %q: value of %d bytes exceeds %d", e.Key, e.Size, MaxValue)
}

// CompactedError says that a watch starts before the history that is kept.
type CompactedError struct {
	Revision uint64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("store history before revision %d is gone", e.Revision)
}

// UncertainError says that it could not be found out in time whether a write
// took effect.
type UncertainError struct {
	Key   string
	Nonce string
	Err   error
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("write %s of key %q may or may not have taken effect: %v", e.Nonce, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Err }

// Write is one value to put.
type Write struct {
	Key   string
	Value []byte
	Lease Lease
}

// Expect is the revision that a key must have; 0 means that it must not exist.
type Expect struct {
	Key      string
	Revision uint64
}

// Txn is a change of several keys that happens whole or not at all.
type Txn struct {
	If     []Expect
	Put    []Write
	Remove []string
}

// MaxTxn is the most entries that one Txn may have, of all kinds together.
const MaxTxn = 32

// Committer is a Port that changes several keys at once.
type Committer interface {
	Port
	// Commit carries out a change and returns the new revision;
	// *TxnConflictError when an expectation does not hold, *NotFoundError
	// when a lease does not exist, or *UnavailableError.
	Commit(c context.Context, t Txn) (uint64, error)
}

// TxnConflictError says that an expectation of a Txn does not hold. Items are
// the expected keys as they are now; those that do not exist have revision 0.
type TxnConflictError struct {
	Items []Item
}

func (e *TxnConflictError) Error() string {
	return fmt.Sprintf("store transaction: an expectation on %d keys does not hold", len(e.Items))
}

// Item returns the present state of an expected key.
func (e *TxnConflictError) Item(key string) (Item, bool) {
	for _, i := range e.Items {
		if i.Key == key {
			return i, i.Revision > 0
		}
	}
	return Item{}, false
}
