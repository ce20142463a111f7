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
	backoffShare = 10
	vacantSlack  = 300 * time.Millisecond
	// clockDrift is how much slower than ours the worker's clock may run.
	clockDrift     = 0.02
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
	poke(r.wake)
	return true
}

// changed counts a change that the scheduler must hear of; r.mu is held.
func (r *Runner) changed() {
	r.seq++
	poke(r.news)
}

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (r *Runner) pollLoop(c context.Context) {
	for c.Err() == nil {
		r.mu.Lock()
		settled, idle := r.settled, r.ledger.Idle()
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
	return time.Duration(float64(r.s.Lease)*(1+clockDrift)) + vacantSlack
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

func (r *Runner) reportLoop(c context.Context) {
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	var sent uint64
	for {
		select {
		case <-c.Done():
			return
		case <-r.news:
		case <-t.C:
		}
		r.mu.Lock()
		p, seq := r.peer, r.seq
		busy := len(r.ledger.Runs()) > 0
		if p == nil || (seq == sent && !busy) {
			r.mu.Unlock()
			continue
		}
		if seq == sent {
			r.seq++
		}
		m := r.standing()
		sent = r.seq
		r.mu.Unlock()
		if err := p.Conn().Send(m); err != nil {
			p.Close()
		}
	}
}

// Dump returns all that is known of the worker, for operators.
func (r *Runner) Dump() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	return struct {
		Standing  *wire.Standing `json:"standing"`
		Leader    string         `json:"leader"`
		Epoch     uint64         `json:"epoch"`
		ContactMS int64          `json:"contact_ms_ago"`
		Token     fence.Token    `json:"token"`
	}{r.standing(), r.lead.Leader, r.lead.Epoch, time.Since(r.contact).Milliseconds(), r.ledger.Token()}
}

// standing returns all that is known of the worker; r.mu is held.
func (r *Runner) standing() *wire.Standing {
	s := &wire.Standing{
		Seq:     r.seq,
		Node:    r.s.Node,
		Settled: r.settled,
		Worker:  r.facts,
		WallMS:  r.p.Wall().UnixMilli(),
		Vacant:  r.vacant,
		AgentMS: r.clockMS(),
	}
	for _, v := range r.ledger.Runs() {
		s.Runs = append(s.Runs, wire.RunState{
			Task:      v.Task.String(),
			Attempt:   v.Attempt,
			Saved:     v.Saved,
			Percent:   v.Percent,
			Uncertain: v.Uncertain(),
		})
	}
	for _, e := range r.ledger.Ends() {
		s.Ends = append(s.Ends, wire.EndState{
			N:       e.N,
			Task:    e.Task.String(),
			Attempt: e.Attempt,
			How:     string(e.How),
			Saved:   e.Saved,
		})
	}
	return s
}
