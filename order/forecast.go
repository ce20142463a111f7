package order

import (
	"cmp"
	"hash/crc32"
	"math"
	"slices"
	"time"

	"hemlockhinge/alloc"
)

const (
	// certainty divides work and run times for the earliest begin: estimates
	// may be several times too long, and a job that might be served must not be rejected.
	certainty = 4.0
	// maxForecastAge is the age of figures above which every job is accepted.
	maxForecastAge = 2 * time.Second
	// Bounds of Retry-After.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// Forecast tells when a new job of a service would begin.
type Forecast struct {
	// Capacity is that of the service in core equivalents, without failure domains that
	// are out of service, and Reserved is the part that new jobs cannot use.
	Capacity float64
	Reserved float64
	// Items are the units of the service that wait and what runs there.
	Items []Item
	// Age is how old these figures are.
	Age time.Duration
}

// Verdict is the answer to a new job.
type Verdict struct {
	Accept bool
	// Expected is when the job would begin by the estimates, from now on, and Earliest is
	// the bound by which it is rejected.
	Expected time.Duration
	Earliest time.Duration
	// RetryAfter is set if the job is rejected.
	RetryAfter time.Duration
}

// Judge accepts a job unless its result certainly has no value any more when it begins. The
// identifier of the job spreads the retries of rejected jobs over time.
func (f *Forecast) Judge(i Item, id string) Verdict {
	v := Verdict{
		Accept: true,
	}
	if f.Age > maxForecastAge {
		return v
	}
	ahead := f.ahead(i)
	v.Expected = f.begin(i, ahead, 1)
	v.Earliest = f.begin(i, ahead, certainty)
	latest := alloc.TardyFactor*i.Objective - i.Waited
	if i.Guaranteed || i.Objective <= 0 || f.Capacity <= 0 || v.Earliest <= latest {
		return v
	}
	v.Accept = false
	v.RetryAfter = retryAfter(v.Earliest-latest, id)
	return v
}

// ahead returns the waiting units that rank before a new one, the first one first.
func (f *Forecast) ahead(i Item) []*Item {
	l := append(slices.Clone(f.Items), i)
	r := new(Policy).Rank(l)
	last := len(l) - 1
	var at []int
	for n := range f.Items {
		if !l[n].Running && r[n] < r[last] {
			at = append(at, n)
		}
	}
	slices.SortFunc(at, func(a, b int) int { return cmp.Compare(r[a], r[b]) })
	ahead := make([]*Item, 0, len(at))
	for _, n := range at {
		ahead = append(ahead, &f.Items[n])
	}
	return ahead
}

// begin returns when a unit begins if run times are their estimates divided by a factor, units
// ahead start in order wherever capacity is free, and nothing else arrives. A unit ahead that
// is late by its turn is passed over, since on-time units rank before it. Class 0 preempts.
func (f *Forecast) begin(i Item, ahead []*Item, factor float64) time.Duration {
	p := pool{
		free: f.Capacity - f.Reserved,
	}
	for n := range f.Items {
		if v := &f.Items[n]; v.Running && (i.Class > 0 || v.Class == 0) {
			p.start(v.Size, v.Remaining, factor)
		}
	}
	for _, v := range ahead {
		p.waitFor(v.Size)
		if v.Guaranteed || p.now <= v.slack() {
			p.start(v.Size, v.unitTime(), factor)
		}
	}
	p.waitFor(i.Size)
	return p.now
}

// unitTime returns the estimated run time of a waiting unit.
func (i *Item) unitTime() time.Duration {
	if i.Work <= 0 || i.Size <= 0 {
		return i.Remaining
	}
	return min(i.Remaining, time.Duration(i.Left/i.Size*float64(time.Second)))
}

// pool is capacity that is taken and released over time.
type pool struct {
	now  time.Duration
	free float64
	// releases are the future releases, the next one first.
	releases []release
}

type release struct {
	at   time.Duration
	size float64
}

// start takes capacity from now on, for an estimated run time divided by a factor.
func (p *pool) start(size float64, d time.Duration, factor float64) {
	at := p.now + time.Duration(float64(d)/factor)
	n, _ := slices.BinarySearchFunc(p.releases, at, func(r release, at time.Duration) int { return cmp.Compare(r.at, at) })
	p.releases = slices.Insert(p.releases, n, release{
		at:   at,
		size: size,
	})
	p.free -= size
}

// waitFor advances to when so much capacity is free, or all that is taken has been released.
func (p *pool) waitFor(size float64) {
	for p.free < size && len(p.releases) > 0 {
		p.now = max(p.now, p.releases[0].at)
		p.free += p.releases[0].size
		p.releases = p.releases[1:]
	}
}

// retryAfter returns when a job that is rejected by a margin of d should be sent again: from
// d on, spread over as long a time by its identifier.
func retryAfter(d time.Duration, id string) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter/2)
	return d + time.Duration(float64(d)*float64(crc32.ChecksumIEEE([]byte(id)))/math.MaxUint32)
}
