// Package fakes holds small in-process stand-ins for what surrounds the
// system: the platform's key-value service, workers and the network. Each has
// switches that bring about the faults which the daemons must survive. The
// stand-in processes of cmd/standin serve the same types over HTTP.
//
// # Usage
//
//	s := fakes.NewStore()
//	s.SetOut(true) // every call now fails with *store.UnavailableError
package fakes

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"hemlockhinge/store"
)

// Limits of the store's listing and of the tombstones that it keeps.
const (
	pageBytes  = 1 << 20
	tombstones = 100_000
)

// Store is the platform's key-value service, in memory.
type Store struct {
	mu      sync.Mutex
	items   map[string]store.Item
	leases  map[store.Lease]*lease
	rev     uint64
	floor   uint64
	graves  []string
	changed chan struct{}
	calls   map[string]int
	out     bool
	slow    time.Duration
	lose    int
	rate    float64
	bucket  float64
	filled  time.Time
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

var (
	errOut  = errors.New("the service is out")
	errLost = errors.New("the answer was lost")
	errRate = errors.New("rate limit of the store")
)

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		items:   map[string]store.Item{},
		leases:  map[store.Lease]*lease{},
		calls:   map[string]int{},
		changed: make(chan struct{}),
	}
}

// SetOut makes every call fail without effect.
func (s *Store) SetOut(out bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = out
	s.wake()
}

// SetSlow delays every call.
func (s *Store) SetSlow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = d
}

// LoseAnswers makes the next n writes take effect without an answer.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}

// SetRate limits calls a second; zero means no limit.
func (s *Store) SetRate(n float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rate = n
	s.bucket = n
	s.filled = time.Now()
}

// Calls returns how often each operation was called.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := make(map[string]int, len(s.calls))
	for k, v := range s.calls {
		m[k] = v
	}
	return m
}

// begin counts a call, and applies the switches that come before its effect.
func (s *Store) begin(c context.Context, op, key string) error {
	s.mu.Lock()
	s.calls[op]++
	d := s.slow
	out := s.out
	lim := !s.allowed()
	s.mu.Unlock()
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-c.Done():
			return store.NewUnavailableError(op, key, false, c.Err())
		case <-t.C:
		}
	}
	if out {
		return store.NewUnavailableError(op, key, false, errOut)
	}
	if lim {
		return store.NewUnavailableError(op, key, true, errRate)
	}
	return nil
}

func (s *Store) allowed() bool {
	if s.rate == 0 {
		return true
	}
	n := time.Now()
	s.bucket = min(s.rate, s.bucket+s.rate*n.Sub(s.filled).Seconds())
	s.filled = n
	if s.bucket < 1 {
		return false
	}
	s.bucket--
	return true
}

// end applies the switches that come after a write's effect.
func (s *Store) end(op, key string) error {
	if s.lose > 0 {
		s.lose--
		return store.NewUnavailableError(op, key, false, errLost)
	}
	return nil
}

// Get implements store.Port.
func (s *Store) Get(c context.Context, key string) (store.Item, error) {
	if err := s.begin(c, "get", key); err != nil {
		return store.Item{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	if !ok || i.Deleted {
		return store.Item{}, &store.NotFoundError{
			Key: key,
		}
	}
	return i, nil
}

// Put implements store.Port.
func (s *Store) Put(c context.Context, key string, value []byte, rev uint64, l store.Lease) (uint64, error) {
	if err := s.begin(c, "put", key); err != nil {
		return 0, err
	}
	if len(value) > store.MaxValue {
		return 0, &store.TooLargeError{
			Key:  key,
			Size: len(value),
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.check(key, rev); err != nil {
		return 0, err
	}
	if l != 0 && s.leases[l] == nil {
		return 0, &store.NotFoundError{
			Key: "lease",
		}
	}
	s.set(store.Item{
		Key:   key,
		Value: slices.Clone(value),
		Lease: l,
	})
	return s.rev, s.end("put", key)
}

func (s *Store) check(key string, rev uint64) error {
	i, ok := s.items[key]
	h := i.Revision
	if !ok || i.Deleted {
		h = 0
	}
	if h != rev {
		return &store.ConflictError{
			Key:  key,
			Want: rev,
			Have: h,
		}
	}
	return nil
}

func (s *Store) set(i store.Item) {
	s.rev++
	i.Revision = s.rev
	s.items[i.Key] = i
	if i.Deleted {
		s.bury(i.Key)
	}
	s.wake()
}

// bury keeps a bounded number of deleted keys for watches.
func (s *Store) bury(key string) {
	s.graves = append(s.graves, key)
	if len(s.graves) <= tombstones {
		return
	}
	k := s.graves[0]
	s.graves = s.graves[1:]
	if i := s.items[k]; i.Deleted {
		s.floor = max(s.floor, i.Revision)
		delete(s.items, k)
	}
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Delete implements store.Port.
func (s *Store) Delete(c context.Context, key string, rev uint64) error {
	if err := s.begin(c, "delete", key); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.check(key, rev); err != nil {
		return err
	}
	s.set(store.Item{
		Key:     key,
		Deleted: true,
	})
	return s.end("delete", key)
}

// List implements store.Port.
func (s *Store) List(c context.Context, prefix, after string) (store.Page, error) {
	if err := s.begin(c, "list", prefix); err != nil {
		return store.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := store.Page{
		Revision: s.rev,
	}
	n := 0
	for _, k := range s.keys(prefix) {
		i := s.items[k]
		if k <= after || i.Deleted {
			continue
		}
		n += len(i.Value)
		if n > pageBytes && len(p.Items) > 0 {
			p.More = true
			break
		}
		p.Items = append(p.Items, i)
	}
	return p, nil
}

func (s *Store) keys(prefix string) []string {
	var l []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			l = append(l, k)
		}
	}
	slices.Sort(l)
	return l
}

// Watch implements store.Port.
func (s *Store) Watch(c context.Context, prefix string, rev uint64) (store.Page, error) {
	if err := s.begin(c, "watch", prefix); err != nil {
		return store.Page{}, err
	}
	t := time.NewTimer(store.WatchWait)
	defer t.Stop()
	for {
		p, w, err := s.since(prefix, rev)
		if err != nil || len(p.Items) > 0 {
			return p, err
		}
		select {
		case <-c.Done():
			return store.Page{}, store.NewUnavailableError("watch", prefix, false, c.Err())
		case <-t.C:
			return p, nil
		case <-w:
		}
	}
}

func (s *Store) since(prefix string, rev uint64) (store.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := store.Page{
		Revision: s.rev,
	}
	if s.out {
		return p, nil, store.NewUnavailableError("watch", prefix, false, errOut)
	}
	if rev < s.floor {
		return p, nil, &store.CompactedError{
			Revision: s.floor,
		}
	}
	if rev >= s.rev {
		return p, s.changed, nil
	}
	for _, k := range s.keys(prefix) {
		if i := s.items[k]; i.Revision > rev {
			p.Items = append(p.Items, i)
		}
	}
	return p, s.changed, nil
}

// Grant implements store.Port.
func (s *Store) Grant(c context.Context, ttl time.Duration) (store.Lease, error) {
	if err := s.begin(c, "grant", ""); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	l := store.Lease(s.rev)
	s.leases[l] = &lease{
		ttl:   ttl,
		timer: time.AfterFunc(ttl, func() { s.lapse(l) }),
	}
	return l, s.end("grant", "")
}

// Keep implements store.Port.
func (s *Store) Keep(c context.Context, l store.Lease) error {
	if err := s.begin(c, "keep", "lease"); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.leases[l]
	if v == nil {
		return &store.NotFoundError{
			Key: "lease",
		}
	}
	v.timer.Reset(v.ttl)
	return nil
}

// Revoke implements store.Port.
func (s *Store) Revoke(c context.Context, l store.Lease) error {
	if err := s.begin(c, "revoke", "lease"); err != nil {
		return err
	}
	s.lapse(l)
	return nil
}

func (s *Store) lapse(l store.Lease) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.leases[l]
	if v == nil {
		return
	}
	v.timer.Stop()
	delete(s.leases, l)
	for _, k := range s.keys("") {
		if i := s.items[k]; i.Lease == l && !i.Deleted {
			s.set(store.Item{
				Key:     k,
				Deleted: true,
			})
		}
	}
}

// LapseAll ends all leases of up to a time to live, as when each of their
// holders had been paused for so long.
func (s *Store) LapseAll(ttl time.Duration) {
	s.mu.Lock()
	l := make([]store.Lease, 0, len(s.leases))
	for id, v := range s.leases {
		if v.ttl <= ttl {
			l = append(l, id)
		}
	}
	s.mu.Unlock()
	for _, id := range l {
		s.lapse(id)
	}
}
