package conf

// Customer is a team that submits jobs and requests. A limit of zero means no
// limit.
type Customer struct {
	Name                   string `json:"name"`
	Weight                 int    `json:"weight,omitempty"`
	MaxQueuedJobs          int    `json:"max_queued_jobs,omitempty"`
	MaxRunningAccelerators int    `json:"max_running_accelerators,omitempty"`
	MaxRunningTasks        int    `json:"max_running_tasks,omitempty"`
}

func (c Customer) name() string { return c.Name }

func (c Customer) check(f *Faults) {
	n := objectName("customer", c.Name)
	f.Require(c.Weight >= 0, n, "weight", "must not be negative, is %d", c.Weight)
	f.Require(c.MaxQueuedJobs >= 0, n, "max_queued_jobs", "must not be negative, is %d", c.MaxQueuedJobs)
	f.Require(c.MaxRunningAccelerators >= 0, n, "max_running_accelerators", "must not be negative, is %d", c.MaxRunningAccelerators)
	f.Require(c.MaxRunningTasks >= 0, n, "max_running_tasks", "must not be negative, is %d", c.MaxRunningTasks)
}
