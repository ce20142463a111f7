package jobs

import (
	"errors"
	"fmt"

	"hemlockhinge/conf"
	"hemlockhinge/graph"
	"hemlockhinge/pack"
)

// Step is one step of a job that has several: a number of equal tasks. Sizes are
// per task.
type Step struct {
	Tasks        int   `json:"tasks"`
	Accelerators int   `json:"accelerators,omitempty"`
	MilliCores   int   `json:"milli_cores,omitempty"`
	MemoryMiB    int   `json:"memory_mib,omitempty"`
	After        []int `json:"after,omitempty"`
	// RunTime is the expected run time of one task.
	RunTime conf.Duration `json:"run_time,omitempty"`
	// Gang means that the tasks start together or not at all.
	Gang bool `json:"gang,omitempty"`
	// Adjacency rack keeps the tasks in one rack where possible.
	Adjacency pack.Adjacency `json:"adjacency,omitempty"`
	// WorkerLabel is a label that the worker must have.
	WorkerLabel string `json:"worker_label,omitempty"`
	// DataRack is the rack that holds the step's data; tasks run slower in other
	// racks.
	DataRack     string `json:"data_rack,omitempty"`
	MaxPerWorker int    `json:"max_per_worker,omitempty"`
	Checkpoints  bool   `json:"checkpoints,omitempty"`
	// Speculative means that several copies of a task may run at the same time.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled. At most MaxUnavailable of
	// them may be down at a time.
	LongRunning    bool `json:"lasting,omitempty"`
	MaxUnavailable int  `json:"may_miss,omitempty"`
	// Image is what the tasks run. TailLatencyTarget is the tail latency that a task
	// which serves requests must stay below.
	Image             string        `json:"image,omitempty"`
	TailLatencyTarget conf.Duration `json:"tail_target,omitempty"`
	// BestEffort tasks use only the cores that other tasks leave idle.
	BestEffort bool `json:"filler,omitempty"`
}

// toGraph converts the step to the scheduler's type.
func (s *Step) toGraph() graph.Step {
	return graph.Step{
		Count: s.Tasks,
		Size: graph.Size{
			MilliCPU:     s.MilliCores,
			MemoryMiB:    s.MemoryMiB,
			Accelerators: s.Accelerators,
		},
		Estimate:          s.RunTime.Std(),
		After:             s.After,
		Gang:              s.Gang,
		OneRack:           s.Adjacency == pack.AdjacentRack,
		Label:             s.WorkerLabel,
		DataRack:          s.DataRack,
		MaxPerWorker:      s.MaxPerWorker,
		Checkpoints:       s.Checkpoints,
		Speculative:       s.Speculative,
		LongRunning:       s.LongRunning,
		Image:             s.Image,
		TailLatencyTarget: s.TailLatencyTarget.Std(),
		BestEffort:        s.BestEffort,
		MaxUnavailable:    s.MaxUnavailable,
	}
}

// Conversions from the units of a request.
const (
	milliCoresPerCore = 1000
	mibPerGiB         = 1024
)

// Graph converts a request to a queue to the scheduler's type. A request without
// steps becomes a single gang. The intake adds what the queue's configuration
// determines.
func (r *Request) Graph(id string) *graph.Job {
	j := &graph.Job{
		ID:       id,
		Spec:     r.Spec,
		Repeat:   r.Repeat,
		Interval: r.Interval.Std(),
	}
	if !r.FirstAt.IsZero() {
		j.FirstUnixMS = r.FirstAt.UnixMilli()
	}
	for i := range r.Steps {
		j.Steps = append(j.Steps, r.Steps[i].toGraph())
	}
	if len(r.Steps) == 0 {
		s := r.singleGang()
		j.Steps = append(j.Steps, s.toGraph())
	}
	return j
}

// singleGang returns the only step of a request that lists no steps.
func (r *Request) singleGang() Step {
	return Step{
		Tasks:        r.Tasks,
		Accelerators: r.Accelerators,
		MilliCores:   r.Cores * milliCoresPerCore,
		MemoryMiB:    r.MemoryGiB * mibPerGiB,
		RunTime:      conf.Duration(r.RunTime.Or(defaultRunTime)),
		Gang:         true,
		Adjacency:    r.Adjacency,
	}
}

// CheckQueued checks what can be checked of a request to a queue without the
// configuration. Its error is a *conf.Faults that lists every fault.
func (r *Request) CheckQueued() error {
	var f conf.Faults
	f.Require(r.Queue != "", "job", "queue", "missing")
	f.Require(r.Customer == "", "job", "customer", "not supported with a queue; the API key determines the customer")
	f.Require(r.JobClass == "", "job", "job_class", "not supported with a queue; the queue determines the class")
	f.Require(len(r.FailureDomains) == 0, "job", "failure_domains", "not supported with a queue; its jobs run in any failure domain")
	f.Require(len(r.Command) == 0, "job", "command", "not supported with a queue; spec says what its jobs run")
	f.Require(r.Idempotent == nil, "job", "idempotent", "not supported with a queue; its tasks are run again only after a failure")
	f.Require(len(r.Steps) == 0 || r.Tasks == 0, "job", "tasks", "must not be given together with steps")
	f.Require(r.Repeat > 0 || r.FirstAt.IsZero(), "job", "first_at", "must not be given without repeat")
	for i, s := range r.Steps {
		at := fmt.Sprintf("steps[%d].adjacency", i)
		f.Require(s.Adjacency.Valid() && s.Adjacency != pack.AdjacentWorker, "job", at, "%q is not failure_domain or rack", s.Adjacency)
	}
	if f.Err() == nil {
		r.checkGraph(&f)
	}
	return f.Err()
}

// placeholderID is the job id in checks of a request, which has none yet.
const placeholderID = "0000000000000000"

// checkGraph adds the faults of the steps to f.
func (r *Request) checkGraph(f *conf.Faults) {
	var e *graph.InvalidError
	if !errors.As(r.Graph(placeholderID).Check(), &e) {
		return
	}
	for _, v := range e.Faults {
		f.Add("job", "steps", "%s", v)
	}
}

// FromGraph converts the scheduler's state of a queue's job to a State.
func FromGraph(s graph.State) State {
	switch s {
	case graph.Running:
		return Running
	case graph.Completed:
		return Done
	case graph.Failed:
		return Failed
	case graph.Cancelled:
		return Cancelled
	case graph.Queued:
	}
	return Accepted
}
