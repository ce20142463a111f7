package conf

import "hemlockhinge/pack"

// FailureDomain is a group of workers that can fail together. OutOfService takes it
// out of service: no new work starts there, and running work is moved away.
type FailureDomain struct {
	Name           string    `json:"name"`
	Region         string    `json:"region"`
	Workers        int       `json:"workers"`
	WorkersPerRack int       `json:"workers_per_rack"`
	Worker         pack.Size `json:"worker"`
	OutOfService   bool      `json:"out,omitempty"`
}

func (d FailureDomain) name() string { return d.Name }

func (d FailureDomain) check(f *Faults) {
	n := objectName("failure_domain", d.Name)
	f.Require(d.Region != "", n, "region", "missing")
	f.Require(d.Workers > 0, n, "workers", "must be 1 or more, is %d", d.Workers)
	f.Require(d.WorkersPerRack > 0, n, "workers_per_rack", "must be 1 or more, is %d", d.WorkersPerRack)
	f.Require(d.Worker.Accelerators >= 0, n, "worker.accelerators", "must not be negative, is %d", d.Worker.Accelerators)
	f.Require(d.Worker.Cores > 0, n, "worker.cores", "must be 1 or more, is %d", d.Worker.Cores)
	f.Require(d.Worker.MemoryGiB > 0, n, "worker.memory_gib", "must be 1 or more, is %d", d.Worker.MemoryGiB)
}

// Grid returns the declared capacity of d, all of it free.
func (d FailureDomain) Grid() *pack.Grid {
	w := make([]pack.Worker, 0, d.Workers)
	for i := range d.Workers {
		w = append(w, pack.Worker{
			ID:    decimal(i),
			Rack:  decimal(i / max(d.WorkersPerRack, 1)),
			Total: d.Worker,
			Free:  d.Worker,
		})
	}
	return pack.NewGrid(w)
}
