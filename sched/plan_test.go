package sched

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hemlockhinge/conf"
	"hemlockhinge/pack"
)

// The property tests use fixed seeds unless flags say otherwise.
func init() {
	for n, v := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "1000"} {
		if err := flag.Set(n, v); err != nil {
			panic(err)
		}
	}
}

// smallCluster is a cluster small enough for an exhaustive search.
type smallCluster struct {
	workers int
	rack    int
	size    int
	taken   []int
	units   []pack.Shape
}

func drawSmallCluster(t *rapid.T) smallCluster {
	c := smallCluster{
		workers: rapid.IntRange(2, 5).Draw(t, "workers"),
		rack:    rapid.IntRange(1, 3).Draw(t, "rack"),
		size:    rapid.IntRange(2, 4).Draw(t, "size"),
	}
	for i := range c.workers {
		c.taken = append(c.taken, rapid.IntRange(0, c.size).Draw(t, fmt.Sprintf("taken %d", i)))
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "units") {
		c.units = append(c.units, pack.Shape{
			Tasks:     rapid.IntRange(1, 3).Draw(t, fmt.Sprintf("tasks %d", i)),
			Adjacency: rapid.SampledFrom([]pack.Adjacency{pack.AdjacentDomain, pack.AdjacentRack, pack.AdjacentWorker}).Draw(t, "adjacency"),
			Size: pack.Size{
				Accelerators: rapid.IntRange(1, c.size).Draw(t, fmt.Sprintf("accelerators %d", i)),
			},
		})
	}
	return c
}

func (c smallCluster) grid() *pack.Grid {
	var w []pack.Worker
	for i := range c.workers {
		w = append(w, pack.Worker{
			ID:    fmt.Sprint(i),
			Rack:  fmt.Sprint(i / c.rack),
			Total: pack.Size{Accelerators: c.size},
			Free:  pack.Size{Accelerators: c.size - c.taken[i]},
		})
	}
	return pack.NewGrid(w)
}

// canPlaceAllUnits searches exhaustively for a placement of all units.
func canPlaceAllUnits(g *pack.Grid, l []pack.Shape) bool {
	if len(l) == 0 {
		return true
	}
	return canPlaceTasks(g, l, nil)
}

func canPlaceTasks(g *pack.Grid, l []pack.Shape, at []int) bool {
	z := l[0]
	if len(at) == z.Tasks {
		return canPlaceAllUnits(g, l[1:])
	}
	for i := range g.Len() {
		if !fitsBeside(g, z, at, i) {
			continue
		}
		g.Allocate([]int{i}, z.Size)
		ok := canPlaceTasks(g, l, append(at, i))
		g.Release([]int{i}, z.Size)
		if ok {
			return true
		}
	}
	return false
}

func fitsBeside(g *pack.Grid, z pack.Shape, at []int, i int) bool {
	w := g.Worker(i)
	if !w.Free.Holds(z.Size) {
		return false
	}
	if len(at) == 0 {
		return true
	}
	f := g.Worker(at[0])
	switch z.Adjacency {
	case pack.AdjacentWorker:
		return f.ID == w.ID
	case pack.AdjacentRack:
		return f.Rack == w.Rack
	}
	return true
}

// planOf plans the units of a small cluster.
func planOf(c smallCluster) *State {
	s := New()
	s.reclaimable = c.grid()
	for _, u := range c.units {
		s.units = append(s.units, &guaranteedUnit{
			Unit: conf.Unit{
				Shape: u,
			},
		})
	}
	s.replan()
	return s
}

// TestPlanAgainstBruteForce checks that the plan never reports a place for units
// that do not fit, and logs how often it misses a placement that exists.
func TestPlanAgainstBruteForce(t *testing.T) {
	yes, missed := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		c := drawSmallCluster(t)
		s := planOf(c)
		can := canPlaceAllUnits(c.grid(), c.units)
		if s.unplacedUnits == 0 && !can {
			t.Fatalf("plan places units that cannot be placed: %+v", c)
		}
		checkPlan(t, s, c.grid())
		if can {
			yes++
			if s.unplacedUnits > 0 {
				missed++
			}
		}
	})
	t.Logf("%d clusters could hold all units; the plan missed a placement in %d", yes, missed)
}

// checkPlan checks that the planned places exist, do not overlap and are adjacent.
func checkPlan(t *rapid.T, s *State, g *pack.Grid) {
	t.Helper()
	for _, u := range s.units {
		if !u.placed || u.claimedBy != "" {
			continue
		}
		if len(u.workers) != u.Shape.Tasks {
			t.Fatalf("unit of %d tasks has %d places", u.Shape.Tasks, len(u.workers))
		}
		for n, i := range u.workers {
			if !fitsBeside(g, u.Shape, u.workers[:n], i) {
				t.Fatalf("unit %+v does not fit at %v", u.Shape, u.workers)
			}
			g.Allocate([]int{i}, u.Shape.Size)
		}
	}
}

// TestStateUnderRandomUse drives a State by random calls. After each, it checks
// that no capacity is allocated twice, that the plan holds, and that the grids,
// which are updated incrementally, equal freshly computed ones.
func TestStateUnderRandomUse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		u := newRandomUse(t)
		for i := range rapid.IntRange(5, 60).Draw(t, "steps") {
			u.step(t, i)
			u.check(t)
		}
	})
}

// randomUse is a State driven by random calls.
type randomUse struct {
	state    *State
	now      time.Time
	running  []string
	stopping []string
}

func newRandomUse(t *rapid.T) *randomUse {
	s := site{
		domains: domainsOf([]int{rapid.IntRange(2, 6).Draw(t, "workers")}, pack.Size{Accelerators: 4, Cores: 16, MemoryGiB: 16}),
	}
	o := objectsOf(s)
	o.Guarantees[0].Shape.Size.Accelerators = rapid.IntRange(1, 4).Draw(t, "guaranteed")
	o.Guarantees[0].Count = rapid.IntRange(1, 2).Draw(t, "count")
	o.JobClasses = append(o.JobClasses, conf.JobClass{Name: "solid", Priority: 5, NotPreemptible: true})
	v := &randomUse{
		state: New(),
		now:   epoch,
	}
	v.state.SetObjects(o, unitsOf(o, "d0"), "d0", epoch)
	g := s.domains[0].Grid()
	var w []WorkerInfo
	for i := range g.Len() {
		w = append(w, WorkerInfo{
			ID:       g.Worker(i).ID,
			Rack:     g.Worker(i).Rack,
			Capacity: g.Worker(i).Total,
			Usable:   true,
		})
	}
	v.state.SetWorkers(w)
	v.state.Decide(v.now)
	return v
}

func (u *randomUse) step(t *rapid.T, i int) {
	u.now = u.now.Add(time.Duration(rapid.IntRange(0, 90).Draw(t, "seconds")) * time.Second)
	switch rapid.IntRange(0, 5).Draw(t, "step") {
	case 0, 1, 2:
		u.state.Submit(Job{
			ID:       fmt.Sprintf("j%d", i),
			Customer: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "customer"),
			Class:    rapid.SampledFrom([]string{"urgent", "batch", "solid"}).Draw(t, "class"),
			RunTime:  time.Duration(rapid.IntRange(1, 60).Draw(t, "minutes")) * time.Minute,
			Created:  u.now,
			Shape: pack.Shape{
				Tasks:     rapid.IntRange(1, 3).Draw(t, "tasks"),
				Adjacency: rapid.SampledFrom([]pack.Adjacency{pack.AdjacentDomain, pack.AdjacentRack}).Draw(t, "adjacency"),
				Size:      pack.Size{Accelerators: rapid.IntRange(1, 4).Draw(t, "accelerators")},
			},
		})
	case 3:
		u.endOne(t, &u.running, AttemptEnd{Success: true})
	case 4:
		u.endOne(t, &u.stopping, AttemptEnd{Requeue: true})
	case 5:
		u.state.Remove(fmt.Sprintf("j%d", rapid.IntRange(0, i).Draw(t, "removed")))
	}
	before, was := u.state.unplacedUnits, u.state.dirty
	for _, d := range u.state.Decide(u.now) {
		switch d.Kind() {
		case Start:
			u.state.MarkRunning(d.Job(), u.now)
			u.running = append(u.running, d.Job())
		case Preempt:
			u.running = slices.DeleteFunc(u.running, func(s string) bool { return s == d.Job() })
			u.stopping = append(u.stopping, d.Job())
		}
	}
	if u.state.unplacedUnits > before && !was {
		t.Fatalf("decisions left %d guaranteed units without a place, %d before", u.state.unplacedUnits, before)
	}
}

func (u *randomUse) endOne(t *rapid.T, l *[]string, e AttemptEnd) {
	if len(*l) == 0 {
		return
	}
	i := rapid.IntRange(0, len(*l)-1).Draw(t, "ended")
	u.state.MarkEnded((*l)[i], e, u.now)
	*l = slices.Delete(*l, i, i+1)
}

func (u *randomUse) check(t *rapid.T) {
	s := u.state
	g, k := s.empty.Clone(), s.empty.Clone()
	for _, r := range s.runs {
		g.Allocate(r.workers, r.Shape.Size)
		if r.notReclaimable || r.unit != nil {
			k.Allocate(r.planWorkers, r.planSize)
		}
	}
	for i := range g.Len() {
		if f := g.Worker(i).Free; f.Accelerators < 0 || f.Cores < 0 || f.MemoryGiB < 0 {
			t.Fatalf("worker %d is over-allocated: free %+v", i, f)
		}
	}
	for _, h := range s.pending {
		g.Allocate(h.workers, h.job.Shape.Size)
		if h.unit != nil {
			k.Allocate(h.planWorkers, h.unit.Shape.Size)
		}
	}
	for i := range g.Len() {
		if g.Worker(i).Free != s.free.Worker(i).Free {
			t.Fatalf("worker %d: free %+v, want %+v", i, s.free.Worker(i).Free, g.Worker(i).Free)
		}
		if k.Worker(i).Free != s.reclaimable.Worker(i).Free {
			t.Fatalf("worker %d: reclaimable %+v, want %+v", i, s.reclaimable.Worker(i).Free, k.Worker(i).Free)
		}
	}
	checkPlan(t, s, k)
}
