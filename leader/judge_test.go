package leader

import (
	"testing"
	"time"

	"hemlockhinge/graph"
	"hemlockhinge/wire"
)

func TestJudge(t *testing.T) {
	begun := time.Unix(1000, 0)
	fail := func(job string) graph.End { return graph.End{Task: graph.Task{Job: job}, How: graph.Failed} }
	done := graph.End{Task: graph.Task{Job: "d"}, How: graph.Done}
	cases := []struct {
		name  string
		ends  []graph.End
		after time.Duration
		want  int
	}{
		{"nothing", nil, 0, 0},
		{"one job that fails again and again", []graph.End{fail("a"), fail("a"), fail("a")}, 0, 1},
		{"two jobs that fail", []graph.End{fail("a"), fail("b")}, 0, closedDoubt},
		{"tried again after a pause", []graph.End{fail("a"), fail("b")}, badPause, 2},
		{"forgotten", []graph.End{fail("a"), fail("b")}, badMemory + time.Second, 0},
		{"a success clears it", []graph.End{fail("a"), done, fail("b")}, 0, 1},
		{"stops say nothing", []graph.End{{Task: graph.Task{Job: "a"}, How: graph.Stopped}}, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var g judge
			for _, e := range c.ends {
				g.end(e, begun)
			}
			if d := g.doubt(begun.Add(c.after)); d != c.want {
				t.Errorf("doubt %d, not %d", d, c.want)
			}
		})
	}
}

// TestJudgeOfRefusals covers a worker that refuses what others would take: a task
// that it has refused goes elsewhere first, and two jobs' refusals close it.
func TestJudgeOfRefusals(t *testing.T) {
	now := time.Unix(1000, 0)
	var g judge
	for i, c := range []struct {
		job  string
		code wire.Code
		want int
	}{
		{"a", wire.CodeBusy, 0},
		{"a", wire.CodeFailed, 1},
		{"a", wire.CodeFailed, 1},
		{"b", wire.CodeLost, 1},
		{"b", wire.CodeFailed, closedDoubt},
	} {
		g.refused(graph.Task{Job: c.job}, c.code, now)
		if d := g.doubt(now); d != c.want {
			t.Errorf("after refusal %d: doubt %d, not %d", i, d, c.want)
		}
	}
}
