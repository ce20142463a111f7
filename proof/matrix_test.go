package proof

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"hemlockhinge/jobs"
)

// scenario is one protocol: the steps at which faults are injected, and a
// function that runs the protocol and checks its result.
type scenario struct {
	name  string
	steps []string
	run   func(w *simSite, name string)
}

var scenarios = []scenario{
	{
		name:  "start",
		steps: []string{"put job", "reserve", "reserved", "get config", "prepare", "join", "start tasks", "worker start", "member status", "renew", "attempt report"},
		run:   runStart,
	},
	{
		name:  "request",
		steps: []string{"request head", "admitted", "body chunk", "body end", "worker serve", "response head", "put claim", "get claim"},
		run:   runRequests,
	},
	{
		name:  "publish",
		steps: []string{"put config", "get config", "agent config"},
		run:   runPublish,
	},
	{
		name:  "domain out of service and back",
		steps: []string{"put config", "agent config", "stop", "worker checkpoint", "worker stop", "attempt report", "put job", "reserve"},
		run:   runOutOfServiceAndBack,
	},
	{
		name:  "handover",
		steps: []string{"put live", "list job", "announce", "renew"},
		run:   runHandover,
	},
	{
		name:  "planned stop",
		steps: []string{"heartbeat", "request head", "stop", "worker checkpoint", "attempt report"},
		run:   runPlannedStop,
	},
	{
		name:  "preemption",
		steps: []string{"put job", "stop", "worker checkpoint", "worker stop", "attempt report", "reserve", "start tasks"},
		run:   runPreemption,
	},
}

// TestMatrix runs each protocol once for each of its steps and each fault that
// applies to the step, with the fault injected when the step first happens.
func TestMatrix(t *testing.T) {
	n := 0
	for _, s := range scenarios {
		for _, step := range s.steps {
			for _, f := range faults {
				if !f.appliesTo(step) {
					continue
				}
				n++
				c := cell{
					scenario: s,
					faults:   []faultAtStep{{step: step, fault: f}},
				}
				t.Run(c.name(), func(t *testing.T) {
					t.Parallel()
					c.run(t)
				})
			}
		}
	}
	t.Logf("%d cells", n)
}

// faultAtStep is a fault and the step at which it is injected.
type faultAtStep struct {
	step  string
	fault fault
}

// cell is one cell of the fault matrix: a protocol and the faults that are
// injected while it runs.
type cell struct {
	scenario scenario
	faults   []faultAtStep
}

func (c cell) name() string {
	n := c.scenario.name
	for _, f := range c.faults {
		n += "/" + f.step + "/" + f.fault.name
	}
	return n
}

// affects reports whether one of the faults affects one of the scopes.
func (c cell) affects(scopes scope) bool {
	for _, f := range c.faults {
		if f.fault.scope&scopes != 0 {
			return true
		}
	}
	return false
}

// run runs the protocol with the faults, and then the checkers. It fails if the
// first step does not happen, since no fault was injected then. The second step
// need not happen, because the first fault may prevent it.
func (c cell) run(t *testing.T) {
	inSimulation(t, func(w *simSite) {
		fired := w.injectFaults(c.faults)
		c.scenario.run(w, c.name())
		w.runCheckers(c.name())
		w.runCheckersFor(c)
		if !fired() {
			t.Errorf("%s: the step of the first fault never happened, so no fault was injected", c.name())
		}
	})
}

// jobEndTimeout is how long a job may take to end, whatever the injected fault.
const jobEndTimeout = 15 * time.Minute

// requireJobEnd fails the test unless a job ends in one of the given states or is
// cancelled.
func (w *simSite) requireJobEnd(name, id string, states ...jobs.State) {
	w.t.Helper()
	j := w.awaitEnd(id, jobEndTimeout)
	for _, s := range append(states, jobs.Cancelled) {
		if j.State == s {
			return
		}
	}
	w.t.Errorf("%s: job %s is in state %q after %s: %s", name, id, j.State, jobEndTimeout, j.Reason)
	b, _ := json.Marshal(j)
	w.t.Logf("job: %s", b)
	for _, p := range w.entries {
		b, _ := json.Marshal(p.entry.Status())
		w.t.Logf("status: %s", b)
	}
}

func runStart(w *simSite, name string) {
	a := w.submit(gangRequest(3, 5*time.Second))
	r := gangRequest(2, 5*time.Second)
	r.Idempotent = new(bool)
	b := w.submit(r)
	w.requireJobEnd(name, a, jobs.Done)
	w.requireJobEnd(name, b, jobs.Done, jobs.Interrupted, jobs.Failed)
}

func runRequests(w *simSite, name string) {
	for i := range 6 {
		id := fmt.Sprintf("r%d", i)
		w.background.Go(func() {
			switch i % 3 {
			case 0:
				w.call("entry-1", id, "", true, 100*time.Millisecond)
			case 1:
				w.call("entry-1", id, "", false, 100*time.Millisecond)
			case 2:
				w.callWithKey(id)
			}
		})
	}
	time.Sleep(2 * time.Minute)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.exchanges {
		if x.endedAt.IsZero() {
			w.t.Errorf("%s: request %s did not end", name, x.ledgerID)
		}
	}
}

// callWithKey sends a request with an idempotency key, through the entries in
// turn, until it succeeds, as a careful caller does.
func (w *simSite) callWithKey(id string) {
	for i := range 8 {
		x := w.call(fmt.Sprintf("entry-%d", i%entryCount+1), id, "key-"+id, false, 100*time.Millisecond)
		if x.err == nil && x.status == 200 {
			return
		}
		time.Sleep(3 * time.Second)
	}
}

func runPublish(w *simSite, name string) {
	id := w.submit(gangRequest(1, 30*time.Second))
	time.Sleep(3 * time.Second)
	j, _ := w.job(id)
	if err := w.setOutOfService(domains[0], true); err == nil {
		time.Sleep(longFaultTime + 2*time.Second)
	}
	w.publishWithRetries(name)
	w.requireConfigInForce(name)
	if j.Domain == domains[0] {
		w.requireJobEnd(name, id, jobs.Done)
	}
}

// publishWithRetries retries the publication of the configuration until it is
// accepted, as an operator would after an outage. It fails the test after 60
// attempts.
func (w *simSite) publishWithRetries(name string) {
	w.t.Helper()
	for range 60 {
		if w.publish() == nil {
			return
		}
		time.Sleep(5 * time.Second)
	}
	w.t.Errorf("%s: the configuration could not be published", name)
}

func runOutOfServiceAndBack(w *simSite, name string) {
	var l []string
	for range 4 {
		l = append(l, w.submit(gangRequest(1, 20*time.Second)))
	}
	time.Sleep(4 * time.Second)
	_ = w.setOutOfService(domains[0], true)
	time.Sleep(20 * time.Second)
	_ = w.setOutOfService(domains[0], false)
	w.publishWithRetries(name)
	for _, id := range l {
		w.requireJobEnd(name, id, jobs.Done)
	}
}

func runHandover(w *simSite, name string) {
	a := w.submit(gangRequest(3, 30*time.Second))
	time.Sleep(4 * time.Second)
	w.kill("entry-1", false, restartDelay)
	b := w.submit(gangRequest(2, 5*time.Second))
	w.requireJobEnd(name, a, jobs.Done)
	w.requireJobEnd(name, b, jobs.Done)
}

func runPlannedStop(w *simSite, name string) {
	id := w.submit(gangRequest(2, 20*time.Second))
	for i := range 8 {
		w.background.Go(func() {
			w.call(fmt.Sprintf("entry-%d", i%2+1), fmt.Sprintf("r%d", i), "", false, 4*time.Second)
		})
	}
	time.Sleep(3 * time.Second)
	j, _ := w.job(id)
	lead := domains[0] + "-w0"
	if len(j.Parts) > 0 {
		lead = j.Parts[0].Worker
	}
	w.stopGracefully(lead)
	w.stopGracefully("entry-1")
	time.Sleep(5 * time.Second)
	for i := range 12 {
		w.call("entry-2", fmt.Sprintf("later%d", i), "", true, 0)
	}
	time.Sleep(time.Minute)
	w.plannedStopDone = true
	w.replaceIfStopped(lead)
	w.replaceIfStopped("entry-1")
	w.requireJobEnd(name, id, jobs.Done)
}

// replaceIfStopped replaces a process by a new one if it has stopped.
func (w *simSite) replaceIfStopped(id string) {
	p := w.proc(id)
	select {
	case <-p.done:
	default:
		return
	}
	w.kill(id, false, 0)
	time.Sleep(time.Second)
}

func runPreemption(w *simSite, name string) {
	var l []string
	for range len(domains) * workersPerDomain {
		l = append(l, w.submit(gangRequest(1, 40*time.Second)))
	}
	time.Sleep(5 * time.Second)
	r := gangRequest(2, 5*time.Second)
	r.Customer = "pharmacies"
	r.Adjacency = "rack"
	id := w.submit(r)
	w.requireJobEnd(name, id, jobs.Done, jobs.Failed)
	for _, v := range l {
		w.requireJobEnd(name, v, jobs.Done, jobs.Failed)
	}
}
