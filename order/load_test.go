package order_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"hemlockhinge/order"
)

// The generated loads: one pool of accelerators, about a quarter of those of the deployment.
// Workers are of equal speed, and nothing is preempted.
const (
	tick        = 100 * time.Millisecond
	dayLength   = 60 * time.Second
	dayEnd      = 3 * dayLength
	burstFactor = 2.6
	burstLength = 4 * time.Second
	burstEvery  = 20 * time.Second
	// meanBurst is the mean of the arrival rate relative to that outside bursts.
	meanBurst = 1 + (burstFactor-1)*float64(burstLength)/float64(burstEvery)
	// sizeSigma is the spread of the jobs of a queue.
	sizeSigma = 0.6
	// longShare of the jobs take longFactor times as long.
	longShare  = 0.03
	longFactor = 7
	// acceleratorCores is how many cores an accelerator is worth.
	acceleratorCores = 8.0
)

// queue is a kind of jobs and its share of the work that arrives.
type queue struct {
	name   string
	class  int
	slack  float64
	target time.Duration
	tasks  int
	gang   bool
	run    time.Duration
	share  float64
}

type deployment struct {
	name         string
	accelerators int
	load         float64
	// customers are the shares of the customers in the jobs.
	customers []float64
	// guaranteed is the share of the accelerators that is guaranteed.
	guaranteed float64
	// estimateSigma and taskSigma are the spreads of estimates and of tasks of one step.
	estimateSigma float64
	taskSigma     float64
	queues        []queue
}

var deployments = []deployment{
	{
		name:          "A",
		accelerators:  122,
		load:          1,
		customers:     []float64{0.4, 0.2, 0.2, 0.1, 0.1},
		estimateSigma: 0.5,
		taskSigma:     0.15,
		queues: []queue{
			{name: "renders", class: 1, slack: 3, target: time.Second, tasks: 6, gang: true, run: 5800 * time.Millisecond, share: 0.4},
			{name: "reviews", class: 0, slack: 1.5, target: 300 * time.Millisecond, tasks: 5, gang: true, run: 2100 * time.Millisecond, share: 0.2},
			{name: "sweeps", class: 2, slack: 3, target: 3 * time.Second, tasks: 39, run: 8100 * time.Millisecond, share: 0.4},
		},
	},
	{
		name:          "B",
		accelerators:  140,
		load:          1.1,
		customers:     []float64{0.36, 0.2, 0.12, 0.09, 0.07, 0.05, 0.04, 0.03, 0.02, 0.02},
		guaranteed:    0.62,
		estimateSigma: 0.9,
		taskSigma:     0.3,
		queues: []queue{
			{name: "calls", class: 0, slack: 2, target: 500 * time.Millisecond, tasks: 4, gang: true, run: 2 * time.Second, share: 0.35},
			{name: "builds", class: 1, slack: 3, target: time.Second, tasks: 8, gang: true, run: 4 * time.Second, share: 0.35},
			{name: "batch", class: 2, slack: 3, target: 3 * time.Second, tasks: 16, run: 6 * time.Second, share: 0.3},
		},
	},
}

// job is a generated job. The orders see its estimate only.
type job struct {
	queue    *queue
	customer int
	id       int
	arrival  time.Duration
	// size is the work relative to the mean of the queue.
	size      float64
	estimate  time.Duration
	objective time.Duration
	runs      []time.Duration
	ends      []time.Duration
	done      int
	overtaken int
	begun     time.Duration
	end       time.Duration
}

func generate(d *deployment, seed uint64) []*job {
	r := rand.New(rand.NewPCG(seed, 11))
	var l []*job
	for n := range d.queues {
		q := &d.queues[n]
		mean := q.run.Seconds() * float64(q.tasks)
		rate := d.load * float64(d.accelerators) * q.share / mean / meanBurst
		for t := 0.0; ; {
			now := time.Duration(t * float64(time.Second))
			f := 1.0
			if now%burstEvery < burstLength {
				f = burstFactor
			}
			t += r.ExpFloat64() / (rate * f)
			if t > dayLength.Seconds() {
				break
			}
			l = append(l, newJob(d, q, r, time.Duration(t*float64(time.Second)), f > 1))
		}
	}
	slices.SortStableFunc(l, func(a, b *job) int { return cmp.Compare(a.arrival, b.arrival) })
	for n, j := range l {
		j.id = n
	}
	return l
}

// newJob generates a job. In a burst, half of the jobs are of one customer, who changes from
// burst to burst.
func newJob(d *deployment, q *queue, r *rand.Rand, at time.Duration, burst bool) *job {
	j := &job{queue: q, arrival: at, size: math.Exp(sizeSigma*r.NormFloat64() - sizeSigma*sizeSigma/2)}
	x := r.Float64()
	for ; x > d.customers[j.customer] && j.customer < len(d.customers)-1; j.customer++ {
		x -= d.customers[j.customer]
	}
	if burst && r.IntN(2) == 0 {
		j.customer = int(at/burstEvery) % len(d.customers)
	}
	run := float64(q.run) * j.size
	j.estimate = time.Duration(run * math.Exp(d.estimateSigma*r.NormFloat64()))
	if r.Float64() < longShare {
		run *= longFactor
	}
	longest := 0.0
	for range q.tasks {
		v := run * math.Exp(d.taskSigma*r.NormFloat64())
		longest = max(longest, v)
		j.runs = append(j.runs, time.Duration(v))
	}
	if q.gang {
		for n := range j.runs {
			j.runs[n] = time.Duration(longest)
		}
	}
	j.objective = time.Duration(q.slack*float64(q.run)*j.size) + q.target
	return j
}

// unit is a gang or a task of a job that waits.
type unit struct {
	job   *job
	tasks int
}

// rankFunc ranks the items of one pass; the first ones are waiting, the rest is running.
type rankFunc func([]order.Item) []float64

// replay serves a generated day with one order.
type replay struct {
	deployment *deployment
	jobs       []*job
	rank       rankFunc
	now        time.Duration
	free       int
	runTimes   map[*queue]time.Duration
	units      []unit
	items      []order.Item
	// arrived, if set, is called with each new job before it is ranked.
	arrived func(*replay, *job)
}

func (r *replay) run() {
	r.free = r.deployment.accelerators
	r.runTimes = map[*queue]time.Duration{}
	next := 0
	for first := 0; first < len(r.jobs) && r.now < dayEnd; r.now += tick {
		for _, j := range r.jobs[first:next] {
			r.finish(j)
		}
		for first < next && r.jobs[first].done == len(r.jobs[first].runs) {
			first++
		}
		for ; next < len(r.jobs) && r.jobs[next].arrival <= r.now; next++ {
			if r.arrived != nil {
				r.list(r.jobs[first:next])
				r.arrived(r, r.jobs[next])
			}
		}
		r.list(r.jobs[first:next])
		if len(r.units) > 0 && r.free > 0 {
			r.start(r.rank(r.items))
		}
	}
}

// finish ends the tasks of a job whose run time is over.
func (r *replay) finish(j *job) {
	for n := j.done; n < len(j.ends); n++ {
		if j.ends[n] > r.now {
			continue
		}
		j.end = max(j.end, j.ends[n])
		d := j.runs[n]
		j.ends[j.done], j.ends[n] = j.ends[n], j.ends[j.done]
		j.runs[j.done], j.runs[n] = j.runs[n], j.runs[j.done]
		j.done++
		r.free++
		m := cmp.Or(r.runTimes[j.queue], d)
		r.runTimes[j.queue] = m + (d-m)/5
	}
}

// list fills units and items with what waits, and items with what runs.
func (r *replay) list(l []*job) {
	r.units, r.items = r.units[:0], r.items[:0]
	used := map[int]int{}
	for _, j := range l {
		n := len(j.runs) - len(j.ends)
		guaranteed := r.guaranteed(j, used)
		if n == 0 {
			continue
		}
		z := j.gangSize()
		i := r.item(j, z)
		i.Guaranteed = guaranteed
		for range n / z {
			r.units = append(r.units, unit{job: j, tasks: z})
			r.items = append(r.items, i)
		}
	}
	for _, j := range l {
		i := r.item(j, j.gangSize())
		i.Running = true
		expected := i.Remaining
		for n := j.done; n < len(j.ends); n += j.gangSize() {
			i.Remaining = max(j.ends[n]-j.runs[n]+expected-r.now, time.Second)
			r.items = append(r.items, i)
		}
	}
}

// guaranteed reports whether a job is within the guarantee of its customer, of which used
// counts the accelerators that are claimed.
func (r *replay) guaranteed(j *job, used map[int]int) bool {
	d := r.deployment
	n := used[j.customer] + j.queue.tasks
	if j.done == len(j.runs) || j.queue.class > 0 || float64(n) > d.guaranteed*d.customers[j.customer]*float64(d.accelerators) {
		return false
	}
	used[j.customer] = n
	return true
}

// gangSize returns how many tasks of the job start together.
func (j *job) gangSize() int {
	if j.queue.gang {
		return len(j.runs)
	}
	return 1
}

// item returns a part of a job as the scheduler would know it.
func (r *replay) item(j *job, tasks int) order.Item {
	e := max(j.estimate, r.runTimes[j.queue])
	w := j.estimate.Seconds() * acceleratorCores * float64(len(j.runs))
	return order.Item{
		Customer:  string(rune('a' + j.customer)),
		Queue:     j.queue.name,
		Class:     j.queue.class,
		Age:       float64(j.id),
		Objective: time.Duration(j.queue.slack*float64(e)) + j.queue.target,
		Waited:    r.now - j.arrival,
		Remaining: e,
		Size:      acceleratorCores * float64(tasks),
		Work:      w,
		Left:      w * float64(len(j.runs)-j.done) / float64(len(j.runs)),
		Overtaken: j.overtaken,
	}
}

// start starts units by rank. The first that does not fit has a reservation: later ones start
// only if they are expected to end before it.
func (r *replay) start(ranks []float64) {
	at := make([]int, len(r.units))
	for n := range at {
		at[n] = n
	}
	slices.SortStableFunc(at, func(a, b int) int { return cmp.Compare(ranks[a], ranks[b]) })
	reservation := time.Duration(math.MaxInt64)
	for k, n := range at {
		u := r.units[n]
		switch {
		case r.free == 0:
			return
		case u.tasks > r.free:
			if reservation == math.MaxInt64 {
				reservation = r.fitsIn(u.tasks)
			}
			continue
		case r.items[n].Remaining > reservation:
			continue
		}
		for range u.tasks {
			u.job.ends = append(u.job.ends, r.now+u.job.runs[len(u.job.ends)])
		}
		r.free -= u.tasks
		if len(u.job.ends) == u.tasks {
			u.job.begun = r.now
			r.countOvertaken(u.job, at[k+1:])
		}
	}
}

// countOvertaken counts the begin of a job for the older jobs of its queue that wait.
func (r *replay) countOvertaken(j *job, later []int) {
	seen := map[*job]bool{j: true}
	for _, n := range later {
		if v := r.units[n].job; v.queue == j.queue && v.id < j.id && !seen[v] {
			seen[v] = true
			v.overtaken++
		}
	}
}

// fitsIn returns when so many accelerators are expected to be free.
func (r *replay) fitsIn(tasks int) time.Duration {
	l := slices.DeleteFunc(slices.Clone(r.items), func(i order.Item) bool { return !i.Running })
	slices.SortFunc(l, func(a, b order.Item) int { return cmp.Compare(a.Remaining, b.Remaining) })
	free := float64(r.free)
	for _, i := range l {
		if free += i.Size / acceleratorCores; free >= float64(tasks) {
			return i.Remaining
		}
	}
	return 0
}
