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

// member is this agent's part of an attempt: the state of the gang protocol, and the tasks
// that it runs.
type member struct {
	*gang.Member
	// taskSize is the declared size of each task.
	taskSize pack.Size
	spec     wire.TaskSpec
	// firstTask is the number of the first task of this part within the attempt.
	firstTask int
	handle    uint32
	// leadPeer is the connection to the lead, or nil if this agent leads.
	leadPeer *wire.Peer
	results  map[string]wire.Result
	// overuseReports counts, by task id, how often a task was seen to use more than it
	// declared.
	overuseReports map[string]int
	// stopping is set once stopMember has begun to stop the tasks.
	stopping bool
}

func (m *member) taskIDs() []string {
	l := make([]string, 0, m.Tasks())
	for i := range m.Tasks() {
		l = append(l, m.taskID(i))
	}
	return l
}

// taskID returns the id that the worker knows a task by, which is unique among attempts.
func (m *member) taskID(i int) string {
	return m.Attempt().Job + "." + strconv.Itoa(m.Attempt().Number) + "." + strconv.Itoa(m.firstTask+i)
}

// handle dispatches calls of entries, schedulers and other agents.
func (a *Agent) handle(c context.Context, p *wire.Peer, m wire.Message) (wire.Message, error) {
	switch v := m.(type) {
	case *wire.AgentConfig:
		a.mu.Lock()
		defer a.mu.Unlock()
		a.applyConfig(v)
		return &wire.Ack{
			Version: a.config.Version,
		}, nil
	case *wire.Reserve:
		return a.handleReserve(v)
	case *wire.CancelReservation:
		return a.handleCancelReservation(v)
	case *wire.Prepare:
		return a.handlePrepare(c, v)
	case *wire.Join:
		return a.handleJoin(p, v)
	case *wire.StartTasks:
		return a.handleStartTasks(c, v)
	case *wire.Renew:
		return a.handleRenew(c, v)
	case *wire.MemberStatus:
		return a.handleMemberStatus(v)
	case *wire.Checkpoint:
		return a.handleCheckpoint(c, v)
	case *wire.Stop:
		return a.handleStop(v)
	case *wire.GetMemberStatus:
		return a.handleGetMemberStatus(v)
	}
	return nil, wire.Refuse(wire.CodeUnknown, "agent does not handle messages of kind %d", m.Kind())
}

// handleRenew renews the lease of a member and of its tasks at the worker. It answers with
// an Ack while all tasks run, and with the member's status otherwise.
func (a *Agent) handleRenew(c context.Context, v *wire.Renew) (wire.Message, error) {
	a.mu.Lock()
	m := a.memberByHandle(v.Handle)
	if m == nil {
		a.mu.Unlock()
		return nil, wire.Refuse(wire.CodeUnknown, "agent %q has no attempt with handle %d", a.settings.ID, v.Handle)
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

// memberByHandle returns the member with a handle, or nil. The caller holds mu.
func (a *Agent) memberByHandle(h uint32) *member {
	for _, m := range a.members {
		if m.handle == h {
			return m
		}
	}
	return nil
}

// handleGetMemberStatus returns the status of an attempt. It does not check the epoch,
// since a scheduler also asks about attempts that earlier schedulers have begun.
func (a *Agent) handleGetMemberStatus(v *wire.GetMemberStatus) (wire.Message, error) {
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

// Report returns the member's status with the results that are known so far.
func (m *member) Report() wire.MemberStatus {
	r := m.Member.Report()
	r.FirstTask = m.firstTask
	r.Results = m.sortedResults()
	return r
}

// sortedResults returns the results that are known so far, in the order of the tasks.
func (m *member) sortedResults() []wire.Result {
	l := make([]wire.Result, 0, len(m.results))
	for _, r := range m.results {
		l = append(l, r)
	}
	slices.SortFunc(l, func(a, b wire.Result) int { return a.Task - b.Task })
	return l
}
