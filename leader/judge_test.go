package leader

import (
	"testing"
	"time"

	"hemlockhinge/graph"
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
