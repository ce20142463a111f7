package leader

import (
	"math"
	"slices"
	"time"

	"hemlockhinge/alloc"
	"hemlockhinge/graph"
	"hemlockhinge/policy"
)

// unaccounted reports whether a worker may still run something that an earlier
// term started and this one has not heard of.
func (t *term) unaccounted() bool {
	for _, m := range t.members {
		if !m.known {
			return true
		}
	}
	return false
}

// lister lists the units of one pass.
type lister struct {
	term *term
	now  time.Time
	// wall is the time of day in Unix milliseconds.
	wall int64
	at   []*member
	// room is the whole room of each service.
	room map[string]graph.Size
	list []alloc.Unit
}

// units returns all that may start now.
func (t *term) units(now time.Time, at []*member, room map[string]graph.Size) []alloc.Unit {
	l := lister{
		term: t,
		now:  now,
		wall: t.wall(now),
		at:   at,
		room: room,
	}
	open := t.unaccounted()
	for _, j := range t.jobs {
		if j.live() && (!open || j.revision >= t.grip.epoch) {
			l.add(j)
		}
	}
	return l.list
}

// add lists what may start of a job.
func (l *lister) add(j *job) {
	if len(j.runs) > 0 {
		j.busy = l.now
	}
	q := l.term.queue(j)
	if q == nil {
		return
	}
	for k := range j.Occurrences() {
		if j.Timed() && j.Due(k) > l.wall {
			break
		}
		for s := range j.Steps {
			l.addStep(j, q, k, s)
		}
	}
}

// addStep lists what may start of one step: its gang, or its tasks one by one.
func (l *lister) addStep(j *job, q *policy.Queue, occurrence, step int) {
	s := &j.Steps[step]
	tasks, busy := j.waiting(occurrence, step, l.now)
	switch {
	case len(tasks) == 0 || !j.prog.StepDue(j.Job, occurrence, step):
		return
	case s.Gang && (busy > 0 || len(tasks) < s.Count):
		return
	}
	o := l.term.order(j, q, occurrence, step, l.now, l.wall)
	u := alloc.Unit{
		Job:     j.ID,
		Service: q.Service,
		Step:    s,
		Tasks:   tasks,
		Rank:    o.Rank(),
		Urgent:  o.Preempts(),
		Claim:   j.claim,
		Slack:   l.term.slack(j, q, l.now),
		Runs:    l.term.expected(j, s),
		Idle:    j.idle(l.now),
		Work:    l.term.expected(j, s).Seconds() * weight(s.Size) * float64(len(tasks)),
		Reserve: o.Timeliness == alloc.OnTime,
		Spread:  l.now.Sub(j.arrived) > time.Duration(spreadWait*float64(s.Estimate)),
	}
	if q.Advised && l.term.l.p.Adviser != nil {
		u.Allowed = l.term.approved(tasks[0], l.at, l.now)
	}
	if s.MaxPerWorker > 0 {
		u.Held = j.held(occurrence, step, l.at)
	}
	if s.Gang {
		l.list = append(l.list, u)
		return
	}
	most := waveOf(l.room[q.Service], s.Size)
	for i := range tasks {
		v := u
		v.Tasks = tasks[i : i+1]
		v.Work = u.Work / float64(len(tasks))
		v.Waits = !j.claim && busy+i >= most
		v.Reserve = u.Reserve && !v.Waits
		l.list = append(l.list, v)
	}
}

// idle returns for how long nothing of a job has been running.
func (j *job) idle(now time.Time) time.Duration {
	if j.busy.After(j.arrived) {
		return now.Sub(j.busy)
	}
	return now.Sub(j.arrived)
}

// waiting returns the tasks of a step that may be started, and how many run.
func (j *job) waiting(occurrence, step int, now time.Time) (tasks []graph.Task, busy int) {
	for i := range j.Steps[step].Count {
		k := graph.Task{
			Job:        j.ID,
			Occurrence: occurrence,
			Step:       step,
			Index:      i,
		}
		switch {
		case j.runs[k] != nil:
			busy++
		case !j.prog.Of(j.Job, k).Done && !now.Before(j.again[k]):
			tasks = append(tasks, k)
		}
	}
	return tasks, busy
}

// waveShare is the part of a service's whole room that a step's tasks take by
// stopping others: a wider step is expected to run in waves.
const waveShare = 0.25

// waveOf returns how many tasks of a size make a wave.
func waveOf(room, z graph.Size) int {
	n := math.MaxInt
	for _, v := range [][2]int{{room.MilliCPU, z.MilliCPU}, {room.MemoryMiB, z.MemoryMiB}, {room.Accelerators, z.Accelerators}} {
		if v[1] > 0 {
			n = min(n, int(math.Ceil(waveShare*float64(v[0])/float64(v[1]))))
		}
	}
	return max(n, 1)
}

// total returns the whole room of each service.
func total(w []alloc.Worker) map[string]graph.Size {
	n := map[string]graph.Size{}
	for _, v := range w {
		if !v.Closed {
			n[v.Service] = n[v.Service].Add(v.Total)
		}
	}
	return n
}

// held counts the runs of a step at each member.
func (j *job) held(occurrence, step int, at []*member) map[int]int {
	n := map[int]int{}
	for k, r := range j.runs {
		if k.Occurrence == occurrence && k.Step == step {
			n[slices.Index(at, r.at)]++
		}
	}
	return n
}
