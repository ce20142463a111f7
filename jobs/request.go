package jobs

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"hemlockhinge/conf"
	"hemlockhinge/pack"
)

// Limits of a request.
const (
	MaxTasks = 256
	// MaxBody bounds the body of a request, in bytes.
	MaxBody     = 256 << 10
	maxRunTime  = 60 * 24 * time.Hour
	maxCommand  = 64
	idBytes     = 12
	defaultTime = time.Hour
)

// Request is what a caller submits. Accelerators, Cores and MemoryGiB are for
// each task. FailureDomains limits where the job may run; empty means anywhere.
//
// Where the operators' configuration has queues, a request names a Queue in place
// of Customer and JobClass, says in Spec what its tasks run, and may have Steps,
// and times: Repeat occurrences, the first at FirstAt and the others Every so
// often.
type Request struct {
	Customer       string         `json:"customer,omitempty"`
	JobClass       string         `json:"job_class,omitempty"`
	Queue          string         `json:"queue,omitempty"`
	Spec           string         `json:"spec,omitempty"`
	Steps          []Step         `json:"steps,omitempty"`
	Repeat         int            `json:"repeat,omitempty"`
	FirstAt        time.Time      `json:"first_at,omitzero"`
	Every          conf.Duration  `json:"every,omitempty"`
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

// ParseRequest reads a request; the error is a *conf.Faults.
func ParseRequest(b []byte) (*Request, error) {
	var f conf.Faults
	r := &Request{}
	conf.Decode("job", b, r, &f)
	return r, f.Err()
}

// Shape returns what the job asks for.
func (r *Request) Shape() pack.Shape {
	return pack.Shape{
		Tasks:     r.Tasks,
		Adjacency: r.Adjacency,
		Size: pack.Size{
			Accelerators: r.Accelerators,
			Cores:        r.Cores,
			Memory:       r.MemoryGiB,
		},
	}
}

// Check reports every fault of r against the objects, as a *conf.Faults.
func (r *Request) Check(o *conf.Objects) error {
	var f conf.Faults
	f.Need(r.Queue == "", "job", "queue", "there are no queues here, jobs name a customer and a job class")
	f.Need(r.Spec == "", "job", "spec", "jobs here name a command")
	f.Need(len(r.Steps) == 0, "job", "steps", "jobs here are one gang")
	f.Need(r.Repeat == 0 && r.FirstAt.IsZero() && r.Every == 0, "job", "repeat", "jobs here run once")
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
	f.Need(r.Tasks >= 1 && r.Tasks <= MaxTasks, "job", "tasks", "must be 1 to %d, is %d", MaxTasks, r.Tasks)
	f.Need(r.Accelerators >= 0, "job", "accelerators", "must not be negative, is %d", r.Accelerators)
	f.Need(r.Cores >= 0, "job", "cores", "must not be negative, is %d", r.Cores)
	f.Need(r.MemoryGiB >= 0, "job", "memory_gib", "must not be negative, is %d", r.MemoryGiB)
	f.Need(r.Shape().Size != pack.Size{}, "job", "accelerators", "the job asks for no accelerators, cores or memory")
	f.Need(r.Adjacency.Valid(), "job", "adjacency", "%q is not failure_domain, rack or worker", r.Adjacency)
	f.Need(r.RunTime >= 0 && r.RunTime.Std() <= maxRunTime, "job", "run_time", "must be 0s to %s, is %s", maxRunTime, r.RunTime.Std())
	f.Need(len(r.Command) <= maxCommand, "job", "command", "has more than %d words", maxCommand)
	return f.Err()
}

// Job makes the record of an accepted request.
func (r *Request) Job(id, fingerprint string, now time.Time) Job {
	return Job{
		ID:          id,
		Customer:    r.Customer,
		Class:       r.JobClass,
		Shape:       r.Shape(),
		RunTime:     conf.Duration(r.RunTime.Or(defaultTime)),
		Idempotent:  r.Idempotent == nil || *r.Idempotent,
		Command:     r.Command,
		Fingerprint: fingerprint,
		Domains:     r.FailureDomains,
		State:       Accepted,
		Created:     now,
	}
}

// Digest returns a short digest of parts, for ids and fingerprints.
func Digest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		_, _ = h.Write([]byte(p))
		_, _ = h.Write([]byte{0})
	}
	return hex.EncodeToString(h.Sum(nil)[:idBytes])
}
