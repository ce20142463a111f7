package intake

import "slices"

// Dump is the intake's state as shown to operators.
type Dump struct {
	Version      int64    `json:"configuration_version"`
	Revision     uint64   `json:"configuration_revision"`
	ConfirmedMS  int64    `json:"confirmed_ms_ago"`
	Queues       int      `json:"queues"`
	Customers    int      `json:"customers"`
	OutOfService []string `json:"failure_domains_out"`
	Ready        string   `json:"ready"`
}

// Dump returns the intake's current state.
func (d *Intake) Dump() Dump {
	ready := "yes"
	if err := d.Ready(); err != nil {
		ready = err.Error()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	v := Dump{
		ConfirmedMS: d.ports.Clock.Since(d.confirmedAt).Milliseconds(),
		Ready:       ready,
	}
	if d.config != nil {
		v.Version = d.config.Version
		v.Revision = d.config.Revision
		v.Queues = len(d.config.Queues)
		v.Customers = len(d.config.Customers)
	}
	for z := range d.outOfService {
		v.OutOfService = append(v.OutOfService, z)
	}
	slices.Sort(v.OutOfService)
	return v
}
