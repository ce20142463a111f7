package leader

import (
	"testing"
	"time"

	"hemlockhinge/alloc"
	"hemlockhinge/graph"
	"hemlockhinge/policy"
)

// TestContended guards against decisions that change on deployments which do not ask for it, and
// against their absence where the configuration or a setting does.
func TestContended(t *testing.T) {
	cases := []struct {
		name       string
		setting    string
		guarantees []int
		uneven     bool
		want       bool
	}{
		{"similar guarantees", "", []int{16, 24, 40, 8}, false, false},
		{"one large customer", "", []int{100, 8, 8, 8}, false, true},
		{"no guarantees", "", []int{0, 0, 0}, false, false},
		{"uneven workers", "", []int{16, 16}, true, true},
		{"by setting", OrderByCost, []int{16, 16}, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := newTestTerm()
			v.leader.settings.Order = c.setting
			g := &policy.Config{}
			for _, n := range c.guarantees {
				g.Customers = append(g.Customers, policy.Customer{GuaranteedAccelerators: n})
			}
			v.leader.SetOperatorSettings(OperatorSettings{Config: g})
			v.speedsOf("svc").uneven = c.uneven
			if v.contended() != c.want {
				t.Errorf("contended: %t, want %t", !c.want, c.want)
			}
			if v.ranksByCost() != (c.setting == OrderByCost) {
				t.Errorf("ranks by cost: %t", v.ranksByCost())
			}
		})
	}
}

// TestRoomFor guards against room that is looked for on other workers than those where it was made:
// the indexes of workers change between passes as agents come and go.
func TestRoomFor(t *testing.T) {
	v := newTestTerm()
	a, b, c := newAgentState("a", func() {}), newAgentState("b", func() {}), newAgentState("c", func() {})
	k := graph.Task{Job: "j"}
	v.keepRoom([]alloc.Placement{{Unit: &alloc.Unit{Tasks: []graph.Task{k}}, At: []int{1, 2}}}, []*agentState{a, b, c})
	l := unitLister{term: v, agents: []*agentState{b, c}}
	if r := l.roomFor(k); len(r) != 2 || !r[0] || !r[1] {
		t.Errorf("room is at %v", r)
	}
	v.keepRoom(nil, nil)
	if r := l.roomFor(k); r != nil {
		t.Errorf("room is at %v after the unit has started", r)
	}
}

// TestRankByCost guards against units whose ranks are mixed up with those of running jobs, and
// against a burst of one customer that keeps another one waiting.
func TestRankByCost(t *testing.T) {
	v := newTestTerm()
	v.leader.settings.Order = OrderByCost
	v.leader.SetOperatorSettings(OperatorSettings{
		Config: &policy.Config{Queues: []policy.Queue{{Name: "q", Service: "svc", Priority: 1, SlackFactor: 3}}},
	})
	add := func(id, customer string, revision uint64) *job {
		j := newJob(&graph.Job{ID: id, Customer: customer, Queue: "q", Service: "svc", Steps: []graph.Step{{
			Count:    1,
			Estimate: 10 * time.Second,
			Size:     graph.Size{Accelerators: 1},
		}}}, revision)
		v.jobs[id] = j
		return j
	}
	running := add("running", "large", 1)
	k := graph.Task{Job: running.ID}
	running.runs[k] = &run{task: k, size: graph.Size{Accelerators: 8}}
	add("next", "large", 2)
	last := add("other", "small", 3)
	v.countOvertaken(last)
	if n := v.jobs["next"].overtaken; n != 1 || last.overtaken != 0 {
		t.Errorf("the older job was overtaken %d times, the younger one %d times", n, last.overtaken)
	}
	ranks := map[string]float64{}
	for _, u := range v.startableUnits(time.Now(), nil, nil, &heldBack{}) {
		ranks[u.Job] = u.Rank
	}
	if len(ranks) != 2 || ranks["other"] >= ranks["next"] {
		t.Errorf("ranks are %v; the customer without runs should be first", ranks)
	}
}

// TestGroupPreemptions guards against a budget that a gang uses up with one stop, since each of its
// members is stopped, and a step with one of its many tasks.
func TestGroupPreemptions(t *testing.T) {
	j := newJob(&graph.Job{ID: "j", Steps: []graph.Step{{Count: 3, Gang: true}, {Count: 3}}}, 1)
	for step := range j.Steps {
		for i := range 3 {
			j.countGroupPreemption(graph.Task{Job: j.ID, Step: step, Index: i})
		}
	}
	gang, single := graph.Task{Job: j.ID}, graph.Task{Job: j.ID, Step: 1, Index: 2}
	if j.groupPreemptions[gang] != 1 || j.groupPreemptions[single] != 1 || len(j.groupPreemptions) != 4 {
		t.Errorf("preemptions are %v", j.groupPreemptions)
	}
}
