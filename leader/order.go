package leader

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hemlockhinge/alloc"
	"hemlockhinge/graph"
	"hemlockhinge/policy"
)

// Weights of the order and of what a stop costs.
const (
	// acceleratorCores is what an accelerator counts in cores.
	acceleratorCores = 8
	milliCores       = 1000
	// restoreTime is lost when a run resumes from its checkpoint.
	restoreTime = 0.6
	// evictionCost raises the cost of a job's stop with each one before.
	evictionCost = 0.5
)

// order returns what decides the turn of a step of an occurrence; wall is the time
// of day in Unix milliseconds.
func (t *term) order(j *job, q *policy.Queue, occurrence, step int, now time.Time, wall int64) alloc.Order {
	waited := now.Sub(j.arrived)
	if j.Timed() {
		waited = time.Duration(wall-j.Due(occurrence)) * time.Millisecond
	}
	// Estimates may be far too low; what the queue's runs took says more.
	scale := 1.0
	if m := t.learnt[j.Queue]; j.chain > 0 {
		scale = max(scale, float64(m)*float64(len(j.Steps))/float64(j.chain))
	}
	left := time.Duration(scale * float64(j.chains[step]))
	aim := objective(scale*float64(j.chain), q)
	return alloc.Order{
		Claim:      j.claim,
		Class:      q.Priority,
		Timeliness: alloc.TimelinessOf(waited, left, aim),
		Age:        float64(j.revision),
	}
}

// objective is how long a job with a chain of work, in nanoseconds, may take to be in
// time.
func objective(chain float64, q *policy.Queue) time.Duration {
	return time.Duration(q.Slack*chain) + q.Target
}

// slackMargin is kept of an urgent job's slack for what comes after the start.
const slackMargin = 250 * time.Millisecond

// slack returns how long an urgent job can still wait for its start without
// being late. What ends as soon as a stop would take need never be stopped.
func (t *term) slack(j *job, q *policy.Queue, now time.Time) time.Duration {
	chain := j.chain
	if m := t.learnt[j.Queue]; m > 0 {
		chain = min(chain, m*time.Duration(len(j.Steps)))
	}
	d := time.Duration((q.Slack-1)*float64(chain)) + q.Target
	if r := t.l.s.Reclaim - t.l.s.StopTime; j.claim && r > 0 {
		d = min(d, r)
	}
	return max(d-now.Sub(j.arrived)-slackMargin, t.l.s.StopTime)
}

// Rules by which a worker is taken for slow.
const (
	slowFactor = 3.0
	slowRuns   = 2
	slowAlone  = 4.5
)

// sluggish reports whether all that runs at a worker comes along far slower than
// the queues' runs do elsewhere.
func (t *term) sluggish(m *member) bool {
	slow, worst := 0, 0.0
	for k, r := range m.runs {
		j := t.jobs[k.Job]
		if j == nil || j.far(k) {
			continue
		}
		mean := t.learnt[j.Queue]
		d, ok := r.pace.wholeTime()
		if mean == 0 || !ok {
			continue
		}
		f := float64(d) / float64(mean)
		if f < slowFactor {
			return false
		}
		worst = max(worst, f)
		slow++
	}
	return slow >= slowRuns || worst >= slowAlone
}

// far reports whether a task runs away from its data, or its gang in several
// racks, and so takes longer than others.
func (j *job) far(k graph.Task) bool {
	s := &j.Steps[k.Step]
	r := j.runs[k]
	if r == nil || s.DataRack != "" && r.at.facts.Rack != s.DataRack {
		return true
	}
	if !s.OneRack {
		return false
	}
	for i := range s.Count {
		k.Index = i
		if v := j.runs[k]; v != nil && v.at.facts.Rack != r.at.facts.Rack {
			return true
		}
	}
	return false
}

// minExpected is how long a run is expected to go on that is past its time.
const minExpected = time.Second

// expected returns how long a run of a step takes by what its queue's runs took,
// or else by its estimate.
func (t *term) expected(j *job, s *graph.Step) time.Duration {
	if s.Lasting {
		return math.MaxInt64
	}
	if m := t.learnt[j.Queue]; m > 0 {
		return m
	}
	return s.Estimate
}

// learnWeight is the weight of the newest run time in the mean.
const learnWeight = 0.2

// learn takes the time of a run that is done into its queue's mean.
func (t *term) learn(j *job, d time.Duration) {
	m := t.learnt[j.Queue]
	if m == 0 {
		m = d
	}
	t.learnt[j.Queue] = m + time.Duration(learnWeight*float64(d-m))
}

// accelerators returns the most that one step of an occurrence takes at a time.
func accelerators(j *graph.Job) int {
	n := 0
	for _, s := range j.Steps {
		n = max(n, s.Count*s.Size.Accelerators)
	}
	return n
}

// markClaims finds the urgent jobs that are within their customer's guarantee:
// the oldest ones that fit into it together.
func (t *term) markClaims() {
	o := t.l.current()
	if o.Config == nil {
		return
	}
	var l []*job
	for _, j := range t.jobs {
		j.claim = false
		if q := o.Config.Queue(j.Queue); q != nil && q.Priority == 0 && j.live() {
			l = append(l, j)
		}
	}
	slices.SortFunc(l, func(a, b *job) int { return cmp.Compare(a.revision, b.revision) })
	used := map[string]int{}
	for _, j := range l {
		n := accelerators(j.Job)
		if used[j.Customer]+n > o.Config.Guaranteed(j.Customer) {
			continue
		}
		used[j.Customer] += n
		j.claim = true
	}
}

// grouping collects what runs, as alloc sees it.
type grouping struct {
	term  *term
	place map[*member]int
	known map[graph.Task]int
	list  []alloc.Group
	runs  [][]*run
}

// groups returns what runs, as alloc sees it, and the runs of each group. Coming
// of the workers is set by the groups that are stopping.
func (t *term) groups(w []alloc.Worker, at []*member, now time.Time) ([]alloc.Group, [][]*run) {
	g := grouping{
		term:  t,
		place: map[*member]int{},
		known: map[graph.Task]int{},
	}
	for i, m := range at {
		g.place[m] = i
	}
	for _, j := range t.jobs {
		for k, r := range j.runs {
			i := g.place[r.at]
			switch {
			case r.halting || !j.live():
				w[i].Coming = w[i].Coming.Add(r.size)
			case r.phase == running:
				g.add(j, k, r, now)
			}
		}
	}
	return g.list, g.runs
}

// add takes a run into its group: its gang's, or its own.
func (g *grouping) add(j *job, k graph.Task, r *run, now time.Time) {
	s := &j.Steps[k.Step]
	if s.Gang {
		k.Index = 0
	}
	n, ok := g.known[k]
	if !ok {
		n = len(g.list)
		g.known[k] = n
		q := g.term.queue(j)
		g.list = append(g.list, alloc.Group{
			Parts:    map[int]graph.Size{},
			Urgent:   q != nil && q.Priority == 0,
			Borrowed: !j.claim,
			Timed:    true,
			Fixed:    s.Lasting,
		})
		g.runs = append(g.runs, nil)
	}
	v := &g.list[n]
	i := g.place[r.at]
	v.Parts[i] = v.Parts[i].Add(r.size)
	v.Cost += stopCost(j, s, r, now)
	d, timed := r.pace.remaining(r.begun, now)
	v.Remaining = max(v.Remaining, d)
	if !timed {
		d = max(g.term.expected(j, s)-now.Sub(r.begun), minExpected)
	}
	v.Expected = max(v.Expected, d)
	v.Timed = v.Timed && timed && !r.resumed
	g.runs[n] = append(g.runs[n], r)
}

// stopCost is the work in core-seconds that a stop of a run throws away.
func stopCost(j *job, s *graph.Step, r *run, now time.Time) float64 {
	lost := now.Sub(r.begun).Seconds()
	if s.Checkpoints {
		lost = restoreTime
	}
	return lost * weight(r.size) * (1 + evictionCost*float64(j.evicted))
}

// weight is what a size counts, in cores.
func weight(z graph.Size) float64 {
	return float64(z.MilliCPU)/milliCores + acceleratorCores*float64(z.Accelerators)
}
