package proof

import (
	"testing"
	"time"

	"hemlockhinge/jobs"
)

// urgentStartBound is the required bound on the time from the submission of an
// urgent job to its start.
const urgentStartBound = 8300 * time.Millisecond

// scheduledBy returns a failure domain whose scheduler is the given entry.
func (w *simSite) scheduledBy(entry string) string {
	w.t.Helper()
	for _, d := range w.entries["entry-2"].entry.Status().FailureDomains {
		if d.Scheduler == entry {
			return d.Name
		}
	}
	w.t.Fatalf("%s schedules no failure domain", entry)
	return ""
}

// startDelay returns the time from submission to the start of the job's first
// task, or jobEndTimeout if no task has started.
func (w *simSite) startDelay(id string, from time.Time) time.Duration {
	w.t.Helper()
	first := time.Time{}
	for _, l := range w.spans()[id] {
		for _, s := range l {
			if first.IsZero() || s.From.Before(first) {
				first = s.From
			}
		}
	}
	if first.IsZero() {
		return jobEndTimeout
	}
	return first.Sub(from)
}

// TestUrgentStart checks that urgent jobs start in time when no capacity is free,
// and when the scheduler of their failure domain stops or fails just before they
// are submitted.
func TestUrgentStart(t *testing.T) {
	for _, c := range []struct {
		name           string
		noFreeCapacity bool
		inject         func(w *simSite)
	}{
		{name: "free capacity", inject: func(*simSite) {}},
		{name: "no free capacity, other jobs are preempted", noFreeCapacity: true, inject: func(*simSite) {}},
		{name: "the machine of the scheduler fails", inject: func(w *simSite) { w.kill("entry-1", true, time.Minute) }},
		{name: "the scheduler is killed", inject: func(w *simSite) { w.kill("entry-1", false, time.Minute) }},
		{name: "the scheduler is drained", inject: func(w *simSite) { w.stopGracefully("entry-1") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			inSimulation(t, func(w *simSite) {
				if c.noFreeCapacity {
					for range len(domains) * workersPerDomain {
						w.submit(gangRequest(1, 10*time.Minute))
					}
					time.Sleep(5 * time.Second)
				}
				d := w.scheduledBy("entry-1")
				c.inject(w)
				r := gangRequest(1, time.Second)
				r.JobClass = "urgent"
				r.FailureDomains = []string{d}
				n := time.Now()
				var j jobs.Job
				if _, err := w.callAPI("POST", "entry-2", "/v1/jobs", "", r, &j); err != nil {
					t.Fatal(err)
				}
				time.Sleep(30 * time.Second)
				s := w.startDelay(j.ID, n)
				t.Logf("started after %s", s)
				if s > urgentStartBound {
					t.Errorf("urgent job started after %s, bound %s", s, urgentStartBound)
				}
			})
		})
	}
}
