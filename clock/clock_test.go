package clock

import (
	"testing"
	"time"
)

// TestSuspensionCounts guards against ages that stand still while a machine is suspended.
func TestSuspensionCounts(t *testing.T) {
	var suspended time.Duration
	c := New(func() time.Duration { return suspended })
	cases := []struct {
		name    string
		suspend time.Duration
		want    time.Duration
	}{
		{"not suspended", 0, 0},
		{"inexact readings", resolution - 1, 0},
		{"inexact readings the other way", -resolution, 0},
		{"suspended", 9 * time.Second, 9 * time.Second},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			begun := c.Now()
			suspended += v.suspend
			now := c.Now()
			if d := now.Sub(begun) - now.at.Sub(begun.at); d != v.want {
				t.Errorf("%s of suspension counted, not %s", d, v.want)
			}
		})
	}
}

// TestZeroTime guards against a zero time that counts as recent.
func TestZeroTime(t *testing.T) {
	c := New(func() time.Duration { return time.Hour })
	var z Time
	if !z.IsZero() || c.Since(z) < 24*time.Hour || z.After(c.Now()) {
		t.Errorf("the zero time is %s ago", c.Since(z))
	}
}
