package intake

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/clock"
	"hemlockhinge/pause"
	"hemlockhinge/policy"
	"hemlockhinge/store"
)

const (
	// ConfirmAge is how long after the store last confirmed the configuration
	// requests are answered without confirming it again, unless Settings.MaxAge is short.
	ConfirmAge = 1200 * time.Millisecond
	// confirmAgeShare is the part of Settings.MaxAge after which a configuration is confirmed
	// again. The rest is for attempts of which the first may fail.
	confirmAgeShare = 0.6
	// downConfirmInterval is the pause between attempts while the store does not answer.
	downConfirmInterval = 300 * time.Millisecond
	// minConfirmPause is the shortest pause between two attempts while the store answers.
	minConfirmPause = 20 * time.Millisecond
	// confirmsPerAge is how often the objects are confirmed within their maximum age.
	confirmsPerAge = 2
	// attemptTimeout bounds an attempt to confirm the configuration.
	attemptTimeout = time.Second
	// A request waits for an attempt for answerTimeout, or for downAnswerTimeout while
	// the store is known not to answer. A store that answers does so within milliseconds,
	// and another process can be asked within answerTimeout.
	answerTimeout     = 400 * time.Millisecond
	downAnswerTimeout = 60 * time.Millisecond
	// maxReadyAge is how long after the last confirmation of the configuration this
	// process reports itself ready. Beyond that another process serves callers better.
	maxReadyAge = 2 * time.Second
)

// confirmAttempt is an attempt to confirm that the configuration is the newest. All
// requests that need a confirmation meanwhile share its outcome.
type confirmAttempt struct {
	begun time.Time
	// done is closed at the end of the attempt; err is valid after that.
	done chan struct{}
	err  error
}

// errNoAnswerYet is returned to requests that do not wait for the end of an attempt.
var errNoAnswerYet = errors.New("the store has not answered yet")

// Ready returns nil when requests can be answered, or the reason why not.
func (d *Intake) Ready() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.config == nil:
		return fmt.Errorf("no configuration has been loaded yet")
	case d.ports.Clock.Since(d.confirmedAt) > maxReadyAge:
		return fmt.Errorf("configuration last confirmed %s ago", d.ports.Clock.Since(d.confirmedAt).Round(time.Millisecond))
	}
	return nil
}

// ConfirmLoop confirms the operators' objects whenever they were confirmed confirmInterval
// ago, by this loop or for a caller's request, and more often while the store does not
// answer. It returns when c ends.
func (d *Intake) ConfirmLoop(c context.Context) {
	wait := d.confirmInterval()
	for pause.For(c, wait) {
		err := d.confirmConfig(c, d.confirmInterval(), attemptTimeout)
		if err != nil {
			d.ports.Log.WithError(err).Debug("configuration_unconfirmed")
			wait = downConfirmInterval
			continue
		}
		d.mu.Lock()
		wait = max(d.confirmInterval()-d.ports.Clock.Since(d.confirmedAt), minConfirmPause)
		d.mu.Unlock()
	}
}

// confirmAge returns how long after the last confirmation of the configuration requests are
// answered without confirming it again.
func (d *Intake) confirmAge() time.Duration {
	if a := d.settings.MaxAge; a > 0 {
		return min(ConfirmAge, time.Duration(confirmAgeShare*float64(a)))
	}
	return ConfirmAge
}

// confirmInterval returns how often the operators' objects are confirmed.
func (d *Intake) confirmInterval() time.Duration {
	if a := d.settings.MaxObjectsAge; a > 0 {
		return min(d.confirmAge(), a/confirmsPerAge)
	}
	return d.confirmAge()
}

// configConfirmedWithin returns the configuration, and whether the store
// confirmed it within the given age.
func (d *Intake) configConfirmedWithin(age time.Duration) (*policy.Config, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config, d.config != nil && d.ports.Clock.Since(d.confirmedAt) <= age
}

// Config returns the newest configuration that is known, or nil.
func (d *Intake) Config() *policy.Config {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config
}

// configAge returns how long ago the store confirmed the configuration.
func (d *Intake) configAge() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ports.Clock.Since(d.confirmedAt)
}

// currentConfig returns a configuration that the store has confirmed within confirmAge, or,
// while the store does not answer, within MaxAge of the arrival of the request.
func (d *Intake) currentConfig(c context.Context) (*policy.Config, *Error) {
	arrivedAt := d.ports.Clock.Now()
	err := d.confirmConfig(c, d.confirmAge(), d.patience())
	waited := d.ports.Clock.Since(arrivedAt)
	v, ok := d.configConfirmedWithin(max(d.confirmAge(), d.settings.MaxAge) + waited)
	switch {
	case ok:
		return v, nil
	case v == nil:
		return nil, d.unavailable("no configuration has been loaded yet")
	}
	d.ports.Log.WithError(err).Debug("configuration_unconfirmed")
	return nil, d.unavailable("the store did not confirm that the configuration is current")
}

// patience returns how long a request waits for an answer of the store.
func (d *Intake) patience() time.Duration {
	if d.storeKnownDown() {
		return downAnswerTimeout
	}
	return answerTimeout
}

// storeKnownDown reports whether the store has not answered for longer than it refuses a
// burst that exceeds its rate limits, or whether an attempt has lasted longer than a
// request would wait for it.
func (d *Intake) storeKnownDown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.attempt != nil && time.Since(d.attempt.begun) >= answerTimeout {
		return true
	}
	return !d.storeDownSince.IsZero() && d.ports.Clock.Since(d.storeDownSince) > refusedRetryTime
}

// confirmConfig waits until the configuration was confirmed within age, an attempt to
// confirm it fails, or the given time has passed.
func (d *Intake) confirmConfig(c context.Context, age, wait time.Duration) error {
	if _, ok := d.configConfirmedWithin(age); ok {
		return nil
	}
	a := d.joinAttempt()
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-a.done:
		return a.err
	case <-t.C:
		return errNoAnswerYet
	case <-c.Done():
		return c.Err()
	}
}

// joinAttempt returns the attempt in progress, or begins one.
func (d *Intake) joinAttempt() *confirmAttempt {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.attempt != nil {
		return d.attempt
	}
	a := &confirmAttempt{
		begun: time.Now(),
		done:  make(chan struct{}),
	}
	started := d.group.Go(func() {
		c, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		defer cancel()
		a.err = d.confirmNow(c)
		d.mu.Lock()
		d.attempt = nil
		d.mu.Unlock()
		close(a.done)
	})
	if !started {
		a.err = pause.ErrClosed
		close(a.done)
		return a
	}
	d.attempt = a
	return a
}

// confirmNow confirms the configuration: the changes of the operators' objects since the last
// one are applied. That is far cheaper than reading a configuration of a thousand queues,
// which is done only if the store no longer knows the changes.
func (d *Intake) confirmNow(c context.Context) error {
	sentAt := d.ports.Clock.Now()
	err := d.objects.CatchUp(c)
	if store.MustRelist(err) {
		var i store.Item
		i, err = d.ports.Store.Get(c, d.ports.Objects.ConfigKey())
		if err == nil {
			d.adopt(i)
		}
	}
	if err != nil {
		d.markUnavailable(sentAt, err)
		return err
	}
	d.markConfirmed(sentAt)
	return nil
}

// markConfirmed records that the configuration was the newest one at the given
// time.
func (d *Intake) markConfirmed(at clock.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at.After(d.confirmedAt) {
		d.confirmedAt = at
	}
	if !d.storeDownSince.IsZero() {
		d.ports.Log.WithFields(logrus.Fields{"reachable": true, "ms": d.ports.Clock.Since(d.storeDownSince).Milliseconds()}).Info("store_reachability_changed")
	}
	d.storeDownSince = clock.Time{}
}

// markUnavailable records that the store did not answer, or refused, a call made
// at the given time. Errors of other kinds do not count.
func (d *Intake) markUnavailable(at clock.Time, err error) {
	var u *store.UnavailableError
	if !errors.As(err, &u) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.storeDownSince.IsZero() {
		d.storeDownSince = at
		d.ports.Log.WithError(err).WithField("reachable", false).Warn("store_reachability_changed")
	}
}
