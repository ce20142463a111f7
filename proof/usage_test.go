package proof

import (
	"testing"
	"time"

	"hemlockhinge/jobs"
)

// TestCoreOveruseIsThrottledThenStopped runs a job that uses far more cores
// than it requested next to one that uses what it requested. The first must be
// throttled and then stopped, and the second must not be affected.
func TestCoreOveruseIsThrottledThenStopped(t *testing.T) {
	inSimulation(t, func(w *simSite) {
		idempotent := false
		overusing := w.submit(jobs.Request{
			Customer:       "bakeries",
			JobClass:       "batch",
			Tasks:          1,
			Cores:          4,
			Idempotent:     &idempotent,
			Command:        []string{"run=60s", "use=100"},
			FailureDomains: domains[:1],
		})
		compliant := w.submit(jobs.Request{
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
			if p := a.worker.CorePercent(overusing + ".1.0"); p > 0 && p < 100 {
				throttled++
			}
		}
		if throttled != 1 {
			t.Errorf("the task was throttled on %d workers, want 1", throttled)
		}
		w.requireJobEnd("overusing", overusing, jobs.Interrupted, jobs.Failed)
		w.requireJobEnd("compliant", compliant, jobs.Done)
		w.runCheckers("usage")
	})
}
