package graph_test

import (
	"testing"

	"hemlockhinge/graph"
)

// crashStep is the crash of a worker under an attempt at a task, or its survival.
type crashStep struct {
	attempt  int
	survived bool
	// unresolved means that it is not known whether the attempt had begun.
	unresolved bool
}

// TestCrashes guards against a task that crashes worker after worker, and against a job that
// is given up for the same crash reported repeatedly or for crashes before it has worked.
func TestCrashes(t *testing.T) {
	crash := func(attempt int) crashStep { return crashStep{attempt: attempt} }
	survival := func(attempt int) crashStep { return crashStep{attempt: attempt, survived: true} }
	unresolved := func(attempt int) crashStep { return crashStep{attempt: attempt, unresolved: true} }
	cases := []struct {
		name    string
		steps   []crashStep
		suspect bool
		want    graph.State
	}{
		{"one", []crashStep{crash(1)}, false, graph.Queued},
		{"two", []crashStep{crash(1), crash(2)}, true, graph.Queued},
		{"three", []crashStep{crash(1), crash(2), crash(9)}, true, graph.Failed},
		{"one reported three times", []crashStep{crash(1), crash(1), crash(1)}, false, graph.Queued},
		{"worked after two", []crashStep{crash(1), crash(2), survival(3), crash(4)}, false, graph.Queued},
		{"reported again after it worked", []crashStep{crash(1), survival(2), crash(1), crash(3)}, false, graph.Queued},
		{"one and two unresolved", []crashStep{unresolved(1), crash(2), unresolved(3)}, true, graph.Queued},
		{"five unresolved", []crashStep{unresolved(1), unresolved(2), unresolved(3), unresolved(4), unresolved(5)}, true, graph.Queued},
		{"three and one unresolved", []crashStep{crash(1), unresolved(2), crash(3), crash(4)}, true, graph.Failed},
		{"worked after two unresolved", []crashStep{unresolved(1), unresolved(2), survival(3)}, false, graph.Queued},
		{"three after it worked", []crashStep{survival(1), crash(2), crash(3), crash(4)}, true, graph.Failed},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			j := twoSteps()
			p := graph.NewProgress(j)
			k := task(0, 1)
			for _, s := range v.steps {
				if s.survived {
					p.Task(j, k).RecordSurvival(s.attempt)
					continue
				}
				p.RecordCrash(j, k, s.attempt, !s.unresolved)
			}
			if got := p.Task(j, k).SuspectAfter(0); got != v.suspect || p.State != v.want {
				t.Errorf("suspect: %t, state %q; want %t, %q", got, p.State, v.suspect, v.want)
			}
			if p.Task(j, task(0, 0)).SuspectAfter(0) {
				t.Error("another task is a suspect too")
			}
		})
	}
}

// TestLastingTaskIsNeverGivenUp guards against a task that lasts and is given up, since its
// workers crash or it fails again and again, and against a record of it that grows for ever.
func TestLastingTaskIsNeverGivenUp(t *testing.T) {
	const attempts = 1000
	j := twoSteps()
	j.Steps[0].LongRunning = true
	p := graph.NewProgress(j)
	k := task(0, 1)
	for n := 1; n <= attempts; n++ {
		p.RecordCrash(j, k, n, true)
		p.RecordEnd(j, graph.End{
			Task:    k,
			Attempt: n,
			Outcome: graph.OutcomeFailed,
		}, 3)
	}
	if p.RecordCrash(j, k, 1, true) {
		t.Error("an old crash is recorded again")
	}
	v := p.Task(j, k)
	if p.State != graph.Queued || !v.SuspectAfter(0) || v.Attempt != attempts {
		t.Errorf("state %q, suspect: %t, attempt %d", p.State, v.SuspectAfter(0), v.Attempt)
	}
	if n := len(v.CrashedAttempts) + len(v.FailedAttempts); n > 4 {
		t.Errorf("the record of one task holds %d attempts", n)
	}
}
