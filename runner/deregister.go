package runner

import (
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/pause"
)

// deregistration is a worker's notice that it is about to end, while it is not known whether the
// worker has ended.
type deregistration struct {
	receivedAt time.Time
}

// Outcomes of deregistrations.
const (
	// deregistrationIgnored means that the worker is known to be gone, or has another id.
	deregistrationIgnored = "ignored"
	// deregistrationOutdated means that the worker has reported since that it stays.
	deregistrationOutdated = "outdated"
	// deregistrationConfirmed means that nobody with its id listens at the worker's address.
	deregistrationConfirmed = "confirmed"
)

// HandleDeregister handles a deregistration under a worker's id. It names no incarnation, and may
// be of an earlier one or come long before the worker ends, so the worker counts as gone only once
// nobody with that id listens at its address: until then it is polled. A worker that has
// deregistered ends within milliseconds of the answer.
func (r *Runner) HandleDeregister(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// An agent that was restarted may not know its worker yet.
	known := r.worker.ID != ""
	ignored := r.worker.Gone || known && id != r.worker.ID
	r.ports.Log.WithFields(logrus.Fields{
		"worker":       id,
		"born":         r.worker.Born,
		"leaving":      r.worker.Leaving,
		"heartbeat_ms": r.heartbeatAge().Milliseconds(),
		"runs":         len(r.ledger.Runs()),
		"ignored":      ignored,
	}).Info("deregistration_received")
	if ignored {
		r.ports.Meter.Deregistration(deregistrationIgnored)
		return
	}
	if r.deregistration == nil {
		r.deregistration = &deregistration{
			receivedAt: time.Now(),
		}
	}
	pause.Wake(r.wakePoll)
}

// discardDeregistration drops a deregistration that belongs to an earlier incarnation. The caller
// holds r.mu.
func (r *Runner) discardDeregistration() {
	if r.deregistration == nil {
		return
	}
	r.deregistration = nil
	r.ports.Meter.Deregistration(deregistrationOutdated)
	r.ports.Log.WithFields(logrus.Fields{
		"worker": r.worker.ID,
		"born":   r.worker.Born,
	}).Info("deregistration_outdated")
}

// confirmDeregistration removes the worker, with all that it ran, if err says that it does not
// listen at its address any more, and d was pending already when the call that failed began. The
// caller holds r.mu.
func (r *Runner) confirmDeregistration(d *deregistration, err error) {
	reason := rejectionReason(err)
	if d == nil || d != r.deregistration || reason != ReasonNoListener && reason != ReasonOtherIncarnation {
		return
	}
	r.deregistration = nil
	lost := len(r.ledger.Runs())
	r.worker.Gone = true
	r.worker.Leaving = true
	r.ledger.SetIncarnation(-r.worker.Born)
	// A worker that is gone is not polled, and holds no lease.
	r.unansweredSince = time.Time{}
	r.leasesExpireAt = time.Time{}
	r.updateLeasesExpired()
	r.setPresent(false)
	r.ports.Meter.Deregistration(deregistrationConfirmed)
	r.ports.Log.WithFields(logrus.Fields{
		"worker":    r.worker.ID,
		"born":      r.worker.Born,
		"lost_runs": lost,
		"after_ms":  time.Since(d.receivedAt).Milliseconds(),
	}).Info("worker_deregistered")
	r.markChanged()
}

// heartbeatAge returns how long ago the last heartbeat came, 0 if there was none. The caller holds
// r.mu.
func (r *Runner) heartbeatAge() time.Duration {
	if r.heartbeatAt.IsZero() {
		return 0
	}
	return time.Since(r.heartbeatAt)
}
