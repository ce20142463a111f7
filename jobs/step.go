package jobs

import (
	"errors"
	"fmt"

	"hemlockhinge/conf"
	"hemlockhinge/graph"
	"hemlockhinge/pack"
)

// Step is a number of equal tasks of a job that has several steps. Sizes are for
// each task.
type Step struct {
	Tasks        int   `json:"tasks"`
	Accelerators int   `json:"accelerators,omitempty"`
	MilliCores   int   `json:"milli_cores,omitempty"`
	MemoryMiB    int   `json:"memory_mib,omitempty"`
	After        []int `json:"after,omitempty"`
	// RunTime is the declared time of one task.
	RunTime conf.Duration `json:"run_time,omitempty"`
	// Gang tasks run together or not at all.
	Gang bool `json:"gang,omitempty"`
	// Adjacency rack keeps the tasks in one rack as far as possible.
	Adjacency pack.Adjacency `json:"adjacency,omitempty"`
	// WorkerLabel is a label that the worker must have.
	WorkerLabel string `json:"worker_label,omitempty"`
	// DataRack is where the data is; tasks are slower elsewhere.
	DataRack     string `json:"data_rack,omitempty"`
	MaxPerWorker int    `json:"max_per_worker,omitempty"`
	Checkpoints  bool   `json:"checkpoints,omitempty"`
	// Speculative tasks may run in several copies.
	Speculative bool `json:"speculative,omitempty"`
	// Lasting tasks run until the job is cancelled; at most MayMiss of them may
	// be away at a time.
	Lasting bool `json:"lasting,omitempty"`
	MayMiss int  `json:"may_miss,omitempty"`
	// Image names what the tasks run, and TailTarget is the response time that
	// the tail of a serving task must stay below.
	Image      string        `json:"image,omitempty"`
	TailTarget conf.Duration `json:"tail_target,omitempty"`
	// Filler tasks take what others leave of the cores.
	Filler bool `json:"filler,omitempty"`
}

// graph returns the step as the scheduler sees it.
func (s *Step) graph() graph.Step {
	return graph.Step{
		Count: s.Tasks,
		Size: graph.Size{
			MilliCPU:     s.MilliCores,
			MemoryMiB:    s.MemoryMiB,
			Accelerators: s.Accelerators,
		},
		Estimate:     s.RunTime.Std(),
		After:        s.After,
		Gang:         s.Gang,
		OneRack:      s.Adjacency == pack.AdjacentRack,
		Label:        s.WorkerLabel,
		DataRack:     s.DataRack,
		MaxPerWorker: s.MaxPerWorker,
		Checkpoints:  s.Checkpoints,
		Speculative:  s.Speculative,
		Lasting:      s.Lasting,
		Image:        s.Image,
		TailTarget:   s.TailTarget.Std(),
		Filler:       s.Filler,
		MayMiss:      s.MayMiss,
	}
}

// Units of a request's sizes.
const (
	milliCores = 1000
	mibPerGiB  = 1024
)

// Graph returns a request to a queue as the scheduler sees it. Without steps it
// is one gang. The queue fills in what its configuration says.
func (r *Request) Graph(id string) *graph.Job {
	j := &graph.Job{
		ID:       id,
		Spec:     r.Spec,
		Repeat:   r.Repeat,
		Interval: r.Every.Std(),
	}
	if !r.FirstAt.IsZero() {
		j.First = r.FirstAt.UnixMilli()
	}
	for i := range r.Steps {
		j.Steps = append(j.Steps, r.Steps[i].graph())
	}
	if len(r.Steps) == 0 {
		s := r.gang()
		j.Steps = append(j.Steps, s.graph())
	}
	return j
}

// gang returns the one step of a request that names none.
func (r *Request) gang() Step {
	return Step{
		Tasks:        r.Tasks,
		Accelerators: r.Accelerators,
		MilliCores:   r.Cores * milliCores,
		MemoryMiB:    r.MemoryGiB * mibPerGiB,
		RunTime:      conf.Duration(r.RunTime.Or(defaultTime)),
		Gang:         true,
		Adjacency:    r.Adjacency,
	}
}

// CheckQueued reports every fault of a request to a queue that needs no
// configuration to be seen, as a *conf.Faults.
func (r *Request) CheckQueued() error {
	var f conf.Faults
	f.Need(r.Queue != "", "job", "queue", "missing")
	f.Need(r.Customer == "", "job", "customer", "the key names the customer of a job for a queue")
	f.Need(r.JobClass == "", "job", "job_class", "the queue names the class")
	f.Need(len(r.FailureDomains) == 0, "job", "failure_domains", "a queue's jobs run in any failure domain")
	f.Need(len(r.Command) == 0, "job", "command", "a queue's jobs say what they run in spec")
	f.Need(r.Idempotent == nil, "job", "idempotent", "a queue's tasks run once, and again only after a failure")
	f.Need(len(r.Steps) == 0 || r.Tasks == 0, "job", "tasks", "must not stand beside steps")
	f.Need(r.Repeat > 0 || r.FirstAt.IsZero(), "job", "first_at", "means nothing without repeat")
	for i, s := range r.Steps {
		at := fmt.Sprintf("steps[%d].adjacency", i)
		f.Need(s.Adjacency.Valid() && s.Adjacency != pack.AdjacentWorker, "job", at, "%q is not failure_domain or rack", s.Adjacency)
	}
	if f.Err() == nil {
		r.checkGraph(&f)
	}
	return f.Err()
}

// placeholder stands for the id in checks of a request, which has none yet.
const placeholder = "0000000000000000"

// checkGraph adds what is wrong with the steps.
func (r *Request) checkGraph(f *conf.Faults) {
	var e *graph.InvalidError
	if !errors.As(r.Graph(placeholder).Check(), &e) {
		return
	}
	for _, v := range e.Faults {
		f.Add("job", "steps", "%s", v)
	}
}

// FromGraph returns a state of a queue's job in the words of this package.
func FromGraph(s graph.State) State {
	switch s {
	case graph.Running:
		return Running
	case graph.Completed:
		return Done
	case graph.Fatal:
		return Failed
	case graph.Cancelled:
		return Cancelled
	case graph.Queued:
	}
	return Accepted
}
