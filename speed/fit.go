package speed

import (
	"cmp"
	"math"
	"slices"
)

// Constants of the model; variances are of logarithms.
const (
	// sweeps is the number of passes over all parameters. Each update begins with the
	// result of the one before, so a few are enough.
	sweeps = 6
	// noise is the variance among the tasks of a step at equal speed; their standard
	// deviation is between 0.15 and 0.3.
	noise = 0.22 * 0.22
	// partialNoise is the additional variance of a duration extrapolated from progress.
	partialNoise = 0.15 * 0.15
	// cellNoise is the variance that samples in one cell have in common.
	cellNoise = 0.1 * 0.1
	// stepVariance is the variance of the ratio of run times to estimates among the
	// steps of a queue; its standard deviation is between 0.5 and 0.9.
	stepVariance = 0.7 * 0.7
	// ratioPrecision is the precision of the prior that estimates are right on average.
	ratioPrecision = 1 / (0.5 * 0.5)
	// priorVariance is the variance of the workers' speeds that is assumed at first. It is
	// small, so that equal workers are not mistaken for unequal ones by their first runs.
	priorVariance = 0.2 * 0.2
	// freedom is the number of degrees of freedom of Student's t distribution, which
	// noise, bases and restored values are taken to have, because its long tails make
	// the estimates robust against temporary slowdowns.
	freedom = 2
	// shareScale is the difference of logarithms of speed by which a member of a gang
	// is e times less likely to be the slowest.
	shareScale = 0.1
	// medianLoss is the variance of a median relative to that of a mean.
	medianLoss = math.Pi / 2
	// centerWorkers is how many workers of normal speed are assumed in addition to
	// those with samples when normal speed is determined.
	centerWorkers = 4
)

// robustWeight returns the weight of a deviation from the expected value, given the
// expected variance.
func robustWeight(deviation, variance float64) float64 {
	return (freedom + 1) / (freedom + deviation*deviation/variance)
}

// run estimates all parameters by coordinate descent with iterative reweighting.
func (f *fit) run() {
	for range sweeps {
		for _, c := range f.cells {
			c.updateTime()
			c.updateShares()
		}
		for _, q := range f.queues {
			q.update()
		}
		f.sumBases()
		for _, w := range f.workers {
			w.update(&f.density)
		}
		f.density.update()
	}
	f.updateCenter()
}

// updateTime computes the robust mean of the cell's samples.
func (c *cell) updateTime() {
	p, _ := c.pace()
	b := c.step.base(normal{})
	var s, n float64
	for _, o := range c.times {
		r := 1 / o.variance
		if c.base.precision > 0 {
			r *= robustWeight(o.time-b.mean+p, o.variance+1/b.precision)
		}
		s += r * o.time
		n += r
	}
	c.time = normal{
		mean:      s / n,
		precision: 1 / (1/n + cellNoise),
	}
}

// updateShares computes how likely each worker is the slowest of the cell.
func (c *cell) updateShares() {
	if len(c.workers) == 1 {
		c.shares[0] = 1
		return
	}
	m := math.Inf(1)
	for _, w := range c.workers {
		m = min(m, w.mean)
	}
	var s float64
	for i, w := range c.workers {
		c.shares[i] = math.Exp((m - w.mean) / shareScale)
		s += c.shares[i]
	}
	for i := range c.shares {
		c.shares[i] /= s
	}
}

// pace returns the mean and the variance of the logarithm of the cell's speed.
func (c *cell) pace() (mean, variance float64) {
	for i, w := range c.workers {
		mean += c.shares[i] * w.mean
		variance += c.shares[i] * w.variance
	}
	return mean, variance
}

// updateBase computes the cell's contribution to the base of its step.
func (c *cell) updateBase() {
	p, v := c.pace()
	c.base = normal{
		mean:      c.time.mean + p,
		precision: 1 / (1/c.time.precision + v),
	}
}

// add adds a contribution to the sum of the step, with a sign.
func (t *step) add(n normal, sign float64) {
	t.sum.base += sign * n.mean * n.precision
	t.sum.precision += sign * n.precision
}

// base returns the base of the step from its queue and from its cells except one.
func (t *step) base(except normal) normal {
	q := t.queue.ratio
	r := 1 / stepVariance
	if q.precision > 0 {
		r = 1 / (stepVariance + 1/q.precision)
	}
	p := r + t.sum.precision - except.precision
	return normal{
		mean:      (r*(q.mean+t.estimate) + t.sum.base - except.mean*except.precision) / p,
		precision: p,
	}
}

// sumBases computes the sums of all steps.
func (f *fit) sumBases() {
	for _, t := range f.steps {
		t.sum.base, t.sum.precision = 0, 0
	}
	for _, c := range f.cells {
		c.updateBase()
		c.step.add(c.base, 1)
	}
}

// update computes the ratio of the queue from its steps.
func (q *queue) update() {
	var s float64
	p := float64(ratioPrecision)
	for _, t := range q.steps {
		if t.sum.precision == 0 {
			continue
		}
		d := t.sum.base/t.sum.precision - t.estimate
		v := stepVariance + 1/t.sum.precision
		r := robustWeight(d-q.ratio.mean, v) / v
		s += r * d
		p += r
	}
	q.ratio = normal{
		mean:      s / p,
		precision: p,
	}
}

// update computes the worker's speed from its cells, given the bases that the other
// workers' cells imply, and from what is known of speeds apart from them.
func (w *worker) update(d *density) {
	var s, p float64
	w.singles = 0
	for _, c := range w.cells {
		b := c.step.base(c.base)
		x := b.mean - c.time.mean
		v := 1/c.time.precision + 1/b.precision
		r := c.share(w) * robustWeight(x-w.mean, v) / v
		s += r * x
		p += r
		if len(c.workers) == 1 {
			w.singles += r
		}
	}
	if w.restored {
		r := w.prior.precision * robustWeight(w.mean-w.prior.mean, 1/w.prior.precision)
		s += r * w.prior.mean
		p += r
	}
	w.mean, w.variance = d.posterior(normal{
		mean:      s / p,
		precision: p,
	}, w.weight())
	for _, c := range w.cells {
		c.step.add(c.base, -1)
		c.updateBase()
		c.step.add(c.base, 1)
	}
}

// share returns the probability that a worker is the slowest of the cell.
func (c *cell) share(w *worker) float64 { return c.shares[slices.Index(c.workers, w)] }

// weight returns how much the worker's samples of single tasks say of its speed, from
// 0 to 1.
func (w *worker) weight() float64 { return w.singles / (w.singles + 1/priorVariance) }

// updateCenter determines normal speed: the median of the workers, as far as restored
// values do not determine it already.
func (f *fit) updateCenter() {
	ws := slices.Clone(f.workers)
	slices.SortFunc(ws, func(a, b *worker) int { return cmp.Compare(a.mean, b.mean) })
	var total float64
	spread := f.density.variance()
	a := centerWorkers / (medianLoss * spread)
	for _, w := range ws {
		total += w.weight()
		if w.restored {
			a += w.prior.precision
		}
	}
	m := total / (medianLoss * spread)
	f.centerVar = 1 / (m + a)
	var s float64
	for _, w := range ws {
		if s += w.weight(); s >= total/2 {
			f.center = w.mean * m / (m + a)
			return
		}
	}
}
