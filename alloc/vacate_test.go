package alloc

import (
	"slices"
	"testing"
	"time"

	"hemlockhinge/graph"
)

// TestVacate covers the load that Vacate answers: tasks run on a worker that leaves in 4 s,
// beside one that stays.
func TestVacate(t *testing.T) {
	const stopTime = time.Second
	size := graph.Size{Accelerators: 4}
	group := func(remaining time.Duration, checkpoints bool) Group {
		return Group{
			Usage:             map[int]graph.Size{0: size},
			Service:           "s",
			Step:              &graph.Step{Count: 2, Size: size, Checkpoints: checkpoints},
			Tasks:             1,
			ExpectedRemaining: remaining,
		}
	}
	gang := group(9*time.Second, false)
	gang.Tasks = 2
	gang.Usage = map[int]graph.Size{0: size, 1: size}
	lasting := group(9*time.Second, true)
	lasting.NonPreemptible = true
	cases := []struct {
		name   string
		left   time.Duration
		free   int
		groups []Group
		want   []int
	}{
		{"ends in time", 4 * time.Second, 8, []Group{group(3*time.Second, false)}, nil},
		{"would be lost, room elsewhere", 4 * time.Second, 8, []Group{group(9*time.Second, false)}, []int{0}},
		{"may still end in time", 4 * time.Second, 8, []Group{group(6*time.Second, false)}, nil},
		{"would be lost, no room elsewhere", 4 * time.Second, 3, []Group{group(9*time.Second, false)}, nil},
		{"would be lost, no room elsewhere, no time left", stopTime, 3, []Group{group(9*time.Second, false)}, []int{0}},
		{"ends in time, no time left for more", stopTime, 3, []Group{group(stopTime-endMargin, false)}, nil},
		{"would end too late to be reported", stopTime, 8, []Group{group(stopTime, false)}, []int{0}},
		{"room for one of two", 4 * time.Second, 4, []Group{group(9*time.Second, false), group(9*time.Second, false)}, []int{0}},
		{"saves checkpoints, still time", 4 * time.Second, 8, []Group{group(9*time.Second, true)}, nil},
		{"saves checkpoints, no time left", stopTime, 0, []Group{group(9*time.Second, true)}, []int{0}},
		{"gang with a member on the worker", 4 * time.Second, 8, []Group{gang}, []int{0}},
		{"gang without room for all members", 4 * time.Second, 4, []Group{gang}, nil},
		{"task that lasts", 0, 8, []Group{lasting}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := []Worker{
				{ID: "a", Service: "s", Leaving: true, LeavesIn: c.left, Unschedulable: true, Total: graph.Size{Accelerators: 8}},
				{ID: "b", Service: "s", Total: graph.Size{Accelerators: 8}, Free: graph.Size{Accelerators: c.free}},
			}
			if got := Vacate(w, c.groups, stopTime); !slices.Equal(got, c.want) {
				t.Errorf("stops %v, want %v", got, c.want)
			}
		})
	}
}
