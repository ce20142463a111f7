// Package relay calls the store through another entry when this process cannot reach it.
//
// The store may be unreachable from some machines while it serves others. A Store makes
// each call directly and, if no answer arrives soon, hedges it through a peer; the first
// answer from the store is used. A call may therefore take effect twice. Callers write under
// preconditions that make this harmless.
//
// # Usage
//
//	s := relay.New(direct, wire.TCP{}, log)
//	go s.Run(ctx, "10.0.0.1:7000") // registers, and discovers the peers
//	i, err := s.Get(ctx, key)
package relay

import (
	"context"
	"errors"
	"slices"
	"strconv"
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
	// hedgeDelay is how long to wait for a direct answer before a peer is called too.
	hedgeDelay  = 150 * time.Millisecond
	dialTimeout = 200 * time.Millisecond
	callTimeout = 900 * time.Millisecond
	// directCooldown is how long after a failed direct call peers are called without
	// hedgeDelay.
	directCooldown     = time.Second
	registerRetryPause = 200 * time.Millisecond
	// maxDirectAge is the age of the last direct answer up to which the store counts
	// as directly reachable.
	maxDirectAge = 2500 * time.Millisecond
)

// peersPrefix is the prefix of the keys under which entries register.
const peersPrefix = "hemlockhinge/entry/"

// Store is a store.Committer whose Get, Poll and Commit fall back to a peer.
type Store struct {
	store.Committer
	network wire.Network
	log     *logrus.Entry

	goroutines pause.Group
	mu         sync.Mutex
	// selfAddr is the address under which this process is registered.
	selfAddr string
	// peerAddrs are the other entries' addresses, in the order in which they are tried.
	peerAddrs []string
	// peerMilliCPU is the registered processor capacity of the other entries, by address.
	peerMilliCPU map[string]int
	// peer is the connection in use, to the entry at peerAddr; nil if there is none.
	peer     *wire.Peer
	peerAddr string
	// directFailedAt is when a direct call failed, zero if a later one succeeded.
	directFailedAt time.Time
	// directAnsweredAt is when the store last answered a direct call.
	directAnsweredAt time.Time
}

// New returns a store that makes its direct calls through the given client.
func New(direct store.Committer, n wire.Network, g *logrus.Entry) *Store {
	return &Store{
		Committer: direct,
		network:   n,
		log:       g,
	}
}

// Run registers this process's address and processor capacity, and keeps the list of the
// other entries up to date until c ends.
func (s *Store) Run(c context.Context, addr string, milliCPU int) {
	s.mu.Lock()
	s.selfAddr = addr
	s.mu.Unlock()
	s.goroutines.Go(func() { s.register(c, addr, milliCPU) })
	m := mirror.Mirror{
		Store:  s.Committer,
		Prefix: peersPrefix,
		Apply:  s.applyPeerChange,
		Log:    s.log,
	}
	m.Run(c)
	s.goroutines.Refuse()
	s.mu.Lock()
	if s.peer != nil {
		s.peer.Close()
	}
	s.mu.Unlock()
	s.goroutines.Close()
}

// register writes this process's registration, and retries until it succeeds or c ends.
func (s *Store) register(c context.Context, addr string, milliCPU int) {
	for {
		_, err := s.Committer.Commit(c, store.Txn{
			Put: []store.Write{{Key: peersPrefix + addr, Value: []byte(strconv.Itoa(milliCPU))}},
		})
		if err == nil || !pause.For(c, registerRetryPause) {
			return
		}
	}
}

// Deregister removes this process's registration before a planned shutdown.
func (s *Store) Deregister(c context.Context) {
	s.mu.Lock()
	addr := s.selfAddr
	s.mu.Unlock()
	_, err := s.Committer.Commit(c, store.Txn{
		Remove: []string{peersPrefix + addr},
	})
	if err != nil {
		s.log.WithError(err).Info("deregistration_failed")
	}
}

// applyPeerChange updates peerAddrs after a registration was added or removed.
func (s *Store) applyPeerChange(i store.Item) {
	a := i.Key[len(peersPrefix):]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerAddrs = slices.DeleteFunc(s.peerAddrs, func(v string) bool { return v == a })
	delete(s.peerMilliCPU, a)
	if i.Deleted || a == s.selfAddr {
		return
	}
	s.peerAddrs = append(s.peerAddrs, a)
	n, err := strconv.Atoi(string(i.Value))
	if err != nil {
		n = 0
		s.log.WithError(err).WithField("entry", a).Debug("entry_capacity_unknown")
	}
	if s.peerMilliCPU == nil {
		s.peerMilliCPU = map[string]int{}
	}
	s.peerMilliCPU[a] = n
}

// Peers returns how many other entries are registered, and how many of them with more
// processor capacity.
func (s *Store) Peers(milliCPU int) (others, larger int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.peerMilliCPU {
		if v > milliCPU {
			larger++
		}
	}
	return len(s.peerMilliCPU), larger
}

// answer is the outcome of a call, made directly or through a peer.
type answer struct {
	item     store.Item
	items    []store.Item
	revision uint64
	err      error
}

// fromStore reports whether the store itself answered the call.
func (a answer) fromStore() bool {
	var u *store.UnavailableError
	return !errors.As(a.err, &u)
}

// refused reports whether the call failed and certainly had no effect.
func (a answer) refused() bool {
	var u *store.UnavailableError
	return errors.As(a.err, &u) && u.Refused
}

// Get implements store.Port.
func (s *Store) Get(c context.Context, key string) (store.Item, error) {
	a := s.hedgedCall(c, &wire.StoreGet{
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

// Poll implements store.Committer.
func (s *Store) Poll(c context.Context, prefix string, rev uint64) (store.Page, error) {
	a := s.hedgedCall(c, &wire.StorePoll{
		Prefix:   prefix,
		Revision: rev,
	}, func(c context.Context) answer {
		return pollAnswer(s.Committer.Poll(c, prefix, rev))
	})
	return store.Page{
		Items:    a.items,
		Revision: a.revision,
	}, a.err
}

func pollAnswer(p store.Page, err error) answer {
	return answer{
		items:    p.Items,
		revision: p.Revision,
		err:      err,
	}
}

// Commit implements store.Committer.
func (s *Store) Commit(c context.Context, t store.Txn) (uint64, error) {
	a := s.hedgedCall(c, &wire.StoreCommit{
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

// hedgedCall makes a call directly, and also through a peer if the direct call fails or
// takes longer than hedgeDelay.
func (s *Store) hedgedCall(c context.Context, m wire.Message, directCall func(context.Context) answer) answer {
	c, cancel := context.WithCancel(c)
	defer cancel()
	direct := make(chan answer, 1)
	if !s.goroutines.Go(func() { direct <- directCall(c) }) {
		return directCall(c)
	}
	wait := hedgeDelay
	if s.directFailedRecently() {
		wait = 0
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	var first *answer
	select {
	case a := <-direct:
		if a.fromStore() {
			s.recordDirect(true)
			return a
		}
		first = &a
		s.recordDirect(false)
	case <-t.C:
	}
	viaPeer := make(chan answer, 1)
	if !s.goroutines.Go(func() { viaPeer <- s.callViaPeer(c, m) }) {
		viaPeer <- answer{
			err: unavailable(pause.ErrClosed, true),
		}
	}
	if first != nil {
		return mergeAnswers(*first, <-viaPeer)
	}
	select {
	case a := <-direct:
		s.recordDirect(a.fromStore())
		if a.fromStore() {
			return a
		}
		return mergeAnswers(a, <-viaPeer)
	case b := <-viaPeer:
		if b.fromStore() {
			s.recordDirect(false)
			return b
		}
		a := <-direct
		s.recordDirect(a.fromStore())
		return mergeAnswers(a, b)
	}
}

// mergeAnswers combines the answers of a call made directly and through a peer, of which
// at least one has failed. If neither is from the store and one of the calls may have had
// an effect, the result is not marked as refused.
func mergeAnswers(a, b answer) answer {
	switch {
	case a.fromStore():
		return a
	case b.fromStore():
		return b
	case a.refused():
		return b
	}
	return a
}

// directFailedRecently reports whether a direct call failed within directCooldown.
func (s *Store) directFailedRecently() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.directFailedAt) < directCooldown
}

// recordDirect records whether the store answered a direct call.
func (s *Store) recordDirect(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.directFailedAt = time.Time{}
		s.directAnsweredAt = time.Now()
		return
	}
	s.directFailedAt = time.Now()
}

// DirectlyReachable reports whether the store has answered a direct call within maxDirectAge.
func (s *Store) DirectlyReachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.directAnsweredAt) < maxDirectAge
}
