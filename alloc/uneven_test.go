package alloc_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"hemlockhinge/alloc"
	"hemlockhinge/graph"
	"hemlockhinge/speed"
)

// Times of the play, and those of the scheduler's rules that it follows.
const (
	unevenTick     = 100 * time.Millisecond
	unevenDay      = 30 * time.Second
	slackMargin    = 250 * time.Millisecond
	stopTime       = 200 * time.Millisecond
	updateInterval = 500 * time.Millisecond
)

type unevenQueue struct {
	class            int
	gang             bool
	tasks            int
	run, slack, rate float64
	target           time.Duration
	size             graph.Size
}

// unevenQueues are renders, reviews and sweeps of deployment A in docs/plans/uneven-workers.md.
var unevenQueues = []unevenQueue{
	{class: 1, gang: true, tasks: 6, run: 5.8, slack: 3, rate: 0.66, target: time.Second, size: graph.Size{MilliCPU: 13000, MemoryMiB: 34 << 10}},
	{class: 0, gang: true, tasks: 5, run: 2.1, slack: 1.5, rate: 1.09, target: 300 * time.Millisecond, size: graph.Size{MilliCPU: 3700, MemoryMiB: 7782}},
	{class: 2, tasks: 39, run: 8.1, slack: 3, rate: 0.2, target: 3 * time.Second, size: graph.Size{MilliCPU: 2800, MemoryMiB: 5837, Accelerators: 1}},
}

func seconds(f float64) time.Duration { return time.Duration(f * float64(time.Second)) }

func (q *unevenQueue) objective(path float64) time.Duration { return seconds(q.slack*path) + q.target }

type unevenJob struct {
	*unevenQueue
	id                     string
	step                   graph.Step
	estimate               float64
	work                   []float64 // seconds of each task at speed 1
	waiting                []int
	arrival, lastSeen, end time.Duration
	stops, ended           int
}

// unevenLoad generates hidden speeds and jobs. As in package order's loads, the objective of a job
// that runs 7 times as long is that of the others.
func unevenLoad(seed uint64) (hidden []float64, jobs []*unevenJob) {
	r := rand.New(rand.NewPCG(seed, 23))
	for range 61 {
		hidden = append(hidden, []float64{0.6, 1, 1.6}[r.IntN(3)])
	}
	for n := range unevenQueues {
		q := &unevenQueues[n]
		for at := r.ExpFloat64() / q.rate; at < unevenDay.Seconds(); at += r.ExpFloat64() / q.rate {
			j := &unevenJob{unevenQueue: q, id: strconv.Itoa(len(jobs)), arrival: seconds(at), lastSeen: seconds(at)}
			j.step = graph.Step{Count: q.tasks, Size: q.size, Gang: q.gang}
			if q.gang {
				j.step.Count += r.IntN(3) - 1
				j.step.Size.Accelerators = 1 << r.IntN(4)
			}
			j.estimate = q.run * math.Exp((0.5+0.4*r.Float64())*r.NormFloat64())
			base, sigma := q.run, 0.15+0.15*r.Float64()
			if r.Float64() < 0.03 {
				base *= 7
			}
			for i := range j.step.Count {
				j.work = append(j.work, base*math.Exp(sigma*r.NormFloat64()))
				j.waiting = append(j.waiting, i)
			}
			jobs = append(jobs, j)
		}
	}
	return hidden, jobs
}

type unevenRun struct {
	*unevenJob
	name          string
	tasks, at     []int
	start, length time.Duration
	// listed and percent are the time and the progress when it was first above 0.
	listed, percent time.Duration
}

// unevenPlay plays a load in steps. Workers have the hidden speeds; placement counts with lower,
// and run times are learnt with factor. Both are 1 until the service is uneven. What is observed, when
// the service counts as uneven and the properties of units and groups follow package leader.
type unevenPlay struct {
	hidden, lower, factor []float64
	estimator             *speed.Estimator
	uneven                bool
	now, updated          time.Duration
	jobs                  []*unevenJob
	runs                  []*unevenRun
	mean                  map[*unevenQueue]float64
}

// value returns the weighted share of the value of all jobs that is achieved.
func (p *unevenPlay) value() float64 {
	p.mean = map[*unevenQueue]float64{}
	var got, all float64
	for ; p.now < 4*unevenDay && (p.now < unevenDay || len(p.runs) > 0); p.now += unevenTick {
		p.runs = slices.DeleteFunc(p.runs, p.advance)
		p.update()
		p.decide()
	}
	for _, j := range p.jobs {
		w := math.Pow(0.5, float64(j.class))
		all += w
		if d, o := j.end-j.arrival, j.objective(j.run); j.ended == j.step.Count && d <= o {
			got += w
		} else if j.ended == j.step.Count && d <= alloc.TardyFactor*o {
			got += w / 2
		}
	}
	return got / all
}

// advance observes a run and reports whether it has ended.
func (p *unevenPlay) advance(r *unevenRun) bool {
	ran := p.now - r.start
	percent := 100 * ran / r.length
	if r.percent == 0 {
		r.listed, r.percent = ran, percent
	}
	r.lastSeen = p.now
	s := speed.Sample{Step: r.id, Queue: strconv.Itoa(r.class), Estimate: seconds(r.estimate), Duration: r.length, Partial: ran < r.length}
	d, n := ran-r.listed, percent-r.percent
	if s.Partial && n > 0 {
		s.Duration = d * 100 / n
	}
	if p.estimator != nil && (!s.Partial || n >= 6 && d >= 300*time.Millisecond) {
		for _, k := range r.at {
			s.Workers = append(s.Workers, strconv.Itoa(k))
		}
		p.estimator.Observe(r.name, s)
	}
	if s.Partial {
		return false
	}
	r.ended += len(r.tasks)
	r.end = max(r.end, r.start+r.length)
	run := r.length.Seconds() * p.pace(r)
	m := cmp.Or(p.mean[r.unevenQueue], run)
	p.mean[r.unevenQueue] = m + 0.2*(run-m)
	return true
}

// pace returns the speed of the slowest worker of a run as far as it is known.
func (p *unevenPlay) pace(r *unevenRun) float64 {
	f := math.Inf(1)
	for _, k := range r.at {
		f = min(f, p.factor[k])
	}
	return f
}

// expected returns the expected run time of a task in seconds.
func (p *unevenPlay) expected(j *unevenJob) float64 {
	return cmp.Or(p.mean[j.unevenQueue], j.estimate)
}

// update takes over the estimates. The service is uneven once a tenth of the workers of known
// speed are too slow for reviews.
func (p *unevenPlay) update() {
	if p.estimator == nil || p.now-p.updated < updateInterval {
		return
	}
	p.updated = p.now
	p.estimator.Update()
	known, slow := 0, 0
	for k := range p.hidden {
		v := p.estimator.Speed(strconv.Itoa(k))
		if v.Uncertainty <= 0.25 {
			known++
			if v.Factor < 1.125/1.5 {
				slow++
			}
		}
	}
	p.uneven = p.uneven || slow >= 2 && 10*slow >= known
	for k := 0; p.uneven && k < len(p.hidden); k++ {
		v := p.estimator.Speed(strconv.Itoa(k))
		p.factor[k], p.lower[k] = v.Factor, v.Factor*math.Exp(-1.28*v.Uncertainty)
	}
}

// units returns what of a job waits.
func (p *unevenPlay) units(j *unevenJob) []alloc.Unit {
	e := p.expected(j)
	remaining, path, waited := max(e, j.estimate), min(e, j.estimate), p.now-j.arrival
	objective := j.objective(remaining)
	o := alloc.Order{Class: j.class, Timeliness: alloc.TimelinessOf(waited, seconds(remaining), objective), Age: j.arrival.Seconds()}
	slack := j.objective(path) - seconds(path) - waited - slackMargin
	n := 1
	if j.gang {
		n = j.step.Count
	}
	u := alloc.Unit{
		Job: j.id, Service: "s", Step: &j.step, Rank: o.Rank(), Urgent: o.MayPreempt(), Reserve: o.Timeliness == alloc.OnTime,
		Slack: max(slack, stopTime), ExpectedRuntime: seconds(e), IdleTime: p.now - j.lastSeen, Work: e * cores(j.step.Size) * float64(n),
		Uneven: p.uneven, WaitForSpeed: p.uneven && slack > stopTime,
	}
	for _, end := range []time.Duration{alloc.TardyFactor * objective, objective} {
		if f := remaining / (end - waited - slackMargin).Seconds(); p.uneven && f > 0 && f <= 1.5 {
			u.MinSpeed = f
		}
	}
	var l []alloc.Unit
	for some := range slices.Chunk(j.waiting, n) {
		v := u
		for _, i := range some {
			v.Tasks = append(v.Tasks, graph.Task{Job: j.id, Index: i})
		}
		l = append(l, v)
	}
	return l
}

func cores(z graph.Size) float64 { return float64(z.MilliCPU)/1000 + 8*float64(z.Accelerators) }

// decide starts and stops runs. What is stopped loses its work, and is gone in the next step.
func (p *unevenPlay) decide() {
	var u []alloc.Unit
	for _, j := range p.jobs {
		if j.arrival <= p.now && len(j.waiting) > 0 {
			u = append(u, p.units(j)...)
		}
	}
	if len(u) == 0 {
		return
	}
	w := make([]alloc.Worker, len(p.hidden))
	for k := range w {
		z := graph.Size{MilliCPU: 32000, MemoryMiB: 64 << 10, Accelerators: 8}
		w[k] = alloc.Worker{ID: strconv.Itoa(k), Rack: strconv.Itoa(k / 8), Service: "s", Total: z, Free: z, Speed: p.lower[k]}
	}
	g := make([]alloc.Group, len(p.runs))
	for n, r := range p.runs {
		g[n] = p.group(r)
		for k, z := range g[n].Usage {
			w[k].Free = w[k].Free.Sub(z)
		}
	}
	d := alloc.Decide(w, g, u)
	for _, s := range d.Stop {
		r := p.runs[s.Group]
		r.waiting = append(r.waiting, r.tasks...)
		r.stops++
		r.at = nil
	}
	p.runs = slices.DeleteFunc(p.runs, func(r *unevenRun) bool { return r.at == nil })
	for _, v := range d.Start {
		p.start(v)
	}
}

func (p *unevenPlay) group(r *unevenRun) alloc.Group {
	ran := p.now - r.start
	g := alloc.Group{
		Usage: map[int]graph.Size{}, Urgent: r.class == 0, Borrowed: true, Service: "s", Step: &r.step, Tasks: len(r.tasks),
		Cost:      ran.Seconds() * cores(r.step.Size) * float64(len(r.tasks)) * (1 + 0.5*float64(r.stops)),
		Remaining: r.length - ran, ExpectedRemaining: r.length - ran, RemainingKnown: 25*ran >= r.length,
	}
	if !g.RemainingKnown {
		g.ExpectedRemaining = max(seconds(p.expected(r.unevenJob)/p.pace(r))-ran, time.Second)
	}
	for _, k := range r.at {
		g.Usage[k] = g.Usage[k].Add(r.step.Size)
	}
	return g
}

// start starts a unit. A gang goes at the pace of its slowest member.
func (p *unevenPlay) start(v alloc.Placement) {
	n, _ := strconv.Atoi(v.Unit.Job)
	r := &unevenRun{unevenJob: p.jobs[n], at: v.At, start: p.now}
	for i, k := range v.Unit.Tasks {
		r.tasks = append(r.tasks, k.Index)
		r.length = max(r.length, seconds(r.work[k.Index]/p.hidden[v.At[i]]))
	}
	r.waiting = slices.DeleteFunc(r.waiting, func(i int) bool { return slices.Contains(r.tasks, i) })
	r.name = r.id + "/" + strconv.Itoa(r.tasks[0]) + "#" + strconv.Itoa(r.stops)
	p.runs = append(p.runs, r)
}

// TestPlacementByEstimatedSpeeds guards against estimates that come too late, or are too far
// off, for placement to gain by them.
func TestPlacementByEstimatedSpeeds(t *testing.T) {
	const seeds = 50
	var values [3][seeds]float64
	var e errgroup.Group
	e.SetLimit(2)
	for n := range 3 * seeds {
		e.Go(func() error {
			p := unevenPlay{lower: slices.Repeat([]float64{1}, 61), factor: slices.Repeat([]float64{1}, 61)}
			p.hidden, p.jobs = unevenLoad(uint64(n / 3))
			switch n % 3 {
			case 1:
				p.estimator = &speed.Estimator{}
			case 2:
				p.uneven, p.lower, p.factor = true, p.hidden, p.hidden
			}
			values[n%3][n/3] = p.value()
			return nil
		})
	}
	_ = e.Wait()
	var mean [3]float64
	for n, name := range []string{"none", "estimated", "known"} {
		for _, v := range values[n] {
			mean[n] += v / seeds
		}
		t.Logf("speeds=%-9s value=%.3f least=%.3f most=%.3f", name, mean[n], slices.Min(values[n][:]), slices.Max(values[n][:]))
	}
	if got := mean[1] / mean[2]; got < 0.9 {
		t.Errorf("value by estimated speeds is %.3f of that by known speeds, want 0.9 at least", got)
	}
	if mean[1] <= mean[0] {
		t.Errorf("value by estimated speeds is %.3f, want more than %.3f, that without speeds", mean[1], mean[0])
	}
}
