package leader

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/advice"
	"hemlockhinge/graph"
)

// adviceMargin is the part of a ticket's validity that is reserved for the start to
// reach the worker.
const adviceMargin = 300 * time.Millisecond

// Approval is an adviser's answer for a step: the tickets of the workers that may run
// it, by worker ID, and how long they are valid.
type Approval struct {
	Tickets  map[string]string
	ValidFor time.Duration
}

// Adviser queries the service that knows which workers may run a step.
type Adviser interface {
	Advise(c context.Context, step string, workers []string) (Approval, error)
}

// incarnationOf returns the key of the current incarnation of the agent's worker.
func incarnationOf(m *agentState) advice.WorkerIncarnation {
	return advice.WorkerIncarnation{
		Worker:      m.worker.ID,
		Incarnation: m.worker.Born,
	}
}

// approvedWorkers returns the indexes of the workers that are approved for a task's
// step, and asks the adviser about those without a valid answer; t.mu is held.
func (t *term) approvedWorkers(k graph.Task, agents []*agentState, now time.Time) map[int]bool {
	step := k.StepName()
	var candidates []advice.WorkerIncarnation
	approved := map[int]bool{}
	for i, m := range agents {
		if !m.worker.Known || m.worker.Gone {
			continue
		}
		candidates = append(candidates, incarnationOf(m))
		if _, ok := t.approvals.Ticket(step, incarnationOf(m), now.Add(adviceMargin)); ok {
			approved[i] = true
		}
	}
	if l := t.approvals.WorkersToAsk(step, candidates, now); len(l) > 0 {
		t.requestAdvice(step, l)
	}
	return approved
}

func (t *term) requestAdvice(step string, l []advice.WorkerIncarnation) {
	ids := make([]string, 0, len(l))
	for _, k := range l {
		ids = append(ids, k.Worker)
	}
	t.goroutines.Go(func() {
		p, err := t.leader.ports.Adviser.Advise(t.ctx, step, ids)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.approvals.RecordAnswer(step, l, p.Tickets, time.Now().Add(p.ValidFor), err == nil)
		t.log.WithError(err).WithFields(logrus.Fields{"step": step, "asked": len(ids), "approved": len(p.Tickets)}).Info("advice_received")
		t.requestPass()
	})
}

// ticket returns the ticket that is sent with the start of a run.
func (t *term) ticket(r *run) string {
	k, _ := t.approvals.Ticket(r.task.StepName(), incarnationOf(r.agent), time.Now())
	return k
}
