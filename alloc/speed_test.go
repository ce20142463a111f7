package alloc_test

import (
	"fmt"
	"testing"
	"time"

	"hemlockhinge/alloc"
)

// atSpeeds returns workers of 8 accelerators each, two per rack, with the given speeds and
// numbers free.
func atSpeeds(speeds []float64, free ...int) []alloc.Worker {
	w := workers(free...)
	for i := range w {
		w[i].Speed = speeds[i]
	}
	return w
}

func needs(speed float64, more ...func(*alloc.Unit)) func(*alloc.Unit) {
	return func(u *alloc.Unit) {
		u.Uneven = true
		u.MinSpeed = speed
		for _, f := range more {
			f(u)
		}
	}
}

func waits(u *alloc.Unit) {
	u.WaitForSpeed = true
	u.Slack = time.Second
}

func spans(u *alloc.Unit)  { u.AnyRack = true }
func dataR0(u *alloc.Unit) { u.Step.DataRack = "r0" }

type speeds = []float64

// TestPlaceBySpeed guards against units that miss their objective on slow workers while fast
// enough ones can be had, that occupy fast workers without need, and that wait in vain.
func TestPlaceBySpeed(t *testing.T) {
	assertPlacements(t, []placement{
		{"speed is ignored on an even service", speeds{1.6, 0.6}, []int{1, 8}, unit(1, 1, 1, nil), "[0]"},
		{"slowest first on an uneven one", speeds{1.6, 0.6}, []int{1, 8}, unit(1, 1, 1, needs(0)), "[1]"},
		{"slowest fast enough one", speeds{1.6, 0.6, 1, 1.6}, []int{1, 1, 8, 1}, unit(1, 1, 1, needs(0.9)), "[2]"},
		{"no speed stands for normal speed", speeds{0.6, 0, 1.6}, []int{8, 8, 8}, unit(1, 1, 1, needs(0.9)), "[1]"},
		{"best fit among similar speeds", speeds{1, 1.1}, []int{8, 1}, unit(1, 1, 1, needs(0.9)), "[1]"},
		{"waits for fast enough workers", speeds{0.6, 1}, []int{8, 0}, unit(1, 1, 1, needs(0.9, waits)), ""},
		{"no slack to wait", speeds{0.6, 0.8, 1}, []int{1, 8, 0}, unit(1, 1, 1, needs(0.9)), "[1]"},
		{"no worker is fast enough", speeds{0.6, 0.8}, []int{1, 8}, unit(1, 1, 1, needs(0.9, waits)), "[1]"},
		{"fast enough workers are too few", speeds{0.6, 0.6, 1}, []int{8, 8, 0}, unit(1, 2, 8, needs(0.9, waits)), "[0 1]"},
		{"gang of similar members", speeds{1, 1.6, 1.6, 1.6, 1.6, 1.6}, []int{8, 8, 8, 8, 8, 8}, unit(1, 5, 8, needs(0.9)), "[1 2 3 4 5]"},
		{"mostly slowest members on an uneven service", speeds{0.6, 0.6, 0.6, 0.6, 1, 1, 1, 1, 1}, []int{8, 8, 8, 8, 8, 8, 8, 8, 8}, unit(1, 5, 8, needs(0)), "[0 1 2 3 4]"},
		{"late gang at the best pace", speeds{0.6, 0.6, 0.8, 1.6}, []int{8, 8, 8, 8}, unit(1, 2, 8, needs(2)), "[2 3]"},
		{"late gang leaves what its pace does not need", speeds{1.6, 0.6, 1, 1, 1}, []int{8, 8, 8, 8, 8}, unit(1, 3, 8, needs(2)), "[2 3 4]"},
	})
}

// TestRacksBySpeed guards against gangs that cross racks, and tasks that run away from their
// data, only to get faster workers: that takes 3 times as long, a slow worker 1.67 times.
func TestRacksBySpeed(t *testing.T) {
	assertPlacements(t, []placement{
		{"rack of fast enough workers", speeds{0.6, 0.6, 1, 1}, []int{8, 8, 8, 8}, unit(1, 2, 8, needs(0.9, oneRack)), "[2 3]"},
		{"rack that wastes the least", speeds{1.6, 1.6, 1, 1.6, 1, 1}, []int{8, 8, 8, 8, 8, 8}, unit(1, 2, 8, needs(0.9, oneRack)), "[4 5]"},
		{"slowest rack on an uneven service", speeds{1, 1, 0.6, 0.6}, []int{8, 8, 8, 8}, unit(1, 2, 8, needs(0, oneRack)), "[2 3]"},
		{"waits for a rack", speeds{0.6, 0.6, 1, 1}, []int{8, 8, 0, 8}, unit(1, 2, 8, needs(0.9, oneRack, waits)), ""},
		{"one rack with a slow worker before two", speeds{0.6, 1, 1, 0.6}, []int{8, 8, 8, 0}, unit(1, 2, 8, needs(0.9, oneRack, waits)), "[0 1]"},
		{"same if it may span racks", speeds{0.6, 0.6, 1, 1, 1, 1}, []int{8, 8, 8, 0, 8, 0}, unit(1, 2, 8, needs(0.9, oneRack, spans)), "[0 1]"},
		{"larger than any rack", speeds{0.6, 0.6, 1, 1, 1, 1}, []int{8, 8, 8, 8, 8, 0}, unit(1, 3, 8, needs(0.9, oneRack)), "[2 3 4]"},
		{"late gang in the fastest rack", speeds{0.6, 0.6, 0.8, 0.8}, []int{8, 8, 8, 8}, unit(1, 2, 4, needs(0.9, oneRack)), "[2 2]"},
		{"slow worker beside its data", speeds{0.6, 0.6, 1, 1}, []int{8, 8, 8, 8}, unit(1, 1, 1, needs(0.9, dataR0, waits)), "[0]"},
		{"slow gang beside its data", speeds{0.6, 0.6, 1, 1}, []int{8, 8, 8, 8}, unit(1, 2, 8, needs(0.9, oneRack, dataR0, waits)), "[0 1]"},
		{"waits for a fast one beside its data", speeds{0.6, 1, 1, 1}, []int{8, 0, 8, 8}, unit(1, 1, 1, needs(0.9, dataR0, waits)), ""},
		{"data rack is full", speeds{0.6, 1, 1, 1.6}, []int{0, 0, 8, 8}, unit(1, 1, 1, needs(0.9, dataR0, spans)), "[3]"},
	})
}

type placement struct {
	name   string
	speeds speeds
	free   []int
	unit   alloc.Unit
	want   string
}

func assertPlacements(t *testing.T, cases []placement) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assertStarts(t, alloc.Decide(atSpeeds(c.speeds, c.free...), nil, []alloc.Unit{c.unit}), c.want)
		})
	}
}

// assertStarts compares the workers of all units that start.
func assertStarts(t *testing.T, d alloc.Decision, want string) {
	t.Helper()
	got := ""
	for _, p := range d.Start {
		got += fmt.Sprint(p.At)
	}
	if got != want {
		t.Errorf("placed at %s, not %s", got, want)
	}
}

// TestPreemptBySpeed guards against stops that free only workers on which the unit is late, and
// against plans that are taken from or denied to a unit because of one with another MinSpeed.
func TestPreemptBySpeed(t *testing.T) {
	const kept = 1e6
	groups := func(cost ...float64) []alloc.Group {
		var l []alloc.Group
		for i, c := range cost {
			l = append(l, group(i, 8, c))
			l[i].NonPreemptible = c == kept
		}
		return l
	}
	cases := []struct {
		name   string
		speeds speeds
		groups []alloc.Group
		units  []alloc.Unit
		want   []int
	}{
		{"fast enough workers only", speeds{0.6, 1}, groups(1, 50), []alloc.Unit{unit(1, 1, 8, needs(0.9, urgent))}, []int{1}},
		{"cost on fast enough workers is too high", speeds{0.6, 1}, groups(1, 50), []alloc.Unit{unit(1, 1, 8, needs(0.9, urgent, func(u *alloc.Unit) { u.Work = 10 }))}, []int{0}},
		{"waits instead", speeds{0.6, 1}, groups(1, 50), []alloc.Unit{unit(1, 1, 8, needs(0.9, urgent, waits, func(u *alloc.Unit) { u.Work = 10 }))}, nil},
		{"slowest fast enough one at equal cost", speeds{1.6, 1}, groups(1, 1), []alloc.Unit{unit(1, 1, 8, needs(0.9, urgent))}, []int{1}},
		{"fastest one at equal cost if none is fast enough", speeds{0.6, 0.8}, groups(1, 1), []alloc.Unit{unit(1, 1, 8, needs(0.9, urgent))}, []int{1}},
		{"gang within a rack", speeds{0.6, 1, 1, 0.6, 1, 1}, groups(1, 1, 1, 1, 9, 9), []alloc.Unit{unit(1, 2, 8, needs(0.9, urgent, oneRack, spans))}, []int{4, 5}},
		{"slow rack before two fast ones", speeds{0.6, 0.6, 1, 1, 1, 1}, groups(9, 9, 1, kept, 1, kept), []alloc.Unit{unit(1, 2, 8, needs(0.9, urgent, oneRack))}, []int{0, 1}},
		{"units of different needs", speeds{0.6, 1, 1.6}, groups(1, 2, 3), []alloc.Unit{unit(1, 1, 8, needs(1.5, urgent, waits)), unit(2, 1, 8, needs(1.5, urgent, waits)), unit(3, 1, 8, needs(0.9, urgent, waits)), unit(4, 1, 8, needs(0, urgent))}, []int{0, 1, 2}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assertStopped(t, alloc.Decide(atSpeeds(c.speeds, make([]int, len(c.speeds))...), c.groups, c.units), c.want...)
		})
	}
}

// TestWaitLeavesCapacity guards against capacity that stays idle for a unit that waits for fast
// enough workers: others start there, except where they would delay it within its slack.
func TestWaitLeavesCapacity(t *testing.T) {
	const s = time.Second
	gang := func(slack time.Duration) alloc.Unit {
		return unit(1, 2, 8, needs(0.9, waits, reserved, func(u *alloc.Unit) { u.Slack = slack }))
	}
	cases := []struct {
		name  string
		gang  alloc.Unit
		other alloc.Unit
		want  string
	}{
		{"other is short", gang(3 * s), unit(2, 1, 8, needs(0.9, runs(s))), "[1]"},
		{"other is long", gang(3 * s), unit(2, 1, 8, needs(0.9, runs(9*s))), ""},
		{"other is long on the slowest worker that it may take", gang(3 * s), unit(2, 1, 8, needs(0, runs(3*s/2))), ""},
		{"gang will not wait for so long", gang(s), unit(2, 1, 8, needs(0.9, runs(9*s))), "[1]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := atSpeeds(speeds{0.6, 1, 1}, 0, 8, 0)
			d := alloc.Decide(w, []alloc.Group{endingIn(0, 8, 9*s), endingIn(2, 8, 2*s)}, []alloc.Unit{c.gang, c.other})
			assertStarts(t, d, c.want)
		})
	}
}

// TestUnitsOfDifferentNeeds guards against a unit that is denied free workers because an earlier
// one, alike but for its MinSpeed, found none that are fast enough; and against speeds that decide
// for units of even services.
func TestUnitsOfDifferentNeeds(t *testing.T) {
	w := atSpeeds(speeds{0.6, 1, 1.6, 1.6, 0.6}, 8, 8, 0, 4, 8)
	l := []alloc.Unit{unit(1, 1, 8, needs(1.5, waits)), unit(2, 1, 8, needs(0.9, waits)), unit(3, 1, 8, needs(0.9, waits)), unit(4, 1, 8, needs(0.5, waits)), unit(5, 1, 1, nil)}
	assertStarts(t, alloc.Decide(w, nil, l), "[1][0][3]")
}

// TestFailuresBySpeed guards against units that start on a fast outlier, which fails or is slow at
// present, because all others are too slow, or where other jobs failed for the sake of speed.
func TestFailuresBySpeed(t *testing.T) {
	w := atSpeeds(speeds{0.6, 0.8, 1.6}, 8, 8, 8)
	w[1].FailureScore = 1
	w[2].Outlier = true
	assertStarts(t, alloc.Decide(w, nil, []alloc.Unit{unit(1, 1, 8, needs(0.9, waits))}), "[0]")
}
