package runner

import (
	"context"
	"time"

	"hemlockhinge/fence"
	"hemlockhinge/pause"
)

func (r *Runner) pollLoop(c context.Context) {
	for c.Err() == nil {
		r.mu.Lock()
		// A worker that has not answered is asked until it does.
		settled, idle := r.settled, r.ledger.Idle() && r.silent.IsZero()
		unnoted := len(r.ledger.Ends()) > 0
		r.mu.Unlock()
		switch {
		case !settled:
			r.settleIdle(c)
		case unnoted:
			// The worker answers at once while it keeps an end.
			_ = r.hold(c, 0)
			select {
			case <-c.Done():
			case <-r.wake:
			case <-time.After(unnotedPause):
			}
		case idle:
			select {
			case <-c.Done():
			case <-r.wake:
			}
		default:
			if err := r.hold(c, pollWait); err != nil && !pause.For(c, r.backoff()) {
				return
			}
		}
	}
}

func (r *Runner) settleIdle(c context.Context) {
	r.orders <- struct{}{}
	defer func() { <-r.orders }()
	r.settle(c)
}

// settle makes sure that no earlier order can take effect any more: it gets an
// answer to a call with a token above all before. r.orders is full.
func (r *Runner) settle(c context.Context) {
	r.mu.Lock()
	r.settled = false
	r.mu.Unlock()
	for c.Err() == nil {
		if r.raise(c) && r.hold(c, 0) == nil {
			r.mu.Lock()
			r.settled = true
			r.changed()
			r.mu.Unlock()
			return
		}
		pause.For(c, r.backoff())
	}
}

// backoff returns how long to wait after a call that the worker did not answer:
// the longer it has been silent, the longer.
func (r *Runner) backoff() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(max(r.silence(time.Now())/backoffShare, retryPause), maxRetryPause)
}

// silence returns for how long the worker has not answered; r.mu is held.
func (r *Runner) silence(now time.Time) time.Duration {
	if r.silent.IsZero() {
		return 0
	}
	return now.Sub(r.silent)
}

// raise takes a higher token. The first one needs the worker's birth and clock.
func (r *Runner) raise(c context.Context) bool {
	r.mu.Lock()
	born := r.facts.Born
	first := r.ledger.Token() == 0
	r.mu.Unlock()
	if born == 0 {
		_ = r.hold(c, 0)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	born = max(r.ledger.Born(), r.facts.Born)
	if born <= 0 || r.clock.at.IsZero() {
		return false
	}
	if first {
		r.ledger.Raise(fence.FirstToken(born + r.clock.now(time.Now())))
		return true
	}
	r.ledger.Raise(0)
	return true
}

// hold renews the lease, passes on which ends may be forgotten, and takes the
// worker's lists in.
func (r *Runner) hold(c context.Context, wait time.Duration) error {
	r.mu.Lock()
	o := HoldOrder{
		Worker:  r.facts.ID,
		UntilMS: r.until(),
		Token:   r.ledger.Token(),
		Acked:   r.ledger.Acked(),
		Wait:    wait,
	}
	mark := r.ledger.Mark()
	r.mu.Unlock()
	c, cancel := context.WithTimeout(c, wait+max(pollSlack, orderTimeout))
	defer cancel()
	begun := time.Now()
	a, err := r.p.Worker.Hold(c, o)
	r.p.Meter.WorkerCall("hold", err, time.Since(begun))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tick(a.ClockMS)
	r.lookVacant()
	if err != nil {
		if r.silent.IsZero() {
			r.silent = begun
		}
		r.holdFailed(o, err)
		return err
	}
	r.silent = time.Time{}
	a.Listing.Token = o.Token
	a.Listing.Mark = mark
	if a.Listing.Born != r.ledger.Born() && a.Listing.Born > r.facts.Born {
		r.facts.Born = a.Listing.Born
		r.live(a.Listing.Born)
	}
	if r.ledger.Apply(a.Listing) {
		r.changed()
	}
	return nil
}

// holdFailed takes note of a hold without success; r.mu is held.
func (r *Runner) holdFailed(o HoldOrder, err error) {
	r.p.Log.WithError(err).WithField("token", o.Token).Debug("hold_failed")
	if reason(err) == ReasonFence && o.Token != 0 && o.Token == r.ledger.Token() {
		r.ledger.Raise(o.Token + fenceJump)
		r.settled = false
	}
}

// tick notes the worker's clock; r.mu is held.
func (r *Runner) tick(ms int64) {
	if ms <= 0 {
		return
	}
	r.clock = clock{
		ms: ms,
		at: time.Now(),
	}
}

// until returns the end of the lease by the worker's clock: one lease from now,
// and no later than Tolerance after the scheduler's last contact; 0 for none. A
// new process has had no contact yet, and cannot know how long its predecessor
// had none. r.mu is held.
func (r *Runner) until() int64 {
	now := time.Now()
	switch {
	case r.clock.at.IsZero() || r.contact.IsZero():
		return 0
	case r.silence(now) > r.s.Lease:
		// All has lapsed there; renewing would only hide it.
		return 0
	}
	r.vacantAt = now.Add(r.longestLease())
	end := now.Add(r.s.Lease)
	if last := r.contact.Add(r.s.Tolerance); last.Before(end) {
		end = last
	}
	return r.clock.now(end)
}

// longestLease returns how long a lease may last by a slow clock.
func (r *Runner) longestLease() time.Duration {
	return time.Duration(float64(r.s.Lease)*(1+fence.ClockDrift)) + vacantSlack
}

// lookVacant notes when nothing can be running at a worker that does not answer;
// r.mu is held.
func (r *Runner) lookVacant() {
	v := time.Now().After(r.vacantAt)
	if v == r.vacant {
		return
	}
	r.vacant = v
	if v {
		r.ledger.Clear()
	}
	r.p.Log.WithField("vacant", v).Info("worker_silence_changed")
	r.changed()
}
