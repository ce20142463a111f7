package store

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/joomcode/errorx"

	"hemlockhinge/pause"
)

// maxRecentWrites is the number of most recent writes whose ids a value carries.
const maxRecentWrites = 6

// Pauses between attempts at a write or read that the store did not answer.
const (
	minRetryPause = 20 * time.Millisecond
	maxRetryPause = time.Second
)

// Record is a typed value and its revision. Deleted is set in the results of watches only.
type Record[T any] struct {
	ID       string
	Body     T
	Revision uint64
	Deleted  bool
	// recentWrites holds the ids of the most recent writes, newest first.
	recentWrites []string
}

// NewRecord returns a record that does not exist yet.
func NewRecord[T any](id string, body T) Record[T] {
	return Record[T]{
		ID:   id,
		Body: body,
	}
}

// Table reads and writes records of one type below one prefix.
type Table[T any] struct {
	port   Port
	writer string
	prefix string
}

// NewTable returns a table of the records below prefix. writer is stored with each write.
func NewTable[T any](p Port, writer, prefix string) *Table[T] {
	return &Table[T]{
		port:   p,
		writer: writer,
		prefix: prefix,
	}
}

// envelope is the JSON encoding of a record in the store.
type envelope struct {
	Writer string          `json:"writer"`
	Recent []string        `json:"recent"`
	Body   json.RawMessage `json:"body"`
}

// Get returns a record, or *NotFoundError.
func (t *Table[T]) Get(c context.Context, id string) (Record[T], error) {
	i, err := t.port.Get(c, t.prefix+id)
	if err != nil {
		return Record[T]{}, err
	}
	return t.decode(i)
}

// Swap writes r.Body if the record's revision is still r.Revision; zero means that the
// record must not exist. If the store does not answer, Swap tries again until it knows
// whether the write took effect, or until c ends, in which case the error is an
// *UncertainError. A *ConflictError means that nothing was written.
func (t *Table[T]) Swap(c context.Context, r Record[T], l Lease) (Record[T], error) {
	return t.SwapNonce(c, r, l, rand.Text())
}

// SwapNonce is Swap with a caller-provided id of the write. The id must be unique.
func (t *Table[T]) SwapNonce(c context.Context, r Record[T], l Lease, nonce string) (Record[T], error) {
	key := t.prefix + r.ID
	v, err := t.encode(&r, nonce)
	if err != nil {
		return r, err
	}
	b := newBackOff()
	for try := 0; ; try++ {
		n, err := t.port.Put(c, key, v, r.Revision, l)
		if err == nil {
			r.Revision = n
			return r, nil
		}
		var u *UnavailableError
		var f *ConflictError
		switch {
		case errors.As(err, &u):
		case errors.As(err, &f) && try > 0:
			return t.resolveConflict(c, r, nonce, err)
		default:
			return r, err
		}
		if !pause.For(c, b.NextBackOff()) {
			return r, t.writeError(key, nonce, u, try)
		}
	}
}

// writeError returns the error of a write that is not retried any further. A write whose
// only attempt was refused had no effect; for any other that is uncertain.
func (t *Table[T]) writeError(key, nonce string, u *UnavailableError, try int) error {
	if try == 0 && u.Refused {
		return u
	}
	return &UncertainError{
		Key:   key,
		Nonce: nonce,
		Err:   u,
	}
}

// resolveConflict determines whether the conflict was caused by an earlier attempt at the
// same write, which took effect although its answer was lost. If so, the write has
// succeeded; if not, it returns conflict.
func (t *Table[T]) resolveConflict(c context.Context, r Record[T], nonce string, conflict error) (Record[T], error) {
	b := newBackOff()
	for {
		i, err := t.port.Get(c, t.prefix+r.ID)
		if err == nil {
			e, err := decodeEnvelope(i)
			if err == nil && slices.Contains(e.Recent, nonce) {
				r.Revision = i.Revision
				return r, nil
			}
			return r, conflict
		}
		var m *NotFoundError
		if errors.As(err, &m) {
			return r, conflict
		}
		if !pause.For(c, b.NextBackOff()) {
			return r, &UncertainError{
				Key:   t.prefix + r.ID,
				Nonce: nonce,
				Err:   err,
			}
		}
	}
}

// HasWrite reports whether a write with the id nonce is among the record's most recent writes.
func (t *Table[T]) HasWrite(c context.Context, id, nonce string) (bool, error) {
	i, err := t.port.Get(c, t.prefix+id)
	if err != nil {
		return false, err
	}
	e, err := decodeEnvelope(i)
	if err != nil {
		return false, err
	}
	return slices.Contains(e.Recent, nonce), nil
}

// encode returns the value to write for a record, and adds nonce to its recent writes.
func (t *Table[T]) encode(r *Record[T], nonce string) ([]byte, error) {
	key := t.prefix + r.ID
	b, err := json.Marshal(r.Body)
	if err != nil {
		return nil, errorx.Decorate(err, "encode key %q", key)
	}
	r.recentWrites = append([]string{nonce}, r.recentWrites[:min(len(r.recentWrites), maxRecentWrites-1)]...)
	v, err := json.Marshal(envelope{
		Writer: t.writer,
		Recent: r.recentWrites,
		Body:   b,
	})
	if err != nil {
		return nil, errorx.Decorate(err, "encode key %q", key)
	}
	if len(v) > MaxValue {
		return nil, &TooLargeError{
			Key:  key,
			Size: len(v),
		}
	}
	return v, nil
}

// Delete deletes a record if its revision is rev.
func (t *Table[T]) Delete(c context.Context, id string, rev uint64) error {
	return t.port.Delete(c, t.prefix+id, rev)
}

// List returns all records, and the store's revision when the first page was read, from
// which a watch can continue.
func (t *Table[T]) List(c context.Context) ([]Record[T], uint64, error) {
	var l []Record[T]
	var rev uint64
	after := ""
	for {
		p, err := t.port.List(c, t.prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if rev == 0 {
			rev = p.Revision
		}
		l = append(l, t.decodeAll(p.Items)...)
		if !p.More || len(p.Items) == 0 {
			return l, rev, nil
		}
		after = p.Items[len(p.Items)-1].Key
	}
}

// Watch waits for records that change after rev. It returns them and the revision from
// which the next watch can continue.
func (t *Table[T]) Watch(c context.Context, rev uint64) ([]Record[T], uint64, error) {
	p, err := t.port.Watch(c, t.prefix, rev)
	if err != nil {
		return nil, rev, err
	}
	return t.decodeAll(p.Items), max(rev, p.Revision), nil
}

// decodeAll decodes items and skips those that can't be decoded.
func (t *Table[T]) decodeAll(l []Item) []Record[T] {
	r := make([]Record[T], 0, len(l))
	for _, i := range l {
		v, err := t.decode(i)
		if err == nil {
			r = append(r, v)
		}
	}
	return r
}

func (t *Table[T]) decode(i Item) (Record[T], error) {
	r := Record[T]{
		ID:       strings.TrimPrefix(i.Key, t.prefix),
		Revision: i.Revision,
		Deleted:  i.Deleted,
	}
	if i.Deleted {
		return r, nil
	}
	e, err := decodeEnvelope(i)
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(e.Body, &r.Body); err != nil {
		return r, errorx.Decorate(err, "decode key %q", i.Key)
	}
	r.recentWrites = e.Recent
	return r, nil
}

func decodeEnvelope(i Item) (envelope, error) {
	var e envelope
	if err := json.Unmarshal(i.Value, &e); err != nil {
		return e, errorx.Decorate(err, "decode key %q", i.Key)
	}
	return e, nil
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRetryPause
	b.MaxInterval = maxRetryPause
	return b
}
