package sched

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of the ratio of actual to declared run time.
const (
	// Scale, bounds and significant digits of the recorded ratios.
	ratioScale  = 1000
	ratioMin    = 1
	ratioMax    = 1_000_000
	ratioDigits = 1
	// minObservations is how many jobs must have been observed before the
	// declared run time is corrected.
	minObservations = 5
	// Percentiles of the two estimates.
	medianPercentile      = 50
	pessimisticPercentile = 90
	// unknownRunTimeFactor multiplies the declared run time in the pessimistic
	// estimate while there are too few observations.
	unknownRunTimeFactor = 2
	// A run beyond its estimate is expected to take another 1/overrunDivisor
	// of the time that it has run.
	overrunDivisor = 4
)

// RunTimeEstimator estimates run times from the declared ones, corrected by the
// ratios of actual to declared run time that were observed for each customer and
// class. The zero value is ready to use.
type RunTimeEstimator struct {
	ratios map[ratioKey]*hdrhistogram.Histogram
}

type ratioKey struct {
	customer string
	class    string
}

func ratioKeyOf(j Job) ratioKey {
	return ratioKey{
		customer: j.Customer,
		class:    j.Class,
	}
}

// Observe records how long a job ran.
func (l *RunTimeEstimator) Observe(j Job, actual time.Duration) {
	if j.RunTime <= 0 {
		return
	}
	if l.ratios == nil {
		l.ratios = map[ratioKey]*hdrhistogram.Histogram{}
	}
	h := l.ratios[ratioKeyOf(j)]
	if h == nil {
		h = hdrhistogram.New(ratioMin, ratioMax, ratioDigits)
		l.ratios[ratioKeyOf(j)] = h
	}
	v := int64(float64(actual) / float64(j.RunTime) * ratioScale)
	_ = h.RecordValue(min(max(v, ratioMin), ratioMax))
}

// Median estimates a run time that half of the jobs like this one exceed.
func (l *RunTimeEstimator) Median(j Job) time.Duration { return l.estimate(j, medianPercentile, 1) }

// Pessimistic estimates a run time that one in ten jobs like this one exceeds.
func (l *RunTimeEstimator) Pessimistic(j Job) time.Duration {
	return l.estimate(j, pessimisticPercentile, unknownRunTimeFactor)
}

// estimate returns the declared run time multiplied by a percentile of the observed
// ratios, or by fallbackFactor while there are too few observations.
func (l *RunTimeEstimator) estimate(j Job, percentile float64, fallbackFactor int64) time.Duration {
	h := l.ratios[ratioKeyOf(j)]
	if h == nil || h.TotalCount() < minObservations {
		return j.RunTime * time.Duration(fallbackFactor)
	}
	return time.Duration(float64(j.RunTime) * float64(h.ValueAtQuantile(percentile)) / ratioScale)
}

// remaining estimates how much longer a run takes. A run beyond its estimate is
// expected to take another share of the time that it has run.
func (l *RunTimeEstimator) remaining(r *run, now time.Time) time.Duration {
	e := now.Sub(r.started)
	return max(l.Median(r.Job)-e, e/overrunDivisor, time.Second)
}
