// Package runner runs tasks on behalf of the scheduler at the agent's worker. No other
// code of the agent calls the worker.
//
// A Runner accepts orders from the scheduler's newest session only. It starts and stops
// tasks, renews the lease of all running tasks, and reports every change. Without contact
// to a scheduler it keeps renewing for SilenceTolerance minus one lease. A scheduler may
// therefore assume that the tasks of an agent that it cannot reach have ended once
// SilenceTolerance has passed by the worker's clock. After a start order without an
// answer, the runner raises its fencing token and lists the worker's tasks before it sends
// any other order.
//
// # Usage
//
//	r := runner.New(runner.Ports{Worker: w, Log: log}, runner.Settings{Node: "a1"})
//	go r.Run(ctx)
//	r.HandleHeartbeat(worker, seq, clockMS) // on each heartbeat of the worker
//	go wire.NewPeer(conn, r).Run(ctx)
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/clock"
	"hemlockhinge/fence"
	"hemlockhinge/meter"
	"hemlockhinge/pause"
	"hemlockhinge/wire"
)

// Time limits of calls to the worker, which runs on the same machine, and of reports.
const (
	orderTimeout    = 500 * time.Millisecond
	longPollWait    = time.Second
	longPollSlack   = 500 * time.Millisecond
	retryPause      = 30 * time.Millisecond
	maxRetryPause   = 500 * time.Millisecond
	unrecordedPause = 40 * time.Millisecond
	// backoffDivisor divides the time for which the worker has not answered; the
	// quotient is the wait before the next call.
	backoffDivisor   = 10
	leaseExpirySlack = 300 * time.Millisecond
	// maxAckAge is how long ago the worker may last have answered when its ends are acknowledged.
	// No worker restarts in less.
	maxAckAge      = 500 * time.Millisecond
	reportInterval = time.Second
	// tokenJump is added to a token that the worker has rejected as too low. It is
	// more than an agent can have raised its token in a day.
	tokenJump = fence.Token(1) << 37
)

// Settings of a runner.
type Settings struct {
	Node string
	// Lease is the longest lease that the worker grants.
	Lease time.Duration
	// SilenceTolerance is how long tasks may keep running after the scheduler's last contact.
	SilenceTolerance time.Duration
}

// Ports holds the external dependencies of a runner.
type Ports struct {
	Worker Worker
	// OnPresenceChange, if set, is called for each new incarnation of the worker, and when the
	// worker is gone. It must not block; HandleRegistered tells of its effect.
	OnPresenceChange func(Presence)
	Log              *logrus.Entry
	Meter            *meter.Meter
	WallClock        func() time.Time
	// Clock dates the contacts with the scheduler.
	Clock clock.Clock
}

// Presence says whether the worker is present. Number increases with each change.
type Presence struct {
	Number  uint64
	Present bool
}

// workerClock is a reading of the worker's monotonic clock and the agent's time when it
// was taken.
type workerClock struct {
	ms int64
	at time.Time
}

// readingAt returns the worker's clock at the agent's time t.
func (k workerClock) readingAt(t time.Time) int64 { return k.ms + t.Sub(k.at).Milliseconds() }

// Runner starts, stops and watches the tasks at one agent's worker.
type Runner struct {
	ports    Ports
	settings Settings

	// orderSlot is a semaphore of size 1: it is held while an order is in progress, so
	// that at most one start is unanswered at a time.
	orderSlot chan struct{}

	mu     sync.Mutex
	ledger fence.Ledger
	worker wire.WorkerInfo
	// heartbeatSeq is the sequence number of the newest heartbeat.
	heartbeatSeq int64
	heartbeatAt  time.Time
	presence     Presence
	// registered is set once the registration for the worker that is present was written. Until
	// then another scheduler may not find this agent.
	registered bool
	clock      workerClock
	// fenced is false while an earlier order may still take effect.
	fenced bool
	// schedulerContact is the time of the scheduler's last contact.
	schedulerContact clock.Time
	// clockStart is the zero point of the agent's clock.
	clockStart clock.Time
	// deliveredAck is the number up to which ends were acknowledged to the worker.
	deliveredAck int64
	// unansweredSince is the time since which the worker has not answered, zero while
	// it answers.
	unansweredSince time.Time
	// deregistration is pending from its arrival until the worker is gone, or is known to stay.
	deregistration *deregistration
	// leasesExpireAt is when all leases that the worker may have received have expired.
	leasesExpireAt time.Time
	leasesExpired  bool
	// crashed are the runs that may have crashed the worker recently.
	crashed []crashedRun
	// session and peer are the scheduler's active session and its connection.
	session wire.StartSession
	peer    *wire.Peer
	// listedAt is when the worker last listed its runs.
	listedAt   clock.Time
	statusSeq  uint64
	wakePoll   chan struct{}
	wakeReport chan struct{}
}

// New returns a runner; the caller must call Run.
func New(p Ports, s Settings) *Runner {
	if p.WallClock == nil {
		p.WallClock = time.Now
	}
	r := &Runner{
		ports:      p,
		settings:   s,
		orderSlot:  make(chan struct{}, 1),
		wakePoll:   make(chan struct{}, 1),
		wakeReport: make(chan struct{}, 1),
	}
	// A previous agent process may have renewed leases until just before this one started.
	r.clockStart = p.Clock.Now()
	r.leasesExpireAt = time.Now().Add(r.maxLeaseDuration())
	return r
}

// Run renews the worker's lease and reports changes until c ends.
func (r *Runner) Run(c context.Context) {
	var w sync.WaitGroup
	w.Go(func() { r.reportLoop(c) })
	r.pollLoop(c)
	w.Wait()
}

// ExtendLease renews the lease once more before a planned shutdown of the agent, unless the
// worker is idle.
func (r *Runner) ExtendLease(c context.Context) {
	r.mu.Lock()
	idle := r.ledger.Idle()
	r.mu.Unlock()
	if !idle {
		_ = r.renewAndList(c, 0)
	}
}

// HandleHeartbeat handles a heartbeat from the worker. seq is the heartbeat's sequence
// number; a heartbeat that was overtaken by a newer one is ignored. It returns
// *ForeignHeartbeatError if the worker does not answer to the identity in the heartbeat, and
// *UnconfirmedHeartbeatError if it does not answer at all and another one is known.
func (r *Runner) HandleHeartbeat(f wire.WorkerInfo, seq, clockMS int64) error {
	id, err := r.identify(f)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if id != confirmed && r.worker.Gone && f.ID == r.worker.ID && f.Born == r.worker.Born {
		return unconfirmed(f)
	}
	stale := f.Born < r.worker.Born && id != confirmed
	if stale || (f.Born == r.worker.Born && f.ID == r.worker.ID && seq < r.heartbeatSeq) {
		r.ports.Log.WithFields(logrus.Fields{"worker": f.ID, "born": f.Born, "seq": seq}).Info("stale_heartbeat_ignored")
		return nil
	}
	old := r.worker
	isNew := !old.Known || old.Gone || f.Born != old.Born || f.ID != old.ID
	if isNew || !f.Leaving {
		r.discardDeregistration()
	}
	r.worker = f
	r.heartbeatSeq = seq
	r.heartbeatAt = time.Now()
	if isNew {
		r.setPresent(true)
	}
	if isNew || f.Leaving != old.Leaving {
		r.ports.Log.WithFields(logrus.Fields{
			"worker":       f.ID,
			"born":         f.Born,
			"leaving":      f.Leaving,
			"leaves_in_ms": f.LeavesMS,
		}).Info("worker_changed")
	}
	if r.updateIncarnation(f.Born, old.Leaving, r.lastAnswer()) || clockMS > 0 && r.clock.at.IsZero() {
		r.clock = workerClock{
			ms: clockMS,
			at: time.Now(),
		}
	}
	r.markChanged()
	return nil
}

// setPresent records whether the worker is present, and asks for its registration or the removal
// of that. A registration that was written stays while the next incarnation follows at once. The
// caller holds r.mu.
func (r *Runner) setPresent(present bool) {
	registered := r.registered && r.presence.Present || r.ports.OnPresenceChange == nil
	r.presence.Number++
	r.presence.Present = present
	r.registered = present && registered
	if r.ports.OnPresenceChange != nil {
		r.ports.OnPresenceChange(r.presence)
	}
}

// HandleRegistered records that the registration for a presence of the worker was written, unless
// that has changed since.
func (r *Runner) HandleRegistered(p Presence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p != r.presence || !p.Present || r.registered {
		return
	}
	r.registered = true
	r.markChanged()
}

// updateIncarnation records the worker's incarnation and reports whether it is a new one.
// Earlier orders then have to be fenced again. planned means that the previous incarnation
// was shutting down, and lastAnswer is when it last answered. The caller holds r.mu.
func (r *Runner) updateIncarnation(born int64, planned bool, lastAnswer time.Time) bool {
	crashed := r.ledger.Incarnation() > 0 && !planned
	if !r.ledger.SetIncarnation(born) {
		return false
	}
	if crashed {
		r.recordCrash(lastAnswer)
	}
	r.deliveredAck = 0
	r.fenced = false
	pause.Wake(r.wakePoll)
	return true
}

// markChanged raises the status's sequence number and wakes the report loop. The caller
// holds r.mu.
func (r *Runner) markChanged() {
	r.statusSeq++
	pause.Wake(r.wakeReport)
}

// clockMS returns the agent's clock in milliseconds. It goes on while the machine is
// suspended, so that what a scheduler has sent before counts as old.
func (r *Runner) clockMS() int64 { return r.ports.Clock.Since(r.clockStart).Milliseconds() }

// recordContact records a contact with the scheduler. It dates the contact by the agent's
// clock reading that the scheduler returned, so that a message delayed on the network does
// not count as a recent contact. The caller holds r.mu.
func (r *Runner) recordContact(agentClockMS int64) {
	t := r.clockStart.Add(time.Duration(agentClockMS) * time.Millisecond)
	if t.After(r.schedulerContact) {
		r.schedulerContact = t
	}
}
