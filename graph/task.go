package graph

import (
	"fmt"
	"strconv"
	"strings"
)

// Task identifies one task of a job.
type Task struct {
	Job        string `msgpack:"j"`
	Occurrence int    `msgpack:"o"`
	Step       int    `msgpack:"s"`
	Index      int    `msgpack:"i"`
}

const taskParts = 4

// String returns the name of the task: job, occurrence, step and index, separated
// by dots.
func (t Task) String() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// StepName returns the name of the step in the occurrence of the task.
func (t Task) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// TaskNameError reports a string that is not the name of a task.
type TaskNameError struct {
	Name string
}

func (e *TaskNameError) Error() string {
	return fmt.Sprintf("invalid task name %q: want JOB.OCCURRENCE.STEP.INDEX", e.Name)
}

// ParseTask parses the name of a task. It returns *TaskNameError if the name is
// invalid.
func ParseTask(name string) (Task, error) {
	p := strings.Split(name, ".")
	if len(p) != taskParts {
		return Task{}, &TaskNameError{
			Name: name,
		}
	}
	var n [taskParts - 1]int
	for i := range n {
		v, err := strconv.Atoi(p[i+1])
		if err != nil || v < 0 {
			return Task{}, &TaskNameError{
				Name: name,
			}
		}
		n[i] = v
	}
	return Task{
		Job:        p[0],
		Occurrence: n[0],
		Step:       n[1],
		Index:      n[2],
	}, nil
}
