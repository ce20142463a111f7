// Package pack places gangs on the workers of one failure domain.
//
// A Grid holds the free capacity of each worker, grouped by rack. Place chooses
// workers for all tasks of a Shape, or reports that they do not fit. The package
// reads no clock and does no I/O.
//
// # Usage
//
//	g := pack.NewGrid(workers)
//	at, ok := g.Place(shape, nil)
//	if ok {
//		g.Allocate(at, shape.Size)
//	}
package pack

import (
	"math"
	"slices"
)

// Adjacency says how close to each other the tasks of a gang must run.
type Adjacency string

// The values of Adjacency, from the loosest to the tightest.
const (
	AdjacentDomain Adjacency = "failure_domain"
	AdjacentRack   Adjacency = "rack"
	AdjacentWorker Adjacency = "worker"
)

// Valid reports whether a is a known adjacency; the empty value means
// AdjacentDomain.
func (a Adjacency) Valid() bool {
	switch a {
	case "", AdjacentDomain, AdjacentRack, AdjacentWorker:
		return true
	}
	return false
}

// Size is an amount of each resource.
type Size struct {
	Accelerators int `json:"accelerators" msgpack:"a"`
	Cores        int `json:"cores,omitempty" msgpack:"c"`
	MemoryGiB    int `json:"memory_gib,omitempty" msgpack:"m"`
}

// Add returns the sum of s and t.
func (s Size) Add(t Size) Size {
	return Size{
		Accelerators: s.Accelerators + t.Accelerators,
		Cores:        s.Cores + t.Cores,
		MemoryGiB:    s.MemoryGiB + t.MemoryGiB,
	}
}

// Sub returns s minus t.
func (s Size) Sub(t Size) Size {
	return Size{
		Accelerators: s.Accelerators - t.Accelerators,
		Cores:        s.Cores - t.Cores,
		MemoryGiB:    s.MemoryGiB - t.MemoryGiB,
	}
}

// Times returns s multiplied by n.
func (s Size) Times(n int) Size {
	return Size{
		Accelerators: s.Accelerators * n,
		Cores:        s.Cores * n,
		MemoryGiB:    s.MemoryGiB * n,
	}
}

// Holds reports whether t fits into s.
func (s Size) Holds(t Size) bool {
	return t.Accelerators <= s.Accelerators && t.Cores <= s.Cores && t.MemoryGiB <= s.MemoryGiB
}

// Count returns how many tasks of size t fit into s.
func (s Size) Count(t Size) int {
	n := math.MaxInt32
	n = min(n, quotient(s.Accelerators, t.Accelerators))
	n = min(n, quotient(s.Cores, t.Cores))
	return min(n, quotient(s.MemoryGiB, t.MemoryGiB))
}

// quotient returns have divided by want. A resource that is not requested sets no
// limit.
func quotient(have, want int) int {
	if want <= 0 {
		return math.MaxInt32
	}
	if have <= 0 {
		return 0
	}
	return have / want
}

// Shape describes a gang: the number of its tasks, the size of each, and how close
// to each other they must run.
type Shape struct {
	Size      Size      `json:"size" msgpack:"s"`
	Tasks     int       `json:"tasks" msgpack:"t"`
	Adjacency Adjacency `json:"adjacency,omitempty" msgpack:"j"`
}

// Total returns the size of all tasks together.
func (s Shape) Total() Size { return s.Size.Times(s.Tasks) }

// FitsWithin reports whether a gang of shape s can run in any place that is reserved
// for shape t.
func (s Shape) FitsWithin(t Shape) bool {
	if s.Tasks > t.Tasks || !t.Size.Holds(s.Size) {
		return false
	}
	return tightness(s.Adjacency) <= tightness(t.Adjacency)
}

// tightness orders adjacencies; the tightest has the highest value.
func tightness(a Adjacency) int {
	switch a {
	case AdjacentWorker:
		return 2
	case AdjacentRack:
		return 1
	}
	return 0
}

// Worker is the capacity of one worker in a Grid.
type Worker struct {
	ID    string
	Rack  string
	Total Size
	Free  Size
}

// Grid is the capacity of all workers of one failure domain. Methods identify a
// worker by its index. The zero value is empty.
type Grid struct {
	workers []Worker
	index   map[string]int
	racks   [][]int
}

// NewGrid returns a grid of the workers. Racks are in the order in which they
// first appear.
func NewGrid(w []Worker) *Grid {
	g := &Grid{
		workers: append([]Worker(nil), w...),
		index:   make(map[string]int, len(w)),
	}
	r := map[string]int{}
	for i, v := range g.workers {
		g.index[v.ID] = i
		n, ok := r[v.Rack]
		if !ok {
			n = len(g.racks)
			r[v.Rack] = n
			g.racks = append(g.racks, nil)
		}
		g.racks[n] = append(g.racks[n], i)
	}
	return g
}

// Clone returns a copy whose free capacity is independent; the layout of racks is
// shared.
func (g *Grid) Clone() *Grid {
	return &Grid{
		workers: append([]Worker(nil), g.workers...),
		index:   g.index,
		racks:   g.racks,
	}
}

// Len returns the number of workers.
func (g *Grid) Len() int { return len(g.workers) }

// Worker returns worker i.
func (g *Grid) Worker(i int) Worker { return g.workers[i] }

// Index returns the index of the worker with this id.
func (g *Grid) Index(id string) (int, bool) {
	i, ok := g.index[id]
	return i, ok
}

// Allocate subtracts z from the free capacity of each worker in at, once per
// occurrence.
func (g *Grid) Allocate(at []int, z Size) {
	for _, i := range at {
		g.workers[i].Free = g.workers[i].Free.Sub(z)
	}
}

// Release adds z to the free capacity of each worker in at, once per occurrence.
func (g *Grid) Release(at []int, z Size) {
	for _, i := range at {
		g.workers[i].Free = g.workers[i].Free.Add(z)
	}
}

// SetFree sets the free capacity of worker i.
func (g *Grid) SetFree(i int, z Size) { g.workers[i].Free = z }

// Free returns the free capacity of all workers together, except those with a
// negative number of free accelerators.
func (g *Grid) Free() Size {
	var z Size
	for _, w := range g.workers {
		if w.Free.Accelerators >= 0 {
			z = z.Add(w.Free)
		}
	}
	return z
}

// countOn returns how many tasks of size z fit on worker i.
func (g *Grid) countOn(i int, z Size) int { return g.workers[i].Free.Count(z) }

// countOnRack returns how many tasks of size z fit on a rack.
func (g *Grid) countOnRack(r []int, z Size) int {
	n := 0
	for _, i := range r {
		n += g.countOn(i, z)
	}
	return n
}

// FitsWhenEmpty reports whether s could be placed if nothing ran on any worker.
func (g *Grid) FitsWhenEmpty(s Shape) bool { return g.FitsWhenEmptyWithout(s, nil) }

// FitsWhenEmptyWithout is like FitsWhenEmpty, but leaves out the workers in not.
func (g *Grid) FitsWhenEmptyWithout(s Shape, not []int) bool {
	e := g.Clone()
	for i := range e.workers {
		e.workers[i].Free = e.workers[i].Total
	}
	_, ok := e.Place(s, func(i int) bool { return slices.Contains(not, i) })
	return ok
}

// LimitFree limits the free capacity of each worker to that in h, per resource.
func (g *Grid) LimitFree(h *Grid) {
	for i := range g.workers {
		f, o := &g.workers[i].Free, h.workers[i].Free
		f.Accelerators = min(f.Accelerators, o.Accelerators)
		f.Cores = min(f.Cores, o.Cores)
		f.MemoryGiB = min(f.MemoryGiB, o.MemoryGiB)
	}
}

// HasFree reports whether each worker in at has z free, once per occurrence.
func (g *Grid) HasFree(at []int, z Size) bool {
	g.Allocate(at, z)
	defer g.Release(at, z)
	return g.NotOvercommitted(at)
}

// NotOvercommitted reports whether no worker in at is overcommitted: none has a negative
// amount of a resource free.
func (g *Grid) NotOvercommitted(at []int) bool {
	for _, i := range at {
		f := g.workers[i].Free
		if f.Accelerators < 0 || f.Cores < 0 || f.MemoryGiB < 0 {
			return false
		}
	}
	return true
}

// Racks returns the worker indexes of each rack.
func (g *Grid) Racks() [][]int { return g.racks }

// Indexes returns the indexes of the workers with these ids, or false if one is
// unknown.
func (g *Grid) Indexes(ids []string) ([]int, bool) {
	l := make([]int, 0, len(ids))
	for _, v := range ids {
		i, ok := g.index[v]
		if !ok {
			return nil, false
		}
		l = append(l, i)
	}
	return l, true
}

// IDs returns the ids of the workers with these indexes.
func (g *Grid) IDs(at []int) []string {
	l := make([]string, 0, len(at))
	for _, i := range at {
		l = append(l, g.workers[i].ID)
	}
	return l
}
