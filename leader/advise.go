package leader

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/advice"
	"hemlockhinge/graph"
)

// adviceMargin is kept of a ticket's time for the way of a start.
const adviceMargin = 300 * time.Millisecond

// Approval is an adviser's answer on a step: the tickets of the workers that may
// run it, and how long they hold.
type Approval struct {
	Tickets map[string]string
	Valid   time.Duration
}

// Adviser is the port to the service that knows which workers may run a step.
type Adviser interface {
	Advise(c context.Context, step string, workers []string) (Approval, error)
}

// lifeOf names the present life of a member's worker.
func lifeOf(m *member) advice.Key {
	return advice.Key{
		Worker: m.facts.ID,
		Born:   m.facts.Born,
	}
}

// approved returns the workers that may run a unit's step, by their index, and
// asks about those that are not known; t.mu is held.
func (t *term) approved(k graph.Task, at []*member, now time.Time) map[int]bool {
	step := k.StepName()
	var open []advice.Key
	may := map[int]bool{}
	for i, m := range at {
		if !m.facts.Known || m.facts.Gone {
			continue
		}
		open = append(open, lifeOf(m))
		if _, ok := t.book.Ticket(step, lifeOf(m), now.Add(adviceMargin)); ok {
			may[i] = true
		}
	}
	if l := t.book.Ask(step, open, now); len(l) > 0 {
		t.ask(step, l)
	}
	return may
}

func (t *term) ask(step string, l []advice.Key) {
	ids := make([]string, 0, len(l))
	for _, k := range l {
		ids = append(ids, k.Worker)
	}
	t.group.Go(func() {
		p, err := t.l.p.Adviser.Advise(t.ctx, step, ids)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.book.Answer(step, l, p.Tickets, time.Now().Add(p.Valid), err == nil)
		t.log.WithError(err).WithFields(logrus.Fields{"step": step, "asked": len(ids), "approved": len(p.Tickets)}).Info("advice_heard")
		t.poke()
	})
}

// ticket returns the ticket that a run's start carries.
func (t *term) ticket(r *run) string {
	k, _ := t.book.Ticket(r.task.StepName(), lifeOf(r.at), time.Now())
	return k
}
