package relay

import (
	"context"
	"errors"
	"slices"

	"hemlockhinge/store"
	"hemlockhinge/wire"
)

// through makes a call through a peer.
func (s *Store) through(c context.Context, m wire.Message) answer {
	p, err := s.connect(c)
	if err != nil {
		return answer{
			err: unavailable(err, true),
		}
	}
	r, err := wire.CallFor[*wire.StoreAnswer](c, p, m, callTimeout)
	if err != nil {
		s.drop(p)
		var f *wire.RefusedError
		return answer{
			err: unavailable(err, errors.As(err, &f)),
		}
	}
	return decode(r)
}

func unavailable(err error, refused bool) error { return store.Unavailable("relay", "", refused, err) }

// connect returns a connection to a peer; the one that answered last is asked
// first.
func (s *Store) connect(c context.Context) (*wire.Peer, error) {
	s.mu.Lock()
	p := s.peer
	addrs := slices.Clone(s.addrs)
	s.mu.Unlock()
	if p != nil {
		select {
		case <-p.Done():
		default:
			return p, nil
		}
	}
	err := errors.New("no other entry is known")
	for _, a := range addrs {
		p, err = s.dial(c, a)
		if err == nil {
			return p, nil
		}
	}
	return nil, err
}

func (s *Store) dial(c context.Context, addr string) (*wire.Peer, error) {
	c, cancel := context.WithTimeout(c, dialTimeout)
	defer cancel()
	n, err := s.net.Dial(c, addr)
	if err != nil {
		return nil, err
	}
	p := wire.NewPeer(n, wire.NoCalls)
	s.group.Go(func() { _ = p.Run(context.Background()) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peer = p
	s.at = addr
	return p, nil
}

// drop ends a connection that does not answer, and asks its peer last from now
// on.
func (s *Store) drop(p *wire.Peer) {
	p.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.peer != p {
		return
	}
	s.peer = nil
	s.addrs = append(slices.DeleteFunc(s.addrs, func(v string) bool { return v == s.at }), s.at)
}

// Handle answers a peer's relayed call by this process's own way only.
func (s *Store) Handle(c context.Context, m wire.Message) (wire.Message, error) {
	switch v := m.(type) {
	case *wire.StoreGet:
		i, err := s.Committer.Get(c, v.Key)
		return encode(answer{
			item: i,
			err:  err,
		}), nil
	case *wire.StoreCommit:
		r, err := s.Committer.Commit(c, v.Txn)
		return encode(answer{
			revision: r,
			err:      err,
		}), nil
	}
	return nil, wire.Refuse(wire.CodeUnknown, "the relay takes no message of kind %d", m.Kind())
}

func encode(a answer) *wire.StoreAnswer {
	r := &wire.StoreAnswer{
		Item:     a.item,
		Revision: a.revision,
	}
	var n *store.NotFoundError
	var t *store.TxnConflictError
	switch {
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

func decode(r *wire.StoreAnswer) answer {
	a := answer{
		item:     r.Item,
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
	case wire.StoreRefused:
		a.err = unavailable(errors.New(r.Detail), true)
	default:
		a.err = unavailable(errors.New(r.Detail), false)
	}
	return a
}
