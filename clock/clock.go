// Package clock measures time that goes on while the machine is suspended.
//
// The monotonic clock of package time stands still while a machine is suspended. A process
// that wakes up would take what it knew before for as young as it was then: a copy of the
// configuration, the last contact with a scheduler, an order that has waited for it. Ages on
// which a promise to other machines rests are measured with this package. Timers and timeouts
// of the process itself need not be.
//
// # Usage
//
//	var c clock.Clock // the machine's
//	t := c.Now()
//	age := c.Since(t) // with the time for which the machine was suspended
package clock

import (
	"math"
	"time"
)

// resolution is the shortest suspension that counts: two readings of the machine's clocks
// are not taken at the same moment.
const resolution = 10 * time.Millisecond

// Clock tells the time. The zero value reads the clocks of the machine.
type Clock struct {
	suspended func() time.Duration
}

// New returns a clock whose machine has been suspended for the time that a function returns.
func New(suspended func() time.Duration) Clock {
	return Clock{
		suspended: suspended,
	}
}

// Time is a moment on a Clock. The zero value stands for no moment.
type Time struct {
	at time.Time
	// suspended is for how long the machine had been suspended by then.
	suspended time.Duration
}

// Now returns the present moment.
func (c Clock) Now() Time {
	f := c.suspended
	if f == nil {
		f = machineSuspended
	}
	return Time{
		at:        time.Now(),
		suspended: f(),
	}
}

// Since returns the time from t until now.
func (c Clock) Since(t Time) time.Duration { return c.Now().Sub(t) }

// IsZero reports whether t stands for no moment.
func (t Time) IsZero() bool { return t.at.IsZero() }

// Sub returns the time from u until t, with the time for which the machine was suspended
// between them.
func (t Time) Sub(u Time) time.Duration {
	d := t.at.Sub(u.at)
	s := t.suspended - u.suspended
	if s < resolution || d > math.MaxInt64-s {
		return d
	}
	return d + s
}

// After reports whether t is later than u.
func (t Time) After(u Time) bool { return t.Sub(u) > 0 }

// Add returns the moment that is d later.
func (t Time) Add(d time.Duration) Time {
	return Time{
		at:        t.at.Add(d),
		suspended: t.suspended,
	}
}
