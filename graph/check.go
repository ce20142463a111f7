package graph

import (
	"fmt"
	"time"
)

// Limits of a job.
const (
	MaxSteps       = 64
	MaxStepTasks   = 1024
	MaxOccurrences = 1024
	MaxTasks       = 16384
	MaxSpecBytes   = 4000
	idDigits       = 16
	maxSize        = 1 << 40
	maxDuration    = 365 * 24 * time.Hour
)

// maxFaults is how many faults of a job are kept: a job may name a wrong step in each of many
// thousand places, and the list goes into an answer.
const maxFaults = 100

// InvalidError reports a job that fails validation, with the first maxFaults of its faults.
type InvalidError struct {
	ID     string
	Faults []string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("job %q is invalid: %d faults, first: %s", e.ID, len(e.Faults), e.Faults[0])
}

// ValidID reports whether id consists of 16 hexadecimal digits.
func ValidID(id string) bool {
	if len(id) != idDigits {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// Check validates a job. It returns *InvalidError with every fault, or nil.
func (j *Job) Check() error {
	e := &InvalidError{
		ID: j.ID,
	}
	e.require(ValidID(j.ID), "id is not 16 hexadecimal digits")
	e.require(len(j.Spec) <= MaxSpecBytes, "spec has %d bytes, limit is %d", len(j.Spec), MaxSpecBytes)
	e.require(len(j.Steps) > 0, "job has no steps")
	e.require(len(j.Steps) <= MaxSteps, "job has %d steps, limit is %d", len(j.Steps), MaxSteps)
	e.require(j.Repeat >= 0 && j.Repeat <= MaxOccurrences, "repeat count %d is not between 0 and %d", j.Repeat, MaxOccurrences)
	e.require(j.Interval >= 0 && j.Interval <= maxDuration, "interval %s is out of range", j.Interval)
	e.require(j.FirstUnixMS >= 0, "time of the first occurrence is negative")
	for i := range j.Steps {
		e.checkStep(i, &j.Steps[i])
	}
	if len(e.Faults) == 0 {
		n := j.TasksPerOccurrence() * j.Occurrences()
		e.require(n <= MaxTasks, "job has %d tasks in all occurrences, limit is %d", n, MaxTasks)
	}
	if len(e.Faults) > 0 {
		return e
	}
	return nil
}

// require adds a fault unless ok.
func (e *InvalidError) require(ok bool, format string, a ...any) {
	if !ok && len(e.Faults) < maxFaults {
		e.Faults = append(e.Faults, fmt.Sprintf(format, a...))
	}
}

func (e *InvalidError) checkStep(i int, s *Step) {
	e.require(s.Count > 0 && s.Count <= MaxStepTasks, "step %d: count %d is not between 1 and %d", i, s.Count, MaxStepTasks)
	e.require(s.Size.MilliCPU >= 0 && s.Size.MilliCPU < maxSize, "step %d: CPU request is out of range", i)
	e.require(s.Size.MemoryMiB >= 0 && s.Size.MemoryMiB < maxSize, "step %d: memory request is out of range", i)
	e.require(s.Size.Accelerators >= 0 && s.Size.Accelerators < maxSize, "step %d: accelerator request is out of range", i)
	e.require(s.Estimate >= 0 && s.Estimate <= maxDuration, "step %d: estimate %s is out of range", i, s.Estimate)
	e.require(s.MaxPerWorker >= 0, "step %d: maximum number of tasks per worker is negative", i)
	e.require(s.MaxUnavailable >= 0, "step %d: number of tasks that may be unavailable is negative", i)
	for _, b := range s.After {
		e.require(b >= 0 && b < i, "step %d: cannot depend on step %d: only on earlier steps", i, b)
	}
}
