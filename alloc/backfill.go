package alloc

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"hemlockhinge/graph"
)

// maxShadows is how many units that find no room have some kept for them at a
// time: each costs what runs elsewhere meanwhile.
const maxShadows = 4

// maxIdle is how long a job waits with nothing running for the sake of kept places
// while calmShare of its service or less is in use: room that stands free for so long
// serves nobody.
const (
	maxIdle   = 2 * time.Second
	calmShare = 0.5
)

// calmServices returns the services of whose scarcest resource calmShare or less is
// in use.
func calmServices(w []Worker) map[string]bool {
	total := map[string]graph.Size{}
	used := map[string]graph.Size{}
	for _, v := range w {
		if !v.Closed {
			total[v.Service] = total[v.Service].Add(v.Total)
			used[v.Service] = used[v.Service].Add(v.Total.Sub(v.Free))
		}
	}
	calm := map[string]bool{}
	for s, z := range total {
		u := used[s]
		calm[s] = max(share(u.MilliCPU, z.MilliCPU), share(u.MemoryMiB, z.MemoryMiB), share(u.Accelerators, z.Accelerators)) <= calmShare
	}
	return calm
}

// shadow is a place that is kept for a unit from a moment in the future.
type shadow struct {
	start time.Duration
	at    []int
	size  graph.Size
}

// backfill keeps room in the future for units that find none now, and lets others
// pass them only where they do not delay them, as EASY backfilling does (Lifka,
// "The ANL/IBM SP scheduling system", 1995).
type backfill struct {
	shadows []shadow
	// ends are the groups in the order in which they are expected to end.
	ends []int
}

// passes reports whether a unit is over before any kept place is needed.
func (b *backfill) passes(u *Unit) bool {
	for _, s := range b.shadows {
		if u.Runs > s.start {
			return false
		}
	}
	return true
}

// bars reports whether kept places bar a unit from room that is free now. One that
// has stood still at a calm service is not barred.
func (b *backfill) bars(u *Unit, calm bool) bool {
	stoodStill := calm && u.Idle >= maxIdle
	return !stoodStill && !b.passes(u)
}

// keep keeps the place in which a unit fits first if groups end as expected.
func (b *backfill) keep(w []Worker, g []Group, u *Unit) {
	if len(b.shadows) >= maxShadows {
		return
	}
	if b.ends == nil {
		b.ends = byEnd(g)
	}
	// The last place that the search finds is the first in time.
	var f []Worker
	s := shadow{
		size: u.Step.Size,
	}
	n := sort.Search(len(b.ends)+1, func(n int) bool {
		v := b.freed(w, g, n)
		at, ok := place(v, u)
		if ok {
			f, s.at = v, at
		}
		return ok
	})
	if s.at == nil {
		return
	}
	if n > 0 {
		s.start = g[b.ends[n-1]].Expected
	}
	for _, i := range s.at {
		f[i].Free = f[i].Free.Sub(s.size)
	}
	for _, i := range s.at {
		w[i].far = w[i].far.Min(f[i].Free)
	}
	b.shadows = append(b.shadows, s)
}

// freed returns the workers as they are once the first n groups have ended, less
// what is kept already.
func (b *backfill) freed(w []Worker, g []Group, n int) []Worker {
	f := slices.Clone(w)
	for i := range f {
		f[i].Free = f[i].Free.Add(f[i].Coming)
	}
	for _, k := range b.ends[:n] {
		for i, z := range g[k].Parts {
			f[i].Free = f[i].Free.Add(z)
		}
	}
	for _, s := range b.shadows {
		for _, i := range s.at {
			f[i].Free = f[i].Free.Sub(s.size)
		}
	}
	for i := range f {
		f[i].far = f[i].Free
	}
	return f
}

// byEnd lists the groups that are not being stopped in the order in which they
// are expected to end.
func byEnd(g []Group) []int {
	l := make([]int, 0, len(g))
	for i := range g {
		if !g[i].Stopping && !g[i].Fixed {
			l = append(l, i)
		}
	}
	slices.SortFunc(l, func(a, b int) int {
		return cmp.Or(cmp.Compare(g[a].Expected, g[b].Expected), cmp.Compare(a, b))
	})
	return l
}
