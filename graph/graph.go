// Package graph models a job as a directed acyclic graph of steps, and its
// progress.
//
// A Job is immutable: it holds what the caller submitted. A step is a number of
// identical tasks, which may start once all tasks of the steps it depends on are
// done. A Progress records for each task whether it is done, its failed attempts,
// its last attempt and its newest checkpoint. Neither type does I/O or locking.
//
// # Usage
//
//	p := graph.NewProgress(job)
//	if p.StepReady(job, occurrence, step) { ... } // start its tasks
//	p.RecordEnd(job, graph.End{Task: t, Attempt: 1, Outcome: graph.OutcomeDone}, maxAttempts)
package graph

import (
	"time"
)

// Size is an amount of each resource: what a task requests, or what a worker
// offers.
type Size struct {
	MilliCPU     int `json:"milli_cpu,omitempty" msgpack:"c"`
	MemoryMiB    int `json:"memory_mib,omitempty" msgpack:"m"`
	Accelerators int `json:"accelerators,omitempty" msgpack:"a"`
}

// Add returns the sum of s and t.
func (s Size) Add(t Size) Size {
	return Size{
		MilliCPU:     s.MilliCPU + t.MilliCPU,
		MemoryMiB:    s.MemoryMiB + t.MemoryMiB,
		Accelerators: s.Accelerators + t.Accelerators,
	}
}

// Sub returns s minus t.
func (s Size) Sub(t Size) Size { return s.Add(t.Times(-1)) }

// Times returns s multiplied by n.
func (s Size) Times(n int) Size {
	return Size{
		MilliCPU:     s.MilliCPU * n,
		MemoryMiB:    s.MemoryMiB * n,
		Accelerators: s.Accelerators * n,
	}
}

// Min returns the minimum of s and t per resource.
func (s Size) Min(t Size) Size {
	return Size{
		MilliCPU:     min(s.MilliCPU, t.MilliCPU),
		MemoryMiB:    min(s.MemoryMiB, t.MemoryMiB),
		Accelerators: min(s.Accelerators, t.Accelerators),
	}
}

// Holds reports whether t fits into s.
func (s Size) Holds(t Size) bool {
	return t.MilliCPU <= s.MilliCPU && t.MemoryMiB <= s.MemoryMiB && t.Accelerators <= s.Accelerators
}

// Step is a number of identical tasks of a job. After lists the indexes of the
// steps it depends on.
type Step struct {
	Count             int           `json:"count" msgpack:"n"`
	Size              Size          `json:"size" msgpack:"s"`
	Estimate          time.Duration `json:"estimate_ns,omitempty" msgpack:"e"`
	After             []int         `json:"after,omitempty" msgpack:"b"`
	Gang              bool          `json:"gang,omitempty" msgpack:"g"`
	OneRack           bool          `json:"one_rack,omitempty" msgpack:"r"`
	Label             string        `json:"label,omitempty" msgpack:"l"`
	DataRack          string        `json:"data_rack,omitempty" msgpack:"d"`
	MaxPerWorker      int           `json:"max_per_worker,omitempty" msgpack:"w"`
	Checkpoints       bool          `json:"checkpoints,omitempty" msgpack:"k"`
	Speculative       bool          `json:"speculative,omitempty" msgpack:"p"`
	LongRunning       bool          `json:"lasting,omitempty" msgpack:"o"`
	Image             string        `json:"image,omitempty" msgpack:"i"`
	TailLatencyTarget time.Duration `json:"tail_target_ns,omitempty" msgpack:"t"`
	BestEffort        bool          `json:"filler,omitempty" msgpack:"f"`
	MaxUnavailable    int           `json:"may_miss,omitempty" msgpack:"y"`
}

// Job is what a caller submitted, together with the settings of its queue at that
// time.
type Job struct {
	ID    string `json:"id" msgpack:"i"`
	Queue string `json:"queue" msgpack:"q"`
	// Host and Prefix are where the queue took the job, so that the queue is found again
	// should its name change.
	Host        string        `json:"host,omitempty" msgpack:"h,omitempty"`
	Prefix      string        `json:"prefix,omitempty" msgpack:"x,omitempty"`
	Customer    string        `json:"customer,omitempty" msgpack:"c"`
	Service     string        `json:"service" msgpack:"w"`
	Spec        string        `json:"spec,omitempty" msgpack:"s"`
	Steps       []Step        `json:"steps" msgpack:"p"`
	Repeat      int           `json:"repeat,omitempty" msgpack:"r"`
	FirstUnixMS int64         `json:"first_unix_ms,omitempty" msgpack:"f"`
	Interval    time.Duration `json:"interval_ns,omitempty" msgpack:"v"`
	// MaxAttempts is the number of failed attempts of one task that fails the job.
	MaxAttempts int `json:"max_attempts" msgpack:"m"`
}

// Occurrences returns how often the graph of steps runs.
func (j *Job) Occurrences() int { return max(j.Repeat, 1) }

// HasDueTimes reports whether the occurrences of the job have due times.
func (j *Job) HasDueTimes() bool { return j.Repeat > 0 }

// DueUnixMS returns the time at which an occurrence may start, in Unix milliseconds, or
// 0 if the job has no due times.
func (j *Job) DueUnixMS(occurrence int) int64 {
	if !j.HasDueTimes() {
		return 0
	}
	return j.FirstUnixMS + int64(occurrence)*j.Interval.Milliseconds()
}

// TasksPerOccurrence returns the number of tasks of one occurrence.
func (j *Job) TasksPerOccurrence() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n
}

// CriticalPath returns the length of the critical path: the longest sum of estimates over
// steps that depend on each other.
func (j *Job) CriticalPath() time.Duration {
	var longest time.Duration
	for _, d := range j.StepCriticalPaths() {
		longest = max(longest, d)
	}
	return longest
}

// StepCriticalPaths returns for each step the length of the longest path that begins with it.
func (j *Job) StepCriticalPaths() []time.Duration {
	l := make([]time.Duration, len(j.Steps))
	for i := len(j.Steps) - 1; i >= 0; i-- {
		// Here l[i] holds the longest path that follows the step.
		l[i] += j.Steps[i].Estimate
		for _, b := range j.Steps[i].After {
			l[b] = max(l[b], l[i])
		}
	}
	return l
}
