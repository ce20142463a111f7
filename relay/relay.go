// Package relay reaches the store through another process of the system when
// this one cannot.
//
// The store may be out of reach of some machines and serve the others. A Store
// makes each call itself and, when no answer comes soon, also through a peer;
// the first answer counts. Callers write under conditions that make a call which
// takes effect twice harmless.
//
// # Usage
//
//	s := relay.New(own, wire.TCP{}, log)
//	go s.Follow(ctx, "10.0.0.1:7000") // registers, and learns the peers
//	i, err := s.Get(ctx, key)
package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/mirror"
	"hemlockhinge/pause"
	"hemlockhinge/store"
	"hemlockhinge/wire"
)

// Time limits of a relayed call.
const (
	// hedge is how long an answer is awaited before a peer is asked too.
	hedge       = 150 * time.Millisecond
	dialTimeout = 200 * time.Millisecond
	callTimeout = 900 * time.Millisecond
	// distrust is how long the own way is not awaited after it has failed.
	distrust      = time.Second
	registerPause = 200 * time.Millisecond
	// directAge is the age of the last direct answer up to which the own way
	// counts as open.
	directAge = 2500 * time.Millisecond
)

// Prefix of the keys under which entries register.
const peersPrefix = "hemlockhinge/entry/"

// Store is a store.Committer whose Get and Commit find another way.
type Store struct {
	store.Committer
	net wire.Network
	log *logrus.Entry

	group  sync.WaitGroup
	mu     sync.Mutex
	self   string
	addrs  []string
	peer   *wire.Peer
	at     string
	failed time.Time
	// reached is when the own way last led to an answer.
	reached time.Time
}

// New returns a store over the process's own client.
func New(own store.Committer, n wire.Network, g *logrus.Entry) *Store {
	return &Store{
		Committer: own,
		net:       n,
		log:       g,
	}
}

// Follow registers this process's address and learns the others' until c ends.
func (s *Store) Follow(c context.Context, addr string) {
	s.mu.Lock()
	s.self = addr
	s.mu.Unlock()
	s.group.Go(func() { s.register(c, addr) })
	m := mirror.Mirror{
		Store:  s.Committer,
		Prefix: peersPrefix,
		Apply:  s.apply,
		Log:    s.log,
	}
	m.Run(c)
	s.mu.Lock()
	if s.peer != nil {
		s.peer.Close()
	}
	s.mu.Unlock()
	s.group.Wait()
}

func (s *Store) register(c context.Context, addr string) {
	for {
		_, err := s.Committer.Commit(c, store.Txn{
			Put: []store.Write{{Key: peersPrefix + addr, Value: []byte(addr)}},
		})
		if err == nil || !pause.For(c, registerPause) {
			return
		}
	}
}

// Withdraw removes this process's registration before a planned end.
func (s *Store) Withdraw(c context.Context) {
	s.mu.Lock()
	addr := s.self
	s.mu.Unlock()
	_, err := s.Committer.Commit(c, store.Txn{
		Remove: []string{peersPrefix + addr},
	})
	if err != nil {
		s.log.WithError(err).Info("registration_not_withdrawn")
	}
}

func (s *Store) apply(i store.Item) {
	a := i.Key[len(peersPrefix):]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addrs = slices.DeleteFunc(s.addrs, func(v string) bool { return v == a })
	if !i.Deleted && a != s.self {
		s.addrs = append(s.addrs, a)
	}
}

// answer is the outcome of one way of a call.
type answer struct {
	item     store.Item
	revision uint64
	err      error
}

// final reports whether the store itself has answered.
func (a answer) final() bool {
	var u *store.UnavailableError
	return !errors.As(a.err, &u)
}

// refused reports whether the call certainly had no effect.
func (a answer) refused() bool {
	var u *store.UnavailableError
	return errors.As(a.err, &u) && u.Refused
}

// Get implements store.Port.
func (s *Store) Get(c context.Context, key string) (store.Item, error) {
	a := s.both(c, &wire.StoreGet{
		Key: key,
	}, func(c context.Context) answer {
		i, err := s.Committer.Get(c, key)
		return answer{
			item: i,
			err:  err,
		}
	})
	return a.item, a.err
}

// Commit implements store.Committer.
func (s *Store) Commit(c context.Context, t store.Txn) (uint64, error) {
	a := s.both(c, &wire.StoreCommit{
		Txn: t,
	}, func(c context.Context) answer {
		r, err := s.Committer.Commit(c, t)
		return answer{
			revision: r,
			err:      err,
		}
	})
	return a.revision, a.err
}

// both makes a call directly, and through a peer when that takes long or fails.
func (s *Store) both(c context.Context, m wire.Message, own func(context.Context) answer) answer {
	c, cancel := context.WithCancel(c)
	defer cancel()
	direct := make(chan answer, 1)
	s.group.Go(func() { direct <- own(c) })
	wait := hedge
	if s.distrusted() {
		wait = 0
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	var first *answer
	select {
	case a := <-direct:
		if a.final() {
			s.note(true)
			return a
		}
		first = &a
		s.note(false)
	case <-t.C:
	}
	other := make(chan answer, 1)
	s.group.Go(func() { other <- s.through(c, m) })
	if first != nil {
		return merge(*first, <-other)
	}
	select {
	case a := <-direct:
		s.note(a.final())
		if a.final() {
			return a
		}
		return merge(a, <-other)
	case b := <-other:
		if b.final() {
			s.note(false)
			return b
		}
		a := <-direct
		s.note(a.final())
		return merge(a, b)
	}
}

// merge returns the outcome of two ways, of which the first one failed.
func merge(a, b answer) answer {
	switch {
	case a.final():
		return a
	case b.final():
		return b
	case a.refused():
		return b
	}
	return a
}

func (s *Store) distrusted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.failed) < distrust
}

func (s *Store) note(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.failed = time.Time{}
		s.reached = time.Now()
		return
	}
	s.failed = time.Now()
}

// Direct reports whether the process's own way has led to an answer of late.
func (s *Store) Direct() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.reached) < directAge
}
