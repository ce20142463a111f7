package speed

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Uncertainties of workers without samples.
const (
	// unknownUncertainty is that of a worker of which nothing is known.
	unknownUncertainty = 0.35
	// restartUncertainty is added when a new incarnation of a worker starts.
	restartUncertainty = 0.15
)

// Estimator estimates the speeds of workers from samples. The zero value is ready for
// use. It is not safe for concurrent use.
type Estimator struct {
	samples store
	// priors holds what is known of workers apart from the samples.
	priors map[string]Speed
	// speeds and queues are the results of the last Update.
	speeds map[string]Speed
	queues map[string]queueResult
}

// queueResult is what the last Update computed for a queue.
type queueResult struct {
	runTime time.Duration
	base    float64
}

// Observe records a sample. A later sample of a run replaces the earlier one. Samples
// without a worker or a positive duration are ignored.
func (e *Estimator) Observe(run string, s Sample) {
	if len(s.Workers) == 0 || s.Duration <= 0 {
		return
	}
	s.Workers = slices.Clone(s.Workers)
	slices.Sort(s.Workers)
	s.Workers = slices.Compact(s.Workers)
	e.samples.put(run, s)
}

// Restart begins a new incarnation of a worker: its estimate becomes prior knowledge
// with more uncertainty, and its samples are discarded.
func (e *Estimator) Restart(worker string) {
	if !e.knows(worker) {
		e.Forget(worker)
		return
	}
	v := e.Speed(worker)
	v.Uncertainty = min(math.Hypot(v.Uncertainty, restartUncertainty), unknownUncertainty)
	e.Forget(worker)
	e.Restore(worker, v)
}

// knows reports whether there is an estimate or prior knowledge of a worker.
func (e *Estimator) knows(worker string) bool {
	_, estimated := e.speeds[worker]
	_, restored := e.priors[worker]
	return estimated || restored
}

// Forget discards all that is known of a worker.
func (e *Estimator) Forget(worker string) {
	e.samples.forget(worker)
	delete(e.priors, worker)
	delete(e.speeds, worker)
}

// Restore sets a stored estimate as prior knowledge of a worker. Values that are no
// valid estimate are ignored.
func (e *Estimator) Restore(worker string, v Speed) {
	if !(v.Factor > 0) || !(v.Uncertainty > 0) || math.IsInf(v.Factor+v.Uncertainty, 0) {
		return
	}
	if e.priors == nil {
		e.priors = make(map[string]Speed)
	}
	e.priors[worker] = v
}

// Update computes the estimates anew from the samples.
func (e *Estimator) Update() {
	f := newFit(e.samples.records, e.speeds, e.priors)
	f.run()
	// Workers whose samples were displaced keep their estimates.
	if e.speeds == nil {
		e.speeds = make(map[string]Speed)
	}
	maps.Copy(e.speeds, f.speeds())
	e.queues = f.queueResults()
}

// Speed returns the estimate of a worker: from the last Update, else as restored, else
// normal speed.
func (e *Estimator) Speed(worker string) Speed {
	if v, ok := e.speeds[worker]; ok {
		return v
	}
	if v, ok := e.priors[worker]; ok {
		return v
	}
	return Speed{
		Factor:      1,
		Uncertainty: unknownUncertainty,
	}
}

// RunTime returns the mean run time of a queue's tasks at speed 1. It returns false
// if the queue has no samples.
func (e *Estimator) RunTime(queue string) (time.Duration, bool) {
	q, ok := e.queues[queue]
	return q.runTime, ok
}

// Base returns the typical ratio of a queue's run times at speed 1 to their estimates;
// 1 if the queue has no samples.
func (e *Estimator) Base(queue string) float64 {
	if q, ok := e.queues[queue]; ok {
		return q.base
	}
	return 1
}
