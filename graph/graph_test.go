package graph_test

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"hemlockhinge/graph"
)

const jobID = "0123456789abcdef"

func twoSteps() *graph.Job {
	return &graph.Job{
		ID: jobID,
		Steps: []graph.Step{
			{Count: 2, Estimate: time.Second, Size: graph.Size{MilliCPU: 500, Accelerators: 1}},
			{Count: 3, Estimate: 2 * time.Second, Gang: true, After: []int{0}},
		},
	}
}

func task(step, index int) graph.Task {
	return graph.Task{
		Job:   jobID,
		Step:  step,
		Index: index,
	}
}

func end(step, index, attempt int, outcome graph.Outcome) graph.End {
	return graph.End{
		Task:    task(step, index),
		Attempt: attempt,
		Outcome: outcome,
	}
}

func TestTaskNames(t *testing.T) {
	for _, name := range []string{"x.0.0.0", "0123456789abcdef.3.1.17"} {
		v, err := graph.ParseTask(name)
		if err != nil || v.String() != name {
			t.Errorf("%q parsed as %q, error %v", name, v, err)
		}
	}
	for _, name := range []string{"", "x", "x.0.0", "x.0.0.0.0", "x.a.0.0", "x.0.-1.0"} {
		var e *graph.TaskNameError
		if _, err := graph.ParseTask(name); !errors.As(err, &e) || e.Name != name {
			t.Errorf("%q: error %v, want *TaskNameError", name, err)
		}
	}
}

func TestProgress(t *testing.T) {
	cases := []struct {
		name  string
		ends  []graph.End
		state graph.State
		ready bool
	}{
		{"no ends", nil, graph.Queued, false},
		{"one task of the first step done", []graph.End{end(0, 0, 1, graph.OutcomeDone)}, graph.Queued, false},
		{"first step done", []graph.End{end(0, 0, 1, graph.OutcomeDone), end(0, 1, 1, graph.OutcomeDone)}, graph.Queued, true},
		{"same end reported twice", []graph.End{end(0, 0, 1, graph.OutcomeDone), end(0, 0, 1, graph.OutcomeDone)}, graph.Queued, false},
		{"end of one gang member counts for all", []graph.End{end(0, 0, 1, graph.OutcomeDone), end(0, 1, 1, graph.OutcomeDone), end(1, 2, 1, graph.OutcomeDone)}, graph.Completed, true},
		{"failures below the limit", []graph.End{end(0, 0, 1, graph.OutcomeFailed), end(0, 0, 2, graph.OutcomeFailed)}, graph.Queued, false},
		{"failures at the limit", []graph.End{end(0, 0, 1, graph.OutcomeFailed), end(0, 0, 2, graph.OutcomeFailed), end(0, 0, 3, graph.OutcomeFailed)}, graph.Failed, false},
		{"same failure reported repeatedly", []graph.End{end(0, 0, 1, graph.OutcomeFailed), end(0, 0, 1, graph.OutcomeFailed), end(0, 0, 1, graph.OutcomeFailed), end(0, 0, 2, graph.OutcomeFailed)}, graph.Queued, false},
		{"failures out of order", []graph.End{end(0, 0, 2, graph.OutcomeFailed), end(0, 0, 1, graph.OutcomeFailed), end(0, 0, 3, graph.OutcomeFailed)}, graph.Failed, false},
		{"other outcomes do not count as failures", []graph.End{end(0, 0, 1, graph.OutcomeStopped), end(0, 0, 2, graph.OutcomeLeaseExpired), end(0, 0, 3, graph.OutcomeGangBroken)}, graph.Queued, false},
		{"ends of unknown tasks", []graph.End{end(0, 7, 1, graph.OutcomeDone), end(5, 0, 1, graph.OutcomeDone)}, graph.Queued, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			j := twoSteps()
			p := graph.NewProgress(j)
			for _, e := range c.ends {
				p.RecordEnd(j, e, 3)
			}
			if p.State != c.state || p.StepReady(j, 0, 1) != c.ready {
				t.Errorf("state %q, second step ready %t", p.State, p.StepReady(j, 0, 1))
			}
		})
	}
}

func TestRestoreCountsOpenTasks(t *testing.T) {
	j := twoSteps()
	p := graph.NewProgress(j)
	p.RecordEnd(j, end(0, 0, 1, graph.OutcomeDone), 3)
	q := &graph.Progress{
		State: graph.Queued,
		Tasks: p.Tasks,
	}
	q.Restore(j)
	q.RecordEnd(j, end(0, 1, 1, graph.OutcomeDone), 3)
	q.RecordEnd(j, end(1, 0, 1, graph.OutcomeDone), 3)
	if q.State != graph.Completed {
		t.Errorf("state %q after all ends", q.State)
	}
}

func TestCheckListsEveryFault(t *testing.T) {
	cases := []struct {
		name   string
		change func(*graph.Job)
		want   []string
	}{
		{"valid", func(*graph.Job) {}, nil},
		{"invalid id", func(j *graph.Job) { j.ID = "xyz" }, []string{"id is not"}},
		{"no steps", func(j *graph.Job) { j.Steps = nil }, []string{"job has no steps"}},
		{"two faults", func(j *graph.Job) { j.Steps[0].Count = 0; j.Steps[1].After = []int{1} }, []string{"step 0: count", "step 1: cannot depend on step 1"}},
		{"negative size", func(j *graph.Job) { j.Steps[0].Size.MemoryMiB = -1 }, []string{"memory"}},
		{"too many tasks in all occurrences", func(j *graph.Job) { j.Repeat = 1024; j.Steps[0].Count = 1000 }, []string{"tasks in all"}},
		{"spec too long", func(j *graph.Job) { j.Spec = strings.Repeat("x", 4001) }, []string{"spec"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			j := twoSteps()
			c.change(j)
			assertFaults(t, j.Check(), c.want)
		})
	}
}

// TestManyFaults guards against a job whose faults take many times the length of the job.
func TestManyFaults(t *testing.T) {
	j := twoSteps()
	j.Steps[1].After = slices.Repeat([]int{5}, 100_000)
	var e *graph.InvalidError
	if !errors.As(j.Check(), &e) || len(e.Faults) > 1000 {
		t.Errorf("%d faults are kept", len(e.Faults))
	}
}

func assertFaults(t *testing.T, err error, want []string) {
	t.Helper()
	var e *graph.InvalidError
	if !errors.As(err, &e) {
		if len(want) > 0 {
			t.Errorf("error %v, want *InvalidError", err)
		}
		return
	}
	if len(e.Faults) != len(want) {
		t.Fatalf("faults %q, want %q", e.Faults, want)
	}
	for i, w := range want {
		if !strings.Contains(e.Faults[i], w) {
			t.Errorf("fault %q does not contain %q", e.Faults[i], w)
		}
	}
}

func TestCriticalPathAndDueTimes(t *testing.T) {
	j := twoSteps()
	if d := j.CriticalPath(); d != 3*time.Second {
		t.Errorf("critical path %s", d)
	}
	if l := j.StepCriticalPaths(); l[0] != 3*time.Second || l[1] != 2*time.Second {
		t.Errorf("critical paths from the steps %v", l)
	}
	j.Repeat, j.FirstUnixMS, j.Interval = 3, 5000, 2*time.Second
	if d := j.DueUnixMS(2); d != 9000 {
		t.Errorf("third occurrence due at %d ms", d)
	}
}
