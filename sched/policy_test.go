package sched

import (
	"fmt"
	"testing"
	"time"

	"hemlockhinge/conf"
	"hemlockhinge/pack"
)

// bench is a State of one failure domain for small tests.
type bench struct {
	t   *testing.T
	s   *State
	o   *conf.Objects
	now time.Time
}

func newBench(t *testing.T, workers int) *bench {
	t.Helper()
	u := newOurs(site{
		domains: domainsOf([]int{workers}, pack.Size{Accelerators: 8, Cores: 128, Memory: 256}),
	})
	return &bench{
		t:   t,
		s:   u.states[0],
		o:   u.o,
		now: epoch,
	}
}

// jobOf makes a job of n tasks with a accelerators each.
func (b *bench) jobOf(id, customer, class string, n, a int) Job {
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

func (b *bench) submit(j Job) { b.s.Submit(j) }

// pass lets time pass and decides; started jobs are reported to run.
func (b *bench) pass(d time.Duration) map[string]Decision {
	b.now = b.now.Add(d)
	m := map[string]Decision{}
	for _, v := range b.s.Decide(b.now) {
		m[v.Job()] = v
		if v.Kind() == Start {
			b.s.Began(v.Job(), b.now)
		}
	}
	return m
}

func (b *bench) wantKind(m map[string]Decision, id string, k Kind) {
	b.t.Helper()
	if d := m[id]; d.Kind() != k {
		b.t.Errorf("job %s: decision %d, want %d", id, d.Kind(), k)
	}
}

func (b *bench) end(id string, e Ending) { b.s.Ended(id, e, b.now) }

func TestClaimPreemptsBorrowed(t *testing.T) {
	b := newBench(t, 3)
	for i := range 3 {
		b.submit(b.jobOf(fmt.Sprintf("b%d", i), "b", "batch", 1, 8))
	}
	b.pass(time.Second)
	j := b.jobOf("claim", "a", "batch", 2, 8)
	j.Shape.Adjacency = pack.AdjacentRack
	b.submit(j)
	m := b.pass(time.Second)
	if len(m) != 2 {
		t.Fatalf("%d decisions, want two preemptions: %v", len(m), m)
	}
	for id, d := range m {
		if d.Kind() != Preempt {
			t.Errorf("job %s: decision %d, want a preemption", id, d.Kind())
		}
		b.end(id, Ending{Again: true})
	}
	m = b.pass(time.Second)
	b.wantKind(m, "claim", Start)
	if m["claim"].Claim() != "ga" {
		t.Errorf("claim is %q", m["claim"].Claim())
	}
}

func TestGuaranteedWorkIsNotPreempted(t *testing.T) {
	b := newBench(t, 2)
	j := b.jobOf("claim", "a", "batch", 2, 8)
	j.Shape.Adjacency = pack.AdjacentRack
	b.submit(j)
	b.wantKind(b.pass(time.Second), "claim", Start)
	b.submit(b.jobOf("urgent", "b", "urgent", 1, 8))
	for range 10 {
		if m := b.pass(time.Minute); len(m) != 0 {
			t.Fatalf("decisions %v while only guaranteed work runs", m)
		}
	}
}

func TestUrgentPreemptsLessUrgent(t *testing.T) {
	b := newBench(t, 2)
	b.submit(b.jobOf("x", "b", "batch", 1, 8))
	b.submit(b.jobOf("y", "b", "batch", 1, 8))
	b.pass(time.Second)
	b.submit(b.jobOf("urgent", "c", "urgent", 1, 2))
	m := b.pass(time.Second)
	if len(m) != 1 {
		t.Fatalf("decisions %v, want one preemption", m)
	}
}

func TestNeverRunnableIsRefusedAtOnce(t *testing.T) {
	b := newBench(t, 2)
	b.submit(b.jobOf("huge", "b", "batch", 3, 8))
	b.submit(b.jobOf("small", "b", "batch", 1, 1))
	m := b.pass(time.Second)
	b.wantKind(m, "huge", Never)
	b.wantKind(m, "small", Start)
}

func TestTodaysCapacityOnlyWaits(t *testing.T) {
	b := newBench(t, 3)
	b.s.SetWorkers([]WorkerInfo{{ID: "0", Rack: "0", Capacity: pack.Size{Accelerators: 8, Cores: 128, Memory: 256}, Usable: true}})
	b.submit(b.jobOf("later", "b", "batch", 3, 8))
	b.submit(b.jobOf("small", "b", "batch", 1, 1))
	m := b.pass(time.Second)
	b.wantKind(m, "small", Start)
	if _, ok := m["later"]; ok {
		t.Errorf("decision %v for a job that only today's capacity cannot hold", m["later"])
	}
}

func TestBackfillDoesNotDelay(t *testing.T) {
	b := newBench(t, 2)
	long := b.jobOf("long", "b", "batch", 1, 8)
	long.RunTime = time.Hour
	b.submit(long)
	b.pass(time.Second)
	b.submit(b.jobOf("large", "b", "batch", 2, 8))
	b.pass(time.Second)
	short := b.jobOf("short", "b", "batch", 1, 4)
	b.submit(short)
	slow := b.jobOf("slow", "b", "batch", 1, 4)
	slow.RunTime = 5 * time.Hour
	b.submit(slow)
	m := b.pass(time.Second)
	b.wantKind(m, "short", Start)
	if _, ok := m["slow"]; ok {
		t.Error("a job that would delay the reservation was started")
	}
}

func TestOvertakersGiveWayWhenOverdue(t *testing.T) {
	b := newBench(t, 2)
	b.submit(b.jobOf("first", "b", "batch", 1, 8))
	b.pass(time.Second)
	b.submit(b.jobOf("large", "b", "batch", 2, 8))
	b.pass(time.Second)
	liar := b.jobOf("liar", "c", "batch", 1, 8)
	liar.RunTime = time.Minute
	b.submit(liar)
	b.wantKind(b.pass(time.Second), "liar", Start)
	b.end("first", Ending{Success: true})
	for range 60 {
		if m := b.pass(time.Minute); m["liar"].Kind() == Preempt {
			return
		}
	}
	t.Error("a job that runs longer than it said keeps the place of one that it overtook")
}

func TestQuarantine(t *testing.T) {
	t.Run("a worker that fails everything", func(t *testing.T) {
		b := newBench(t, 8)
		for i := range 3 {
			id := fmt.Sprintf("j%d", i)
			b.submit(b.jobOf(id, "b", "batch", 1, 8))
			m := b.pass(time.Second)
			b.wantKind(m, id, Start)
			b.end(id, Ending{Failed: true, Blame: "0"})
		}
		if l := b.s.View().Quarantined; len(l) != 1 || l[0] != "0" {
			t.Fatalf("quarantined %v, want worker 0", l)
		}
		b.pass(2 * time.Minute)
		if l := b.s.View().Quarantined; len(l) != 0 {
			t.Errorf("quarantined %v after its time", l)
		}
		b.submit(b.jobOf("probe", "b", "batch", 1, 8))
		b.pass(time.Second)
		b.end("probe", Ending{Failed: true, Blame: "0"})
		if l := b.s.View().Quarantined; len(l) != 1 {
			t.Error("a worker on probation that fails again is not quarantined")
		}
	})
	t.Run("a bad job does not condemn workers", func(t *testing.T) {
		b := newBench(t, 8)
		for i := range 6 {
			b.submit(b.jobOf("bad", "b", "batch", 1, 8))
			b.pass(time.Second)
			b.end("bad", Ending{Failed: true, Blame: fmt.Sprint(i)})
		}
		if l := b.s.View().Quarantined; len(l) != 0 {
			t.Errorf("quarantined %v on account of one job", l)
		}
	})
	t.Run("no more than a quarter", func(t *testing.T) {
		b := newBench(t, 8)
		for w := range 8 {
			for i := range 4 {
				id := fmt.Sprintf("j%d-%d", w, i)
				b.submit(b.jobOf(id, "b", "batch", 1, 1))
				b.pass(time.Second)
				b.end(id, Ending{Failed: true, Blame: fmt.Sprint(w)})
			}
		}
		if l := b.s.View().Quarantined; len(l) != 2 {
			t.Errorf("quarantined %v, want 2 of 8", l)
		}
	})
}

func TestDomainLeavesAndReturns(t *testing.T) {
	b := newBench(t, 20)
	for i := range 20 {
		b.submit(b.jobOf(fmt.Sprintf("j%d", i), "b", "batch", 1, 8))
	}
	b.pass(time.Second)
	once := b.jobOf("once", "c", "batch", 1, 0)
	once.Once = true
	once.Shape.Size.Cores = 1
	b.submit(once)
	b.pass(time.Second)
	b.setOut(true)
	m := b.pass(time.Second)
	if len(m) != 20 {
		t.Errorf("%d decisions, want all 20 but the one that may not run twice to give way", len(m))
	}
	for id, d := range m {
		if d.Kind() != Preempt {
			t.Errorf("job %s: decision %d while the failure domain is out", id, d.Kind())
		}
		b.end(id, Ending{Again: true})
	}
	if m := b.pass(5 * time.Second); len(m) != 0 {
		t.Errorf("decisions %v while the failure domain is out", m)
	}
	b.setOut(false)
	n := len(b.pass(time.Second))
	if n == 0 || n > 5 {
		t.Errorf("%d starts in the first second after the return, want a ramp", n)
	}
	for range 30 {
		n += len(b.pass(time.Second))
	}
	if n != 20 {
		t.Errorf("%d starts in the half minute after the return, want 20", n)
	}
}

func (b *bench) setOut(out bool) {
	b.o.FailureDomains[0].Out = out
	b.s.SetObjects(b.o, unitsOf(b.o, "d0"), "d0", b.now)
}

func TestCustomerLimits(t *testing.T) {
	b := newBench(t, 4)
	b.o.Customers[1].MaxRunningAccelerators = 16
	b.o.Customers[2].MaxRunningTasks = 1
	b.s.SetObjects(b.o, unitsOf(b.o, "d0"), "d0", b.now)
	for i := range 3 {
		b.submit(b.jobOf(fmt.Sprintf("b%d", i), "b", "batch", 1, 8))
		b.submit(b.jobOf(fmt.Sprintf("c%d", i), "c", "batch", 1, 1))
	}
	n := map[byte]int{}
	for id := range b.pass(time.Second) {
		n[id[0]]++
	}
	if n['b'] != 2 || n['c'] != 1 {
		t.Errorf("started %d of b and %d of c, limits 2 and 1", n['b'], n['c'])
	}
}

func TestLearner(t *testing.T) {
	var l Learner
	j := Job{Customer: "b", Class: "batch", RunTime: time.Hour}
	if l.Likely(j) != time.Hour || l.Pessimistic(j) != 2*time.Hour {
		t.Errorf("blind estimates %s and %s", l.Likely(j), l.Pessimistic(j))
	}
	for range 20 {
		l.Observe(j, 6*time.Minute)
	}
	if d := l.Likely(j); d < 5*time.Minute || d > 7*time.Minute {
		t.Errorf("estimate %s of jobs that take a tenth of what they declare", d)
	}
}

func TestDue(t *testing.T) {
	b := newBench(t, 1)
	b.pass(time.Second)
	if b.s.Due(b.now) {
		t.Error("due though nothing has changed")
	}
	b.submit(b.jobOf("x", "b", "batch", 1, 8))
	if !b.s.Due(b.now) {
		t.Error("not due after a job came")
	}
	b.pass(time.Second)
	b.pass(time.Second)
	b.end("x", Ending{Again: true})
	b.pass(0)
	if b.s.Due(b.now) || !b.s.Due(b.now.Add(restartPause)) {
		t.Error("not due just when the job may start again")
	}
	b.wantKind(b.pass(restartPause), "x", Start)
	b.pass(time.Second)
	if b.s.Due(b.now) || !b.s.Due(b.now.Add(lookAgain)) {
		t.Error("not due after a while")
	}
}

// TestClaimTakesThePlaceOfAWaitingJob covers the pattern of a large job for which
// others make room when a customer claims its guarantee there: the place that is
// kept for the large job gives way, or each would wait for the other.
func TestClaimTakesThePlaceOfAWaitingJob(t *testing.T) {
	b := newBench(t, 3)
	small := []string{"s0", "s1", "s2", "s3"}
	for _, id := range small {
		b.submit(b.jobOf(id, "b", "batch", 1, 1))
	}
	b.pass(time.Second)
	b.submit(b.jobOf("large", "b", "batch", 3, 8))
	b.pass(time.Second)
	m := b.pass(moveSlack + time.Second)
	for _, id := range small {
		b.wantKind(m, id, Preempt)
	}
	j := b.jobOf("claim", "a", "batch", 2, 8)
	j.Shape.Adjacency = pack.AdjacentRack
	b.submit(j)
	b.wantKind(b.pass(time.Second), "claim", Start)
}
