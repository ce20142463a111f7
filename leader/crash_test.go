package leader

import (
	"testing"
	"testing/synctest"
	"time"

	"hemlockhinge/graph"
	"hemlockhinge/wire"
)

// crashReport returns a report in which an attempt at the task has crashed the worker.
func (v *reportTest) crashReport(seq uint64, attempt int) *wire.AgentStatus {
	s := v.report(seq, 1000+int64(seq))
	s.Worker.Born = int64(seq)
	s.Ends = []wire.EndState{{
		Task:    testTask.String(),
		Attempt: attempt,
		How:     string(graph.OutcomeWorkerCrashed),
	}}
	return s
}

// TestSuspectWaitsForStore guards against a count of crashes that is lost with the scheduler:
// a task is started a third time only once two crashes of its workers are in the store.
func TestSuspectWaitsForStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newReportTest()
		for i, want := range []bool{true, false} {
			v.term.applyReport(v.agent, 1, v.crashReport(uint64(i+2), i+1))
			if got := v.job.startable(testTask, 0, time.Now()); got != want {
				t.Errorf("startable after crash %d: %t, not %t", i+1, got, want)
			}
		}
		l, err := v.term.pendingChanges()
		if err != nil || len(l) != 1 {
			t.Fatalf("%d changes to store, error %v", len(l), err)
		}
		v.term.markRecorded(l, 1)
		if !v.job.startable(testTask, 0, time.Now()) {
			t.Error("not startable although the crashes are in the store")
		}
		v.term.applyReport(v.agent, 1, v.crashReport(4, 3))
		if s := v.job.progress.State; s != graph.Failed {
			t.Errorf("state %q after three crashes, not failed", s)
		}
	})
}

// TestWorkingGangIsNotSuspect guards against a gang that is given up because other workers of
// its members crash: once it works, no member is to blame for earlier crashes.
func TestWorkingGangIsNotSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newReportTest()
		v.job.Steps = []graph.Step{{Count: 2, Gang: true}}
		v.job.progress = graph.NewProgress(v.job.Job)
		other := testTask
		other.Index = 1
		for n := range 2 {
			v.term.recordCrash(v.job, v.agent, other, n+1, true)
		}
		v.run.attempt = 5
		v.run.phase = running
		working := wire.RunState{
			Task:    testTask.String(),
			Attempt: 5,
			Percent: 1,
		}
		v.term.applyReport(v.agent, 1, v.report(2, 1001, working))
		if !v.job.hasSuspect([]graph.Task{other}, nil) {
			t.Error("the other member is no suspect although the gang has just started")
		}
		time.Sleep(survivalTime + time.Millisecond)
		v.term.applyReport(v.agent, 1, v.report(3, 3001, working))
		if !v.job.hasSuspect([]graph.Task{other}, nil) {
			t.Error("the other member is no suspect although the gang has not progressed")
		}
		working.Percent = 2
		v.term.applyReport(v.agent, 1, v.report(4, 3002, working))
		if v.job.hasSuspect([]graph.Task{other}, nil) {
			t.Error("the other member is a suspect although the gang works")
		}
	})
}
