package proof

import (
	"fmt"
	"testing"
	"time"

	"hemlockhinge/jobs"
)

// gangRequest returns a job of n tasks, each of which uses all accelerators of a
// worker.
func gangRequest(n int, run time.Duration) jobs.Request {
	return jobs.Request{
		Customer:     "bakeries",
		JobClass:     "batch",
		Tasks:        n,
		Accelerators: 8,
		Command:      []string{"run=" + run.String()},
	}
}

// TestSiteWithoutFaults checks that requests and a gang succeed when no fault
// is injected.
func TestSiteWithoutFaults(t *testing.T) {
	inSimulation(t, func(w *simSite) {
		id := w.submit(gangRequest(3, 5*time.Second))
		for i := range 20 {
			x := w.call(fmt.Sprintf("entry-%d", i%2+1), fmt.Sprintf("r%d", i), "", i%2 == 0, 10*time.Millisecond)
			if x.status != 200 {
				t.Errorf("request %s: status %d, outcome %s, error %v", x.ledgerID, x.status, x.outcome, x.err)
			}
		}
		j := w.awaitEnd(id, time.Minute)
		if j.State != jobs.Done {
			t.Errorf("job is %s: %s", j.State, j.Reason)
		}
		w.runCheckers("no fault")
	})
}
