package graph

import (
	"slices"
)

// How says how a run ended.
type How string

// The ways in which a run ends.
const (
	// Done: the work is finished.
	Done How = "done"
	// Failed: by the task's own fault or its worker's.
	Failed How = "failed"
	// Stopped: by an order.
	Stopped How = "stopped"
	// Lapsed: its lease was not renewed.
	Lapsed How = "lapsed"
	// Broken: another member of its gang ended.
	Broken How = "broken"
	// Alone: the other members of its gang did not come in time.
	Alone How = "alone"
	// Lost: it vanished with its worker.
	Lost How = "lost"
)

// State is where a job stands, as its caller sees it.
type State string

// The states of a job; the last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Fatal     State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether a job in state s has ended.
func (s State) Final() bool { return s == Completed || s == Fatal || s == Cancelled }

// End is how one run of a task ended.
type End struct {
	Task    Task
	Attempt int
	How     How
	Saved   string
}

// TaskProgress is what is known of one task.
type TaskProgress struct {
	Done    bool   `msgpack:"d,omitempty"`
	Attempt int    `msgpack:"a,omitempty"`
	Saved   string `msgpack:"s,omitempty"`
	// Failed are the attempts that have failed: an end may be told again.
	Failed []int `msgpack:"f,omitempty"`
}

// Progress is how far a job has come. It is what the store keeps of a job
// beside the job itself.
type Progress struct {
	State   State          `msgpack:"s"`
	Started bool           `msgpack:"b,omitempty"`
	Tasks   []TaskProgress `msgpack:"t"`
	open    int
}

// NewProgress returns the progress of a job of which nothing has run.
func NewProgress(j *Job) *Progress {
	n := j.Tasks() * j.Occurrences()
	return &Progress{
		State: Queued,
		Tasks: make([]TaskProgress, n),
		open:  n,
	}
}

// Restore completes a progress that was read from the store.
func (p *Progress) Restore(j *Job) {
	n := j.Tasks() * j.Occurrences()
	for len(p.Tasks) < n {
		p.Tasks = append(p.Tasks, TaskProgress{})
	}
	p.open = 0
	for _, t := range p.Tasks {
		if !t.Done {
			p.open++
		}
	}
}

// Of returns the entry of a task, or nil when the job has no such task.
func (p *Progress) Of(j *Job, t Task) *TaskProgress {
	if t.Step >= len(j.Steps) || t.Occurrence >= j.Occurrences() || t.Index >= j.Steps[t.Step].Count {
		return nil
	}
	i := t.Occurrence * j.Tasks()
	for _, s := range j.Steps[:t.Step] {
		i += s.Count
	}
	return &p.Tasks[i+t.Index]
}

// Ended takes note of a run's end and reports whether that changed anything
// that must be kept. A gang's end as done is the end of each of its tasks.
func (p *Progress) Ended(j *Job, e End, maxAttempts int) bool {
	t := p.Of(j, e.Task)
	if t == nil || p.State.Final() {
		return false
	}
	if e.Attempt > t.Attempt {
		t.Attempt = e.Attempt
	}
	if e.Saved != "" {
		t.Saved = e.Saved
	}
	switch e.How {
	case Done:
		p.done(j, e.Task)
		return true
	case Failed:
		p.failed(j, e.Task, e.Attempt, maxAttempts)
		return true
	}
	return false
}

func (p *Progress) done(j *Job, t Task) {
	s := j.Steps[t.Step]
	first, last := t.Index, t.Index
	if s.Gang {
		first, last = 0, s.Count-1
	}
	for i := first; i <= last; i++ {
		t.Index = i
		if v := p.Of(j, t); !v.Done {
			v.Done = true
			p.open--
		}
	}
	if p.open == 0 {
		p.State = Completed
	}
}

func (p *Progress) failed(j *Job, t Task, attempt, maxAttempts int) {
	v := p.Of(j, t)
	if !slices.Contains(v.Failed, attempt) {
		v.Failed = append(v.Failed, attempt)
	}
	if v.Done || j.Steps[t.Step].Lasting {
		return
	}
	if maxAttempts > 0 && len(v.Failed) >= maxAttempts {
		p.State = Fatal
	}
}

// StepDone reports whether all tasks of a step of an occurrence are done.
func (p *Progress) StepDone(j *Job, occurrence, step int) bool {
	for i := range j.Steps[step].Count {
		t := Task{
			Occurrence: occurrence,
			Step:       step,
			Index:      i,
		}
		if !p.Of(j, t).Done {
			return false
		}
	}
	return true
}

// StepDue reports whether all steps before a step are done.
func (p *Progress) StepDue(j *Job, occurrence, step int) bool {
	for _, b := range j.Steps[step].After {
		if !p.StepDone(j, occurrence, b) {
			return false
		}
	}
	return true
}
