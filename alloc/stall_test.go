package alloc

import (
	"slices"
	"testing"
	"time"

	"hemlockhinge/graph"
)

// TestRestartStalled covers the load that RestartStalled answers: a run stands still on a
// worker that takes no new tasks, beside one that does.
func TestRestartStalled(t *testing.T) {
	step := graph.Step{
		Count: 2,
		Size:  graph.Size{Accelerators: 4},
	}
	group := func(stalled, lost time.Duration) Group {
		return Group{
			Usage:         map[int]graph.Size{0: step.Size},
			Service:       "s",
			Step:          &step,
			Tasks:         1,
			Stalled:       stalled,
			LostByRestart: lost,
		}
	}
	lasting := group(time.Minute, 0)
	lasting.NonPreemptible = true
	gang := group(3*time.Second, time.Second)
	gang.Tasks = 2
	gang.Usage = map[int]graph.Size{0: step.Size, 1: step.Size}
	cases := []struct {
		name   string
		free   int
		groups []Group
		want   []int
	}{
		{"makes progress", 8, []Group{group(0, time.Second)}, nil},
		{"stalled for less than two reports", 8, []Group{group(time.Second, 0)}, nil},
		{"stalled for less than a restart loses", 8, []Group{group(3*time.Second, 4*time.Second)}, nil},
		{"stalled for longer", 8, []Group{group(3*time.Second, 2*time.Second)}, []int{0}},
		{"no room elsewhere", 3, []Group{group(3*time.Second, 0)}, nil},
		{"room for one of two", 4, []Group{group(3*time.Second, 0), group(3*time.Second, 0)}, []int{0}},
		{"gang with one stalled member", 8, []Group{gang}, []int{0}},
		{"task that lasts", 8, []Group{lasting}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := []Worker{
				{ID: "a", Service: "s", Unschedulable: true, Total: graph.Size{Accelerators: 8}},
				{ID: "b", Service: "s", Total: graph.Size{Accelerators: 8}, Free: graph.Size{Accelerators: c.free}},
			}
			if got := RestartStalled(w, c.groups); !slices.Equal(got, c.want) {
				t.Errorf("restarts %v, want %v", got, c.want)
			}
		})
	}
}
