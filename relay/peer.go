package relay

import (
	"context"
	"errors"
	"slices"

	"hemlockhinge/pause"
	"hemlockhinge/store"
	"hemlockhinge/wire"
)

// callViaPeer makes a store call through another entry. Its error is marked as refused
// only if the call certainly had no effect.
func (s *Store) callViaPeer(c context.Context, m wire.Message) answer {
	p, err := s.peerConn(c)
	if err != nil {
		return answer{
			err: unavailable(err, true),
		}
	}
	r, err := wire.CallFor[*wire.StoreAnswer](c, p, m, callTimeout)
	if err != nil {
		s.dropPeer(p)
		var f *wire.RefusedError
		return answer{
			err: unavailable(err, errors.As(err, &f)),
		}
	}
	return decodeAnswer(r)
}

// unavailable returns a *store.UnavailableError for a call through a peer.
func unavailable(err error, refused bool) error {
	return store.NewUnavailableError("relay", "", refused, err)
}

// peerConn returns the connection that is in use, or else a new one to the first peer of
// peerAddrs that accepts one.
func (s *Store) peerConn(c context.Context) (*wire.Peer, error) {
	s.mu.Lock()
	p := s.peer
	addrs := slices.Clone(s.peerAddrs)
	s.mu.Unlock()
	if p != nil {
		select {
		case <-p.Done():
		default:
			return p, nil
		}
	}
	err := errors.New("no other entry is registered")
	for _, a := range addrs {
		p, err = s.dial(c, a)
		if err == nil {
			return p, nil
		}
	}
	return nil, err
}

// dial connects to the peer at addr and keeps the connection for later calls.
func (s *Store) dial(c context.Context, addr string) (*wire.Peer, error) {
	c, cancel := context.WithTimeout(c, dialTimeout)
	defer cancel()
	n, err := s.network.Dial(c, addr)
	if err != nil {
		return nil, err
	}
	p := wire.NewPeer(n, wire.RefuseCalls)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.goroutines.Go(func() { _ = p.Run(context.Background()) }) {
		p.Close()
		return nil, pause.ErrClosed
	}
	s.peer = p
	s.peerAddr = addr
	return p, nil
}

// dropPeer closes a connection whose peer did not answer or refused a call, and moves the
// peer to the end of peerAddrs.
func (s *Store) dropPeer(p *wire.Peer) {
	p.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peer != p {
		return
	}
	s.peer = nil
	s.peerAddrs = append(slices.DeleteFunc(s.peerAddrs, func(v string) bool { return v == s.peerAddr }), s.peerAddr)
}

// Handle answers a call relayed by a peer. It calls the store directly only, so that a
// call is never relayed twice.
func (s *Store) Handle(c context.Context, m wire.Message) (wire.Message, error) {
	switch v := m.(type) {
	case *wire.StoreGet:
		i, err := s.Committer.Get(c, v.Key)
		return encodeAnswer(answer{
			item: i,
			err:  err,
		}), nil
	case *wire.StorePoll:
		return encodeAnswer(pollAnswer(s.Committer.Poll(c, v.Prefix, v.Revision))), nil
	case *wire.StoreCommit:
		r, err := s.Committer.Commit(c, v.Txn)
		return encodeAnswer(answer{
			revision: r,
			err:      err,
		}), nil
	}
	return nil, wire.Refuse(wire.CodeUnknown, "relay does not accept messages of kind %d", m.Kind())
}

func encodeAnswer(a answer) *wire.StoreAnswer {
	r := &wire.StoreAnswer{
		Item:     a.item,
		Items:    a.items,
		Revision: a.revision,
	}
	var n *store.NotFoundError
	var t *store.TxnConflictError
	switch {
	case store.MustRelist(a.err):
		r.Outcome = wire.StoreCompacted
	case a.err == nil:
		r.Outcome = wire.StoreDone
	case errors.As(a.err, &n):
		r.Outcome = wire.StoreNotFound
		r.Detail = n.Key
	case errors.As(a.err, &t):
		r.Outcome = wire.StoreConflict
		r.Items = t.Items
	case a.refused():
		r.Outcome = wire.StoreRefused
		r.Detail = a.err.Error()
	default:
		r.Outcome = wire.StoreUnknown
		r.Detail = a.err.Error()
	}
	return r
}

func decodeAnswer(r *wire.StoreAnswer) answer {
	a := answer{
		item:     r.Item,
		items:    r.Items,
		revision: r.Revision,
	}
	switch r.Outcome {
	case wire.StoreDone:
	case wire.StoreNotFound:
		a.err = &store.NotFoundError{
			Key: r.Detail,
		}
	case wire.StoreConflict:
		a.err = &store.TxnConflictError{
			Items: r.Items,
		}
	case wire.StoreCompacted:
		a.err = &store.CompactedError{
			Revision: r.Revision,
		}
	case wire.StoreRefused:
		a.err = unavailable(errors.New(r.Detail), true)
	default:
		a.err = unavailable(errors.New(r.Detail), false)
	}
	return a
}
