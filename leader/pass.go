package leader

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/alloc"
	"hemlockhinge/graph"
	"hemlockhinge/policy"
	"hemlockhinge/wire"
)

const (
	// attemptJump leaves out attempts that an earlier term may have given.
	attemptJump = 16
	// spreadWait is how much of its estimate a unit waits for its own rack.
	spreadWait = 1.0
)

// queue returns a job's queue, or nil when the configuration has it no more.
func (t *term) queue(j *job) *policy.Queue {
	o := t.l.current()
	if o.Config == nil {
		return nil
	}
	return o.Config.Queue(j.Queue)
}

// pass looks at everything once and orders what follows; t.mu is held.
func (t *term) pass(now time.Time) {
	for _, m := range t.members {
		if t.over(m, now) {
			m.known = true
			for _, r := range m.runs {
				t.vanished(m, r)
			}
		}
	}
	t.halts(now)
	t.markClaims()
	w, at := t.workers(now)
	g, runs := t.groups(w, at, now)
	d := alloc.Decide(w, g, t.units(now, at, total(w)))
	for _, e := range d.Stop {
		for _, r := range runs[e.Group] {
			t.evict(r, e.For, now)
		}
	}
	for _, p := range d.Start {
		t.place(p, at, now)
	}
}

// workers returns the workers as alloc sees them, and the members in the same
// order.
func (t *term) workers(now time.Time) ([]alloc.Worker, []*member) {
	out := t.l.current().Out
	var at []*member
	for _, m := range t.members {
		at = append(at, m)
	}
	slices.SortFunc(at, func(a, b *member) int { return cmp.Compare(a.addr, b.addr) })
	w := make([]alloc.Worker, 0, len(at))
	for _, m := range at {
		f := m.facts
		d := m.judge.doubt(now)
		if t.sluggish(m) {
			d = closedDoubt
		}
		w = append(w, alloc.Worker{
			ID:      m.addr,
			Domain:  f.Zone,
			Rack:    f.Rack,
			Service: f.Service,
			Labels:  f.Labels,
			Total:   f.Capacity,
			Free:    f.Capacity.Sub(m.used()),
			Serving: m.has(t, func(s *graph.Step) bool { return s.TailTarget > 0 }),
			Filling: m.has(t, func(s *graph.Step) bool { return s.Filler }),
			Closed:  m.peer == nil || !m.known || !m.open || !f.Known || f.Leaving || f.Gone || out[f.Zone] || d >= closedDoubt,
			Doubt:   d,
		})
	}
	return w, at
}

// has reports whether a run of a step that f picks is at the member's worker.
func (m *member) has(t *term, f func(*graph.Step) bool) bool {
	for k := range m.runs {
		if j := t.jobs[k.Job]; j != nil && f(&j.Steps[k.Step]) {
			return true
		}
	}
	return false
}

// used returns what may be taken at the member's worker.
func (m *member) used() graph.Size {
	var z graph.Size
	for _, r := range m.runs {
		z = z.Add(r.size)
	}
	for _, a := range m.alien {
		z = z.Add(a.size)
	}
	return z
}

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
				u = append(u, t.stepUnits(j, q, k, s, now, at, room[q.Service])...)
			}
		}
	}
	return u
}

// stepUnits returns what may start now of one step.
func (t *term) stepUnits(j *job, q *policy.Queue, occurrence, step int, now time.Time, at []*member, room graph.Size) []alloc.Unit {
	s := &j.Steps[step]
	v := alloc.Unit{
		Job:     j.ID,
		Service: q.Service,
		Step:    s,
		Rank:    t.rank(j, q),
		Urgent:  q.Priority == 0,
		Claim:   j.claim,
		Slack:   t.slack(j, q, now),
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

// place starts a unit where alloc has placed it.
func (t *term) place(p alloc.Placement, at []*member, now time.Time) {
	j := t.jobs[p.Unit.Job]
	attempt := 0
	for _, k := range p.Unit.Tasks {
		attempt = max(attempt, j.prog.Of(j.Job, k).Attempt)
	}
	attempt++
	if j.revision < t.grip.epoch && !j.bumped[p.Unit.Tasks[0]] {
		attempt += attemptJump
	}
	for i, k := range p.Unit.Tasks {
		if j.bumped == nil {
			j.bumped = map[graph.Task]bool{}
		}
		j.bumped[k] = true
		v := j.prog.Of(j.Job, k)
		v.Attempt = attempt
		r := &run{
			task:    k,
			attempt: attempt,
			at:      at[p.At[i]],
			size:    p.Unit.Step.Size,
			begun:   now,
			saved:   v.Saved,
			resumed: savedFor(j, k) != "",
		}
		j.runs[k] = r
		r.at.runs[k] = r
		t.launch(j, r)
	}
}

// savedFor returns the checkpoint that a task resumes from; all members of a
// gang get the same one, the newest of any member.
func savedFor(j *job, k graph.Task) string {
	if !j.Steps[k.Step].Gang {
		return j.prog.Of(j.Job, k).Saved
	}
	newest := ""
	for i := range j.Steps[k.Step].Count {
		k.Index = i
		newest = max(newest, j.prog.Of(j.Job, k).Saved)
	}
	return newest
}

// launch sends the order to start a run.
func (t *term) launch(j *job, r *run) {
	m := &wire.Launch{
		Task:    r.task.String(),
		Attempt: r.attempt,
		Spec:    j.Spec,
		Saved:   savedFor(j, r.task),
		Ticket:  t.ticket(r),
		Size:    r.size,
		EchoMS:  r.at.echo,
	}
	p := r.at.peer
	if j.starts == 0 {
		j.firstStart = time.Since(j.arrived)
	}
	j.starts++
	t.log.WithFields(logrus.Fields{
		"task":    m.Task,
		"attempt": r.attempt,
		"agent":   r.at.addr,
		"worker":  r.at.facts.ID,
		"queue":   j.Queue,
		"waited":  time.Since(j.arrived).Milliseconds(),
		"resumes": m.Saved != "",
		"weight":  weight(r.size),
	}).Info("run_ordered")
	t.group.Go(func() {
		v, err := wire.CallFor[*wire.Launched](t.ctx, p, m, launchTimeout)
		t.launched(j, r, v, err)
	})
}

// launchTimeout bounds the wait for an agent to settle a start; after it the
// session's standings say whether the run exists.
const launchTimeout = 20 * time.Second

func (t *term) launched(j *job, r *run, v *wire.Launched, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.poke()
	if j.runs[r.task] != r {
		return
	}
	var f *wire.RefusedError
	t.l.p.Meter.Started(startOutcome(err))
	switch {
	case err == nil:
		r.phase = running
		r.seq = v.Seq
		r.doubt = false
		j.begin()
	case errors.As(err, &f):
		t.log.WithFields(logrus.Fields{"task": r.task.String(), "attempt": r.attempt, "agent": r.at.addr, "code": f.Code.String()}).WithError(err).Warn("run_refused")
		delete(j.runs, r.task)
		delete(r.at.runs, r.task)
		j.again[r.task] = time.Now().Add(retryInterval)
		if f.Code == wire.CodeTicket {
			t.book.Drop(r.task.StepName(), lifeOf(r.at))
		}
	default:
		r.doubt = true
	}
}

// begin notes that a task of the job has started, so that its state says so also
// after a change of the scheduler.
func (j *job) begin() {
	if !j.prog.Started {
		j.prog.Started = true
		j.version++
	}
}

// startOutcome names how a start went.
func startOutcome(err error) string {
	var f *wire.RefusedError
	switch {
	case err == nil:
		return "started"
	case errors.As(err, &f):
		return f.Code.String()
	}
	return "unanswered"
}

// halts stops what must not go on: runs of ended jobs, members of gangs that
// are not whole, and runs that should not be there.
func (t *term) halts(now time.Time) {
	// Members of a gang may be at agents that have not been heard yet.
	open := t.unaccounted()
	for _, j := range t.jobs {
		for k, r := range j.runs {
			if j.prog.Of(j.Job, k).Done {
				continue
			}
			if r.halting || !j.live() || (j.Steps[k.Step].Gang && !open && !j.whole(k, now)) {
				t.halt(r, now)
			}
		}
	}
	for _, m := range t.members {
		for k, a := range m.alien {
			if m.peer != nil && now.Sub(a.haltedAt) > haltInterval {
				a.haltedAt = now
				m.alien[k] = a
				t.sendHalt(m, k, a.attempt)
			}
		}
	}
}

// gangPatience is how long members of a gang wait for the others to be started:
// less than a worker lets them wait.
const gangPatience = 1500 * time.Millisecond

// whole reports whether a gang has all its members, or they are being started.
func (j *job) whole(k graph.Task, now time.Time) bool {
	for i := range j.Steps[k.Step].Count {
		k.Index = i
		r := j.runs[k]
		if r == nil || (r.phase == launching && now.Sub(r.begun) > gangPatience) {
			return false
		}
	}
	return true
}

// evict stops a run so that a more urgent one can start.
func (t *term) evict(r *run, u *alloc.Unit, now time.Time) {
	j := t.jobs[r.task.Job]
	j.evicted++
	t.l.p.Meter.Evicted()
	r.halting = true
	t.log.WithFields(logrus.Fields{
		"task":    r.task.String(),
		"attempt": r.attempt,
		"agent":   r.at.addr,
		"ran_ms":  now.Sub(r.begun).Milliseconds(),
		"weight":  weight(r.size),
		"for":     u.Job,
		"needs":   fmt.Sprintf("%dx%v", len(u.Tasks), u.Step.Size),
		"claim":   u.Claim,
	}).Info("run_evicted")
	t.halt(r, now)
}

func (t *term) halt(r *run, now time.Time) {
	if r.phase != running || r.at.peer == nil || now.Sub(r.haltedAt) < haltInterval {
		return
	}
	r.haltedAt = now
	r.halting = true
	t.sendHalt(r.at, r.task, r.attempt)
}

func (t *term) sendHalt(m *member, k graph.Task, attempt int) {
	t.log.WithFields(logrus.Fields{"task": k.String(), "attempt": attempt, "agent": m.addr}).Info("stop_ordered")
	p := m.peer
	t.group.Go(func() {
		c, cancel := context.WithTimeout(t.ctx, haltInterval)
		defer cancel()
		_, err := p.Call(c, &wire.Halt{
			Task:    k.String(),
			Attempt: attempt,
		})
		if err != nil {
			t.log.WithError(err).WithField("task", k.String()).Info("stop_unconfirmed")
		}
	})
}

// steady returns a time of day that no jump of the clock of the day changes.
func (t *term) steady(now time.Time) time.Time {
	return t.began.Round(0).Add(now.Sub(t.began))
}

// wall returns the time of day in Unix milliseconds, as the median of what the
// agents' clocks and our own say.
func (t *term) wall(now time.Time) int64 {
	s := t.steady(now)
	o := []time.Duration{t.l.p.Wall().Round(0).Sub(s)}
	for _, m := range t.members {
		if m.clock && m.peer != nil {
			o = append(o, m.wall)
		}
	}
	slices.Sort(o)
	return s.Add(o[len(o)/2]).UnixMilli()
}
