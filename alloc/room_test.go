package alloc_test

import (
	"testing"
	"time"

	"hemlockhinge/alloc"
)

func room(at ...int) func(*alloc.Unit) {
	return func(u *alloc.Unit) {
		u.Urgent = true
		u.Room = map[int]bool{}
		for _, i := range at {
			u.Room[i] = true
		}
	}
}

// TestRoom guards against an urgent gang for which more and more groups are stopped: it was given
// room on some workers, and other ones have become cheaper before all groups there have ended.
func TestRoom(t *testing.T) {
	t.Run("kept although others are cheaper", func(t *testing.T) {
		d := alloc.Decide(workers(8, 0, 0, 0), []alloc.Group{group(1, 8, 9), group(2, 8, 1), group(3, 8, 1)}, []alloc.Unit{unit(1, 2, 8, room(0, 1))})
		assertStopped(t, d, 0)
	})
	t.Run("given up if others are free", func(t *testing.T) {
		d := alloc.Decide(workers(8, 0, 8, 0), []alloc.Group{group(1, 8, 9), group(3, 8, 1)}, []alloc.Unit{unit(1, 2, 8, room(0, 1))})
		assertPlaced(t, d, []int{0, 2})
		assertStopped(t, d)
	})
	t.Run("given up if it is too small", func(t *testing.T) {
		g := []alloc.Group{group(1, 8, 9), group(2, 8, 1)}
		g[0].NonPreemptible = true
		d := alloc.Decide(workers(8, 0, 0), g, []alloc.Unit{unit(1, 2, 8, room(0, 1))})
		assertStopped(t, d, 1)
	})
	t.Run("reported until the unit starts", func(t *testing.T) {
		d := alloc.Decide(workers(8, 0), []alloc.Group{group(1, 8, 9)}, []alloc.Unit{unit(1, 2, 8, urgent)})
		if len(d.Room) != 1 || len(d.Room[0].At) != 2 {
			t.Errorf("room is %v, want both workers", d.Room)
		}
	})
}

// TestEndWait guards against an urgent unit that is late because it waited all of its slack for a
// group that then took longer than expected.
func TestEndWait(t *testing.T) {
	for wait, want := range map[time.Duration][]int{0: nil, 500 * time.Millisecond: {0}, 900 * time.Millisecond: nil} {
		t.Run(wait.String(), func(t *testing.T) {
			g := []alloc.Group{group(0, 8, 5)}
			g[0].Remaining, g[0].RemainingKnown = 800*time.Millisecond, true
			d := alloc.Decide(workers(0), g, []alloc.Unit{unit(1, 1, 8, func(u *alloc.Unit) {
				u.Urgent, u.Slack, u.EndWait = true, time.Second, wait
			})})
			assertStopped(t, d, want...)
		})
	}
}

// TestPreemptionBudget guards against a job that urgent units stop again and again; a guarantee
// holds all the same.
func TestPreemptionBudget(t *testing.T) {
	for _, guaranteed := range []bool{false, true} {
		g := []alloc.Group{group(0, 8, 1), group(1, 8, 9)}
		g[0].BudgetUsed = true
		d := alloc.Decide(workers(0, 0), g, []alloc.Unit{unit(1, 1, 8, func(u *alloc.Unit) {
			u.Urgent, u.WithinGuarantee = true, guaranteed
		})})
		want := 1
		if guaranteed {
			want = 0
		}
		assertStopped(t, d, want)
	}
}
