package speed

import (
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// fit holds the parameters of the model and the samples, indexed.
type fit struct {
	workers []*worker
	names   []string
	queues  map[string]*queue
	steps   []*step
	cells   []*cell
	// density is the distribution of the logarithms of the workers' speeds.
	density density
	// last holds the results of the update before, priors the restored values.
	last, priors map[string]Speed
	// center is the logarithm of normal speed in terms of the parameters, and
	// centerVar its variance.
	center, centerVar float64
}

// normal is a mean and its precision (the inverse of its variance).
type normal struct {
	mean, precision float64
}

// worker holds the logarithm of a worker's speed.
type worker struct {
	mean, variance float64
	// singles is the precision of what the samples of single tasks say.
	singles float64
	// prior is set from a restored value, if restored is set.
	prior    normal
	restored bool
	cells    []*cell
}

// queue holds the logarithm of the typical ratio of run times to estimates.
type queue struct {
	ratio normal
	steps []*step
}

// step holds what its cells say of its base, the logarithm of the run time at speed 1.
type step struct {
	queue *queue
	// estimate is the logarithm of the caller's estimate.
	estimate float64
	// sum holds the sums over the cells of precision times base, and of precision.
	sum struct{ base, precision float64 }
}

// cell holds the samples of one step that ran on the same workers. They usually ran
// at the same time, so their noise has a part in common.
type cell struct {
	step    *step
	workers []*worker
	// shares are the probabilities of the workers to be the slowest.
	shares []float64
	times  []observation
	// time is the robust mean of times.
	time normal
	// base is the contribution to the sum of the step.
	base normal
}

// observation is the logarithm of a run time and its variance.
type observation struct {
	time, variance float64
}

// newFit indexes the samples and sets the parameters to those of the update before.
func newFit(records []*record, speeds, priors map[string]Speed) *fit {
	f := &fit{
		queues:  make(map[string]*queue),
		density: newDensity(),
		last:    speeds,
		priors:  priors,
	}
	f.countKnown()
	workers := make(map[string]*worker)
	steps := make(map[string]*step)
	cells := make(map[string]*cell)
	for _, r := range records {
		k := r.sample.Step + "\x00" + strings.Join(r.sample.Workers, "\x00")
		c := cells[k]
		if c == nil {
			c = f.addCell(&r.sample, steps, workers)
			cells[k] = c
		}
		c.times = append(c.times, r.sample.observation())
	}
	return f
}

// countKnown makes the distribution of speeds that of the known speeds. It counts them
// in a fixed order, so that equal samples give equal results to the last bit.
func (f *fit) countKnown() {
	m := maps.Clone(f.priors)
	if m == nil {
		m = make(map[string]Speed)
	}
	maps.Copy(m, f.last)
	for _, n := range slices.Sorted(maps.Keys(m)) {
		f.density.count(m[n])
	}
	f.density.update()
}

// observation returns the logarithm of the run time with its variance.
func (s *Sample) observation() observation {
	o := observation{
		time:     math.Log(s.Duration.Seconds()),
		variance: noise,
	}
	if s.Partial {
		o.variance += partialNoise
	}
	return o
}

// addCell adds a cell for the step and the workers of a sample.
func (f *fit) addCell(s *Sample, steps map[string]*step, workers map[string]*worker) *cell {
	t := steps[s.Step]
	if t == nil {
		t = f.addStep(s)
		steps[s.Step] = t
	}
	c := &cell{
		step:   t,
		shares: make([]float64, len(s.Workers)),
	}
	for _, n := range s.Workers {
		w := workers[n]
		if w == nil {
			w = f.addWorker(n)
			workers[n] = w
		}
		w.cells = append(w.cells, c)
		c.workers = append(c.workers, w)
	}
	f.cells = append(f.cells, c)
	return c
}

// addStep adds the step of a sample.
func (f *fit) addStep(s *Sample) *step {
	q := f.queues[s.Queue]
	if q == nil {
		q = &queue{}
		f.queues[s.Queue] = q
	}
	d := s.Estimate
	if d <= 0 {
		d = s.Duration
	}
	t := &step{
		queue:    q,
		estimate: math.Log(d.Seconds()),
	}
	q.steps = append(q.steps, t)
	f.steps = append(f.steps, t)
	return t
}

// addWorker adds a worker with its prior.
func (f *fit) addWorker(name string) *worker {
	w := &worker{
		variance: priorVariance,
	}
	v, ok := f.priors[name]
	if ok {
		w.restored = true
		w.prior = normal{
			mean:      math.Log(v.Factor),
			precision: 1 / (v.Uncertainty * v.Uncertainty),
		}
	}
	if l, found := f.last[name]; found {
		v, ok = l, true
	}
	if ok {
		w.mean = math.Log(v.Factor)
		w.variance = v.Uncertainty * v.Uncertainty
	}
	f.workers = append(f.workers, w)
	f.names = append(f.names, name)
	return w
}

// speeds returns the estimates of the workers that have samples.
func (f *fit) speeds() map[string]Speed {
	m := make(map[string]Speed, len(f.workers))
	for i, w := range f.workers {
		m[f.names[i]] = Speed{
			Factor:      math.Exp(w.mean - f.center),
			Uncertainty: math.Sqrt(w.variance + f.centerVar),
		}
	}
	return m
}

// queueResults returns the typical ratio and the mean run time of each queue.
func (f *fit) queueResults() map[string]queueResult {
	sums := make(map[*queue]float64)
	counts := make(map[*queue]float64)
	for _, c := range f.cells {
		p, _ := c.pace()
		for _, o := range c.times {
			sums[c.step.queue] += math.Exp(o.time + p - f.center)
			counts[c.step.queue]++
		}
	}
	m := make(map[string]queueResult, len(f.queues))
	for n, q := range f.queues {
		m[n] = queueResult{
			runTime: time.Duration(sums[q] / counts[q] * float64(time.Second)),
			base:    math.Exp(q.ratio.mean - f.center),
		}
	}
	return m
}
