package sched

import (
	"fmt"
	"testing"
	"time"

	"hemlockhinge/conf"
	"hemlockhinge/pack"
)

// scale is a size of failure domain at which decisions are benchmarked.
type scale struct {
	name      string
	workers   int
	gangs     int
	tasks     int
	customers int
}

var scales = []scale{
	{name: "today", workers: 11, gangs: 30, tasks: 2, customers: 4},
	{name: "target", workers: 376, gangs: 900, tasks: 6, customers: 160},
}

// loadedState returns a failure domain at a scale, with its gangs running: 376
// workers run about 5600 tasks, most of them without accelerators.
func loadedState(b *testing.B, c scale) *State {
	b.Helper()
	z := pack.Size{Accelerators: 2, Cores: 64, MemoryGiB: 256}
	s := site{
		domains: domainsOf([]int{c.workers}, z),
	}
	o := objectsOf(s)
	o.Guarantees = nil
	for i := range c.customers {
		n := fmt.Sprintf("c%d", i)
		o.Customers = append(o.Customers, conf.Customer{Name: n, Weight: 1})
		o.Guarantees = append(o.Guarantees, conf.Guarantee{
			Name:           "g" + n,
			Customer:       n,
			Count:          1,
			FailureDomains: []string{"d0"},
			Reclaim:        conf.Duration(time.Minute),
			Shape: pack.Shape{
				Tasks:     1 + i%2,
				Adjacency: pack.AdjacentRack,
				Size:      pack.Size{Accelerators: 1},
			},
		})
	}
	x := New()
	x.SetObjects(o, unitsOf(o, "d0"), "d0", epoch)
	var w []WorkerInfo
	g := s.domains[0].Grid()
	for i := range g.Len() {
		w = append(w, WorkerInfo{
			ID:       g.Worker(i).ID,
			Rack:     g.Worker(i).Rack,
			Capacity: z,
			Usable:   true,
		})
	}
	x.SetWorkers(w)
	for i := range c.gangs {
		x.Submit(gangJob(c, i))
	}
	for i := range 20 {
		for _, d := range x.Decide(epoch.Add(time.Duration(i) * time.Second)) {
			x.MarkRunning(d.Job(), epoch)
		}
	}
	return x
}

func gangJob(c scale, i int) Job {
	a := 0
	if i%3 == 0 {
		a = 1
	}
	return Job{
		ID:       fmt.Sprintf("g%05d", i),
		Customer: fmt.Sprintf("c%d", i%c.customers),
		Class:    "batch",
		RunTime:  3 * time.Hour,
		Created:  epoch,
		Shape: pack.Shape{
			Tasks: c.tasks,
			Size:  pack.Size{Accelerators: a, Cores: 2, MemoryGiB: 8},
		},
	}
}

// BenchmarkStartAndEnd measures the placement of one job, with its decision, and
// its end.
func BenchmarkStartAndEnd(b *testing.B) {
	for _, c := range scales {
		b.Run(c.name, func(b *testing.B) {
			s := loadedState(b, c)
			n := epoch.Add(time.Hour)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				j := gangJob(c, 100000+i)
				j.Shape.Tasks = 1
				s.Submit(j)
				s.Decide(n)
				s.MarkEnded(j.ID, AttemptEnd{}, n)
				s.Remove(j.ID)
			}
		})
	}
}

// BenchmarkDecideIdle measures a call of Decide that finds nothing to do, with a
// long queue.
func BenchmarkDecideIdle(b *testing.B) {
	for _, c := range scales {
		b.Run(c.name, func(b *testing.B) {
			s := loadedState(b, c)
			for i := range 2000 {
				j := gangJob(c, 200000+i)
				j.Shape.Size.Accelerators = 2
				j.Shape.Tasks = c.workers
				s.Submit(j)
			}
			n := epoch.Add(time.Hour)
			s.Decide(n)
			b.ReportAllocs()
			for b.Loop() {
				s.Decide(n)
			}
		})
	}
}

// BenchmarkCancel measures the removal of a job from a queue of 10,000.
func BenchmarkCancel(b *testing.B) {
	for _, c := range scales {
		b.Run(c.name, func(b *testing.B) {
			s := New()
			for i := range 10_000 {
				s.Submit(gangJob(c, i))
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				j := gangJob(c, i%10_000)
				s.Remove(j.ID)
				s.Submit(j)
			}
		})
	}
}

// BenchmarkReplan measures planning the places of all guaranteed units.
func BenchmarkReplan(b *testing.B) {
	for _, c := range scales {
		b.Run(c.name, func(b *testing.B) {
			s := loadedState(b, c)
			b.ReportAllocs()
			for b.Loop() {
				s.replan()
			}
			b.ReportMetric(float64(len(s.units)), "units")
			b.ReportMetric(float64(len(s.runs)), "gangs")
		})
	}
}

// BenchmarkRebuild measures the rebuild after a change of workers.
func BenchmarkRebuild(b *testing.B) {
	for _, c := range scales {
		b.Run(c.name, func(b *testing.B) {
			s := loadedState(b, c)
			b.ReportAllocs()
			for b.Loop() {
				s.rebuild()
			}
		})
	}
}

// BenchmarkAssign measures assigning all guarantees to 25 failure domains.
func BenchmarkAssign(b *testing.B) {
	var n []int
	for range 25 {
		n = append(n, 376)
	}
	o := objectsOf(site{
		domains: domainsOf(n, pack.Size{Accelerators: 2, Cores: 64, MemoryGiB: 256}),
	})
	g := o.Guarantees[0]
	g.Shape.Size.Accelerators = 2
	g.Survive = 1
	o.Guarantees = nil
	for i := range 160 {
		g.Name = fmt.Sprintf("g%d", i)
		g.Count = 10
		o.Guarantees = append(o.Guarantees, g)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, miss := o.Assign(nil); len(miss) > 0 {
			b.Fatal(miss)
		}
	}
}
