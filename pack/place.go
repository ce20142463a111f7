package pack

import (
	"math"
	"slices"
)

// Skip reports whether to leave worker i out of a placement; a nil Skip leaves out
// none.
type Skip func(i int) bool

// Place chooses a worker for each task of s, and returns their indexes. It tries a
// single worker first, then a single rack, then several racks, as far as the
// adjacency of s allows, so that as many racks as possible stay entirely free.
// Workers for which k returns true are left out.
func (g *Grid) Place(s Shape, k Skip) ([]int, bool) {
	if s.Tasks <= 0 {
		return nil, false
	}
	if p, ok := g.placeOnWorker(s, k); ok || s.Adjacency == AdjacentWorker {
		return p, ok
	}
	if p, ok := g.placeOnRack(s, k); ok || s.Adjacency == AdjacentRack {
		return p, ok
	}
	return g.placeAcrossRacks(s, k)
}

// placeOnWorker puts all tasks on one worker: of those on which they fit, the one
// with the fewest free accelerators; among equals, the one in the rack with the
// fewest.
func (g *Grid) placeOnWorker(s Shape, k Skip) ([]int, bool) {
	b, m, f := -1, math.MaxInt, math.MaxInt
	for _, r := range g.racks {
		t := -1
		for _, i := range r {
			n := g.workers[i].Free.Accelerators
			if n > m || skipped(k, i) || g.countOn(i, s.Size) < s.Tasks {
				continue
			}
			if t < 0 {
				t = g.freeAccelerators(r)
			}
			if n < m || t < f {
				b, m, f = i, n, t
			}
		}
	}
	if b < 0 {
		return nil, false
	}
	return appendTimes(nil, b, s.Tasks), true
}

// placeOnRack puts all tasks on one rack: of those on which they fit, the one with
// the fewest free accelerators.
func (g *Grid) placeOnRack(s Shape, k Skip) ([]int, bool) {
	b, m := -1, math.MaxInt
	for r, w := range g.racks {
		n := g.countOnRackWithout(w, s.Size, k)
		if n < s.Tasks {
			continue
		}
		f := g.freeAccelerators(w)
		if f < m {
			b, m = r, f
		}
	}
	if b < 0 {
		return nil, false
	}
	return g.fillRack(nil, g.racks[b], s.Size, s.Tasks, k), true
}

// placeAcrossRacks fills racks in descending order of how many tasks fit, so that
// the gang spans few of them. The remainder goes to the rack on which it fits most
// tightly.
func (g *Grid) placeAcrossRacks(s Shape, k Skip) ([]int, bool) {
	type rackCount struct{ rack, fits int }
	c := make([]rackCount, 0, len(g.racks))
	t := 0
	for r, w := range g.racks {
		n := g.countOnRackWithout(w, s.Size, k)
		if n == 0 {
			continue
		}
		t += n
		c = append(c, rackCount{
			rack: r,
			fits: n,
		})
	}
	if t < s.Tasks {
		return nil, false
	}
	slices.SortStableFunc(c, func(a, b rackCount) int { return b.fits - a.fits })
	p := make([]int, 0, s.Tasks)
	l := s.Tasks
	for i := 0; l > 0; i++ {
		if c[i].fits >= l {
			i = tightestFit(c[i:], l, func(x rackCount) int { return x.fits }) + i
		}
		n := min(l, c[i].fits)
		p = g.fillRack(p, g.racks[c[i].rack], s.Size, n, k)
		l -= n
	}
	return p, true
}

// tightestFit returns the index of the last candidate on which n tasks fit. The
// candidates are in descending order of how many fit.
func tightestFit[T any](c []T, n int, fits func(T) int) int {
	b := 0
	for i := range c {
		if fits(c[i]) < n {
			break
		}
		b = i
	}
	return b
}

// fillRack appends n workers of rack r to p. If all n tasks fit on one worker, it
// takes the one with the fewest free accelerators, otherwise the workers with the
// most first, so that few are used.
func (g *Grid) fillRack(p, r []int, z Size, n int, k Skip) []int {
	o := make([]int, 0, len(r))
	for _, i := range r {
		if !skipped(k, i) && g.countOn(i, z) > 0 {
			o = append(o, i)
		}
	}
	slices.SortStableFunc(o, func(a, b int) int {
		return g.workers[a].Free.Accelerators - g.workers[b].Free.Accelerators
	})
	w := slices.IndexFunc(o, func(i int) bool { return g.countOn(i, z) >= n })
	if w >= 0 {
		return appendTimes(p, o[w], n)
	}
	slices.Reverse(o)
	for _, i := range o {
		m := min(n, g.countOn(i, z))
		p = appendTimes(p, i, m)
		n -= m
		if n == 0 {
			break
		}
	}
	return p
}

// countOnRackWithout is countOnRack without the workers that k leaves out.
func (g *Grid) countOnRackWithout(r []int, z Size, k Skip) int {
	if k == nil {
		return g.countOnRack(r, z)
	}
	n := 0
	for _, i := range r {
		if !k(i) {
			n += g.countOn(i, z)
		}
	}
	return n
}

// freeAccelerators returns the free accelerators of a rack.
func (g *Grid) freeAccelerators(r []int) int {
	f := 0
	for _, i := range r {
		f += g.workers[i].Free.Accelerators
	}
	return f
}

// LargestWholeWorkerGang returns the size, in accelerators, of the largest gang that could
// be placed now if each of its tasks took all accelerators of a worker.
func (g *Grid) LargestWholeWorkerGang() int {
	n := 0
	for _, w := range g.workers {
		if w.Total.Accelerators > 0 && w.Free.Accelerators >= w.Total.Accelerators {
			n += w.Total.Accelerators
		}
	}
	return n
}

func skipped(k Skip, i int) bool { return k != nil && k(i) }

func appendTimes(p []int, i, n int) []int {
	for range n {
		p = append(p, i)
	}
	return p
}
