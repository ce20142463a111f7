package entry

import (
	"context"
	"sync"
	"time"

	"hemlockhinge/gang"
	"hemlockhinge/jobs"
	"hemlockhinge/wire"
)

// announced takes over what an agent says it holds of this attempt. The
// caller holds the scheduler's mu.
func (a *attempt) announced(v *wire.Announce) {
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
				w.Started = h.MayHaveRun
			}
		}
		a.words[p.Worker] = w
		if p.Worker == a.job.Parts[0].Worker && (w.LaterIncarnation || w.Phase == wire.PhaseNone) {
			a.leadGone = true
		}
	}
}

// inquire looks into the attempts whose lead is not heard, and concludes those
// that must be over.
func (s *scheduler) inquire(c context.Context) {
	s.mu.Lock()
	var l []*attempt
	for _, a := range s.attempts {
		if !a.committed.IsZero() && !a.asking && (a.leadGone || a.stop != nil || s.entry.peerOf(a.job.Parts[0].Worker) == nil) {
			a.asking = true
			l = append(l, a)
		}
	}
	s.mu.Unlock()
	for _, a := range l {
		s.group.Go(func() { a.inquire(c) })
	}
}

// inquire asks every part of the attempt, and the other entries about those
// that do not answer.
func (a *attempt) inquire(c context.Context) {
	s := a.sched
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		a.asking = false
	}()
	s.mu.Lock()
	j := a.job
	stop := a.stop != nil
	s.mu.Unlock()
	lead := a.ask(c, j)
	heard := s.entry.heardAnywhere(c, j)
	s.mu.Lock()
	w := make([]gang.PartState, 0, len(j.Parts))
	for _, p := range j.Parts {
		v := a.words[p.Worker]
		v.LastContact = heard[p.Worker]
		w = append(w, v)
	}
	a.leadGone = !lead
	f := gang.InferState(time.Now(), a.committed, w)
	s.mu.Unlock()
	if stop && f == gang.AttemptOpen {
		a.sendStop(c)
	}
	if !lead && f != gang.AttemptOpen {
		a.close(c, j, f)
	}
}

// ask queries every part, and reports whether the lead drives the attempt.
func (a *attempt) ask(c context.Context, j jobs.Job) bool {
	var w sync.WaitGroup
	lead := false
	for i, p := range j.Parts {
		v := a.sched.entry.peerOf(p.Worker)
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
			a.heard(p, m)
			if i == 0 && m.IsLead {
				lead = true
			}
		})
	}
	w.Wait()
	return lead
}

// heard takes over an answer to a query; the first time at which a part said
// that it is over counts. The caller holds the scheduler's mu.
func (a *attempt) heard(p jobs.Part, m *wire.MemberStatus) {
	o := a.words[p.Worker]
	w := gang.PartState{
		Phase:            m.Phase,
		Started:          m.MayHaveRun,
		ReportedAt:       time.Now(),
		LaterIncarnation: o.LaterIncarnation,
	}
	if o.Phase == m.Phase && !o.ReportedAt.IsZero() {
		w.ReportedAt = o.ReportedAt
	}
	a.words[p.Worker] = w
}

// close records that an attempt without a lead is over.
func (a *attempt) close(c context.Context, j jobs.Job, f gang.AttemptState) {
	s := a.sched
	r, ok := s.entry.record(j.ID)
	if !ok || old(r.Body, j.WireAttempt()) || !s.valid() {
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
	if err := s.conclude(c, r, v); err != nil {
		s.log(j.ID).WithError(err).Warn("attempt_not_concluded")
	}
}

// heardAnywhere returns when each agent of a job was last heard by this entry
// or any other. An entry that is registered but does not answer counts as
// hearing all agents now.
func (e *Entry) heardAnywhere(c context.Context, j jobs.Job) map[string]time.Time {
	n := time.Now()
	m := map[string]time.Time{}
	q := &wire.GetHeartbeatAges{}
	e.mu.Lock()
	for _, p := range j.Parts {
		q.Agents = append(q.Agents, p.Worker)
		m[p.Worker] = e.heard[p.Worker]
	}
	e.mu.Unlock()
	for _, v := range e.others() {
		r, err := e.askHeard(c, v, q)
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

func (e *Entry) askHeard(c context.Context, v live, q *wire.GetHeartbeatAges) (*wire.HeartbeatAges, error) {
	p, err := e.peer(c, v)
	if err != nil {
		return nil, err
	}
	return wire.CallFor[*wire.HeartbeatAges](c, p, q, callTimeout)
}

// peer returns a connection with another entry, dialling when there is none.
func (e *Entry) peer(c context.Context, v live) (*wire.Peer, error) {
	e.mu.Lock()
	p := e.peers[v.Wire]
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
		return nil, wire.Refuse(wire.CodeUnknown, "entries only ask on the connections that they open")
	}))
	e.mu.Lock()
	if o := e.peers[v.Wire]; o != nil {
		e.mu.Unlock()
		p.Close()
		return o, nil
	}
	e.peers[v.Wire] = p
	e.mu.Unlock()
	e.group.Go(func() {
		_ = p.Run(e.hard)
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.peers[v.Wire] == p {
			delete(e.peers, v.Wire)
		}
	})
	return p, nil
}
