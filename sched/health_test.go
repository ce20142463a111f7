package sched

import (
	"testing"
	"time"
)

// TestFailuresAfterSuccess guards against a nil dereference: a job fails on a worker,
// and the success of another job then clears the history of that worker, which the
// first job's failures still name. They are discarded when the job fails on a second
// worker, or when they expire.
func TestFailuresAfterSuccess(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name string
		then func(h *healthTracker)
	}{
		{"job fails on a second worker", func(h *healthTracker) { h.recordFailure("w1", "j", 8, now) }},
		{"failures expire", func(h *healthTracker) { h.endQuarantines(now.Add(failureRetention + time.Second)) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			defer func() {
				if p := recover(); p != nil {
					t.Errorf("panic: %v", p)
				}
			}()
			var h healthTracker
			h.recordFailure("w0", "j", 8, now)
			h.recordSuccess("w0")
			c.then(&h)
		})
	}
}
