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

// units returns all that may start now.
func (t *term) units(now time.Time, at []*member, room map[string]graph.Size) []alloc.Unit {
	open := t.unaccounted()
	wall := t.wall(now)
	var u []alloc.Unit
	for _, j := range t.jobs {
		if !j.live() || (open && j.revision < t.grip.epoch) {
			continue
		}
		q := t.queue(j)
		if q == nil {
			continue
		}
		for k := range j.Occurrences() {
			if j.Timed() && j.Due(k) > wall {
				break
			}
			for s := range j.Steps {
				o := t.order(j, q, k, s, now, wall)
				u = append(u, t.stepUnits(j, q, k, s, o, now, at, room[q.Service])...)
			}
		}
	}
	return u
}

// stepUnits returns what may start now of one step.
func (t *term) stepUnits(j *job, q *policy.Queue, occurrence, step int, o alloc.Order, now time.Time, at []*member, room graph.Size) []alloc.Unit {
	s := &j.Steps[step]
	v := alloc.Unit{
		Job:     j.ID,
		Service: q.Service,
		Step:    s,
		Rank:    o.Rank(),
		Urgent:  o.Preempts(),
		Claim:   j.claim,
		Slack:   t.slack(j, q, now),
		Runs:    t.expected(j, s),
		Reserve: o.Standing == alloc.InTime,
		Spread:  now.Sub(j.arrived) > time.Duration(spreadWait*float64(s.Estimate)),
	}
	var tasks []graph.Task
	busy := 0
	for i := range s.Count {
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
	if len(tasks) == 0 || !j.prog.StepDue(j.Job, occurrence, step) {
		return nil
	}
	if q.Advised && t.l.p.Adviser != nil {
		v.Allowed = t.approved(tasks[0], at, now)
	}
	if s.MaxPerWorker > 0 {
		v.Held = j.held(occurrence, step, at)
	}
	if s.Gang {
		if busy > 0 || len(tasks) < s.Count {
			return nil
		}
		v.Tasks = tasks
		return []alloc.Unit{v}
	}
	var u []alloc.Unit
	most := waveOf(room, s.Size)
	for i, k := range tasks {
		v.Tasks = []graph.Task{k}
		v.Waits = !j.claim && busy+i >= most
		v.Reserve = o.Standing == alloc.InTime && !v.Waits
		u = append(u, v)
	}
	return u
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
