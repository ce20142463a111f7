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

// InvalidError says what is wrong with a job, every fault.
type InvalidError struct {
	ID     string
	Faults []string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("job %q: %d faults, the first: %s", e.ID, len(e.Faults), e.Faults[0])
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

// Check returns *InvalidError with every fault of a job, or nil.
func (j *Job) Check() error {
	e := &InvalidError{
		ID: j.ID,
	}
	e.check(ValidID(j.ID), "id is not 16 hexadecimal digits")
	e.check(len(j.Spec) <= MaxSpecBytes, "spec of %d bytes exceeds %d", len(j.Spec), MaxSpecBytes)
	e.check(len(j.Steps) > 0, "there are no steps")
	e.check(len(j.Steps) <= MaxSteps, "%d steps exceed %d", len(j.Steps), MaxSteps)
	e.check(j.Repeat >= 0 && j.Repeat <= MaxOccurrences, "repeat %d is not in 0 to %d", j.Repeat, MaxOccurrences)
	e.check(j.Interval >= 0 && j.Interval <= maxDuration, "interval %s is out of range", j.Interval)
	e.check(j.First >= 0, "first time is negative")
	for i := range j.Steps {
		e.step(i, &j.Steps[i])
	}
	if len(e.Faults) == 0 {
		n := j.Tasks() * j.Occurrences()
		e.check(n <= MaxTasks, "%d tasks in all occurrences exceed %d", n, MaxTasks)
	}
	if len(e.Faults) > 0 {
		return e
	}
	return nil
}

func (e *InvalidError) check(ok bool, format string, a ...any) {
	if !ok {
		e.Faults = append(e.Faults, fmt.Sprintf(format, a...))
	}
}

func (e *InvalidError) step(i int, s *Step) {
	e.check(s.Count > 0 && s.Count <= MaxStepTasks, "step %d: count %d is not in 1 to %d", i, s.Count, MaxStepTasks)
	e.check(s.Size.MilliCPU >= 0 && s.Size.MilliCPU < maxSize, "step %d: processor share is out of range", i)
	e.check(s.Size.MemoryMiB >= 0 && s.Size.MemoryMiB < maxSize, "step %d: memory is out of range", i)
	e.check(s.Size.Accelerators >= 0 && s.Size.Accelerators < maxSize, "step %d: accelerators are out of range", i)
	e.check(s.Estimate >= 0 && s.Estimate <= maxDuration, "step %d: estimate %s is out of range", i, s.Estimate)
	e.check(s.MaxPerWorker >= 0, "step %d: tasks for each worker are negative", i)
	e.check(s.MayMiss >= 0, "step %d: tasks that may be missing are negative", i)
	for _, b := range s.After {
		e.check(b >= 0 && b < i, "step %d: it cannot come after step %d", i, b)
	}
}
