package leader

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"hemlockhinge/graph"
	"hemlockhinge/wire"
)

// TestLastingTasksTellNoSpeed guards against workers that get no tasks because theirs last: the
// progress of such a task stays at 100 percent, which looks like a worker that stands still,
// or like a task that is about to end.
func TestLastingTasksTellNoSpeed(t *testing.T) {
	for _, lasting := range []bool{true, false} {
		t.Run(fmt.Sprintf("lasting %t", lasting), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newReportTest()
				v.job.Steps[0].LongRunning = lasting
				v.term.meanRunTime[v.job.Queue] = time.Second
				v.confirm(1)
				for seq := uint64(2); seq < 8; seq++ {
					time.Sleep(time.Second)
					v.term.applyReport(v.agent, 1, v.report(seq, int64(seq)*1000, wire.RunState{
						Task:    testTask.String(),
						Attempt: 1,
						Percent: fullPercent,
					}))
				}
				if slow := v.term.isSlow(v.agent); slow == lasting {
					t.Errorf("the worker counts as slow: %t", slow)
				}
				g := groupBuilder{
					term:        v.term,
					workerIndex: map[*agentState]int{},
					groupIndex:  map[graph.Task]int{},
				}
				g.addRun(v.job, testTask, v.run, time.Now())
				if d := g.groups[0].ExpectedRemaining; (d > time.Hour) != lasting || g.groups[0].RemainingKnown == lasting {
					t.Errorf("expected to end in %s, known: %t", d, g.groups[0].RemainingKnown)
				}
			})
		})
	}
}

// TestLongTasksAreNotSlow guards against workers that are set aside because their tasks are long:
// less than one percent of progress shows nothing for seconds, and other tasks of the queue
// may be short.
func TestLongTasksAreNotSlow(t *testing.T) {
	const interval = 400 * time.Millisecond
	cases := []struct {
		name  string
		takes time.Duration
		slow  bool
	}{
		{"as long as estimated", 10 * time.Minute, false},
		{"twice as long", 20 * time.Minute, false},
		{"ten times as long", 100 * time.Minute, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newReportTest()
				v.job.Steps[0].Estimate = 10 * time.Minute
				v.term.meanRunTime[v.job.Queue] = time.Second
				v.confirm(1)
				begun := time.Now()
				slow := false
				for seq := uint64(2); time.Since(begun) < 2*time.Minute; seq++ {
					time.Sleep(interval)
					d := time.Since(begun)
					v.term.applyReport(v.agent, 1, v.report(seq, 1000+d.Milliseconds(), wire.RunState{
						Task:    testTask.String(),
						Attempt: 1,
						Percent: int(fullPercent * d / c.takes),
					}))
					slow = slow || v.term.isSlow(v.agent)
				}
				if slow != c.slow {
					t.Errorf("the worker counts as slow: %t", slow)
				}
			})
		})
	}
}
