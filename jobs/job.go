// Package jobs defines the record of a job in the store, and the request that
// submits one.
//
// A job is a gang of equal tasks. Its record is the only durable source for its
// state: an attempt exists once the record's state is committed, and a job has
// ended once that state is final. Requests to submit a job are checked here.
//
// # Usage
//
//	r, err := jobs.ParseRequest(body)
//	err = r.Check(objects)
//	j := r.Job(id, fingerprint, now)
package jobs

import (
	"slices"
	"time"

	"hemlockhinge/conf"
	"hemlockhinge/pack"
	"hemlockhinge/wire"
)

// State is the state of a job.
type State string

// The states of a job. The last five are final.
const (
	Accepted    State = "accepted"
	Committed   State = "committed"
	Running     State = "running"
	Done        State = "done"
	Failed      State = "failed"
	Refused     State = "refused"
	Cancelled   State = "cancelled"
	Interrupted State = "interrupted"
)

// Final reports whether a job in state s has ended.
func (s State) Final() bool {
	switch s {
	case Done, Failed, Refused, Cancelled, Interrupted:
		return true
	}
	return false
}

// Part is the part of an attempt that runs on one worker: tasks FirstTask to
// FirstTask+TaskCount-1.
type Part struct {
	Worker      string `json:"worker"`
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	FirstTask   int    `json:"first"`
	TaskCount   int    `json:"tasks"`
}

// Failure is a failed attempt, and the worker that the failure is attributed to.
type Failure struct {
	Attempt int    `json:"attempt"`
	Worker  string `json:"worker"`
	Detail  string `json:"detail"`
}

// Job is the record of a job. Try distinguishes the tries of one attempt number,
// and increases within an epoch. RequestedFrom is the id of the entry that
// received the request.
type Job struct {
	ID              string        `json:"id"`
	Customer        string        `json:"customer"`
	Class           string        `json:"job_class"`
	Shape           pack.Shape    `json:"shape"`
	RunTime         conf.Duration `json:"run_time"`
	Idempotent      bool          `json:"idempotent"`
	Command         []string      `json:"command,omitempty"`
	Fingerprint     string        `json:"fingerprint"`
	AllowedDomains  []string      `json:"failure_domains,omitempty"`
	Domain          string        `json:"failure_domain"`
	State           State         `json:"state"`
	Guarantee       string        `json:"guarantee,omitempty"`
	Attempt         int           `json:"attempt"`
	Epoch           uint64        `json:"epoch,omitempty"`
	Try             uint64        `json:"try,omitempty"`
	Parts           []Part        `json:"parts,omitempty"`
	MayHaveRun      bool          `json:"may_have_run,omitempty"`
	CancelRequested bool          `json:"cancel,omitempty"`
	Reason          string        `json:"reason,omitempty"`
	Results         []wire.Result `json:"results,omitempty"`
	Failures        []Failure     `json:"failures,omitempty"`
	Created         time.Time     `json:"created"`
	Started         time.Time     `json:"started,omitzero"`
	Ended           time.Time     `json:"ended,omitzero"`
	Checkpointed    bool          `json:"checkpointed,omitempty"`
	Preemptions     int           `json:"preemptions,omitempty"`
	RequestedFrom   string        `json:"requested_from,omitempty"`
}

// MayBeRunning reports whether an attempt of the job may be running.
func (j Job) MayBeRunning() bool { return j.State == Committed || j.State == Running }

// WireAttempt returns the identity of the job's current attempt for messages to agents.
func (j Job) WireAttempt() wire.Attempt {
	return wire.Attempt{
		Job:    j.ID,
		Number: j.Attempt,
		Epoch:  j.Epoch,
		Try:    j.Try,
	}
}

// Workers returns the worker of each task, in task order.
func (j Job) Workers() []string {
	var l []string
	for _, p := range j.Parts {
		for range p.TaskCount {
			l = append(l, p.Worker)
		}
	}
	return l
}

// Limits of failed attempts. When a job has failed on MaxFailedWorkers different
// workers, the job itself is taken to be at fault. After MaxFailures failures it
// ends, on however few workers it has failed.
const (
	MaxFailedWorkers = 3
	MaxFailures      = 6
)

// FailureLimitReached reports whether the job has failed too often to be started again.
func (j Job) FailureLimitReached() bool {
	return len(j.FailedWorkers()) >= MaxFailedWorkers || len(j.Failures) >= MaxFailures
}

// FailedWorkers returns the different workers on which the job has failed.
func (j Job) FailedWorkers() []string {
	var l []string
	for _, f := range j.Failures {
		if !slices.Contains(l, f.Worker) {
			l = append(l, f.Worker)
		}
	}
	return l
}
