// Package speed estimates the long-term speed of each worker relative to its service
// from the run times of tasks.
//
// The logarithm of a run time is modelled as the base of its step, minus the logarithm
// of the speed of its slowest worker, plus noise. Bases of steps scatter around the
// typical ratio of run times to estimates of their queue.
package speed

import "time"

// Sample is the run time of one run.
type Sample struct {
	// Step identifies tasks of equal size: job, occurrence and step.
	Step  string
	Queue string
	// Estimate is the caller's estimate of the run time.
	Estimate time.Duration
	// Workers ran the task; several for a gang, whose pace is that of the slowest.
	Workers []string
	// Duration of the whole run: measured, or extrapolated from progress.
	Duration time.Duration
	// Partial is set if Duration is extrapolated from progress.
	Partial bool
}

// Speed is the estimated speed of a worker.
type Speed struct {
	// Factor is the speed relative to the service; 1 is normal.
	Factor float64
	// Uncertainty is the standard deviation of the logarithm of Factor.
	Uncertainty float64
}
