package graph

import (
	"slices"
)

// Outcome is the outcome of a run.
type Outcome string

// The outcomes of a run.
const (
	// OutcomeDone: the task is finished.
	OutcomeDone Outcome = "done"
	// OutcomeFailed: the task failed, or its worker did.
	OutcomeFailed Outcome = "failed"
	// OutcomeStopped: the scheduler had it stopped.
	OutcomeStopped Outcome = "stopped"
	// OutcomeLeaseExpired: its lease was not renewed in time.
	OutcomeLeaseExpired Outcome = "lapsed"
	// OutcomeGangBroken: another member of its gang ended early.
	OutcomeGangBroken Outcome = "broken"
	// OutcomeGangIncomplete: the other members of its gang did not start in time.
	OutcomeGangIncomplete Outcome = "alone"
	// OutcomeWorkerLost: its worker was lost.
	OutcomeWorkerLost Outcome = "lost"
	// OutcomeWorkerCrashed: its worker crashed soon after it had started, possibly because
	// of it.
	OutcomeWorkerCrashed Outcome = "crashed"
	// OutcomeStartUnresolved: its worker crashed, and it is not known whether the run had begun.
	OutcomeStartUnresolved Outcome = "unresolved"
)

// State is the state of a job as its caller sees it.
type State string

// The states of a job; the last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether s is a state in which the job has ended.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// End is the end of one run of a task.
type End struct {
	Task    Task
	Attempt int
	Outcome Outcome
	// Checkpoint is the id of the newest checkpoint of the run.
	Checkpoint string
}

// TaskProgress is the progress of one task.
type TaskProgress struct {
	Done    bool `msgpack:"d,omitempty"`
	Attempt int  `msgpack:"a,omitempty"`
	// Checkpoint is the id of the newest checkpoint.
	Checkpoint string `msgpack:"s,omitempty"`
	// FailedAttempts lists the failed attempts. They are listed and not counted because
	// the same end may be reported repeatedly.
	FailedAttempts []int `msgpack:"f,omitempty"`
	// CrashedAttempts lists the attempts whose worker crashed, likewise, since
	// SurvivedAttempt, the last attempt that has worked without crashing its worker.
	CrashedAttempts []int `msgpack:"c,omitempty"`
	SurvivedAttempt int   `msgpack:"v,omitempty"`
	// UnresolvedAttempts lists, in the same way, the newest attempts whose worker crashed when
	// it was not known whether they had begun. They make the task a suspect, but do not count
	// when it is given up.
	UnresolvedAttempts []int `msgpack:"u,omitempty"`
	// LastingCrashes counts, for a task that lasts, the crashes since it has last worked.
	LastingCrashes int `msgpack:"l,omitempty"`
}

// Limits on the workers that a task may crash. One crash may have other causes, and the task
// may share its blame with others that were started at the same time.
const (
	// suspectCrashes is the number of crashes from which a task is a suspect.
	suspectCrashes = 2
	// maxCrashes is the number of crashes after which the task is given up. The last one
	// hit it while it was started apart from others.
	maxCrashes = 3
)

// SuspectAfter reports whether after n more crashes the task is suspected to crash its
// workers, so that it must be started apart from other tasks.
func (t *TaskProgress) SuspectAfter(n int) bool {
	return len(t.CrashedAttempts)+len(t.UnresolvedAttempts)+n >= suspectCrashes
}

// maxApartBits is the number of bits by which suspects are told apart.
const maxApartBits = 16

// ApartGroup returns the group of suspects with which a task that lasts may start on one worker, 0 for
// none, if n more crashes are assumed: each further crash splits its group in halves, by one bit of
// the tasks' numbers after the other. number differs between tasks.
func (t *TaskProgress) ApartGroup(number uint32, n int) int {
	split := max(t.LastingCrashes+n-suspectCrashes, 0)
	if split >= maxApartBits {
		return 0
	}
	half := int(number >> split & 1)
	return 1 + 2*split + half
}

// GivenUpAfter reports whether the task is given up after n more crashes.
func (t *TaskProgress) GivenUpAfter(n int) bool { return len(t.CrashedAttempts)+n >= maxCrashes }

// Progress is the progress of a job. The store holds it in a record of its own
// beside that of the job.
type Progress struct {
	State     State          `msgpack:"s"`
	Started   bool           `msgpack:"b,omitempty"`
	Tasks     []TaskProgress `msgpack:"t"`
	openTasks int
}

// NewProgress returns the progress of a job that has not started.
func NewProgress(j *Job) *Progress {
	n := j.TasksPerOccurrence() * j.Occurrences()
	return &Progress{
		State:     Queued,
		Tasks:     make([]TaskProgress, n),
		openTasks: n,
	}
}

// Restore derives the fields that are not stored, after a progress was read from
// the store, and adds tasks that the record lacks.
func (p *Progress) Restore(j *Job) {
	n := j.TasksPerOccurrence() * j.Occurrences()
	for len(p.Tasks) < n {
		p.Tasks = append(p.Tasks, TaskProgress{})
	}
	p.openTasks = 0
	for _, t := range p.Tasks {
		if !t.Done {
			p.openTasks++
		}
	}
}

// Task returns the progress of a task, or nil if the job has no such task.
func (p *Progress) Task(j *Job, t Task) *TaskProgress {
	if t.Step >= len(j.Steps) || t.Occurrence >= j.Occurrences() || t.Index >= j.Steps[t.Step].Count {
		return nil
	}
	i := t.Occurrence * j.TasksPerOccurrence()
	for _, s := range j.Steps[:t.Step] {
		i += s.Count
	}
	return &p.Tasks[i+t.Index]
}

// RecordCrash records that the worker crashed soon after an attempt at a task had started,
// and reports whether that is new. After maxCrashes of them the job has failed. ran is false if it
// is not known whether the run had begun: that crash does not count for giving the job up.
func (p *Progress) RecordCrash(j *Job, k Task, attempt int, ran bool) bool {
	t := p.Task(j, k)
	if t == nil || t.Done || p.State.Final() || attempt <= t.SurvivedAttempt || slices.Contains(t.CrashedAttempts, attempt) {
		return false
	}
	t.Attempt = max(t.Attempt, attempt)
	switch {
	case j.Steps[k.Step].LongRunning:
		// Such a task is started again however often it crashes its workers, but apart from
		// others.
		isNew := recordNewest(&t.CrashedAttempts, attempt)
		if isNew {
			t.LastingCrashes++
		}
		return isNew
	case !ran:
		return recordNewest(&t.UnresolvedAttempts, attempt)
	}
	t.CrashedAttempts = append(t.CrashedAttempts, attempt)
	if t.GivenUpAfter(0) {
		p.State = Failed
	}
	return true
}

// recordNewest adds an attempt to a list that keeps the newest ones that make a task a suspect, and
// reports whether that has changed the list.
func recordNewest(l *[]int, attempt int) bool {
	if slices.Contains(*l, attempt) || len(*l) == suspectCrashes && attempt < slices.Min(*l) {
		return false
	}
	*l = append(*l, attempt)
	slices.Sort(*l)
	*l = (*l)[max(len(*l)-suspectCrashes, 0):]
	return true
}

// RecordSurvival records that an attempt at a task has worked without crashing its worker, so
// that it is not to blame for earlier crashes, also for those that are told later. It reports
// whether there were any.
func (t *TaskProgress) RecordSurvival(attempt int) bool {
	n := len(t.CrashedAttempts) + len(t.UnresolvedAttempts)
	survived := func(a int) bool { return a <= attempt }
	t.CrashedAttempts = slices.DeleteFunc(t.CrashedAttempts, survived)
	t.UnresolvedAttempts = slices.DeleteFunc(t.UnresolvedAttempts, survived)
	t.SurvivedAttempt = max(t.SurvivedAttempt, attempt)
	if len(t.CrashedAttempts) == 0 {
		t.LastingCrashes = 0
	}
	return len(t.CrashedAttempts)+len(t.UnresolvedAttempts) < n
}

// RecordEnd records the end of a run, and reports whether the task is done or has
// failed in it, so that the progress must be stored. A gang member that is done
// completes all tasks of the gang.
func (p *Progress) RecordEnd(j *Job, e End, maxAttempts int) bool {
	t := p.Task(j, e.Task)
	if t == nil || p.State.Final() {
		return false
	}
	if e.Attempt > t.Attempt {
		t.Attempt = e.Attempt
	}
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	switch e.Outcome {
	case OutcomeDone:
		p.markDone(j, e.Task)
		return true
	case OutcomeFailed:
		p.markFailed(j, e.Task, e.Attempt, maxAttempts)
		return true
	}
	return false
}

func (p *Progress) markDone(j *Job, t Task) {
	s := j.Steps[t.Step]
	first, last := t.Index, t.Index
	if s.Gang {
		first, last = 0, s.Count-1
	}
	for i := first; i <= last; i++ {
		t.Index = i
		if v := p.Task(j, t); !v.Done {
			v.Done = true
			p.openTasks--
		}
	}
	if p.openTasks == 0 {
		p.State = Completed
	}
}

func (p *Progress) markFailed(j *Job, t Task, attempt, maxAttempts int) {
	if j.Steps[t.Step].LongRunning {
		// There is no limit on its attempts, and the record must stay small.
		return
	}
	v := p.Task(j, t)
	if !slices.Contains(v.FailedAttempts, attempt) {
		v.FailedAttempts = append(v.FailedAttempts, attempt)
	}
	if v.Done {
		return
	}
	if maxAttempts > 0 && len(v.FailedAttempts) >= maxAttempts {
		p.State = Failed
	}
}

// StepDone reports whether all tasks of a step are done in an occurrence.
func (p *Progress) StepDone(j *Job, occurrence, step int) bool {
	for i := range j.Steps[step].Count {
		t := Task{
			Occurrence: occurrence,
			Step:       step,
			Index:      i,
		}
		if !p.Task(j, t).Done {
			return false
		}
	}
	return true
}

// StepReady reports whether all steps that a step depends on are done in an
// occurrence.
func (p *Progress) StepReady(j *Job, occurrence, step int) bool {
	for _, b := range j.Steps[step].After {
		if !p.StepDone(j, occurrence, b) {
			return false
		}
	}
	return true
}
