// Package runner is the agent's part in running jobs: it is the only caller of
// its worker.
//
// A Runner obeys the scheduler's newest session, starts and stops tasks, renews
// the lease of all that runs, and reports every change. While no scheduler is
// in contact it goes on renewing for Tolerance less one lease; a scheduler may
// therefore take the tasks of a silent agent as over once Tolerance has passed
// by the worker's clock. Orders without an answer are settled by a higher token
// and a list before anything else is ordered.
//
// # Usage
//
//	r := runner.New(runner.Ports{Worker: w, Log: log}, runner.Settings{Node: "a1"})
//	go r.Run(ctx)
//	r.Heard(facts) // from each heartbeat of the worker
//	go wire.NewPeer(conn, r).Run(ctx)
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/fence"
	"hemlockhinge/meter"
	"hemlockhinge/pause"
	"hemlockhinge/wire"
)

// Time limits towards the worker, which stands on the same machine.
const (
	orderTimeout  = 500 * time.Millisecond
	pollWait      = time.Second
	pollSlack     = 500 * time.Millisecond
	retryPause    = 30 * time.Millisecond
	maxRetryPause = 500 * time.Millisecond
	unnotedPause  = 40 * time.Millisecond
	// backoffShare of a silence is waited before the next call.
	backoffShare   = 10
	vacantSlack    = 300 * time.Millisecond
	reportInterval = time.Second
	// fenceJump is added to a token that the worker has found too low: more
	// than an agent can have raised it in a day.
	fenceJump = fence.Token(1) << 37
)

// Settings of a runner.
type Settings struct {
	Node string
	// Lease is the longest lease that the worker grants.
	Lease time.Duration
	// Tolerance is how long after the scheduler's last contact tasks run on.
	Tolerance time.Duration
}

// Ports of a runner.
type Ports struct {
	Worker Worker
	// Presence, if set, is told whether the worker is there: true with each
	// life of it, false when it has left.
	Presence func(there bool)
	Log      *logrus.Entry
	Meter    *meter.Meter
	Wall     func() time.Time
}

// clock maps the worker's steady clock to the agent's.
type clock struct {
	ms int64
	at time.Time
}

func (k clock) now(t time.Time) int64 { return k.ms + t.Sub(k.at).Milliseconds() }

// Runner is one agent's part in running jobs.
type Runner struct {
	p Ports
	s Settings

	// orders is full while an order is under way, so that at most one start is
	// unanswered.
	orders chan struct{}

	mu      sync.Mutex
	ledger  fence.Ledger
	facts   wire.WorkerFacts
	beat    int64
	clock   clock
	settled bool
	contact time.Time
	// born is the zero of the agent's steady clock.
	born time.Time
	// silent is since when the worker has not answered, zero while it does, and
	// vacantAt when all leases that it may have been given have run out.
	silent   time.Time
	vacantAt time.Time
	vacant   bool
	lead     wire.Lead
	peer     *wire.Peer
	seq      uint64
	wake     chan struct{}
	news     chan struct{}
}

// New returns a runner; Run must be called.
func New(p Ports, s Settings) *Runner {
	if p.Wall == nil {
		p.Wall = time.Now
	}
	r := &Runner{
		p:      p,
		s:      s,
		orders: make(chan struct{}, 1),
		wake:   make(chan struct{}, 1),
		news:   make(chan struct{}, 1),
	}
	// A former process may have renewed leases until a moment ago.
	r.born = time.Now()
	r.vacantAt = time.Now().Add(r.longestLease())
	return r
}

// Run holds the worker's lease and reports changes until c ends.
func (r *Runner) Run(c context.Context) {
	var w sync.WaitGroup
	w.Go(func() { r.reportLoop(c) })
	r.pollLoop(c)
	w.Wait()
}

// Extend renews the lease once more, before a planned end of the agent.
func (r *Runner) Extend(c context.Context) {
	r.mu.Lock()
	idle := r.ledger.Idle()
	r.mu.Unlock()
	if !idle {
		_ = r.hold(c, 0)
	}
}

// Heard takes in what the worker says of itself. seq counts its heartbeats.
func (r *Runner) Heard(f wire.WorkerFacts, seq, clockMS int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.Born < r.facts.Born || (f.Born == r.facts.Born && f.ID == r.facts.ID && seq < r.beat) {
		r.p.Log.WithFields(logrus.Fields{"worker": f.ID, "born": f.Born, "seq": seq}).Info("heartbeat_overtaken")
		return
	}
	old := r.facts
	r.facts = f
	r.beat = seq
	if r.p.Presence != nil && (f.Born != old.Born || f.ID != old.ID) {
		r.p.Presence(true)
	}
	if f.Born != old.Born || f.ID != old.ID || f.Leaving != old.Leaving {
		r.p.Log.WithFields(logrus.Fields{
			"worker":  f.ID,
			"born":    f.Born,
			"leaving": f.Leaving,
			"stays":   f.LeavesMS,
		}).Info("worker_changed")
	}
	if r.live(f.Born) || clockMS > 0 && r.clock.at.IsZero() {
		r.clock = clock{
			ms: clockMS,
			at: time.Now(),
		}
	}
	r.changed()
}

// Left notes that the worker has said that it ends.
func (r *Runner) Left(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id != r.facts.ID || r.facts.Gone {
		return
	}
	r.facts.Gone = true
	r.facts.Leaving = true
	r.ledger.Live(-r.facts.Born)
	if r.p.Presence != nil {
		r.p.Presence(false)
	}
	r.p.Log.WithField("worker", id).Info("worker_left")
	r.changed()
}

// live notes a life of the worker; r.mu is held.
func (r *Runner) live(born int64) bool {
	if !r.ledger.Live(born) {
		return false
	}
	r.settled = false
	pause.Wake(r.wake)
	return true
}

// changed counts a change that the scheduler must hear of; r.mu is held.
func (r *Runner) changed() {
	r.seq++
	pause.Wake(r.news)
}

// clockMS returns the agent's steady clock.
func (r *Runner) clockMS() int64 { return time.Since(r.born).Milliseconds() }

// touch notes a contact with the scheduler, as old as its echo of the agent's
// clock is; r.mu is held.
func (r *Runner) touch(echoMS int64) {
	t := r.born.Add(time.Duration(echoMS) * time.Millisecond)
	if t.After(r.contact) {
		r.contact = t
	}
}
