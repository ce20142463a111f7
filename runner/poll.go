package runner

import (
	"context"
	"time"

	"hemlockhinge/fence"
	"hemlockhinge/pause"
)

// pollLoop renews the lease and polls the worker until c ends. It blocks while the
// ledger is idle and the worker answers.
func (r *Runner) pollLoop(c context.Context) {
	for c.Err() == nil {
		r.mu.Lock()
		// A worker that has stopped answering is polled until it answers again, and one that may
		// have left until it is known whether it has.
		fenced, idle := r.fenced, r.ledger.Idle() && r.unansweredSince.IsZero() && r.deregistration == nil
		unacknowledged := idle && r.deliveredAck < r.ledger.AckedThrough()
		unrecorded := len(r.ledger.Ends()) > 0
		r.mu.Unlock()
		switch {
		case !fenced:
			r.fenceOrders(c)
		case unrecorded, unacknowledged:
			// While the worker has unacknowledged ends it answers a long poll at
			// once, so polling in a loop would spin.
			_ = r.renewAndList(c, 0)
			select {
			case <-c.Done():
			case <-r.wakePoll:
			case <-time.After(unrecordedPause):
			}
		case idle:
			select {
			case <-c.Done():
			case <-r.wakePoll:
			}
		default:
			if err := r.renewAndList(c, longPollWait); err != nil && !pause.For(c, r.backoff()) {
				return
			}
		}
	}
}

// fenceOrders is fenceOrdersLocked for callers that do not hold the order slot.
func (r *Runner) fenceOrders(c context.Context) {
	r.orderSlot <- struct{}{}
	defer func() { <-r.orderSlot }()
	r.fenceOrdersLocked(c)
}

// unfence makes the runner ask the worker what it runs before any other order, and tells the
// scheduler that no task may be started here until then. The caller holds r.mu.
func (r *Runner) unfence() {
	if !r.fenced {
		return
	}
	r.fenced = false
	r.markChanged()
	pause.Wake(r.wakePoll)
}

// fenceOrdersLocked ensures that no earlier order can still take effect: it retries
// until the worker has answered a call whose token is higher than that of every earlier
// order, or until all leases have expired, with which such an order would be rejected. The
// caller holds the order slot.
func (r *Runner) fenceOrdersLocked(c context.Context) {
	r.mu.Lock()
	r.unfence()
	r.mu.Unlock()
	for c.Err() == nil {
		if r.raiseToken(c) && r.renewAndList(c, 0) == nil {
			r.mu.Lock()
			r.fenced = true
			r.markChanged()
			r.mu.Unlock()
			return
		}
		pause.For(c, r.backoff())
		r.mu.Lock()
		expired := r.leasesExpired
		r.mu.Unlock()
		if expired {
			return
		}
	}
}

// backoff returns how long to wait after a call that the worker did not answer. It
// grows with the time for which the worker has not answered.
func (r *Runner) backoff() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(max(r.unansweredFor(time.Now())/backoffDivisor, retryPause), maxRetryPause)
}

// unansweredFor returns for how long the worker has not answered, 0 if it answers. The
// caller holds r.mu.
func (r *Runner) unansweredFor(now time.Time) time.Duration {
	if r.unansweredSince.IsZero() {
		return 0
	}
	return now.Sub(r.unansweredSince)
}

// lastAnswer returns when the worker last answered, now if it answers. The caller holds
// r.mu.
func (r *Runner) lastAnswer() time.Time { return time.Now().Add(-r.unansweredFor(time.Now())) }

// raiseToken moves to a higher fencing token and reports whether it could. The first
// token is derived from the worker's start time and clock; raiseToken returns false while
// either is unknown.
func (r *Runner) raiseToken(c context.Context) bool {
	r.mu.Lock()
	born := r.worker.Born
	first := r.ledger.Token() == 0
	r.mu.Unlock()
	if born == 0 {
		_ = r.renewAndList(c, 0)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	born = max(r.ledger.Incarnation(), r.worker.Born)
	if born <= 0 || r.clock.at.IsZero() {
		return false
	}
	if first {
		r.ledger.RaiseToken(fence.FirstToken(born + r.clock.readingAt(time.Now())))
		return true
	}
	r.ledger.RaiseToken(0)
	return true
}

// renewAndList renews the lease, acknowledges recorded ends, and applies the worker's
// lists of running and ended tasks to the ledger. It is a long poll of up to wait.
func (r *Runner) renewAndList(c context.Context, wait time.Duration) error {
	r.mu.Lock()
	expireAtBefore := r.leasesExpireAt
	o := RenewOrder{
		Worker:       r.worker.ID,
		LeaseEndMS:   r.leaseEnd(),
		Token:        r.ledger.Token(),
		AckedThrough: r.dueAck(),
		Wait:         wait,
	}
	confirmations := r.ledger.Confirmations()
	pending := r.deregistration
	incarnation := r.ledger.Incarnation()
	expireAt := r.leasesExpireAt
	r.mu.Unlock()
	c, cancel := context.WithTimeout(c, wait+max(longPollSlack, orderTimeout))
	defer cancel()
	begun := time.Now()
	a, err := r.ports.Worker.RenewAndList(c, o)
	r.ports.Meter.WorkerCall("hold", err, time.Since(begun))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.syncClock(incarnation, a.ClockMS)
	if isNotSent(rejectionReason(err)) && r.leasesExpireAt.Equal(expireAt) {
		// No lease was renewed, neither by this order nor by another one meanwhile.
		r.leasesExpireAt = expireAtBefore
	}
	r.updateLeasesExpired()
	if err != nil {
		if r.unansweredSince.IsZero() {
			r.unansweredSince = begun
		}
		r.handleRenewError(o, err)
		r.confirmDeregistration(pending, err)
		return err
	}
	lastAnswer := r.lastAnswer()
	r.unansweredSince = time.Time{}
	if a.Listing.Incarnation == r.ledger.Incarnation() {
		r.deliveredAck = max(r.deliveredAck, o.AckedThrough)
	}
	if r.leasesExpired {
		// The listing shows what runs, and an idle worker gets no renewals.
		r.leasesExpireAt = time.Now().Add(r.maxLeaseDuration())
		r.updateLeasesExpired()
	}
	r.listedAt = r.ports.Clock.Now()
	a.Listing.ClockMS = a.ClockMS
	a.Listing.Token = o.Token
	a.Listing.Confirmations = confirmations
	if a.Listing.Incarnation != r.ledger.Incarnation() && a.Listing.Incarnation > r.worker.Born {
		// Nothing else is known of the new incarnation before its first heartbeat.
		r.worker.Born = a.Listing.Incarnation
		r.worker.Known = false
		r.heartbeatSeq = 0
		r.updateIncarnation(a.Listing.Incarnation, r.worker.Leaving, lastAnswer)
	}
	if r.ledger.Apply(a.Listing) {
		r.markChanged()
	}
	return nil
}

// dueAck returns the number up to which ends are to be acknowledged, 0 for none. The order cannot
// name the incarnation whose ends these are, and the next one would forget its own ends up to that
// number. So an acknowledgement is sent once, and only while the incarnation has just answered. The
// caller holds r.mu.
func (r *Runner) dueAck() int64 {
	n := r.ledger.AckedThrough()
	if n <= r.deliveredAck || !r.unansweredSince.IsZero() || r.ports.Clock.Since(r.listedAt) > maxAckAge {
		return 0
	}
	return n
}

// handleRenewError logs a renewal that failed, and raises the token if the worker rejected
// the order because its token was too low. The caller holds r.mu.
func (r *Runner) handleRenewError(o RenewOrder, err error) {
	r.ports.Log.WithError(err).WithField("token", o.Token).Debug("lease_renewal_failed")
	if rejectionReason(err) == ReasonStaleToken && o.Token != 0 && o.Token == r.ledger.Token() {
		r.ledger.RaiseToken(o.Token + tokenJump)
		r.fenced = false
	}
}

// syncClock records a reading of the worker's clock, unless ms is 0, which means that
// the answer had none. Each incarnation has a clock of its own: a reading is dropped if the
// incarnation is not the one from before the call any more. The caller holds r.mu.
func (r *Runner) syncClock(incarnation, ms int64) {
	if ms <= 0 || incarnation != r.ledger.Incarnation() {
		return
	}
	r.clock = workerClock{
		ms: ms,
		at: time.Now(),
	}
}

// leaseEnd returns the end of the next lease by the worker's clock: one lease from now,
// but no later than SilenceTolerance after the scheduler's last contact. It returns 0 if
// the lease must not be renewed. A new process renews nothing before its first contact,
// since it cannot know for how long its predecessor had been without contact. The caller
// holds r.mu.
func (r *Runner) leaseEnd() int64 {
	now := time.Now()
	switch {
	case r.clock.at.IsZero() || r.schedulerContact.IsZero():
		return 0
	case r.unansweredFor(now) > r.settings.Lease:
		// All leases at the worker have expired. Moving leasesExpireAt would only
		// delay noticing that.
		return 0
	}
	r.leasesExpireAt = now.Add(r.maxLeaseDuration())
	left := r.settings.SilenceTolerance - r.ports.Clock.Since(r.schedulerContact)
	return r.clock.readingAt(now.Add(min(r.settings.Lease, left)))
}

// maxLeaseDuration returns how long a lease may last by the agent's clock if the
// worker's clock is slow.
func (r *Runner) maxLeaseDuration() time.Duration {
	return time.Duration(float64(r.settings.Lease)*(1+fence.MaxClockDrift)) + leaseExpirySlack
}

// updateLeasesExpired updates leasesExpired. Once all leases have expired, nothing can be
// running at a worker that does not answer. The caller holds r.mu.
func (r *Runner) updateLeasesExpired() {
	v := time.Now().After(r.leasesExpireAt)
	if v == r.leasesExpired {
		return
	}
	r.leasesExpired = v
	if v {
		r.ledger.Clear()
	}
	r.ports.Log.WithField("leases_expired", v).Info("worker_leases_changed")
	r.markChanged()
}
