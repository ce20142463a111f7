package leader

import (
	"testing"
	"time"

	"hemlockhinge/graph"
	"hemlockhinge/wire"
)

func TestFailureScore(t *testing.T) {
	begun := time.Unix(1000, 0)
	fail := func(job string) graph.End { return graph.End{Task: graph.Task{Job: job}, Outcome: graph.OutcomeFailed} }
	done := graph.End{Task: graph.Task{Job: "d"}, Outcome: graph.OutcomeDone}
	cases := []struct {
		name  string
		ends  []graph.End
		after time.Duration
		want  int
	}{
		{"no ends", nil, 0, 0},
		{"one job that fails repeatedly", []graph.End{fail("a"), fail("a"), fail("a")}, 0, 1},
		{"two jobs that fail", []graph.End{fail("a"), fail("b")}, 0, outlierScore},
		{"unblocked after outlierDuration", []graph.End{fail("a"), fail("b")}, outlierDuration, 2},
		{"failures expire", []graph.End{fail("a"), fail("b")}, failureMemory + time.Second, 0},
		{"a success clears failures", []graph.End{fail("a"), done, fail("b")}, 0, 1},
		{"stopped runs do not count", []graph.End{{Task: graph.Task{Job: "a"}, Outcome: graph.OutcomeStopped}}, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var g failureTracker
			for _, e := range c.ends {
				g.recordEnd(e, begun)
			}
			if d := g.score(begun.Add(c.after)); d != c.want {
				t.Errorf("failure score is %d, want %d", d, c.want)
			}
		})
	}
}

// TestFailureTrackerRefusals covers a worker that refuses what others would accept:
// a task that it has refused is tried elsewhere first, and refusals of two jobs block
// the worker.
func TestFailureTrackerRefusals(t *testing.T) {
	now := time.Unix(1000, 0)
	var g failureTracker
	for i, c := range []struct {
		job  string
		code wire.Code
		want int
	}{
		{"a", wire.CodeBusy, 0},
		{"a", wire.CodeFailed, 1},
		{"a", wire.CodeFailed, 1},
		{"b", wire.CodeLost, 1},
		{"b", wire.CodeFailed, outlierScore},
	} {
		g.recordRefusal(graph.Task{Job: c.job}, c.code, now)
		if d := g.score(now); d != c.want {
			t.Errorf("after refusal %d: failure score is %d, want %d", i, d, c.want)
		}
	}
}
