package fence_test

import (
	"slices"
	"testing"
	"time"

	"hemlockhinge/fence"
	"hemlockhinge/graph"
)

// runsBegun returns runs whose starts began these times after start; a negative one stands
// for a run that the ledger has from a listing.
func runsBegun(start time.Time, after ...time.Duration) []fence.Run {
	var l []fence.Run
	for i, d := range after {
		r := fence.Run{
			Task: graph.Task{Job: "j", Index: i},
		}
		if d >= 0 {
			r.BegunAt = start.Add(d)
		}
		l = append(l, r)
	}
	return l
}

// TestCrashSuspects guards against a job that is given up because workers crashed while its
// tasks ran there, and against one that crashes its workers without being noticed.
func TestCrashSuspects(t *testing.T) {
	const s = time.Second
	start := time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)
	cases := []struct {
		name       string
		runs       []fence.Run
		lastAnswer time.Duration
		want       []int
	}{
		{"just started", runsBegun(start, 0), 0, []int{0}},
		{"no answer since the start", runsBegun(start, s), 0, []int{0}},
		{"working for a while", runsBegun(start, 0), 2 * s, nil},
		{"the last one only", runsBegun(start, 0, 3*s, 9*s), 9 * s, []int{2}},
		{"started together", runsBegun(start, 0, 9*s, 9*s+s/2), 10 * s, []int{1, 2}},
		{"started long before", runsBegun(start, 0, 1*s), 20 * s, nil},
		{"known from a listing", runsBegun(start, -1, -1), 0, nil},
		{"beside one from a listing", runsBegun(start, -1, 2*s), 3 * s, []int{1}},
		{"nothing", nil, 0, nil},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			var got []int
			for _, r := range fence.CrashSuspects(v.runs, start.Add(v.lastAnswer)) {
				got = append(got, r.Task.Index)
			}
			if !slices.Equal(got, v.want) {
				t.Errorf("suspects %v, not %v", got, v.want)
			}
		})
	}
}

// TestDropped checks that a ledger tells what ran when an incarnation ended, also if the
// leases had expired by then, and not if the incarnation lived on.
func TestDropped(t *testing.T) {
	cases := []struct {
		name  string
		steps func(l *fence.Ledger)
		want  int
	}{
		{"running", func(*fence.Ledger) {}, 1},
		{"leases expired", func(l *fence.Ledger) { l.Clear() }, 1},
		{"leases expired, then listed", func(l *fence.Ledger) {
			l.Clear()
			l.Apply(fence.Listing{Incarnation: 7})
		}, 0},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			var l fence.Ledger
			l.SetIncarnation(7)
			l.Begin(first, 1, size, time.Now())
			v.steps(&l)
			l.SetIncarnation(8)
			if n := len(l.Dropped()); n != v.want {
				t.Errorf("%d runs dropped, not %d", n, v.want)
			}
			l.SetIncarnation(9)
			if n := len(l.Dropped()); n != 0 {
				t.Errorf("%d runs dropped by an idle incarnation", n)
			}
		})
	}
}
