package alloc_test

import (
	"testing"
	"time"

	"hemlockhinge/alloc"
)

// ending is a group that is expected to end after a time.
func ending(at, size int, in time.Duration) alloc.Group {
	g := group(at, size, 1)
	g.Expected = in
	return g
}

func reserved(u *alloc.Unit) { u.Reserve = true }

func runs(d time.Duration) func(*alloc.Unit) {
	return func(u *alloc.Unit) { u.Runs = d }
}

// stoodStill makes a unit of a job of which nothing has run for a while.
func stoodStill(u *alloc.Unit) {
	u.Runs = 5 * time.Second
	u.Idle = 2 * time.Second
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
		{"a long one would delay the gang", []int{4, 0}, []alloc.Group{ending(0, 4, 2*s), ending(1, 8, 4*s)}, unit(2, 1, 1, runs(5*s)), 0},
		{"a short one is over before", []int{4, 0}, []alloc.Group{ending(0, 4, 2*s), ending(1, 8, 4*s)}, unit(2, 1, 1, runs(4*s)), 1},
		{"a long one beside the gang", []int{4, 0, 1}, []alloc.Group{ending(0, 4, 2*s), ending(1, 8, 4*s), ending(2, 7, 9*s)}, unit(2, 1, 1, runs(5*s)), 1},
		{"a long one that has stood still at a busy site", []int{4, 0}, []alloc.Group{ending(0, 4, 2*s), ending(1, 8, 4*s)}, unit(2, 1, 1, stoodStill), 0},
		{"a long one that has stood still at a calm site", []int{8, 0}, []alloc.Group{ending(1, 8, 4*s)}, unit(2, 1, 1, stoodStill), 1},
		{"a long one that has just come to a calm site", []int{8, 0}, []alloc.Group{ending(1, 8, 4*s)}, unit(2, 1, 1, runs(5*s)), 0},
		{"no place can be foreseen", []int{4, 0}, []alloc.Group{ending(0, 4, 2*s)}, unit(2, 1, 1, runs(5*s)), 1},
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

// crowd keeps three workers full of small tasks.
type crowd struct {
	running []alloc.Group
	ends    []time.Duration
	spread  time.Duration
}

const (
	crowdTick = 500 * time.Millisecond
	crowdRun  = 5 * time.Second
	crowdTime = time.Minute
	crowdWait = 8
)

// pass lets one tick pass beside other units, and reports whether a gang starts.
func (c *crowd) pass(now time.Duration, others ...alloc.Unit) bool {
	w := workers(8, 8, 8)
	var g []alloc.Group
	var ends []time.Duration
	for i, v := range c.running {
		if c.ends[i] <= now {
			continue
		}
		for k, z := range v.Parts {
			w[k].Free = w[k].Free.Sub(z)
		}
		v.Expected = c.ends[i] - now
		g = append(g, v)
		ends = append(ends, c.ends[i])
	}
	u := others
	for range crowdWait {
		u = append(u, unit(2, 1, 1, runs(crowdRun)))
	}
	c.running, c.ends = g, ends
	for _, p := range alloc.Decide(w, g, u).Start {
		if len(p.At) > 1 {
			return true
		}
		// Tasks end one after the other, so that no worker empties by chance.
		c.spread = (c.spread + 300*time.Millisecond) % time.Second
		c.running = append(c.running, group(p.At[0], 1, 1))
		c.ends = append(c.ends, now+crowdRun+c.spread)
	}
	return false
}

// gangStarts returns how long a gang of two whole workers waits in a full site,
// or false when it does not start.
func gangStarts(reserve bool) (time.Duration, bool) {
	var c crowd
	now := time.Duration(0)
	for ; now < crowdRun; now += crowdTick {
		c.pass(now)
	}
	for from := now; now < crowdTime; now += crowdTick {
		if c.pass(now, unit(1, 2, 8, func(u *alloc.Unit) { u.Reserve = reserve })) {
			return now - from, true
		}
	}
	return 0, false
}

// TestGangStartsAmongSmallWork covers the pattern of a full site whose free room
// is always taken by small tasks: a large gang starts within the time of two of
// them.
func TestGangStartsAmongSmallWork(t *testing.T) {
	if d, ok := gangStarts(true); !ok || d > 2*crowdRun {
		t.Errorf("the gang waits for %s, starts %t", d, ok)
	}
	if d, ok := gangStarts(false); ok {
		t.Errorf("the gang starts after %s without kept room: the load is too light", d)
	}
}
