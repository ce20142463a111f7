package leader

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"hemlockhinge/graph"
	"hemlockhinge/policy"
	"hemlockhinge/store"
	"hemlockhinge/wire"
)

const speedTestWorkers = 12

// speedStore holds the key of the stored speeds. Its role key has the revision of the term that
// holds the role.
type speedStore struct {
	store.Committer
	value  []byte
	holder uint64
	down   bool
}

func (s *speedStore) Get(context.Context, string) (store.Item, error) {
	switch {
	case s.down:
		return store.Item{}, errors.New("the store does not answer")
	case s.value == nil:
		return store.Item{}, &store.NotFoundError{Key: speedsKey}
	}
	return store.Item{Value: s.value}, nil
}

func (s *speedStore) Commit(_ context.Context, t store.Txn) (uint64, error) {
	if s.down || t.If[0].Revision != s.holder {
		return 0, &store.TxnConflictError{}
	}
	s.value = t.Put[0].Value
	return 1, nil
}

// newSpeedTerm returns a term with workers of one service, whose queue has a slack factor of 1.5.
func newSpeedTerm(s *speedStore) *term {
	t := newTestTerm()
	t.leader.ports.Store = s
	t.leader.SetOperatorSettings(OperatorSettings{
		Config: &policy.Config{Queues: []policy.Queue{{Name: "q", Service: "svc", SlackFactor: 1.5}}},
	})
	for i := range speedTestWorkers {
		m := newAgentState(fmt.Sprintf("a%02d", i), func() {})
		t.agents[m.addr] = m
		t.reportWorker(m, 1, 8)
	}
	return t
}

// reportWorker applies the report of an incarnation with a number of accelerators.
func (t *term) reportWorker(m *agentState, born int64, accelerators int) {
	t.applyWorkerInfo(m, &wire.AgentStatus{
		Worker: wire.WorkerInfo{
			Known:    true,
			Service:  "svc",
			Born:     born,
			Labels:   []string{"r1"},
			Capacity: graph.Size{Accelerators: accelerators},
		},
	})
}

// runSteps lets every worker do one task of each of six steps, at its speed.
func (t *term) runSteps(speed func(i int) float64) {
	for s := range 6 {
		j := newJob(&graph.Job{ID: fmt.Sprint("j", s), Queue: "q", Service: "svc", Steps: []graph.Step{{Count: speedTestWorkers, Estimate: time.Second}}}, 1)
		for i := range speedTestWorkers {
			r := &run{task: graph.Task{Job: j.ID, Index: i}, attempt: 1, agent: t.agents[fmt.Sprintf("a%02d", i)]}
			j.runs[r.task] = r
			t.observeSpeed(j, r, time.Duration(float64(2*time.Second)/speed(i)), false)
		}
	}
	t.updateSpeeds(t.speedsUpdatedAt.Add(time.Hour))
}

func slowIf(slow bool) float64 {
	if slow {
		return 0.6
	}
	return 1
}

// TestUnevenService guards against placement by speed where no worker is too slow for a queue's
// slack, and against its absence where some are.
func TestUnevenService(t *testing.T) {
	cases := []struct {
		name  string
		speed func(i int) float64
		want  bool
	}{
		{"equal speeds", func(int) float64 { return 1 }, false},
		{"fast enough for the slack", func(i int) float64 { return []float64{0.8, 1, 1.25}[i%3] }, false},
		{"one slow worker", func(i int) float64 { return slowIf(i == 0) }, false},
		{"a third is slow", func(i int) float64 { return []float64{0.6, 1, 1.6}[i%3] }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := newSpeedTerm(&speedStore{})
			v.runSteps(c.speed)
			if v.uneven("svc") != c.want {
				t.Errorf("uneven: %t, want %t", v.uneven("svc"), c.want)
			}
			if f := v.speedFactor(v.agents["a00"]); !c.want && f != 1 {
				t.Errorf("speed of a worker of an even service counts as %.2f", f)
			}
		})
	}
}

// TestSpeedsAfterChangeOfScheduler guards against a new scheduler that places urgent gangs on slow
// workers until it has learnt their speeds again, and against speeds of machines that are gone.
func TestSpeedsAfterChangeOfScheduler(t *testing.T) {
	learn := func(s *speedStore) {
		v := newSpeedTerm(s)
		v.runSteps(func(i int) float64 { return slowIf(i%3 == 0) })
		v.storeSpeeds(t.Context())
	}
	assertKnown := func(t *testing.T, v *term, want bool) {
		t.Helper()
		v.updateSpeeds(v.speedsUpdatedAt.Add(time.Hour))
		if slow := v.speedFactor(v.agents["a00"]) < 0.8; slow != want || v.uneven("svc") != want {
			t.Errorf("the slow worker is known: %t, service uneven: %t, want %t", slow, v.uneven("svc"), want)
		}
	}
	t.Run("restored before the agents report", func(t *testing.T) {
		s := &speedStore{holder: testEpoch}
		learn(s)
		v := newSpeedTerm(s)
		v.agents["a00"].worker = wire.WorkerInfo{}
		v.restoreSpeeds(t.Context())
		v.reportWorker(v.agents["a00"], 1, 8)
		assertKnown(t, v, true)
	})
	t.Run("restored after the agents have reported", func(t *testing.T) {
		s := &speedStore{holder: testEpoch}
		learn(s)
		v := newSpeedTerm(s)
		v.restoreSpeeds(t.Context())
		assertKnown(t, v, true)
	})
	t.Run("the store does not answer", func(t *testing.T) {
		s := &speedStore{holder: testEpoch}
		learn(s)
		s.down = true
		v := newSpeedTerm(s)
		if v.restoreSpeeds(t.Context()) {
			t.Error("the speeds count as restored")
		}
		assertKnown(t, v, false)
	})
	t.Run("a write that failed is repeated", func(t *testing.T) {
		s := &speedStore{holder: testEpoch, down: true}
		v := newSpeedTerm(s)
		v.runSteps(func(i int) float64 { return slowIf(i%3 == 0) })
		v.storeSpeeds(t.Context())
		s.down = false
		v.storeSpeeds(t.Context())
		if s.value == nil {
			t.Error("the speeds are not stored although the store answers again")
		}
	})
	t.Run("stored after the role was lost", func(t *testing.T) {
		s := &speedStore{holder: testEpoch + 1}
		learn(s)
		if s.value != nil {
			t.Error("a deposed scheduler has stored its speeds")
		}
	})
	t.Run("even services are not stored", func(t *testing.T) {
		s := &speedStore{holder: testEpoch}
		v := newSpeedTerm(s)
		v.runSteps(func(int) float64 { return 1 })
		v.storeSpeeds(t.Context())
		if s.value != nil {
			t.Error("the speeds were stored")
		}
	})
}

// TestSpeedAfterRestartOfWorker guards against a speed that outlives its machine, and against one
// that is forgotten with every restart.
func TestSpeedAfterRestartOfWorker(t *testing.T) {
	for accelerators, slow := range map[int]bool{8: true, 4: false} {
		t.Run(fmt.Sprintf("with %d accelerators", accelerators), func(t *testing.T) {
			v := newSpeedTerm(&speedStore{})
			v.runSteps(func(i int) float64 { return slowIf(i%3 == 0) })
			v.reportWorker(v.agents["a00"], 2, accelerators)
			v.updateSpeeds(v.speedsUpdatedAt.Add(time.Hour))
			if f := v.speedFactor(v.agents["a00"]); f < 0.8 != slow {
				t.Errorf("speed is %.2f", f)
			}
		})
	}
}

// TestGangWorkers guards against run times of gangs that are taken for those of fewer workers: as
// members end one by one, the rest do not tell who was the slowest.
func TestGangWorkers(t *testing.T) {
	v := newSpeedTerm(&speedStore{})
	j := newJob(&graph.Job{ID: "j", Steps: []graph.Step{{Count: 3, Gang: true}}}, 1)
	for i := range 3 {
		k := graph.Task{Job: j.ID, Index: i}
		j.runs[k] = &run{task: k, attempt: 1, agent: v.agents[fmt.Sprintf("a%02d", i%2)]}
	}
	r := j.runs[graph.Task{Job: j.ID}]
	if l := j.gangWorkers(r); !slices.Equal(l, []string{"a00", "a01"}) {
		t.Errorf("workers are %v", l)
	}
	delete(j.runs, graph.Task{Job: j.ID, Index: 2})
	if l := j.gangWorkers(r); l != nil {
		t.Errorf("workers are %v although a member has ended", l)
	}
}

// TestPace guards against run times that are extrapolated from delayed reports: the pace goes by
// the time of the listing, not by the arrival of the report.
func TestPace(t *testing.T) {
	var p runProgress
	for i, v := range []struct {
		percent  int
		listedMS int64
	}{{0, 100}, {10, 1000}, {10, 1000}, {30, 2000}, {50, 3000}} {
		p.observePace(v.percent, v.listedMS)
		if _, ok := p.paceTotal(); ok != (i >= 3) {
			t.Errorf("after listing %d: pace known: %t", i, ok)
		}
	}
	if d, _ := p.paceTotal(); d != 5*time.Second {
		t.Errorf("the run takes %s, want 5s", d)
	}
	p.observePace(0, 3500)
	p.observePace(20, 4000)
	if _, ok := p.paceTotal(); ok {
		t.Error("the pace goes by the progress of an earlier attempt")
	}
	p.observePace(60, 6000)
	p.forgetPace()
	p.observePace(10, 500)
	if _, ok := p.paceTotal(); ok {
		t.Error("the pace goes by the clock of an agent that was restarted")
	}
}

// TestMinSpeed guards against units that wait for workers that cannot help them, and against late
// units that go where their result loses all value.
func TestMinSpeed(t *testing.T) {
	cases := []struct {
		name   string
		waited time.Duration
		want   float64
	}{
		{"just arrived", 0, 2.0 / 3.05},
		{"waited for a while", time.Second, 2.0 / 2.05},
		{"late, with value left", 4 * time.Second, 2.0 / 5.65},
		{"without value", 30 * time.Second, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := timing{waited: c.waited, remaining: 2 * time.Second, objective: 3300 * time.Millisecond}
			if f := v.minSpeed(); f < c.want-0.01 || f > c.want+0.01 {
				t.Errorf("least speed is %.3f, want %.3f", f, c.want)
			}
		})
	}
}
