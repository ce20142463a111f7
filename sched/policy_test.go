package sched

import (
	"fmt"
	"testing"
	"time"

	"hemlockhinge/conf"
	"hemlockhinge/pack"
)

// testDomain is a State of one failure domain, with its own clock.
type testDomain struct {
	t       *testing.T
	state   *State
	objects *conf.Objects
	now     time.Time
}

func newTestDomain(t *testing.T, workers int) *testDomain {
	t.Helper()
	u := newStatePolicy(site{
		domains: domainsOf([]int{workers}, pack.Size{Accelerators: 8, Cores: 128, MemoryGiB: 256}),
	})
	return &testDomain{
		t:       t,
		state:   u.states[0],
		objects: u.objects,
		now:     epoch,
	}
}

// jobOf makes a job of n tasks with a accelerators each.
func (b *testDomain) jobOf(id, customer, class string, n, a int) Job {
	return Job{
		ID:       id,
		Customer: customer,
		Class:    class,
		RunTime:  10 * time.Minute,
		Created:  b.now,
		Shape: pack.Shape{
			Tasks: n,
			Size:  pack.Size{Accelerators: a},
		},
	}
}

func (b *testDomain) submit(j Job) { b.state.Submit(j) }

// advance moves the clock on and calls Decide; jobs that it starts are reported to
// run.
func (b *testDomain) advance(d time.Duration) map[string]Decision {
	b.now = b.now.Add(d)
	m := map[string]Decision{}
	for _, v := range b.state.Decide(b.now) {
		m[v.Job()] = v
		if v.Kind() == Start {
			b.state.MarkRunning(v.Job(), b.now)
		}
	}
	return m
}

func (b *testDomain) wantKind(m map[string]Decision, id string, k Kind) {
	b.t.Helper()
	if d := m[id]; d.Kind() != k {
		b.t.Errorf("job %s: decision %d, want %d", id, d.Kind(), k)
	}
}

func (b *testDomain) end(id string, e AttemptEnd) { b.state.MarkEnded(id, e, b.now) }

func TestClaimPreemptsBorrowingJobs(t *testing.T) {
	b := newTestDomain(t, 3)
	for i := range 3 {
		b.submit(b.jobOf(fmt.Sprintf("b%d", i), "b", "batch", 1, 8))
	}
	b.advance(time.Second)
	j := b.jobOf("claim", "a", "batch", 2, 8)
	j.Shape.Adjacency = pack.AdjacentRack
	b.submit(j)
	m := b.advance(time.Second)
	if len(m) != 2 {
		t.Fatalf("%d decisions, want two preemptions: %v", len(m), m)
	}
	for id, d := range m {
		if d.Kind() != Preempt {
			t.Errorf("job %s: decision %d, want Preempt", id, d.Kind())
		}
		b.end(id, AttemptEnd{Requeue: true})
	}
	m = b.advance(time.Second)
	b.wantKind(m, "claim", Start)
	if m["claim"].Claim() != "ga" {
		t.Errorf("claim is %q", m["claim"].Claim())
	}
}

func TestGuaranteedJobIsNotPreempted(t *testing.T) {
	b := newTestDomain(t, 2)
	j := b.jobOf("claim", "a", "batch", 2, 8)
	j.Shape.Adjacency = pack.AdjacentRack
	b.submit(j)
	b.wantKind(b.advance(time.Second), "claim", Start)
	b.submit(b.jobOf("urgent", "b", "urgent", 1, 8))
	for range 10 {
		if m := b.advance(time.Minute); len(m) != 0 {
			t.Fatalf("decisions %v while only guaranteed work runs", m)
		}
	}
}

func TestUrgentJobPreemptsLessUrgent(t *testing.T) {
	b := newTestDomain(t, 2)
	b.submit(b.jobOf("x", "b", "batch", 1, 8))
	b.submit(b.jobOf("y", "b", "batch", 1, 8))
	b.advance(time.Second)
	b.submit(b.jobOf("urgent", "c", "urgent", 1, 2))
	m := b.advance(time.Second)
	if len(m) != 1 {
		t.Fatalf("decisions %v, want one preemption", m)
	}
}

func TestUnschedulableJobIsRejected(t *testing.T) {
	b := newTestDomain(t, 2)
	b.submit(b.jobOf("huge", "b", "batch", 3, 8))
	b.submit(b.jobOf("small", "b", "batch", 1, 1))
	m := b.advance(time.Second)
	b.wantKind(m, "huge", Unschedulable)
	b.wantKind(m, "small", Start)
}

func TestJobBeyondPresentCapacityWaits(t *testing.T) {
	b := newTestDomain(t, 3)
	b.state.SetWorkers([]WorkerInfo{{ID: "0", Rack: "0", Capacity: pack.Size{Accelerators: 8, Cores: 128, MemoryGiB: 256}, Usable: true}})
	b.submit(b.jobOf("later", "b", "batch", 3, 8))
	b.submit(b.jobOf("small", "b", "batch", 1, 1))
	m := b.advance(time.Second)
	b.wantKind(m, "small", Start)
	if _, ok := m["later"]; ok {
		t.Errorf("decision %v for a job that fits the declared capacity", m["later"])
	}
}

func TestBackfillDoesNotDelayReservation(t *testing.T) {
	b := newTestDomain(t, 2)
	long := b.jobOf("long", "b", "batch", 1, 8)
	long.RunTime = time.Hour
	b.submit(long)
	b.advance(time.Second)
	b.submit(b.jobOf("large", "b", "batch", 2, 8))
	b.advance(time.Second)
	short := b.jobOf("short", "b", "batch", 1, 4)
	b.submit(short)
	slow := b.jobOf("slow", "b", "batch", 1, 4)
	slow.RunTime = 5 * time.Hour
	b.submit(slow)
	m := b.advance(time.Second)
	b.wantKind(m, "short", Start)
	if _, ok := m["slow"]; ok {
		t.Error("started a job that delays the reservation")
	}
}

func TestBackfilledJobIsPreemptedForOverdueJob(t *testing.T) {
	b := newTestDomain(t, 2)
	b.submit(b.jobOf("first", "b", "batch", 1, 8))
	b.advance(time.Second)
	b.submit(b.jobOf("large", "b", "batch", 2, 8))
	b.advance(time.Second)
	overrunning := b.jobOf("overrunning", "c", "batch", 1, 8)
	overrunning.RunTime = time.Minute
	b.submit(overrunning)
	b.wantKind(b.advance(time.Second), "overrunning", Start)
	b.end("first", AttemptEnd{Success: true})
	for range 60 {
		if m := b.advance(time.Minute); m["overrunning"].Kind() == Preempt {
			return
		}
	}
	t.Error("a backfilled job that exceeds its declared run time was not preempted for the job that it overtook")
}

func TestQuarantine(t *testing.T) {
	t.Run("a worker on which different jobs fail", func(t *testing.T) {
		b := newTestDomain(t, 8)
		for i := range 3 {
			id := fmt.Sprintf("j%d", i)
			b.submit(b.jobOf(id, "b", "batch", 1, 8))
			m := b.advance(time.Second)
			b.wantKind(m, id, Start)
			b.end(id, AttemptEnd{Failed: true, BlamedWorker: "0"})
		}
		if l := b.state.View().Quarantined; len(l) != 1 || l[0] != "0" {
			t.Fatalf("quarantined %v, want worker 0", l)
		}
		b.advance(2 * time.Minute)
		if l := b.state.View().Quarantined; len(l) != 0 {
			t.Errorf("quarantined %v after the end of the quarantine", l)
		}
		b.submit(b.jobOf("probe", "b", "batch", 1, 8))
		b.advance(time.Second)
		b.end("probe", AttemptEnd{Failed: true, BlamedWorker: "0"})
		if l := b.state.View().Quarantined; len(l) != 1 {
			t.Error("a worker on probation that fails again is not quarantined")
		}
	})
	t.Run("a job that fails everywhere", func(t *testing.T) {
		b := newTestDomain(t, 8)
		for i := range 6 {
			b.submit(b.jobOf("bad", "b", "batch", 1, 8))
			b.advance(time.Second)
			b.end("bad", AttemptEnd{Failed: true, BlamedWorker: fmt.Sprint(i)})
		}
		if l := b.state.View().Quarantined; len(l) != 0 {
			t.Errorf("quarantined %v because of one job", l)
		}
	})
	t.Run("at most a quarter of the workers", func(t *testing.T) {
		b := newTestDomain(t, 8)
		for w := range 8 {
			for i := range 4 {
				id := fmt.Sprintf("j%d-%d", w, i)
				b.submit(b.jobOf(id, "b", "batch", 1, 1))
				b.advance(time.Second)
				b.end(id, AttemptEnd{Failed: true, BlamedWorker: fmt.Sprint(w)})
			}
		}
		if l := b.state.View().Quarantined; len(l) != 2 {
			t.Errorf("quarantined %v, want 2 of 8", l)
		}
	})
}

func TestDomainOutOfServiceAndBack(t *testing.T) {
	b := newTestDomain(t, 20)
	for i := range 20 {
		b.submit(b.jobOf(fmt.Sprintf("j%d", i), "b", "batch", 1, 8))
	}
	b.advance(time.Second)
	once := b.jobOf("once", "c", "batch", 1, 0)
	once.NotRestartable = true
	once.Shape.Size.Cores = 1
	b.submit(once)
	b.advance(time.Second)
	b.setOutOfService(true)
	m := b.advance(time.Second)
	if len(m) != 20 {
		t.Errorf("%d decisions, want 20 preemptions, none of the job that must run only once", len(m))
	}
	for id, d := range m {
		if d.Kind() != Preempt {
			t.Errorf("job %s: decision %d while the failure domain is out", id, d.Kind())
		}
		b.end(id, AttemptEnd{Requeue: true})
	}
	if m := b.advance(5 * time.Second); len(m) != 0 {
		t.Errorf("decisions %v while the failure domain is out", m)
	}
	b.setOutOfService(false)
	n := len(b.advance(time.Second))
	if n == 0 || n > 5 {
		t.Errorf("%d starts in the first second after the return, want a ramp", n)
	}
	for range 30 {
		n += len(b.advance(time.Second))
	}
	if n != 20 {
		t.Errorf("%d starts in the half minute after the return, want 20", n)
	}
}

func (b *testDomain) setOutOfService(out bool) {
	b.objects.FailureDomains[0].OutOfService = out
	b.state.SetObjects(b.objects, unitsOf(b.objects, "d0"), "d0", b.now)
}

func TestCustomerLimits(t *testing.T) {
	b := newTestDomain(t, 4)
	b.objects.Customers[1].MaxRunningAccelerators = 16
	b.objects.Customers[2].MaxRunningTasks = 1
	b.state.SetObjects(b.objects, unitsOf(b.objects, "d0"), "d0", b.now)
	for i := range 3 {
		b.submit(b.jobOf(fmt.Sprintf("b%d", i), "b", "batch", 1, 8))
		b.submit(b.jobOf(fmt.Sprintf("c%d", i), "c", "batch", 1, 1))
	}
	n := map[byte]int{}
	for id := range b.advance(time.Second) {
		n[id[0]]++
	}
	if n['b'] != 2 || n['c'] != 1 {
		t.Errorf("started %d of b and %d of c, limits 2 and 1", n['b'], n['c'])
	}
}

func TestRunTimeEstimator(t *testing.T) {
	var l RunTimeEstimator
	j := Job{Customer: "b", Class: "batch", RunTime: time.Hour}
	if l.Median(j) != time.Hour || l.Pessimistic(j) != 2*time.Hour {
		t.Errorf("estimates without observations %s and %s", l.Median(j), l.Pessimistic(j))
	}
	for range 20 {
		l.Observe(j, 6*time.Minute)
	}
	if d := l.Median(j); d < 5*time.Minute || d > 7*time.Minute {
		t.Errorf("estimate %s for jobs that take a tenth of their declared run time", d)
	}
}

func TestDue(t *testing.T) {
	b := newTestDomain(t, 1)
	b.advance(time.Second)
	if b.state.Due(b.now) {
		t.Error("due although nothing has changed")
	}
	b.submit(b.jobOf("x", "b", "batch", 1, 8))
	if !b.state.Due(b.now) {
		t.Error("not due after a job was submitted")
	}
	b.advance(time.Second)
	b.advance(time.Second)
	b.end("x", AttemptEnd{Requeue: true})
	b.advance(0)
	if b.state.Due(b.now) || !b.state.Due(b.now.Add(restartDelay)) {
		t.Error("not due exactly at the job's next start")
	}
	b.wantKind(b.advance(restartDelay), "x", Start)
	b.advance(time.Second)
	if b.state.Due(b.now) || !b.state.Due(b.now.Add(maxDecideInterval)) {
		t.Error("not due exactly after maxDecideInterval")
	}
}

// TestClaimPreemptsPendingStart guards against a deadlock: others are preempted for
// a large job, and a customer then claims its guaranteed unit on the same workers.
// The pending start of the large job must be cancelled, or it and the claim would
// each wait for the other.
func TestClaimPreemptsPendingStart(t *testing.T) {
	b := newTestDomain(t, 3)
	small := []string{"s0", "s1", "s2", "s3"}
	for _, id := range small {
		b.submit(b.jobOf(id, "b", "batch", 1, 1))
	}
	b.advance(time.Second)
	b.submit(b.jobOf("large", "b", "batch", 3, 8))
	b.advance(time.Second)
	m := b.advance(blockedPreemptInterval + time.Second)
	for _, id := range small {
		b.wantKind(m, id, Preempt)
	}
	j := b.jobOf("claim", "a", "batch", 2, 8)
	j.Shape.Adjacency = pack.AdjacentRack
	b.submit(j)
	b.wantKind(b.advance(time.Second), "claim", Start)
}
