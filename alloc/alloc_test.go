package alloc_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hemlockhinge/alloc"
	"hemlockhinge/graph"
)

func gpus(n int) graph.Size { return graph.Size{Accelerators: n} }

// workers returns workers of 8 accelerators each, two per rack, with the given
// numbers free.
func workers(free ...int) []alloc.Worker {
	var w []alloc.Worker
	for i, f := range free {
		w = append(w, alloc.Worker{
			ID:      fmt.Sprintf("w%d", i),
			Rack:    fmt.Sprintf("r%d", i/2),
			Service: "s",
			Total:   gpus(8),
			Free:    gpus(f),
		})
	}
	return w
}

func unit(rank float64, n, size int, change func(*alloc.Unit)) alloc.Unit {
	u := alloc.Unit{
		Job:     fmt.Sprintf("j%v", rank),
		Service: "s",
		Rank:    rank,
		Tasks:   make([]graph.Task, n),
		Step: &graph.Step{
			Count: n,
			Size:  gpus(size),
			Gang:  n > 1,
		},
	}
	if change != nil {
		change(&u)
	}
	return u
}

func urgent(u *alloc.Unit)  { u.Urgent = true }
func oneRack(u *alloc.Unit) { u.Step.OneRack = true }

func group(at, size int, cost float64) alloc.Group {
	return alloc.Group{
		Usage: map[int]graph.Size{at: gpus(size)},
		Cost:  cost,
	}
}

func TestPlace(t *testing.T) {
	cases := []struct {
		name string
		free []int
		unit alloc.Unit
		want []int
	}{
		{"best fit", []int{8, 3, 2}, unit(1, 1, 2, nil), []int{2}},
		{"no partial gang", []int{8, 3, 2}, unit(1, 3, 7, nil), nil},
		{"one-rack gang", []int{8, 0, 4, 4}, unit(1, 2, 4, oneRack), []int{0, 0}},
		{"one-rack gang waits for a rack", []int{4, 0, 4, 0}, unit(1, 2, 4, oneRack), nil},
		{"one-rack gang that may span racks", []int{4, 0, 4, 0}, unit(1, 2, 4, func(u *alloc.Unit) { oneRack(u); u.AnyRack = true }), []int{0, 2}},
		{"one-rack gang larger than any rack", []int{8, 8, 8, 8}, unit(1, 3, 8, oneRack), []int{0, 1, 2}},
		{"in the rack of its data", []int{8, 8, 1, 8}, unit(1, 1, 4, func(u *alloc.Unit) { u.Step.DataRack = "r1" }), []int{3}},
		{"limit of tasks per worker", []int{8, 8, 0, 0}, unit(1, 2, 1, func(u *alloc.Unit) { u.Step.MaxPerWorker = 1; u.RunningPerWorker = map[int]int{} }), []int{0, 1}},
		{"label of no worker", []int{8, 8}, unit(1, 1, 1, func(u *alloc.Unit) { u.Step.Label = "x" }), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := alloc.Decide(workers(c.free...), nil, []alloc.Unit{c.unit})
			assertPlaced(t, d, c.want)
		})
	}
}

func assertPlaced(t *testing.T, d alloc.Decision, want []int) {
	t.Helper()
	var got []int
	if len(d.Start) > 0 {
		got = slices.Clone(d.Start[0].At)
		slices.Sort(got)
	}
	if !slices.Equal(got, want) {
		t.Errorf("placed at %v, want %v", got, want)
	}
}

func assertStopped(t *testing.T, d alloc.Decision, want ...int) {
	t.Helper()
	var got []int
	for _, e := range d.Stop {
		got = append(got, e.Group)
	}
	slices.Sort(got)
	if !slices.Equal(got, want) {
		t.Errorf("stopped %v, want %v", got, want)
	}
}

// TestPreempt covers urgent units that arrive while longer work occupies every
// worker.
func TestPreempt(t *testing.T) {
	t.Run("stops the cheapest group", func(t *testing.T) {
		d := alloc.Decide(workers(0, 0), []alloc.Group{group(0, 8, 50), group(1, 8, 10)}, []alloc.Unit{unit(1, 1, 4, urgent)})
		assertStopped(t, d, 1)
	})
	t.Run("stops no more than needed", func(t *testing.T) {
		d := alloc.Decide(workers(0), []alloc.Group{group(0, 2, 1), group(0, 4, 2), group(0, 2, 3)}, []alloc.Unit{unit(1, 1, 4, urgent)})
		assertStopped(t, d, 1)
	})
	t.Run("stops nothing for a unit that is not urgent", func(t *testing.T) {
		d := alloc.Decide(workers(0), []alloc.Group{group(0, 8, 1)}, []alloc.Unit{unit(1, 1, 4, nil)})
		assertStopped(t, d)
	})
	t.Run("stops urgent groups last, and only for guaranteed units", func(t *testing.T) {
		groups := func() []alloc.Group {
			g := []alloc.Group{group(0, 8, 1), group(1, 8, 99)}
			g[0].Urgent, g[0].Borrowed = true, true
			return g
		}
		assertStopped(t, alloc.Decide(workers(0, 0), groups(), []alloc.Unit{unit(1, 1, 4, urgent)}), 1)
		claim := unit(1, 2, 8, func(u *alloc.Unit) { urgent(u); u.WithinGuarantee = true })
		assertStopped(t, alloc.Decide(workers(0, 0), groups(), []alloc.Unit{claim}), 0, 1)
	})
	t.Run("stops nothing if that would not make the unit fit", func(t *testing.T) {
		d := alloc.Decide(workers(0, 0), []alloc.Group{group(0, 8, 1)}, []alloc.Unit{unit(1, 2, 8, urgent)})
		assertStopped(t, d)
	})
	t.Run("stops nothing for a unit that may not preempt", func(t *testing.T) {
		d := alloc.Decide(workers(0), []alloc.Group{group(0, 8, 1)}, []alloc.Unit{unit(1, 1, 4, func(u *alloc.Unit) { urgent(u); u.NoPreemption = true })})
		assertStopped(t, d)
	})
	t.Run("withholds the capacity from later units", func(t *testing.T) {
		u := []alloc.Unit{unit(1, 1, 8, urgent), unit(2, 1, 2, nil)}
		d := alloc.Decide(workers(2), []alloc.Group{group(0, 6, 1)}, u)
		assertStopped(t, d, 0)
		assertPlaced(t, d, nil)
	})
	t.Run("stops nothing if capacity is already being freed", func(t *testing.T) {
		w := workers(0, 0)
		w[0].Releasing = gpus(8)
		d := alloc.Decide(w, []alloc.Group{group(1, 8, 1)}, []alloc.Unit{unit(1, 1, 8, urgent)})
		assertStopped(t, d)
	})
}

// TestDecideNeverOvercommits checks on random clusters and units that no worker
// gets more than its free capacity, and that gangs are placed whole or not at all.
func TestDecideNeverOvercommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		free := rapid.SliceOfN(rapid.IntRange(0, 8), 1, 8).Draw(t, "free")
		w := workers(free...)
		var g []alloc.Group
		for i, f := range free {
			w[i].Speed = rapid.SampledFrom([]float64{0, 0.6, 1.1, 1.6}).Draw(t, "speed")
			if f < 8 {
				g = append(g, group(i, 8-f, rapid.Float64Range(0, 100).Draw(t, "cost")))
			}
		}
		var u []alloc.Unit
		for i := range rapid.IntRange(1, 10).Draw(t, "units") {
			v := unit(float64(i), rapid.IntRange(1, 4).Draw(t, "tasks"), rapid.IntRange(1, 8).Draw(t, "size"), nil)
			v.Urgent = rapid.Bool().Draw(t, "urgent")
			v.Step.OneRack = rapid.Bool().Draw(t, "one rack")
			v.Uneven = rapid.Bool().Draw(t, "uneven")
			v.MinSpeed = rapid.SampledFrom([]float64{0, 0.9, 2}).Draw(t, "minimum speed")
			v.WaitForSpeed = rapid.Bool().Draw(t, "waits for speed")
			v.Slack = time.Second
			u = append(u, v)
		}
		used := make([]int, len(free))
		for _, p := range alloc.Decide(w, g, u).Start {
			if len(p.At) != len(p.Unit.Tasks) {
				t.Fatalf("placed %d of %d tasks of a unit", len(p.At), len(p.Unit.Tasks))
			}
			for _, k := range p.At {
				used[k] += p.Unit.Step.Size.Accelerators
			}
		}
		for i, n := range used {
			if n > free[i] {
				t.Fatalf("worker %d: %d placed, %d free", i, n, free[i])
			}
		}
	})
}

func BenchmarkDecide(b *testing.B) {
	const count, waiting = 74, 600
	free := make([]int, count)
	for i := range free {
		free[i] = i % 3
	}
	for b.Loop() {
		w := workers(free...)
		u := make([]alloc.Unit, 0, waiting)
		for i := range waiting {
			u = append(u, unit(float64(i), 1+i%3, 1+i%8, nil))
		}
		alloc.Decide(w, nil, u)
	}
}

// TestPreemptionCostIsBounded covers a small urgent unit whose only place is taken
// by a large gang: it must not preempt the gang unless it is within the guarantee
// of its customer or its work is unknown.
func TestPreemptionCostIsBounded(t *testing.T) {
	work := func(w float64) func(*alloc.Unit) {
		return func(u *alloc.Unit) {
			urgent(u)
			u.Work = w
		}
	}
	cases := []struct {
		name string
		unit alloc.Unit
		want int
	}{
		{"loss within the bound", unit(1, 1, 4, work(60)), 1},
		{"loss above the bound", unit(1, 1, 4, work(40)), 0},
		{"guaranteed", unit(1, 1, 4, func(u *alloc.Unit) { work(40)(u); u.WithinGuarantee = true }), 1},
		{"unknown work", unit(1, 1, 4, work(0)), 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := alloc.Decide(workers(0), []alloc.Group{group(0, 8, 100)}, []alloc.Unit{c.unit})
			if len(d.Stop) != c.want {
				t.Errorf("%d stops, want %d", len(d.Stop), c.want)
			}
		})
	}
}
