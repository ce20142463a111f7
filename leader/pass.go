package leader

import (
	"cmp"
	"errors"
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
		r.at.judge.refused(r.task, f.Code, time.Now())
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
