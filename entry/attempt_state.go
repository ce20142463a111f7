package entry

import (
	"context"
	"sync"
	"time"

	"hemlockhinge/gang"
	"hemlockhinge/jobs"
	"hemlockhinge/wire"
)

// applyAnnounce records what an agent's announcement says about its part of this
// attempt. The lead counts as lost if its agent has restarted or does not know the
// attempt. The caller holds the scheduler's mu.
func (a *attempt) applyAnnounce(v *wire.Announce) {
	for _, p := range a.job.Parts {
		if p.Worker != v.Agent {
			continue
		}
		w := gang.PartState{
			Phase:            wire.PhaseNone,
			ReportedAt:       time.Now(),
			LaterIncarnation: v.Incarnation != p.Incarnation,
		}
		for _, h := range v.Members {
			if h.Attempt.Same(a.job.WireAttempt()) {
				w.Phase = h.Phase
				w.MayHaveRun = h.MayHaveRun
			}
		}
		a.partStates[p.Worker] = w
		if p.Worker == a.job.Parts[0].Worker && (w.LaterIncarnation || w.Phase == wire.PhaseNone) {
			a.leadLost = true
		}
	}
}

// checkAttempts starts a check of each committed attempt that is being stopped, or
// whose lead is lost or not connected.
func (s *scheduler) checkAttempts(c context.Context) {
	s.mu.Lock()
	var l []*attempt
	for _, a := range s.attempts {
		if !a.committedAt.IsZero() && !a.checking && (a.leadLost || a.stopOrder != nil || s.entry.agentPeer(a.job.Parts[0].Worker) == nil) {
			a.checking = true
			l = append(l, a)
		}
	}
	s.mu.Unlock()
	for _, a := range l {
		s.group.Go(func() { a.check(c) })
	}
}

// check queries the agents of all parts, and all other entries for their last
// contact with these agents, and infers from this whether the attempt is over. If no
// lead reports the attempt, check records its end. A requested stop is sent again
// while the attempt may be running.
func (a *attempt) check(c context.Context) {
	s := a.sched
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		a.checking = false
	}()
	s.mu.Lock()
	j := a.job
	stop := a.stopOrder != nil
	s.mu.Unlock()
	lead := a.queryParts(c, j)
	contacts := s.entry.lastContacts(c, j)
	s.mu.Lock()
	w := make([]gang.PartState, 0, len(j.Parts))
	for _, p := range j.Parts {
		v := a.partStates[p.Worker]
		v.LastContact = contacts[p.Worker]
		w = append(w, v)
	}
	a.leadLost = !lead
	f := gang.InferState(time.Now(), a.committedAt, w)
	s.mu.Unlock()
	if stop && f == gang.AttemptOpen {
		a.sendStop(c)
	}
	if !lead && f != gang.AttemptOpen {
		a.recordEndWithoutLead(c, j, f)
	}
}

// queryParts gets the status of every part from its agent, and reports whether the
// agent of the first part answered that it leads the attempt.
func (a *attempt) queryParts(c context.Context, j jobs.Job) bool {
	var w sync.WaitGroup
	lead := false
	for i, p := range j.Parts {
		v := a.sched.entry.agentPeer(p.Worker)
		if v == nil {
			continue
		}
		t := j.WireAttempt()
		w.Go(func() {
			m, err := wire.CallFor[*wire.MemberStatus](c, v, &wire.GetMemberStatus{Attempt: t}, callTimeout)
			if err != nil {
				return
			}
			a.sched.mu.Lock()
			defer a.sched.mu.Unlock()
			a.recordStatus(p, m)
			if i == 0 && m.IsLead {
				lead = true
			}
		})
	}
	w.Wait()
	return lead
}

// recordStatus records the status of a part. If the phase is unchanged, the time of
// the first report of it is kept: gang.InferState counts from the time at which a
// part was first reported to have ended. The caller holds the scheduler's mu.
func (a *attempt) recordStatus(p jobs.Part, m *wire.MemberStatus) {
	o := a.partStates[p.Worker]
	w := gang.PartState{
		Phase:            m.Phase,
		MayHaveRun:       m.MayHaveRun,
		ReportedAt:       time.Now(),
		LaterIncarnation: o.LaterIncarnation,
	}
	if o.Phase == m.Phase && !o.ReportedAt.IsZero() {
		w.ReportedAt = o.ReportedAt
	}
	a.partStates[p.Worker] = w
}

// recordEndWithoutLead records the end of an attempt that has no lead to report it.
func (a *attempt) recordEndWithoutLead(c context.Context, j jobs.Job, f gang.AttemptState) {
	s := a.sched
	r, ok := s.entry.cachedRecord(j.ID)
	if !ok || pastAttempt(r.Body, j.WireAttempt()) || !s.holdsLease() {
		return
	}
	v := &wire.AttemptReport{
		Attempt: j.WireAttempt(),
		Outcome: wire.OutcomePartial,
		Detail:  "the gang's lead was lost",
	}
	if f == gang.AttemptNotRun {
		v.Outcome = wire.OutcomeNotRun
	}
	if err := s.recordAttemptEnd(c, r, v); err != nil {
		s.log(j.ID).WithError(err).Warn("attempt_end_not_recorded")
	}
}

// lastContacts returns, for each agent of a job, when this entry or any other last
// received a message from it. A registered entry that does not answer may be in
// contact with any agent, so for all of them the current time is returned.
func (e *Entry) lastContacts(c context.Context, j jobs.Job) map[string]time.Time {
	n := time.Now()
	m := map[string]time.Time{}
	q := &wire.GetHeartbeatAges{}
	e.mu.Lock()
	for _, p := range j.Parts {
		q.Agents = append(q.Agents, p.Worker)
		m[p.Worker] = e.lastContact[p.Worker]
	}
	e.mu.Unlock()
	for _, v := range e.otherEntries() {
		r, err := e.getHeartbeatAges(c, v, q)
		for i, a := range q.Agents {
			t := n
			if err == nil && i < len(r.MS) {
				t = time.Time{}
				if r.MS[i] >= 0 {
					t = n.Add(-time.Duration(r.MS[i]) * time.Millisecond)
				}
			}
			if t.After(m[a]) {
				m[a] = t
			}
		}
	}
	return m
}

func (e *Entry) getHeartbeatAges(c context.Context, v registration, q *wire.GetHeartbeatAges) (*wire.HeartbeatAges, error) {
	p, err := e.entryPeer(c, v)
	if err != nil {
		return nil, err
	}
	return wire.CallFor[*wire.HeartbeatAges](c, p, q, callTimeout)
}

// entryPeer returns the connection to another entry, and opens one if there is none.
func (e *Entry) entryPeer(c context.Context, v registration) (*wire.Peer, error) {
	e.mu.Lock()
	p := e.entryPeers[v.Wire]
	e.mu.Unlock()
	if p != nil {
		return p, nil
	}
	c, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	n, err := e.ports.Net.Dial(c, v.Wire)
	if err != nil {
		return nil, err
	}
	p = wire.NewPeer(n, wire.HandlerFunc(func(context.Context, *wire.Peer, wire.Message) (wire.Message, error) {
		return nil, wire.Refuse(wire.CodeUnknown, "an entry accepts no calls on a connection that it opened")
	}))
	e.mu.Lock()
	if o := e.entryPeers[v.Wire]; o != nil {
		e.mu.Unlock()
		p.Close()
		return o, nil
	}
	e.entryPeers[v.Wire] = p
	e.mu.Unlock()
	e.group.Go(func() {
		_ = p.Run(e.runContext)
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.entryPeers[v.Wire] == p {
			delete(e.entryPeers, v.Wire)
		}
	})
	return p, nil
}
