package leader

import (
	"math"
	"slices"
	"time"

	"hemlockhinge/alloc"
	"hemlockhinge/graph"
	"hemlockhinge/order"
	"hemlockhinge/policy"
)

// unitLister collects the units of one scheduling pass.
type unitLister struct {
	term *term
	now  time.Time
	// timeOfDayMS is in Unix milliseconds.
	timeOfDayMS int64
	agents      []*agentState
	// capacity is the total capacity of each service.
	capacity map[string]graph.Size
	heldBack *heldBack
	// earlyLosses is as countEarlyLosses returns it.
	earlyLosses map[graph.Task]int
	// contended is the result of term.contended.
	contended bool
	units     []alloc.Unit
	// items are the units as package order takes them, if they are ranked by cost.
	items []order.Item
}

// startableUnits returns the units that may start now, without those that are held back.
func (t *term) startableUnits(now time.Time, agents []*agentState, capacity map[string]graph.Size, h *heldBack) []alloc.Unit {
	l := unitLister{
		term:        t,
		now:         now,
		heldBack:    h,
		timeOfDayMS: t.medianTimeOfDay(now),
		agents:      agents,
		capacity:    capacity,
		contended:   t.contended(),
	}
	l.earlyLosses = t.countEarlyLosses(now)
	for _, j := range t.jobs {
		if j.schedulable() && !h.holdsJob(j) {
			l.addJob(j)
		}
	}
	if t.ranksByCost() {
		l.rankByCost()
	}
	return l.units
}

// addJob adds the units of a job that may start.
func (l *unitLister) addJob(j *job) {
	if len(j.runs) > 0 {
		j.lastActive = l.now
	}
	q := l.term.queue(j)
	if q == nil {
		return
	}
	for k := range j.Occurrences() {
		if j.HasDueTimes() && j.DueUnixMS(k) > l.timeOfDayMS {
			break
		}
		for s := range j.Steps {
			l.addStep(j, q, k, s)
		}
	}
}

// addStep adds the units of one step that may start: its gang, or its tasks one by
// one.
func (l *unitLister) addStep(j *job, q *policy.Queue, occurrence, step int) {
	s := &j.Steps[step]
	tasks, active := l.startableTasks(j, occurrence, step)
	switch {
	case len(tasks) == 0 || !j.progress.StepReady(j.Job, occurrence, step):
		return
	case s.Gang && (active > 0 || len(tasks) < s.Count):
		return
	}
	v := l.term.timingOf(j, q, occurrence, step, l.now, l.timeOfDayMS)
	u := l.newUnit(j, q, s, tasks, v)
	if s.MaxPerWorker > 0 {
		u.RunningPerWorker = j.runsPerWorker(occurrence, step, l.agents)
	}
	if s.Gang {
		l.add(j, q, u, v)
		return
	}
	wave := waveSize(l.capacity[q.Service], s.Size)
	for i := range tasks {
		w := u
		w.Tasks = tasks[i : i+1]
		w.Work = u.Work / float64(len(tasks))
		w.NoPreemption = !j.withinGuarantee && active+i >= wave
		w.Reserve = u.Reserve && !w.NoPreemption
		l.add(j, q, w, v)
	}
}

// endWaitShare is the share of a unit's slack that it waits for runs to end by themselves, where
// room that is made for it is kept.
const endWaitShare = 0.5

// newUnit returns the unit of tasks that may start.
func (l *unitLister) newUnit(j *job, q *policy.Queue, s *graph.Step, tasks []graph.Task, v timing) alloc.Unit {
	o := orderOf(j, q, v)
	slack := l.term.slack(j, q, l.now)
	stopTime := l.term.leader.settings.MaxStopTime
	u := alloc.Unit{
		Job:             j.ID,
		Service:         q.Service,
		Step:            s,
		Tasks:           tasks,
		Rank:            o.Rank(),
		Urgent:          o.MayPreempt(),
		WithinGuarantee: j.withinGuarantee,
		// A run that ends within the time that a stop takes need not be preempted.
		Slack:           max(slack, stopTime),
		ExpectedRuntime: l.term.expectedRunTime(j, s),
		IdleTime:        j.idleTime(l.now),
		Work:            l.term.expectedRunTime(j, s).Seconds() * coreEquivalents(s.Size) * float64(len(tasks)),
		Reserve:         o.Timeliness == alloc.OnTime,
		AnyRack:         l.now.Sub(j.arrivedAt) > time.Duration(spreadWaitFactor*float64(s.Estimate)),
	}
	if q.RequiresAdvice && l.term.leader.ports.Adviser != nil {
		u.AllowedWorkers = l.term.approvedWorkers(tasks[0], l.agents, l.now)
	}
	if l.contended {
		u.EndWait = max(time.Duration(endWaitShare*float64(slack)), stopTime)
	}
	if l.term.uneven(q.Service) {
		u.Uneven = true
		u.MinSpeed = v.minSpeed()
		u.WaitForSpeed = slack > stopTime
	}
	return u
}

// add adds a unit. One with a suspect stops no others: its workers may crash.
func (l *unitLister) add(j *job, q *policy.Queue, u alloc.Unit, v timing) {
	if j.hasSuspect(u.Tasks, l.earlyLosses) {
		u.Apart = true
		u.ApartGroup = j.apartGroup(u.Tasks[0], l.earlyLosses[u.Tasks[0]])
		u.NoPreemption = true
	}
	if l.contended {
		u.Room = l.roomFor(u.Tasks[0])
	}
	if l.term.ranksByCost() {
		l.items = append(l.items, itemOf(j, q, &u, v))
	}
	l.units = append(l.units, u)
}

// idleTime returns for how long a job has had no run.
func (j *job) idleTime(now time.Time) time.Duration {
	if j.lastActive.After(j.arrivedAt) {
		return now.Sub(j.lastActive)
	}
	return now.Sub(j.arrivedAt)
}

// startableTasks returns the tasks of a step that may be started, and how many run or
// are being started.
func (l *unitLister) startableTasks(j *job, occurrence, step int) (tasks []graph.Task, active int) {
	for i := range j.Steps[step].Count {
		k := graph.Task{
			Job:        j.ID,
			Occurrence: occurrence,
			Step:       step,
			Index:      i,
		}
		switch {
		case j.runs[k] != nil:
			active++
		case !l.heldBack.holds(j, k) && j.startable(k, l.earlyLosses[k], l.now):
			tasks = append(tasks, k)
		}
	}
	return tasks, active
}

// startable reports whether a task without a run may be started. A suspect waits until the
// crashes of its workers are in the store: no later scheduler may start it as often again. A
// task that would be given up if the workers of its early losses have crashed waits until
// their fate is known.
func (j *job) startable(k graph.Task, earlyLosses int, now time.Time) bool {
	v := j.progress.Task(j.Job, k)
	if v.SuspectAfter(0) && j.crashVersion > j.storedVersion {
		return false
	}
	if earlyLosses > 0 && v.GivenUpAfter(earlyLosses) && !j.Steps[k.Step].LongRunning {
		return false
	}
	return !v.Done && !now.Before(j.retryAfter[k])
}

// waveShare is the share of a service's capacity up to which a step's tasks may preempt
// others. A wider step is expected to run in waves.
const waveShare = 0.25

// waveSize returns how many tasks of a size make one wave.
func waveSize(capacity, z graph.Size) int {
	n := math.MaxInt
	for _, v := range [][2]int{{capacity.MilliCPU, z.MilliCPU}, {capacity.MemoryMiB, z.MemoryMiB}, {capacity.Accelerators, z.Accelerators}} {
		if v[1] > 0 {
			n = min(n, int(math.Ceil(waveShare*float64(v[0])/float64(v[1]))))
		}
	}
	return max(n, 1)
}

// totalCapacity returns the capacity of each service over its workers that take tasks.
func totalCapacity(w []alloc.Worker) map[string]graph.Size {
	n := map[string]graph.Size{}
	for _, v := range w {
		if !v.Unschedulable {
			n[v.Service] = n[v.Service].Add(v.Total)
		}
	}
	return n
}

// runsPerWorker counts the runs of a step at each worker, by the index of its agent.
func (j *job) runsPerWorker(occurrence, step int, agents []*agentState) map[int]int {
	n := map[int]int{}
	for k, r := range j.runs {
		if k.Occurrence == occurrence && k.Step == step {
			n[slices.Index(agents, r.agent)]++
		}
	}
	return n
}
