// Package fakes provides in-memory fakes of what the daemons depend on: the
// platform's key-value service, the workers and the network.
//
// Each fake can inject the faults that the daemons must tolerate. The processes
// of cmd/standin serve the store and the worker over HTTP.
//
// # Usage
//
//	s := fakes.NewStore()
//	s.SetUnavailable(true) // every call now fails with *store.UnavailableError
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

// Maximum size of a page of a listing, and maximum number of tombstones, which
// watches need to report deleted keys.
const (
	pageBytes     = 1 << 20
	maxTombstones = 100_000
)

// Store is the platform's key-value service in memory.
type Store struct {
	mu                sync.Mutex
	items             map[string]store.Item
	leases            map[store.Lease]*lease
	rev               uint64
	compactedRevision uint64
	tombstones        []string
	changed           chan struct{}
	calls             map[string]int
	unavailable       bool
	delay             time.Duration
	answersToLose     int
	rateLimit         float64
	tokens            float64
	refilledAt        time.Time
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

var (
	errUnavailable = errors.New("the service is unavailable")
	errAnswerLost  = errors.New("the answer of the service was lost")
	errRateLimited = errors.New("rate limit of the store exceeded")
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

// SetUnavailable starts or ends an outage, in which every call fails without effect.
func (s *Store) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
	s.notify()
}

// SetDelay sets a delay that is added to every call.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// LoseAnswers makes the next n writes take effect but return an error, as if
// the service's answer had been lost.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answersToLose = n
}

// SetRateLimit limits the calls per second; zero means no limit. Calls above the
// limit are refused.
func (s *Store) SetRateLimit(n float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rateLimit = n
	s.tokens = n
	s.refilledAt = time.Now()
}

// CallCounts returns the number of calls of each operation.
func (s *Store) CallCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := make(map[string]int, len(s.calls))
	for k, v := range s.calls {
		m[k] = v
	}
	return m
}

// beforeCall counts a call and injects the faults that keep the call from taking
// effect: delay, outage and rate limit.
func (s *Store) beforeCall(c context.Context, op, key string) error {
	s.mu.Lock()
	s.calls[op]++
	d := s.delay
	unavailable := s.unavailable
	limited := !s.takeToken()
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
	if unavailable {
		return store.NewUnavailableError(op, key, false, errUnavailable)
	}
	if limited {
		return store.NewUnavailableError(op, key, true, errRateLimited)
	}
	return nil
}

// takeToken reports whether the rate limit, a token bucket, admits another call.
// The caller holds mu.
func (s *Store) takeToken() bool {
	if s.rateLimit == 0 {
		return true
	}
	n := time.Now()
	s.tokens = min(s.rateLimit, s.tokens+s.rateLimit*n.Sub(s.refilledAt).Seconds())
	s.refilledAt = n
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// afterWrite returns the error of a write that has taken effect: nil, or an
// injected loss of the answer. The caller holds mu.
func (s *Store) afterWrite(op, key string) error {
	if s.answersToLose > 0 {
		s.answersToLose--
		return store.NewUnavailableError(op, key, false, errAnswerLost)
	}
	return nil
}

// Get implements store.Port.
func (s *Store) Get(c context.Context, key string) (store.Item, error) {
	if err := s.beforeCall(c, "get", key); err != nil {
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
	if err := s.beforeCall(c, "put", key); err != nil {
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
	if err := s.checkRevision(key, rev); err != nil {
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
	return s.rev, s.afterWrite("put", key)
}

// checkRevision returns a *store.ConflictError if the key does not have revision
// rev; a key that does not exist has revision 0. The caller holds mu.
func (s *Store) checkRevision(key string, rev uint64) error {
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
		s.addTombstone(i.Key)
	}
	s.notify()
}

// addTombstone records a deleted key, so that watches report the deletion. It
// discards the oldest tombstone if there are more than maxTombstones.
func (s *Store) addTombstone(key string) {
	s.tombstones = append(s.tombstones, key)
	if len(s.tombstones) <= maxTombstones {
		return
	}
	k := s.tombstones[0]
	s.tombstones = s.tombstones[1:]
	if i := s.items[k]; i.Deleted {
		s.compactedRevision = max(s.compactedRevision, i.Revision)
		delete(s.items, k)
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Delete implements store.Port.
func (s *Store) Delete(c context.Context, key string, rev uint64) error {
	if err := s.beforeCall(c, "delete", key); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkRevision(key, rev); err != nil {
		return err
	}
	s.set(store.Item{
		Key:     key,
		Deleted: true,
	})
	return s.afterWrite("delete", key)
}

// List implements store.Port.
func (s *Store) List(c context.Context, prefix, after string) (store.Page, error) {
	if err := s.beforeCall(c, "list", prefix); err != nil {
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
	if err := s.beforeCall(c, "watch", prefix); err != nil {
		return store.Page{}, err
	}
	t := time.NewTimer(store.WatchWait)
	defer t.Stop()
	for {
		p, w, err := s.changesSince(prefix, rev)
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

// changesSince returns the items changed after revision rev, and a channel that
// is closed at the next change.
func (s *Store) changesSince(prefix string, rev uint64) (store.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := store.Page{
		Revision: s.rev,
	}
	if s.unavailable {
		return p, nil, store.NewUnavailableError("watch", prefix, false, errUnavailable)
	}
	if rev < s.compactedRevision {
		return p, nil, &store.CompactedError{
			Revision: s.compactedRevision,
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
	if err := s.beforeCall(c, "grant", ""); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	l := store.Lease(s.rev)
	s.leases[l] = &lease{
		ttl:   ttl,
		timer: time.AfterFunc(ttl, func() { s.expire(l) }),
	}
	return l, s.afterWrite("grant", "")
}

// Keep implements store.Port.
func (s *Store) Keep(c context.Context, l store.Lease) error {
	if err := s.beforeCall(c, "keep", "lease"); err != nil {
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
	if err := s.beforeCall(c, "revoke", "lease"); err != nil {
		return err
	}
	s.expire(l)
	return nil
}

// expire ends a lease and deletes the keys that are bound to it.
func (s *Store) expire(l store.Lease) {
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

// ExpireLeases expires all leases whose time to live is at most ttl, as if each
// of their holders had been paused for that long.
func (s *Store) ExpireLeases(ttl time.Duration) {
	s.mu.Lock()
	l := make([]store.Lease, 0, len(s.leases))
	for id, v := range s.leases {
		if v.ttl <= ttl {
			l = append(l, id)
		}
	}
	s.mu.Unlock()
	for _, id := range l {
		s.expire(id)
	}
}
