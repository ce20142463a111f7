package leader

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hemlockhinge/alloc"
	"hemlockhinge/graph"
	"hemlockhinge/order"
	"hemlockhinge/policy"
)

// Weights of resources and of the cost of a preemption.
const (
	// acceleratorCores is how many cores an accelerator is worth.
	acceleratorCores = 8
	milliCores       = 1000
	// restoreSeconds is the time that is lost when a run resumes from its checkpoint.
	restoreSeconds = 0.6
	// repeatPreemptionCost raises the cost of preempting a job by this fraction for
	// each earlier preemption.
	repeatPreemptionCost = 0.5
)

// timing is how long a step of an occurrence has waited, how long it and what follows it take at
// normal speed, and within what time the occurrence must end.
type timing struct {
	waited, remaining, objective time.Duration
}

// timingOf returns the timing of a step of an occurrence; timeOfDayMS is in Unix milliseconds.
func (t *term) timingOf(j *job, q *policy.Queue, occurrence, step int, now time.Time, timeOfDayMS int64) timing {
	waited := now.Sub(j.arrivedAt)
	if j.HasDueTimes() {
		waited = time.Duration(timeOfDayMS-j.DueUnixMS(occurrence)) * time.Millisecond
	}
	// Estimates may be far too low, so the mean run time of the queue can raise them.
	scale := 1.0
	if m := t.meanRunTime[j.Queue]; j.criticalPath > 0 {
		scale = max(scale, float64(m)*float64(len(j.Steps))/float64(j.criticalPath))
	}
	return timing{
		waited:    waited,
		remaining: time.Duration(scale * float64(j.remainingPaths[step])),
		objective: timeObjective(scale*float64(j.criticalPath), q),
	}
}

// orderOf returns what ranks a step of an occurrence among others.
func orderOf(j *job, q *policy.Queue, v timing) alloc.Order {
	return alloc.Order{
		WithinGuarantee: j.withinGuarantee,
		Class:           q.Priority,
		Timeliness:      alloc.TimelinessOf(v.waited, v.remaining, v.objective),
		Age:             float64(j.revision),
	}
}

// timeObjective returns the time within which a job must end to be on time, for a
// critical path in nanoseconds.
func timeObjective(criticalPath float64, q *policy.Queue) time.Duration {
	return time.Duration(q.SlackFactor*criticalPath) + q.Target
}

// slackMargin is the part of a job's slack that is reserved for what follows
// its start.
const slackMargin = 250 * time.Millisecond

// slack returns how long a job can still wait for its start without being late, at normal speed.
func (t *term) slack(j *job, q *policy.Queue, now time.Time) time.Duration {
	path := j.criticalPath
	if m := t.meanRunTime[j.Queue]; m > 0 {
		path = min(path, m*time.Duration(len(j.Steps)))
	}
	d := time.Duration((q.SlackFactor-1)*float64(path)) + q.Target
	if r := t.leader.settings.ReclaimTimeout - t.leader.settings.MaxStopTime; j.withinGuarantee && r > 0 {
		d = min(d, r)
	}
	return d - now.Sub(j.arrivedAt) - slackMargin
}

// Thresholds for slow workers. A run is slow if it takes slowFactor times as long as its queue's
// mean run time and its estimate say; a worker is slow with slowRuns slow runs, or with one that
// takes slowAloneFactor times as long.
const (
	slowFactor      = 3.0
	slowRuns        = 2
	slowAloneFactor = 4.5
)

// isSlow reports whether all runs at a worker whose speed is known progress far more
// slowly than runs of their queues and steps should. Steps of one queue may differ much.
func (t *term) isSlow(m *agentState) bool {
	slow, worst := 0, 0.0
	for k, r := range m.runs {
		j := t.jobs[k.Job]
		if j == nil || j.crossesRacks(k) {
			continue
		}
		mean := t.meanRunTime[j.Queue]
		d, ok := r.progress.totalTime()
		if mean == 0 || !ok {
			continue
		}
		f := float64(d) * t.runSpeed(j, r) / float64(max(mean, j.Steps[k.Step].Estimate))
		if f < slowFactor {
			return false
		}
		worst = max(worst, f)
		slow++
	}
	return slow >= slowRuns || worst >= slowAloneFactor
}

// crossesRacks reports whether a task runs in another rack than its data, or its gang
// is spread over several racks although it asks for one; such tasks take longer.
func (j *job) crossesRacks(k graph.Task) bool {
	s := &j.Steps[k.Step]
	r := j.runs[k]
	if r == nil || s.DataRack != "" && r.agent.worker.Rack != s.DataRack {
		return true
	}
	if !s.OneRack {
		return false
	}
	for i := range s.Count {
		k.Index = i
		if v := j.runs[k]; v != nil && v.agent.worker.Rack != r.agent.worker.Rack {
			return true
		}
	}
	return false
}

// minExpectedRemaining is the expected remaining time of a run that has exceeded its
// expected run time.
const minExpectedRemaining = time.Second

// expectedRunTime returns the mean run time of the job's queue, or the step's estimate
// while no run of the queue has ended.
func (t *term) expectedRunTime(j *job, s *graph.Step) time.Duration {
	if s.LongRunning {
		return math.MaxInt64
	}
	if m := t.meanRunTime[j.Queue]; m > 0 {
		return m
	}
	return s.Estimate
}

// runTimeWeight is the weight of the newest run time in the moving average.
const runTimeWeight = 0.2

// observeRunTime updates the moving average of run times of the job's queue.
func (t *term) observeRunTime(j *job, d time.Duration) {
	m := t.meanRunTime[j.Queue]
	if m == 0 {
		m = d
	}
	t.meanRunTime[j.Queue] = m + time.Duration(runTimeWeight*float64(d-m))
}

// peakAccelerators returns the largest number of accelerators that one step of an
// occurrence takes at a time.
func peakAccelerators(j *graph.Job) int {
	n := 0
	for _, s := range j.Steps {
		n = max(n, s.Count*s.Size.Accelerators)
	}
	return n
}

// markGuaranteedJobs marks the urgent jobs that are within their customer's guarantee:
// the oldest ones that fit into it together.
func (t *term) markGuaranteedJobs() {
	o := t.leader.currentOperatorSettings()
	if o.Config == nil {
		return
	}
	var l []*job
	for _, j := range t.jobs {
		j.withinGuarantee = false
		if q := o.Config.Lookup(QueueRefOf(j.Job)); q != nil && q.Priority == 0 && j.schedulable() {
			l = append(l, j)
		}
	}
	slices.SortFunc(l, func(a, b *job) int { return cmp.Compare(a.revision, b.revision) })
	used := map[string]int{}
	for _, j := range l {
		n := peakAccelerators(j.Job)
		if used[j.Customer]+n > o.Config.GuaranteedAccelerators(j.Customer) {
			continue
		}
		used[j.Customer] += n
		j.withinGuarantee = true
	}
}

// groupBuilder collects the runs that can be preempted together.
type groupBuilder struct {
	term        *term
	workerIndex map[*agentState]int
	groupIndex  map[graph.Task]int
	groups      []alloc.Group
	runs        [][]*run
}

// runningGroups returns the running gangs and single tasks as alloc takes them, and the runs
// of each group. It adds the sizes of runs that are being stopped to the capacity that
// their workers will free.
func (t *term) runningGroups(w []alloc.Worker, agents []*agentState, now time.Time) ([]alloc.Group, [][]*run) {
	g := groupBuilder{
		term:        t,
		workerIndex: map[*agentState]int{},
		groupIndex:  map[graph.Task]int{},
	}
	for i, m := range agents {
		g.workerIndex[m] = i
	}
	for _, j := range t.jobs {
		for k, r := range j.runs {
			i := g.workerIndex[r.agent]
			switch {
			case r.stopping || !j.schedulable():
				w[i].Releasing = w[i].Releasing.Add(r.size)
			case r.phase == running:
				g.addRun(j, k, r, now)
			}
		}
	}
	return g.groups, g.runs
}

// addRun adds a run to the group of its gang, or to one of its own.
func (g *groupBuilder) addRun(j *job, k graph.Task, r *run, now time.Time) {
	s := &j.Steps[k.Step]
	if s.Gang {
		k.Index = 0
	}
	n, ok := g.groupIndex[k]
	if !ok {
		n = len(g.groups)
		g.groupIndex[k] = n
		q := g.term.queue(j)
		g.groups = append(g.groups, alloc.Group{
			Usage:          map[int]graph.Size{},
			Urgent:         q != nil && q.Priority == 0,
			Borrowed:       !j.withinGuarantee,
			RemainingKnown: true,
			NonPreemptible: s.LongRunning,
			BudgetUsed:     g.term.keepsRoom && j.groupPreemptions[k] >= order.MaxPreemptions,
			Service:        j.Service,
			Step:           s,
		})
		g.runs = append(g.runs, nil)
	}
	v := &g.groups[n]
	v.Tasks++
	i := g.workerIndex[r.agent]
	v.Usage[i] = v.Usage[i].Add(r.size)
	v.Cost += preemptionCost(j, s, r, now)
	d, timed := r.progress.remaining(r.startedAt, now)
	v.Remaining = max(v.Remaining, d)
	if !timed {
		expected := float64(g.term.expectedRunTime(j, s)) / g.term.runSpeed(j, r)
		d = max(time.Duration(min(expected, math.MaxInt64/2))-now.Sub(r.startedAt), minExpectedRemaining)
	}
	v.ExpectedRemaining = max(v.ExpectedRemaining, d)
	v.RemainingKnown = v.RemainingKnown && timed && !r.resumed
	g.runs[n] = append(g.runs[n], r)
}

// preemptionCost is the work in core-seconds that is lost when a run is preempted.
func preemptionCost(j *job, s *graph.Step, r *run, now time.Time) float64 {
	lost := now.Sub(r.startedAt).Seconds()
	if s.Checkpoints {
		lost = restoreSeconds
	}
	return lost * coreEquivalents(r.size) * (1 + repeatPreemptionCost*float64(j.preemptions))
}

// coreEquivalents returns a size as a number of cores.
func coreEquivalents(z graph.Size) float64 {
	return float64(z.MilliCPU)/milliCores + acceleratorCores*float64(z.Accelerators)
}
