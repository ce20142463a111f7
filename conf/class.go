package conf

import "time"

// JobClass is a class of jobs. Jobs of a class with a lower Priority value start
// first. An Urgent class may preempt work of classes with a higher Priority value
// that runs on borrowed capacity. Grace is how long a preempted task may take to
// write a checkpoint before it is stopped.
type JobClass struct {
	Name           string   `json:"name"`
	Priority       int      `json:"priority"`
	Urgent         bool     `json:"urgent,omitempty"`
	NotPreemptible bool     `json:"not_preemptible,omitempty"`
	Grace          Duration `json:"grace,omitempty"`
}

const maxGrace = 10 * time.Minute

func (c JobClass) name() string { return c.Name }

func (c JobClass) check(f *Faults) {
	n := objectName("job_class", c.Name)
	f.Require(c.Priority >= 0 && c.Priority <= 100, n, "priority", "must be 0 to 100, is %d", c.Priority)
	f.Require(c.Grace >= 0 && c.Grace.Std() <= maxGrace, n, "grace", "must be 0s to %s, is %s", maxGrace, c.Grace.Std())
}
