package leader

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"hemlockhinge/pause"
	"hemlockhinge/store"
)

// Time limits of the scheduler's role.
const (
	roleTTL       = 1500 * time.Millisecond
	roleKeep      = 400 * time.Millisecond
	campaignPause = 100 * time.Millisecond
)

// Role is the scheduler's role as one process sees it: who holds it, and the
// campaign for it.
type Role struct {
	store store.Committer
	log   *logrus.Entry
	me    holder

	mu     sync.Mutex
	holder holder
	rev    uint64
}

// Holder returns the id and address of the last known holder of the role.
func (r *Role) Holder() (id, addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder.ID, r.holder.Addr
}

// grip is one hold of the role. Its epoch is the revision of the write that took
// it.
type grip struct {
	epoch uint64
	lease store.Lease
}

// campaign waits until this process holds the role, or c ends.
func (r *Role) campaign(c context.Context) (grip, error) {
	for {
		g, ok, err := r.try(c)
		switch {
		case ok:
			return g, nil
		case c.Err() != nil:
			return grip{}, c.Err()
		case err != nil:
			r.log.WithError(err).Debug("campaign_failed")
			pause.For(c, campaignPause)
		}
	}
}

// try takes the role if it is free, and else waits for a change of it.
func (r *Role) try(c context.Context) (grip, bool, error) {
	i, err := r.store.Get(c, roleKey)
	var none *store.NotFoundError
	switch {
	case errors.As(err, &none):
		return r.take(c)
	case err != nil:
		return grip{}, false, err
	}
	r.see(i)
	_, err = r.store.Watch(c, roleKey, i.Revision)
	var gone *store.CompactedError
	if errors.As(err, &gone) {
		err = nil
		pause.For(c, campaignPause)
	}
	return grip{}, false, err
}

// see notes who holds the role.
func (r *Role) see(i store.Item) {
	var h holder
	if err := msgpack.Unmarshal(i.Value, &h); err != nil {
		r.log.WithError(err).WithField("key", i.Key).Warn("role_unreadable")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if i.Revision <= r.rev {
		return
	}
	r.rev = i.Revision
	r.holder = h
	r.log.WithFields(logrus.Fields{"holder": h.ID, "epoch": i.Revision}).Info("role_seen")
}

func (r *Role) take(c context.Context) (grip, bool, error) {
	l, err := r.store.Grant(c, roleTTL)
	if err != nil {
		return grip{}, false, err
	}
	h := r.me
	h.Nonce = rand.Text()
	b, err := msgpack.Marshal(h)
	if err != nil {
		return grip{}, false, err
	}
	_, err = r.store.Commit(c, store.Txn{
		If:  []store.Expect{{Key: roleKey}},
		Put: []store.Write{{Key: roleKey, Value: b, Lease: l}},
	})
	if err != nil {
		r.log.WithError(err).Info("role_not_taken")
	}
	g := grip{
		lease: l,
	}
	// The answer may be lost: the key says whether the role was taken.
	i, err := r.store.Get(c, roleKey)
	if err == nil && r.owns(i, h.Nonce) {
		g.epoch = i.Revision
		return g, true, nil
	}
	// A try that takes effect later must not keep the role from others.
	r.leave(c, g)
	return g, false, err
}

// owns notes who holds the role and reports whether it is this try.
func (r *Role) owns(i store.Item, nonce string) bool {
	r.see(i)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder.Nonce == nonce
}

// keep renews the role until it has lapsed or c ends. A store that does not
// answer proves nothing: the role is then kept until it is known to be lost.
func (r *Role) keep(c context.Context, g grip) {
	for pause.For(c, roleKeep) {
		err := r.store.Keep(c, g.lease)
		var gone *store.NotFoundError
		if errors.As(err, &gone) {
			r.log.WithField("epoch", g.epoch).Warn("role_lapsed")
			return
		}
		if err != nil && c.Err() == nil {
			r.log.WithError(err).WithField("epoch", g.epoch).Info("role_not_renewed")
		}
	}
}

// leave gives the role up.
func (r *Role) leave(c context.Context, g grip) {
	if err := r.store.Revoke(c, g.lease); err != nil {
		r.log.WithError(err).WithField("epoch", g.epoch).Warn("role_not_given_up")
	}
}
