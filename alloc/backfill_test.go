package alloc_test

import (
	"testing"
	"time"

	"hemlockhinge/alloc"
)

// endingIn returns a group that is expected to end after a time.
func endingIn(at, size int, in time.Duration) alloc.Group {
	g := group(at, size, 1)
	g.ExpectedRemaining = in
	return g
}

func reserved(u *alloc.Unit) { u.Reserve = true }

func runs(d time.Duration) func(*alloc.Unit) {
	return func(u *alloc.Unit) { u.ExpectedRuntime = d }
}

// starved sets up a long unit whose job has been idle for long enough to be exempt
// from reservations.
func starved(u *alloc.Unit) {
	u.ExpectedRuntime = 5 * time.Second
	u.IdleTime = 2 * time.Second
}

func TestBackfill(t *testing.T) {
	const s = time.Second
	cases := []struct {
		name  string
		free  []int
		ends  []alloc.Group
		small alloc.Unit
		want  int
	}{
		{"long unit would delay the gang", []int{4, 0}, []alloc.Group{endingIn(0, 4, 2*s), endingIn(1, 8, 4*s)}, unit(2, 1, 1, runs(5*s)), 0},
		{"short unit ends before the reservation", []int{4, 0}, []alloc.Group{endingIn(0, 4, 2*s), endingIn(1, 8, 4*s)}, unit(2, 1, 1, runs(4*s)), 1},
		{"long unit on extra capacity", []int{4, 0, 1}, []alloc.Group{endingIn(0, 4, 2*s), endingIn(1, 8, 4*s), endingIn(2, 7, 9*s)}, unit(2, 1, 1, runs(5*s)), 1},
		{"long unit of an idle job on a loaded service", []int{4, 0}, []alloc.Group{endingIn(0, 4, 2*s), endingIn(1, 8, 4*s)}, unit(2, 1, 1, starved), 0},
		{"long unit of an idle job on a lightly loaded service", []int{8, 0}, []alloc.Group{endingIn(1, 8, 4*s)}, unit(2, 1, 1, starved), 1},
		{"long unit of a new job on a lightly loaded service", []int{8, 0}, []alloc.Group{endingIn(1, 8, 4*s)}, unit(2, 1, 1, runs(5*s)), 0},
		{"no reservation possible", []int{4, 0}, []alloc.Group{endingIn(0, 4, 2*s)}, unit(2, 1, 1, runs(5*s)), 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := alloc.Decide(workers(c.free...), c.ends, []alloc.Unit{unit(1, 2, 8, reserved), c.small})
			if len(d.Start) != c.want || len(d.Stop) != 0 {
				t.Errorf("%d starts, %d stops; want %d starts", len(d.Start), len(d.Stop), c.want)
			}
		})
	}
}

// saturatedSite keeps three workers full of small tasks.
type saturatedSite struct {
	running []alloc.Group
	ends    []time.Duration
	jitter  time.Duration
}

const (
	saturatedTick  = 500 * time.Millisecond
	saturatedRun   = 5 * time.Second
	saturatedTime  = time.Minute
	saturatedQueue = 8
)

// tick advances the site by one scheduling pass with some more units, and reports
// whether a gang starts.
func (c *saturatedSite) tick(now time.Duration, others ...alloc.Unit) bool {
	w := workers(8, 8, 8)
	var g []alloc.Group
	var ends []time.Duration
	for i, v := range c.running {
		if c.ends[i] <= now {
			continue
		}
		for k, z := range v.Usage {
			w[k].Free = w[k].Free.Sub(z)
		}
		v.ExpectedRemaining = c.ends[i] - now
		g = append(g, v)
		ends = append(ends, c.ends[i])
	}
	u := others
	for range saturatedQueue {
		u = append(u, unit(2, 1, 1, runs(saturatedRun)))
	}
	c.running, c.ends = g, ends
	for _, p := range alloc.Decide(w, g, u).Start {
		if len(p.At) > 1 {
			return true
		}
		// Staggered ends keep a worker from becoming empty by chance.
		c.jitter = (c.jitter + 300*time.Millisecond) % time.Second
		c.running = append(c.running, group(p.At[0], 1, 1))
		c.ends = append(c.ends, now+saturatedRun+c.jitter)
	}
	return false
}

// gangWait returns how long a gang of two whole workers waits at a saturated site,
// or false if it does not start.
func gangWait(reserve bool) (time.Duration, bool) {
	var c saturatedSite
	now := time.Duration(0)
	for ; now < saturatedRun; now += saturatedTick {
		c.tick(now)
	}
	for from := now; now < saturatedTime; now += saturatedTick {
		if c.tick(now, unit(1, 2, 8, func(u *alloc.Unit) { u.Reserve = reserve })) {
			return now - from, true
		}
	}
	return 0, false
}

// TestReservationStartsGangAtSaturatedSite covers starvation of a large gang at a
// site where small tasks take all capacity as it becomes free: with a reservation,
// the gang must start within two run times of a small task.
func TestReservationStartsGangAtSaturatedSite(t *testing.T) {
	if d, ok := gangWait(true); !ok || d > 2*saturatedRun {
		t.Errorf("gang with a reservation waited %s, started %t", d, ok)
	}
	if d, ok := gangWait(false); ok {
		t.Errorf("gang without a reservation started after %s: the load of this test is too light", d)
	}
}
