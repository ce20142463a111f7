package speed

import "math"

// Constants of the distribution of speeds.
const (
	// gridStep and gridMin define the grid of logarithms of speed, from 0.14 to 4.5.
	gridStep = 0.05
	gridMin  = -2
	gridSize = 71
	// initialWorkers is how many workers the initial distribution counts as.
	initialWorkers = 3
	// tailShare is the share of the initial distribution that is uniform, so that a
	// worker that differs from all others can be seen.
	tailShare = 0.1
	// minVariance bounds the variance of an estimate: the grid and the noise that all
	// samples of a worker share limit its precision.
	minVariance = 0.04 * 0.04
)

// density is the distribution of the logarithms of speed in the service, on a grid. It
// is learned, since the speeds of a service form groups: knowing the groups, few
// samples of a worker determine its speed.
type density struct {
	initial, current, sums [gridSize]float64
}

// newDensity returns the initial distribution.
func newDensity() density {
	var d density
	var s float64
	for i := range d.initial {
		x := gridMin + gridStep*float64(i)
		d.initial[i] = math.Exp(-x * x / (2 * priorVariance))
		s += d.initial[i]
	}
	for i := range d.initial {
		d.initial[i] = (1-tailShare)*d.initial[i]/s + tailShare/gridSize
	}
	d.current = d.initial
	return d
}

// count adds a worker of known speed for the next update, weighted by what is known.
func (d *density) count(v Speed) {
	u := v.Uncertainty * v.Uncertainty
	d.posterior(normal{
		mean:      math.Log(v.Factor),
		precision: 1 / u,
	}, max(1-u/priorVariance, 0))
}

// posterior returns the mean and the variance of the logarithm of a worker's speed,
// given its data, and counts the worker with a weight for the next update.
func (d *density) posterior(data normal, weight float64) (mean, variance float64) {
	p := likelihood(data)
	var total, first, second float64
	for i := range p {
		x := gridMin + gridStep*float64(i)
		p[i] *= d.current[i]
		total += p[i]
		first += p[i] * x
		second += p[i] * x * x
	}
	for i := range p {
		d.sums[i] += weight * p[i] / total
	}
	mean = first / total
	return mean, max(second/total-mean*mean, minVariance)
}

// likelihood returns the normal density of data on the grid, up to a factor. From the
// point nearest to the mean outwards, each value is the one before times a ratio that
// itself changes by a constant ratio, which is much faster than an exponential each.
func likelihood(data normal) (p [gridSize]float64) {
	n := min(max(int(math.Round((data.mean-gridMin)/gridStep)), 0), gridSize-1)
	x := gridMin + gridStep*float64(n) - data.mean
	c := math.Exp(-gridStep * gridStep * data.precision)
	up := math.Exp(-(x + gridStep/2) * gridStep * data.precision)
	down := math.Exp((x - gridStep/2) * gridStep * data.precision)
	p[n] = 1
	for i := n + 1; i < gridSize; i++ {
		p[i] = p[i-1] * up
		up *= c
	}
	for i := n - 1; i >= 0; i-- {
		p[i] = p[i+1] * down
		down *= c
	}
	return p
}

// update computes the distribution from the workers counted since the last update.
func (d *density) update() {
	var s float64
	for i := range d.current {
		d.current[i] = initialWorkers*d.initial[i] + d.sums[i]
		s += d.current[i]
		d.sums[i] = 0
	}
	for i := range d.current {
		d.current[i] /= s
	}
}

// variance returns the variance of the distribution.
func (d *density) variance() float64 {
	var first, second float64
	for i, p := range d.current {
		x := gridMin + gridStep*float64(i)
		first += p * x
		second += p * x * x
	}
	return second - first*first
}
