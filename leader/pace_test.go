package leader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestLateSchedulerAbandonsRole guards against a scheduler that keeps the role although its
// machine has become too slow for it, and against the role going round where all are late.
func TestLateSchedulerAbandonsRole(t *testing.T) {
	cases := []struct {
		name   string
		others int
		lag    time.Duration
		lateAt time.Duration
		lasts  time.Duration
		want   bool
	}{
		{"late for long", 1, 2 * time.Second, 11 * time.Second, 3 * time.Second, true},
		{"late for a moment", 1, 2 * time.Second, 11 * time.Second, time.Second, false},
		{"slightly late", 1, lateness / 2, 11 * time.Second, 3 * time.Second, false},
		{"no other candidate", 0, 2 * time.Second, 11 * time.Second, 3 * time.Second, false},
		{"term has just begun", 1, 2 * time.Second, time.Second, 3 * time.Second, false},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestTerm()
				s.leader.ports.Candidates = func() (others, larger int) { return v.others, 0 }
				c, cancel := context.WithCancel(context.Background())
				s.cancel = cancel
				go s.passLoop(c)
				time.Sleep(v.lateAt)
				s.lateTimers.lag.Store(int64(v.lag))
				time.Sleep(v.lasts)
				s.lateTimers.lag.Store(0)
				time.Sleep(time.Second)
				if got := s.abandoned.Load(); got != v.want || got != (c.Err() != nil) {
					t.Errorf("role abandoned: %t (term ended: %t), want %t", got, c.Err() != nil, v.want)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}
