package leader

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"hemlockhinge/graph"
	"hemlockhinge/store"
	"hemlockhinge/wire"
)

// FuzzInputs guards against a record in the store that takes every scheduler down, one
// after the other: a term reads it as each kind of input and as progress, and runs a pass.
func FuzzInputs(f *testing.F) {
	j := &graph.Job{
		ID:    "0123456789abcdef",
		Queue: "wide",
		Steps: []graph.Step{{Count: 2, Size: graph.Size{Accelerators: 1}}, {Count: 1, After: []int{0}, Gang: true}},
	}
	b, err := EncodeJob(j)
	if err != nil {
		f.Fatal(err)
	}
	p, err := msgpack.Marshal(graph.NewProgress(j))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b, p)
	f.Add(p, b)
	f.Add([]byte("null"), []byte{0xc0})
	f.Fuzz(func(t *testing.T, job, progress []byte) {
		synctest.Test(t, func(*testing.T) {
			v := newTestTerm()
			v.leader.operatorSettings.Config = benchConfig()
			v.addBenchAgent(0)
			for _, k := range []string{JobKey(j.ID), CancelKey("other"), "hemlockhinge/in/unknown"} {
				v.apply(store.Item{
					Key:      k,
					Value:    job,
					Revision: testEpoch + 1,
				})
			}
			v.applyProgress([]store.Item{{Key: ProgressKey(j.ID), Value: progress, Revision: 1}})
			v.schedulingPass(time.Now())
			time.Sleep(launchTimeout + time.Second)
		})
	})
}

// FuzzReport guards against a report of an agent that takes the scheduler down.
func FuzzReport(f *testing.F) {
	s := wire.AgentStatus{
		Seq:     5,
		Settled: true,
		Worker:  wire.WorkerInfo{Known: true, Born: 1, Leaving: true, LeavesMS: 100},
		Runs:    []wire.RunState{{Task: testTask.String(), Attempt: 1, Percent: 50}},
		Ends:    []wire.EndState{{N: 3, Task: testTask.String(), Attempt: 1, How: "done"}},
	}
	for range 2 {
		b, err := msgpack.Marshal(&s)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
		s.Runs[0].Task = "j.0.7.9"
		s.Ends[0].Task = "other.0.0.0"
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var s wire.AgentStatus
		if msgpack.Unmarshal(b, &s) != nil {
			return
		}
		synctest.Test(t, func(*testing.T) {
			v := newReportTest()
			v.term.leader.operatorSettings.Config = benchConfig()
			v.job.Queue = "wide"
			v.agent.peer = nil
			v.term.applyReport(v.agent, 1, &s)
			v.term.schedulingPass(time.Now())
		})
	})
}
