package leader

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/pause"
)

const (
	// passRest times the duration of a pass is the pause after it, so that passes leave
	// most of the processor to messages. Events meanwhile share the next pass.
	passRest = 3
	// lateness is the lag from which a scheduler counts as late.
	lateness = time.Second
	// lagProbeInterval is the time between two probes of how late timers fire.
	lagProbeInterval = 100 * time.Millisecond
	// toleratedLag is the lag up to which timeouts hold as they are.
	toleratedLag = 50 * time.Millisecond
	// abandonAfter is how long a scheduler is late before it gives the role up, and
	// minTermLength how long it holds the role before that: where every process is late,
	// each change of the scheduler would only add to the load.
	abandonAfter  = 1500 * time.Millisecond
	minTermLength = 10 * time.Second
	// abandonedPause is for how long a process that gave the role up leaves it to others.
	// If all of them are lost, it takes the role again.
	abandonedPause = time.Second
	// lagSteps is how many times a call and its reply wait for this process.
	lagSteps = 4
)

// passLoop runs scheduling passes: after events, and regularly.
func (t *term) passLoop(c context.Context) {
	k := time.NewTicker(passInterval)
	defer k.Stop()
	var lateSince time.Time
	for {
		select {
		case <-c.Done():
			return
		case <-t.wake:
		case <-k.C:
		}
		d := t.timedPass()
		late := max(d, t.lag()) > lateness
		if late == lateSince.IsZero() {
			t.log.WithFields(logrus.Fields{"late": late, "pass_ms": d.Milliseconds(), "timer_lag_ms": t.lag().Milliseconds()}).Warn("scheduler_lateness_changed")
			lateSince = time.Time{}
			if late {
				lateSince = time.Now()
			}
		}
		if late && t.shouldAbandon(lateSince) {
			t.log.WithField("late_ms", time.Since(lateSince).Milliseconds()).Warn("role_abandoned")
			t.abandoned.Store(true)
			t.cancel()
		}
		if !pause.For(c, passRest*d) {
			return
		}
	}
}

// shouldAbandon reports whether a scheduler that has been late since a time gives the role
// up. Another candidate then takes it over in order, while agents keep what runs.
func (t *term) shouldAbandon(lateSince time.Time) bool {
	others, _ := t.leader.ports.Candidates()
	return others > 0 && time.Since(lateSince) > abandonAfter && time.Since(t.startedAt) > minTermLength
}

// timedPass runs a scheduling pass if there is anything to schedule yet, and returns how
// long it took, with the wait for the lock.
func (t *term) timedPass() time.Duration {
	begun := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.restored || t.roleLost {
		return 0
	}
	t.schedulingPass(time.Now())
	d := time.Since(begun)
	t.leader.ports.Meter.Pass(d, t.lag())
	o := t.leader.currentOperatorSettings()
	t.leader.ports.Meter.SettingsAge(t.leader.settingsAge(o))
	return d
}

// lagProbe measures how late this process runs what is due, which on a busy or slow
// machine can be seconds. The zero value has measured no lag.
type lagProbe struct {
	lag atomic.Int64
}

// run measures until c ends.
func (p *lagProbe) run(c context.Context) {
	for {
		due := time.Now().Add(lagProbeInterval)
		if !pause.For(c, lagProbeInterval) {
			return
		}
		p.lag.Store(int64(time.Since(due)))
	}
}

// lag returns how late this process handled the last timer.
func (t *term) lag() time.Duration { return time.Duration(t.lateTimers.lag.Load()) }

// allowingForLag extends a timeout by the time that this process itself may take to handle
// the reply.
func (t *term) allowingForLag(d time.Duration) time.Duration { return d + lagSteps*t.lag() }
