package proof

import (
	"testing"
	"time"

	"hemlockhinge/jobs"
)

// TestLiarIsThrottledThenStopped runs a job that uses far more cores than it
// declared beside one that keeps to its word.
func TestLiarIsThrottledThenStopped(t *testing.T) {
	inWorld(t, func(w *world) {
		once := false
		liar := w.submit(jobs.Request{
			Customer:       "bakeries",
			JobClass:       "batch",
			Tasks:          1,
			Cores:          4,
			Idempotent:     &once,
			Command:        []string{"run=60s", "use=100"},
			FailureDomains: domains[:1],
		})
		honest := w.submit(jobs.Request{
			Customer:       "bakeries",
			JobClass:       "batch",
			Tasks:          1,
			Cores:          4,
			Command:        []string{"run=20s", "use=4"},
			FailureDomains: domains[:1],
		})
		time.Sleep(3500 * time.Millisecond)
		throttled := 0
		for _, a := range w.agents {
			if p := a.worker.CorePercent(liar + ".1.0"); p > 0 && p < 100 {
				throttled++
			}
		}
		if throttled != 1 {
			t.Errorf("the task was throttled on %d workers, want 1", throttled)
		}
		w.mustEnd("liar", liar, jobs.Interrupted, jobs.Failed)
		w.mustEnd("honest", honest, jobs.Done)
		w.judge("usage")
	})
}
