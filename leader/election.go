package leader

import (
	"context"
	"crypto/rand"
	"errors"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"hemlockhinge/clock"
	"hemlockhinge/codec"
	"hemlockhinge/pause"
	"hemlockhinge/store"
)

// Timing of the election.
const (
	roleTTL           = 1500 * time.Millisecond
	roleRenewInterval = 400 * time.Millisecond
	// maxUnrenewedTime is how long after the last renewal of the role a scheduler starts
	// tasks and keeps its agents renewing leases. It is longer than the role lasts, so that
	// short outages of the store do no harm; a successor waits for the difference.
	maxUnrenewedTime = 2500 * time.Millisecond
	// predecessorTime is how long a scheduler may act after its role has expired.
	predecessorTime    = maxUnrenewedTime - roleTTL
	campaignRetryDelay = 100 * time.Millisecond
	// precedenceDelay is how long a candidate leaves a free role to those with more
	// processor capacity, and precedenceJitter spreads candidates with equal capacity.
	precedenceDelay  = 300 * time.Millisecond
	precedenceJitter = 40 * time.Millisecond
)

// Role is the election of the scheduler as one process sees it: it campaigns for the
// role and keeps track of the holder.
type Role struct {
	store store.Committer
	log   *logrus.Entry
	self  holder
	// candidates is as in Ports.
	candidates func() (others, larger int)

	clock clock.Clock

	mu       sync.Mutex
	holder   holder
	revision uint64
	// predecessorChecked is set once the role of an earlier process at this address was looked
	// for.
	predecessorChecked bool
	// renewedAt is when the last renewal was sent that the store has answered.
	renewedAt clock.Time
}

// Holder returns the ID and the address of the last known holder of the role.
func (r *Role) Holder() (id, addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder.ID, r.holder.Addr
}

// leadership is one acquisition of the role. Its epoch is the revision of the write
// that acquired the role.
type leadership struct {
	epoch uint64
	lease store.Lease
}

// campaign returns when this process holds the role, or c ends.
func (r *Role) campaign(c context.Context) (leadership, error) {
	r.releasePredecessor(c)
	for {
		g, ok, err := r.tryAcquire(c)
		switch {
		case ok:
			return g, nil
		case c.Err() != nil:
			return leadership{}, c.Err()
		case err != nil:
			r.log.WithError(err).Debug("campaign_failed")
			pause.For(c, campaignRetryDelay)
		}
	}
}

// releasePredecessor frees the role if an earlier process at this address holds it: that one is
// gone, since this process listens there, and its lease would block the role until it expires.
func (r *Role) releasePredecessor(c context.Context) {
	r.mu.Lock()
	done := r.predecessorChecked
	r.mu.Unlock()
	if done {
		return
	}
	i, err := r.store.Get(c, roleKey)
	var none *store.NotFoundError
	if err != nil && !errors.As(err, &none) {
		return
	}
	r.mu.Lock()
	r.predecessorChecked = true
	r.mu.Unlock()
	if err != nil || i.Lease == 0 {
		return
	}
	r.observe(i)
	if id, addr := r.Holder(); id != r.self.ID || addr != r.self.Addr {
		return
	}
	if err := r.store.Revoke(c, i.Lease); err != nil {
		r.log.WithError(err).WithField("epoch", i.Revision).Warn("predecessor_not_released")
		return
	}
	r.log.WithField("epoch", i.Revision).Info("predecessor_released")
}

// tryAcquire acquires the role if it is free, and otherwise waits until the role key
// changes.
func (r *Role) tryAcquire(c context.Context) (leadership, bool, error) {
	i, err := r.store.Get(c, roleKey)
	var notFound *store.NotFoundError
	if errors.As(err, &notFound) {
		pause.For(c, r.precedence())
		i, err = r.store.Get(c, roleKey)
	}
	switch {
	case errors.As(err, &notFound):
		return r.acquire(c)
	case err != nil:
		return leadership{}, false, err
	}
	r.observe(i)
	_, err = r.store.Watch(c, roleKey, i.Revision)
	if store.MustRelist(err) {
		err = nil
		pause.For(c, campaignRetryDelay)
	}
	return leadership{}, false, err
}

// precedence returns how long to leave a free role to other candidates. Scheduling costs
// more the more workers there are, and entries may differ much in capacity.
func (r *Role) precedence() time.Duration {
	d := time.Duration(mathrand.Int64N(int64(precedenceJitter))) //nolint:gosec // no secret, it only spreads them
	if _, larger := r.candidates(); larger > 0 {
		d += precedenceDelay
	}
	return d
}

// observe records the holder of the role.
func (r *Role) observe(i store.Item) {
	var h holder
	if err := codec.Unmarshal(i.Value, &h); err != nil {
		r.log.WithError(err).WithField("key", i.Key).Warn("role_record_invalid")
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if i.Revision <= r.revision {
		return
	}
	r.revision = i.Revision
	r.holder = h
	r.log.WithFields(logrus.Fields{"holder": h.ID, "epoch": i.Revision}).Info("role_holder_changed")
}

// acquire writes the role key under a new lease, on condition that the key does not
// exist.
func (r *Role) acquire(c context.Context) (leadership, bool, error) {
	sentAt := r.clock.Now()
	l, err := r.store.Grant(c, roleTTL)
	if err != nil {
		return leadership{}, false, err
	}
	r.recordRenewal(sentAt)
	h := r.self
	h.Nonce = rand.Text()
	b, err := msgpack.Marshal(h)
	if err != nil {
		return leadership{}, false, err
	}
	_, err = r.store.Commit(c, store.Txn{
		If:  []store.Precondition{{Key: roleKey}},
		Put: []store.Write{{Key: roleKey, Value: b, Lease: l}},
	})
	if err != nil {
		r.log.WithError(err).Info("role_not_taken")
	}
	g := leadership{
		lease: l,
	}
	// The reply to the commit may be lost, so the key is read to find out who holds
	// the role.
	i, err := r.store.Get(c, roleKey)
	if err == nil && r.confirmAcquired(i, h.Nonce) {
		g.epoch = i.Revision
		return g, true, nil
	}
	// The commit may still take effect later. Revoking its lease ensures that it does
	// not block other candidates then.
	r.release(c, g)
	return g, false, err
}

// confirmAcquired records the holder of the role and reports whether the holder's
// nonce is that of this attempt.
func (r *Role) confirmAcquired(i store.Item, nonce string) bool {
	r.observe(i)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder.Nonce == nonce
}

// certain returns how long ago the last renewal was sent that the store has answered, and
// whether that is recent enough to act by the role.
func (r *Role) certain() (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.clock.Since(r.renewedAt)
	return d, d <= maxUnrenewedTime
}

// mayHaveExpired reports whether the role has not been renewed for as long as it lasts, so that
// another process may have acquired it.
func (r *Role) mayHaveExpired() bool {
	d, _ := r.certain()
	return d >= roleTTL
}

// recordRenewal records that the store has answered a renewal that was sent at a time.
func (r *Role) recordRenewal(sentAt clock.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.renewedAt = sentAt
}

// renewLoop renews the lease until the store reports that it has expired, or c ends.
// An unreachable store does not end the term, since it may be out of reach for all
// processes and pause its leases. A scheduler that may not act by the role renews it only once
// the store has answered: renewals may get through though their answers do not, and would
// keep the role from a process that can act.
func (r *Role) renewLoop(c context.Context, g leadership) {
	for pause.For(c, roleRenewInterval) {
		if _, certain := r.certain(); !certain && !r.storeAnswers(c) {
			continue
		}
		sentAt := r.clock.Now()
		err := r.store.Keep(c, g.lease)
		if err == nil {
			r.recordRenewal(sentAt)
		}
		var expired *store.NotFoundError
		if errors.As(err, &expired) {
			r.log.WithField("epoch", g.epoch).Warn("role_lease_expired")
			return
		}
		if err != nil && c.Err() == nil {
			r.log.WithError(err).WithField("epoch", g.epoch).Info("role_not_renewed")
		}
	}
}

// storeAnswers reports whether the store answers a read.
func (r *Role) storeAnswers(c context.Context) bool {
	_, err := r.store.Get(c, roleKey)
	var notFound *store.NotFoundError
	return err == nil || errors.As(err, &notFound)
}

// release gives the role up by revoking its lease.
func (r *Role) release(c context.Context, g leadership) {
	if err := r.store.Revoke(c, g.lease); err != nil {
		r.log.WithError(err).WithField("epoch", g.epoch).Warn("role_not_released")
	}
}
