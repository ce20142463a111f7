package leader

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/alloc"
	"hemlockhinge/graph"
	"hemlockhinge/wire"
)

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
