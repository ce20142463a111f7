package jobs

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"hemlockhinge/conf"
	"hemlockhinge/pack"
)

// Limits and defaults of a request.
const (
	MaxTasks = 256
	// MaxBody is the maximum size of the body of a request, in bytes.
	MaxBody        = 256 << 10
	maxRunTime     = 60 * 24 * time.Hour
	maxCommand     = 64
	idBytes        = 12
	defaultRunTime = time.Hour
)

// Request is a request to submit a job. Accelerators, Cores and MemoryGiB are per
// task. FailureDomains limits where the job may run; empty means anywhere.
//
// When the operators' configuration has queues, a request names a Queue instead
// of Customer and JobClass, and Spec says what its tasks run. Such a request may
// have Steps, and may recur: Repeat occurrences, the first at FirstAt and the
// others at intervals of Interval.
type Request struct {
	Customer       string         `json:"customer,omitempty"`
	JobClass       string         `json:"job_class,omitempty"`
	Queue          string         `json:"queue,omitempty"`
	Spec           string         `json:"spec,omitempty"`
	Steps          []Step         `json:"steps,omitempty"`
	Repeat         int            `json:"repeat,omitempty"`
	FirstAt        time.Time      `json:"first_at,omitzero"`
	Interval       conf.Duration  `json:"every,omitempty"`
	Tasks          int            `json:"tasks,omitempty"`
	Accelerators   int            `json:"accelerators,omitempty"`
	Cores          int            `json:"cores,omitempty"`
	MemoryGiB      int            `json:"memory_gib,omitempty"`
	Adjacency      pack.Adjacency `json:"adjacency,omitempty"`
	RunTime        conf.Duration  `json:"run_time,omitempty"`
	Idempotent     *bool          `json:"idempotent,omitempty"`
	Command        []string       `json:"command,omitempty"`
	FailureDomains []string       `json:"failure_domains,omitempty"`
}

// ParseRequest decodes a request. Its error is a *conf.Faults.
func ParseRequest(b []byte) (*Request, error) {
	var f conf.Faults
	r := &Request{}
	conf.Decode("job", b, r, &f)
	return r, f.Err()
}

// Shape returns the resources that the job requests.
func (r *Request) Shape() pack.Shape {
	return pack.Shape{
		Tasks:     r.Tasks,
		Adjacency: r.Adjacency,
		Size: pack.Size{
			Accelerators: r.Accelerators,
			Cores:        r.Cores,
			MemoryGiB:    r.MemoryGiB,
		},
	}
}

// Check checks a request that names no queue against the objects. Its error is a
// *conf.Faults that lists every fault.
func (r *Request) Check(o *conf.Objects) error {
	var f conf.Faults
	f.Require(r.Queue == "", "job", "queue", "the configuration has no queues; a job names a customer and a job class")
	f.Require(r.Spec == "", "job", "spec", "not supported without queues; a job names a command")
	f.Require(len(r.Steps) == 0, "job", "steps", "not supported without queues; a job is a single gang")
	f.Require(r.Repeat == 0 && r.FirstAt.IsZero() && r.Interval == 0, "job", "repeat", "not supported without queues; a job runs once")
	if _, ok := o.Customer(r.Customer); !ok {
		f.Add("job", "customer", "customer %q does not exist", r.Customer)
	}
	if _, ok := o.JobClass(r.JobClass); !ok {
		f.Add("job", "job_class", "job class %q does not exist", r.JobClass)
	}
	for _, d := range r.FailureDomains {
		if _, ok := o.FailureDomain(d); !ok {
			f.Add("job", "failure_domains", "failure domain %q does not exist", d)
		}
	}
	f.Require(r.Tasks >= 1 && r.Tasks <= MaxTasks, "job", "tasks", "must be 1 to %d, is %d", MaxTasks, r.Tasks)
	f.Require(r.Accelerators >= 0, "job", "accelerators", "must not be negative, is %d", r.Accelerators)
	f.Require(r.Cores >= 0, "job", "cores", "must not be negative, is %d", r.Cores)
	f.Require(r.MemoryGiB >= 0, "job", "memory_gib", "must not be negative, is %d", r.MemoryGiB)
	f.Require(r.Shape().Size != pack.Size{}, "job", "accelerators", "the job requests no accelerators, cores or memory")
	f.Require(r.Adjacency.Valid(), "job", "adjacency", "%q is not failure_domain, rack or worker", r.Adjacency)
	f.Require(r.RunTime >= 0 && r.RunTime.Std() <= maxRunTime, "job", "run_time", "must be 0s to %s, is %s", maxRunTime, r.RunTime.Std())
	f.Require(len(r.Command) <= maxCommand, "job", "command", "must have at most %d arguments", maxCommand)
	return f.Err()
}

// Job returns the record of an accepted request.
func (r *Request) Job(id, fingerprint string, now time.Time) Job {
	return Job{
		ID:             id,
		Customer:       r.Customer,
		Class:          r.JobClass,
		Shape:          r.Shape(),
		RunTime:        conf.Duration(r.RunTime.Or(defaultRunTime)),
		Idempotent:     r.Idempotent == nil || *r.Idempotent,
		Command:        r.Command,
		Fingerprint:    fingerprint,
		AllowedDomains: r.FailureDomains,
		State:          Accepted,
		Created:        now,
	}
}

// Digest returns a short SHA-256 digest of parts, for ids and fingerprints.
func Digest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil)[:idBytes])
}
