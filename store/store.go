// Package store is the interface to the platform's key-value service.
//
// The service offers compare-and-swap, leases and watches. Port is the interface that the
// daemons use; Client implements it over HTTP. A Table reads and writes typed records below
// one prefix and handles lost answers: each value carries the ids of its most recent
// writes. A writer that got no answer reads the key again and can tell whether its write
// took effect.
//
// # Usage
//
//	t := store.NewTable[Job](port, "entry-1", "job/")
//	r, err := t.Swap(ctx, store.NewRecord(id, job), 0) // creates, or *ConflictError
package store

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// MaxValue is the maximum size of a value in bytes.
const MaxValue = 1 << 20

// Lease identifies a lease; zero means none.
type Lease uint64

// Item is one key and its value. Deleted items occur only in the results of watches.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Lease    Lease  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Page is one page of a listing, or the result of a watch. Revision is the store's revision
// when the page was read, and More says that the listing continues.
type Page struct {
	Items    []Item `json:"items"`
	Revision uint64 `json:"revision"`
	More     bool   `json:"more,omitempty"`
}

// Port is the interface of the platform's key-value service.
type Port interface {
	// Get returns one item, or *NotFoundError.
	Get(c context.Context, key string) (Item, error)
	// Put writes the value if the key's revision is rev; zero means that the key must
	// not exist. It returns the new revision, *ConflictError, or *UnavailableError,
	// after which it is unknown whether the write took effect.
	Put(c context.Context, key string, value []byte, rev uint64, l Lease) (uint64, error)
	// Delete deletes the key if its revision is rev.
	Delete(c context.Context, key string, rev uint64) error
	// List returns a page of the items below a prefix, in key order, starting after
	// the key after.
	List(c context.Context, prefix, after string) (Page, error)
	// Watch waits for changes below a prefix after revision rev. An empty page means
	// that the wait ended without a change. *CompactedError means that the changes
	// after rev are no longer kept, and that the caller must list again.
	Watch(c context.Context, prefix string, rev uint64) (Page, error)
	// Grant creates a lease that expires after ttl unless it is renewed.
	Grant(c context.Context, ttl time.Duration) (Lease, error)
	// Keep renews a lease, or returns *NotFoundError if it has expired.
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

// ConflictError says that a key does not have the revision that the writer expected.
type ConflictError struct {
	Key  string
	Want uint64
	Have uint64
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("key %q has revision %d, not %d", e.Key, e.Have, e.Want)
}

// UnavailableError says that the service did not answer a call or refused it. If Refused is
// set, the call had no effect; otherwise a write may or may not have taken effect.
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

// CompactedError says that a watch starts before the oldest revision of the history that
// the service keeps.
type CompactedError struct {
	Revision uint64
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("store history before revision %d has been compacted", e.Revision)
}

// UnreadableError says that the changes below a prefix cannot be read, for example because
// there are too many of them for one answer. The keys must be listed again.
type UnreadableError struct {
	Op     string
	Prefix string
	Err    error
}

func (e *UnreadableError) Error() string {
	return fmt.Sprintf("store %s of prefix %q: %v", e.Op, e.Prefix, e.Err)
}

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Err }

// MustRelist reports whether an error of Watch or Poll means that the keys must be listed
// again.
func MustRelist(err error) bool {
	var c *CompactedError
	var u *UnreadableError
	return errors.As(err, &c) || errors.As(err, &u)
}

// UncertainError says that it could not be determined in time whether a write took effect.
// Nonce is the id of the write.
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

// Write is one key to write in a Txn.
type Write struct {
	Key   string
	Value []byte
	Lease Lease
}

// Precondition is a precondition of a Txn: the revision that a key must have, or 0 if the key
// must not exist.
type Precondition struct {
	Key      string
	Revision uint64
}

// Txn is an atomic change of several keys. It takes effect only if all preconditions in If
// hold.
type Txn struct {
	If     []Precondition
	Put    []Write
	Remove []string
}

// MaxTxn is the maximum number of entries in one Txn: preconditions, writes and removals
// together.
const MaxTxn = 32

// Committer is a Port with transactions.
type Committer interface {
	Port
	// Commit commits a transaction and returns the new revision. It returns
	// *TxnConflictError if a precondition does not hold, *NotFoundError if a lease
	// does not exist, or *UnavailableError.
	Commit(c context.Context, t Txn) (uint64, error)
	// Poll is Watch without waiting: an empty page means that nothing below the prefix
	// has changed after revision rev.
	Poll(c context.Context, prefix string, rev uint64) (Page, error)
}

// TxnConflictError says that a precondition of a Txn does not hold. Items holds the current
// state of all keys with a precondition; keys that do not exist have revision 0.
type TxnConflictError struct {
	Items []Item
}

func (e *TxnConflictError) Error() string {
	return fmt.Sprintf("store transaction failed: a precondition on one of %d keys does not hold", len(e.Items))
}

// Item returns the current state of a key with a precondition, and whether the key exists.
func (e *TxnConflictError) Item(key string) (Item, bool) {
	for _, i := range e.Items {
		if i.Key == key {
			return i, i.Revision > 0
		}
	}
	return Item{}, false
}
