package alloc

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"hemlockhinge/graph"
)

// maxReservations bounds the concurrent reservations: each holds back capacity
// that other units could use meanwhile.
const maxReservations = 4

// A job is starved if it has run nothing for maxStarvedTime while at most lightLoadShare of its
// service is in use. It may use reserved capacity, and outliers: capacity that stays free for
// that long while jobs wait is wasted.
const (
	maxStarvedTime = 2 * time.Second
	lightLoadShare = 0.5
)

// lightlyLoadedServices returns the services whose most used resource is in use by
// lightLoadShare or less.
func lightlyLoadedServices(w []Worker) map[string]bool {
	total := map[string]graph.Size{}
	used := map[string]graph.Size{}
	for _, v := range w {
		if !v.Unschedulable {
			total[v.Service] = total[v.Service].Add(v.Total)
			used[v.Service] = used[v.Service].Add(v.Total.Sub(v.Free))
		}
	}
	lightlyLoaded := map[string]bool{}
	for s, z := range total {
		u := used[s]
		lightlyLoaded[s] = max(ratio(u.MilliCPU, z.MilliCPU), ratio(u.MemoryMiB, z.MemoryMiB), ratio(u.Accelerators, z.Accelerators)) <= lightLoadShare
	}
	return lightlyLoaded
}

// reservation sets aside capacity for a unit from start on, measured from now.
type reservation struct {
	start time.Duration
	at    []int
	size  graph.Size
}

// backfill reserves future capacity for units that cannot start now, and lets
// later units start before them only where they do not delay them, as EASY
// backfilling does (Lifka, "The ANL/IBM SP scheduling system", 1995).
type backfill struct {
	reservations []reservation
	// byEnd lists the groups by expected end; nil until the first reservation.
	byEnd []int
}

// endsBeforeReservations reports whether the unit ends before any reservation
// starts, also on the slowest workers that its current attempt admits.
func (b *backfill) endsBeforeReservations(w []Worker, u *Unit) bool {
	if len(b.reservations) == 0 {
		return true
	}
	d := float64(u.ExpectedRuntime) / u.slowestSpeed(w)
	for _, s := range b.reservations {
		if d > float64(s.start) {
			return false
		}
	}
	return true
}

// reserve makes a reservation for a unit at the earliest time at which it fits if
// the groups end as expected. A unit that waits for fast enough workers does so only
// within its slack: afterwards it takes others, and the capacity would stay idle.
func (b *backfill) reserve(w []Worker, g []Group, u *Unit) {
	if len(b.reservations) >= maxReservations {
		return
	}
	if b.byEnd == nil {
		b.byEnd = groupsByEnd(g)
	}
	// The last placement that the binary search finds is the earliest.
	var f []Worker
	s := reservation{
		size: u.Step.Size,
	}
	n := sort.Search(len(b.byEnd)+1, func(n int) bool {
		v := b.workersAfter(w, g, n)
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
		s.start = g[b.byEnd[n-1]].ExpectedRemaining
	}
	if u.limit.min > 0 && s.start > u.Slack {
		return
	}
	for _, i := range s.at {
		f[i].Free = f[i].Free.Sub(s.size)
	}
	for _, i := range s.at {
		w[i].extra = w[i].extra.Min(f[i].Free)
	}
	b.reservations = append(b.reservations, s)
}

// workersAfter returns the workers as they will be once the first n groups have
// ended, less the existing reservations.
func (b *backfill) workersAfter(w []Worker, g []Group, n int) []Worker {
	f := slices.Clone(w)
	for i := range f {
		f[i].Free = f[i].Free.Add(f[i].Releasing)
	}
	for _, k := range b.byEnd[:n] {
		for i, z := range g[k].Usage {
			f[i].Free = f[i].Free.Add(z)
		}
	}
	for _, s := range b.reservations {
		for _, i := range s.at {
			f[i].Free = f[i].Free.Sub(s.size)
		}
	}
	for i := range f {
		f[i].extra = f[i].Free
	}
	return f
}

// groupsByEnd lists the groups by expected end, without those that are being
// stopped and those that are never preempted.
func groupsByEnd(g []Group) []int {
	l := make([]int, 0, len(g))
	for i := range g {
		if !g[i].Stopping && !g[i].NonPreemptible {
			l = append(l, i)
		}
	}
	slices.SortFunc(l, func(a, b int) int {
		return cmp.Or(cmp.Compare(g[a].ExpectedRemaining, g[b].ExpectedRemaining), cmp.Compare(a, b))
	})
	return l
}
