package agent

import (
	"context"
	"slices"
	"strconv"
	"time"

	"hemlockhinge/gang"
	"hemlockhinge/pack"
	"hemlockhinge/wire"
)

// member is this agent's part of an attempt, with what it runs.
type member struct {
	*gang.Member
	size     pack.Size
	spec     wire.TaskSpec
	first    int
	handle   uint32
	lead     *wire.Peer
	results  map[string]wire.Result
	strikes  map[string]int
	stopping bool
}

func (m *member) taskIDs() []string {
	l := make([]string, 0, m.Tasks())
	for i := range m.Tasks() {
		l = append(l, m.taskID(i))
	}
	return l
}

func (m *member) taskID(i int) string {
	return m.Attempt().Job + "." + strconv.Itoa(m.Attempt().Number) + "." + strconv.Itoa(m.first+i)
}

// handle answers calls of entries, schedulers and other agents.
func (a *Agent) handle(c context.Context, p *wire.Peer, m wire.Message) (wire.Message, error) {
	switch v := m.(type) {
	case *wire.AgentConfig:
		a.mu.Lock()
		defer a.mu.Unlock()
		a.apply(v)
		return &wire.Ack{
			Version: a.policy.Version,
		}, nil
	case *wire.Reserve:
		return a.reserve(v)
	case *wire.CancelReservation:
		return a.dropReservation(v)
	case *wire.Prepare:
		return a.prepare(c, v)
	case *wire.Join:
		return a.join(p, v)
	case *wire.StartTasks:
		return a.release(c, v)
	case *wire.Renew:
		return a.renew(c, v)
	case *wire.MemberStatus:
		return a.memberEnded(v)
	case *wire.Checkpoint:
		return a.save(c, v)
	case *wire.Stop:
		return a.stop(v)
	case *wire.GetMemberStatus:
		return a.query(v)
	}
	return nil, wire.Refuse(wire.CodeUnknown, "an agent does not answer messages of kind %d", m.Kind())
}

func (a *Agent) renew(c context.Context, v *wire.Renew) (wire.Message, error) {
	a.mu.Lock()
	m := a.byHandle(v.Handle)
	if m == nil {
		a.mu.Unlock()
		return nil, wire.Refuse(wire.CodeUnknown, "agent %q holds no attempt by the handle %d", a.set.ID, v.Handle)
	}
	ok := m.Renew(time.Now())
	u := m.LeaseExpiry()
	r := m.Report()
	a.mu.Unlock()
	if !ok {
		return &r, nil
	}
	if err := a.ports.Worker.Renew(c, m.taskIDs(), u); err != nil {
		a.ports.Log.WithField("job", r.Attempt.Job).WithError(err).Warn("task_lease_not_renewed")
	}
	if r.Phase == wire.PhaseRunning && len(r.Results) == 0 {
		return &wire.Ack{}, nil
	}
	return &r, nil
}

// byHandle returns the member with a handle, or nil. The caller holds mu.
func (a *Agent) byHandle(h uint32) *member {
	for _, m := range a.members {
		if m.handle == h {
			return m
		}
	}
	return nil
}

// query tells what is known of an attempt. It is not fenced: a scheduler asks
// about attempts that earlier ones have begun.
func (a *Agent) query(v *wire.GetMemberStatus) (wire.Message, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.members[attemptKey{
		job:    v.Attempt.Job,
		number: v.Attempt.Number,
	}]
	if m == nil {
		return &wire.MemberStatus{
			Attempt: v.Attempt,
		}, nil
	}
	r := m.Report()
	r.IsLead = a.leads[keyOf(v.Attempt)] != nil
	return &r, nil
}

// Report describes the member with the results that are known so far.
func (m *member) Report() wire.MemberStatus {
	r := m.Member.Report()
	r.FirstTask = m.first
	r.Results = m.list()
	return r
}

func (m *member) list() []wire.Result {
	l := make([]wire.Result, 0, len(m.results))
	for _, r := range m.results {
		l = append(l, r)
	}
	slices.SortFunc(l, func(a, b wire.Result) int { return a.Task - b.Task })
	return l
}
