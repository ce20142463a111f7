package proof

import (
	"context"
	"testing"
	"time"

	"hemlockhinge/jobs"
	"hemlockhinge/worker"
)

// violation is a deliberate violation of a property that the property's checker
// must detect.
type violation struct {
	name  string
	check func(w *simSite) []string
	cause func(w *simSite)
}

// TestCheckersDetectViolations guards against checkers that never fail: it
// violates the property of each checker, which must report the violation.
func TestCheckersDetectViolations(t *testing.T) {
	for _, p := range []violation{
		{name: "a gang with only one member", check: checkGangsComplete, cause: causePartialGang},
		{name: "a job that runs twice", check: checkJobsNotRepeated, cause: causeSecondAttempt},
		{name: "a start in a failure domain that is out of service", check: checkOutOfService, cause: causeStartWhileOutOfService},
		{name: "a response with a wrong body", check: checkResponses, cause: causeWrongResponse},
		{name: "a refused request that ran", check: checkNotRun, cause: causeRunOfRefusedRequest},
		{name: "a non-idempotent request that runs twice", check: checkAtMostOnce, cause: causeRepeatedRequest},
		{name: "a start on a draining target", check: checkDraining, cause: causeStartWhileDraining},
		{name: "an entry that is killed instead of drained", check: checkAllAnswered, cause: causeKilledEntry},
		{name: "an agent that does not receive a configuration change", check: checkConfigInForce, cause: causeOutdatedAgent},
		{name: "a guarantee that is not met in time", check: checkReclaimTime, cause: causeMissedGuarantee},
		{name: "a request that is not answered", check: checkRequestsWithoutKey, cause: causeUnansweredRequest},
		{name: "a running gang that is stopped", check: checkTasksNotStopped, cause: causeStoppedTask},
	} {
		t.Run(p.name, func(t *testing.T) {
			t.Parallel()
			inSimulation(t, func(w *simSite) {
				p.cause(w)
				if len(p.check(w)) == 0 {
					t.Error("the checker did not report the violation")
				}
			})
		})
	}
}

// startTaskDirectly starts a task on a worker without the knowledge of its agent.
func (w *simSite) startTaskDirectly(task string) {
	w.t.Helper()
	err := w.agents["split-a-w0"].worker.Start(context.Background(), worker.Task{
		ID:          task,
		Command:     []string{"run=20s"},
		StartBefore: time.Now().Add(time.Second),
		LeaseUntil:  time.Now().Add(time.Minute),
	})
	if err != nil {
		w.t.Fatal(err)
	}
}

// completedJob runs a job of two tasks to its end and returns its id.
func (w *simSite) completedJob(idempotent bool) string {
	r := gangRequest(2, time.Second)
	r.Idempotent = &idempotent
	id := w.submit(r)
	w.requireJobEnd("violation", id, jobs.Done)
	return id
}

func causePartialGang(w *simSite) {
	w.startTaskDirectly(w.completedJob(true) + ".9.0")
	time.Sleep(10 * time.Second)
}

func causeSecondAttempt(w *simSite) { w.startTaskDirectly(w.completedJob(false) + ".9.0") }

func causeStartWhileOutOfService(w *simSite) {
	if err := w.setOutOfService(domains[0], true); err != nil {
		w.t.Fatal(err)
	}
	time.Sleep(outOfServiceBound + time.Second)
	w.startTaskDirectly("x.1.0")
}

func causeWrongResponse(w *simSite) {
	w.mu.Lock()
	w.forcedBodySize = "20"
	w.mu.Unlock()
	w.call("entry-1", "r1", "", true, 0)
}

func causeRunOfRefusedRequest(w *simSite) {
	w.store.SetUnavailable(true)
	x := w.call("entry-1", "r1", "key", false, 0)
	if x.outcome != "not_run" {
		w.t.Fatalf("outcome %q", x.outcome)
	}
	w.store.SetUnavailable(false)
	w.serveDirectly("r1")
}

// serveDirectly runs a request on a worker without the knowledge of its agent.
func (w *simSite) serveDirectly(ledger string) {
	r := newRequest(w, ledger)
	p, err := w.agents["split-a-w0"].worker.Serve(r, "raspored", false)
	if err != nil {
		w.t.Fatal(err)
	}
	_ = p.Body.Close()
}

func causeRepeatedRequest(w *simSite) {
	w.call("entry-1", "r1", "", false, 0)
	w.serveDirectly("r1")
}

func causeStartWhileDraining(w *simSite) {
	w.stopGracefully("split-a-w0")
	time.Sleep(drainBound + time.Second)
	w.startTaskDirectly("x.1.0")
	time.Sleep(time.Second)
}

func causeKilledEntry(w *simSite) {
	w.background.Go(func() { w.call("entry-1", "r1", "", false, 5*time.Second) })
	time.Sleep(time.Second)
	w.kill("entry-1", false, time.Second)
	time.Sleep(10 * time.Second)
}

func causeOutdatedAgent(w *simSite) {
	for _, e := range []string{"entry-1", "entry-2"} {
		w.cut(e, "split-a-w0")
		w.cut("split-a-w0", e)
	}
	w.mustPublish()
}

func causeMissedGuarantee(w *simSite) {
	r := gangRequest(2, time.Second)
	r.Customer = "pharmacies"
	r.Adjacency = "rack"
	id := w.submit(r)
	w.store.SetUnavailable(true)
	time.Sleep(time.Minute)
	w.store.SetUnavailable(false)
	w.requireJobEnd("violation", id, jobs.Done)
}

func causeUnansweredRequest(w *simSite) {
	for _, a := range w.agents {
		a.host.Gate().Freeze()
		defer a.host.Gate().Thaw()
	}
	w.call("entry-1", "r1", "", true, 0)
}

func causeStoppedTask(w *simSite) {
	w.submit(gangRequest(1, 20*time.Second))
	time.Sleep(4 * time.Second)
	for _, a := range w.agents {
		a.worker.Crash()
	}
}
