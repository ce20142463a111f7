package leader

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/fence"
	"hemlockhinge/graph"
	"hemlockhinge/pause"
	"hemlockhinge/store"
	"hemlockhinge/wire"
)

// Time limits of a session with an agent.
const (
	dialTimeout  = 400 * time.Millisecond
	leadTimeout  = 600 * time.Millisecond
	pingInterval = 500 * time.Millisecond
	pingTimeout  = 800 * time.Millisecond
	redialPause  = 150 * time.Millisecond
	silenceSlack = 500 * time.Millisecond
)

// pendingEnd is an end whose effect may not be in the store yet.
type pendingEnd struct {
	n       int64
	job     *job
	version uint64
}

// member is one agent and its worker, as the scheduler knows them.
type member struct {
	addr   string
	cancel context.CancelFunc
	redial chan struct{}
	// lost means that the loss of the agent is logged already.
	lost bool

	peer  *wire.Peer
	seq   uint64
	facts wire.WorkerFacts
	// known is false until the agent has reported in this term all that may
	// run at its worker.
	known bool
	// open means that the worker answers its agent, and takes tasks.
	open bool
	// heard is when the agent was last in contact for certain.
	heard time.Time
	runs  map[graph.Task]*run
	// alien are runs at the worker that should not be there, with their sizes.
	alien map[graph.Task]alien
	// seen numbers the last end that was taken in, safe the last that is
	// recorded, and noted the last that the agent was told to forget.
	seen  int64
	ends  []pendingEnd
	safe  int64
	noted int64
	// echo is the newest of the agent's steady clock that was heard.
	echo  int64
	wall  time.Duration
	clock bool
	judge judge
}

// alien is a run that should not be at a worker.
type alien struct {
	attempt  int
	size     graph.Size
	haltedAt time.Time
}

// applyAgent takes in an agent's registration; t.mu is held.
func (t *term) applyAgent(addr string, i store.Item) {
	m := t.members[addr]
	if i.Deleted {
		if m != nil {
			m.cancel()
			delete(t.members, addr)
			for _, r := range m.runs {
				t.vanished(m, r)
			}
		}
		return
	}
	if m != nil {
		pause.Wake(m.redial)
		return
	}
	c, cancel := context.WithCancel(t.ctx)
	m = &member{
		addr:   addr,
		cancel: cancel,
		redial: make(chan struct{}, 1),
		heard:  time.Now(),
		runs:   map[graph.Task]*run{},
		alien:  map[graph.Task]alien{},
	}
	t.members[addr] = m
	t.group.Go(func() { t.follow(c, m) })
}

// follow keeps a session with an agent until c ends.
func (t *term) follow(c context.Context, m *member) {
	select {
	case <-c.Done():
		return
	case <-t.ready:
	}
	for c.Err() == nil {
		if err := t.session(c, m); err != nil && c.Err() == nil && !m.lost {
			m.lost = true
			t.log.WithError(err).WithField("agent", m.addr).Info("agent_lost")
		}
		select {
		case <-c.Done():
		case <-m.redial:
		case <-time.After(redialPause):
		}
	}
}

// session is one connection to an agent.
func (t *term) session(c context.Context, m *member) error {
	c, cancel := context.WithCancel(c)
	defer cancel()
	d, stop := context.WithTimeout(c, dialTimeout)
	n, err := t.l.p.Net.Dial(d, m.addr)
	stop()
	if err != nil {
		return err
	}
	p := wire.NewPeer(n, wire.HandlerFunc(func(_ context.Context, _ *wire.Peer, v wire.Message) (wire.Message, error) {
		if s, ok := v.(*wire.Standing); ok {
			t.hear(m, s, false)
		}
		return nil, nil
	}))
	t.group.Go(func() { _ = p.Run(c) })
	defer p.Close()
	s, err := wire.CallFor[*wire.Standing](c, p, t.nextLead(), leadTimeout)
	if err != nil {
		t.deposedBy(err)
		return err
	}
	t.open(m, p, s)
	defer t.closed(m, p)
	return t.pings(c, m, p)
}

func (t *term) nextLead() *wire.Lead {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sessions++
	return &wire.Lead{
		Epoch:   t.grip.epoch,
		Session: t.sessions,
		Leader:  t.l.s.ID,
	}
}

// deposedBy ends the term when an agent obeys a later one.
func (t *term) deposedBy(err error) {
	var f *wire.RefusedError
	if errors.As(err, &f) && f.Code == wire.CodeStale && f.Epoch > t.grip.epoch {
		t.log.WithField("by", f.Epoch).Warn("later_term_seen")
		t.end()
	}
}

func (t *term) open(m *member, p *wire.Peer, s *wire.Standing) {
	m.lost = false
	t.mu.Lock()
	m.peer = p
	m.seq = 0
	m.noted = 0
	m.heard = time.Now()
	m.echo = s.AgentMS
	for _, r := range m.runs {
		// The standings of a session that begins know all starts before it.
		r.seq = 0
		if r.phase == launching {
			r.doubt = true
		}
	}
	t.mu.Unlock()
	t.log.WithFields(logrus.Fields{"agent": m.addr, "node": s.Node, "worker": s.Worker.ID, "runs": len(s.Runs), "ends": len(s.Ends)}).Info("agent_found")
	t.hear(m, s, true)
}

func (t *term) closed(m *member, p *wire.Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.peer == p {
		m.peer = nil
	}
}

// pings keep the contact with an agent until it is lost.
func (t *term) pings(c context.Context, m *member, p *wire.Peer) error {
	for wait := time.Duration(0); pause.For(c, wait); wait = pingInterval {
		asked := time.Now()
		t.mu.Lock()
		v := &wire.Ping{
			EchoMS: m.echo,
		}
		t.mu.Unlock()
		r, err := wire.CallFor[*wire.Pong](c, p, v, pingTimeout)
		if err != nil {
			t.deposedBy(err)
			return err
		}
		t.mu.Lock()
		m.heard = time.Now()
		m.echo = max(m.echo, r.AgentMS)
		m.wall = time.UnixMilli(r.WallMS).Sub(t.steady(asked))
		m.clock = true
		t.mu.Unlock()
	}
	return c.Err()
}

// over reports whether the worker of a silent agent has certainly ended all
// that it ran: the agent renews leases only while it hears a scheduler.
func (t *term) over(m *member, now time.Time) bool {
	limit := time.Duration(float64(t.l.s.Tolerance)*(1+fence.ClockDrift)) + silenceSlack
	return m.peer == nil && now.Sub(m.heard) > limit
}

// hear takes in an agent's standing.
func (t *term) hear(m *member, s *wire.Standing, first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Seq < m.seq || (s.Seq == m.seq && !first) {
		return
	}
	m.seq = s.Seq
	m.echo = max(m.echo, s.AgentMS)
	t.hearFacts(m, s)
	if s.Worker.Known {
		for _, e := range s.Ends {
			t.hearEnd(m, e)
		}
	}
	listed := map[graph.Task]bool{}
	for _, v := range s.Runs {
		if k, err := graph.ParseTask(v.Task); err == nil {
			listed[k] = true
			t.hearRun(m, k, v)
		}
	}
	m.open = s.Settled && !s.Vacant
	if s.Vacant || (s.Settled && s.Worker.Known) {
		m.known = true
		t.dropUnlisted(m, s.Seq, listed)
	}
	m.noteEnds()
	t.poke()
}

// dropUnlisted takes in that runs are over which an agent does not list. Only an
// agent that has settled all its orders and has heard its worker, or whose worker's
// leases have all run out, can tell.
func (t *term) dropUnlisted(m *member, seq uint64, listed map[graph.Task]bool) {
	for k := range m.alien {
		if !listed[k] {
			delete(m.alien, k)
		}
	}
	for k, r := range m.runs {
		if !listed[k] && (r.doubt || (r.phase == running && seq >= r.seq)) {
			t.vanished(m, r)
		}
	}
}

func (t *term) hearFacts(m *member, s *wire.Standing) {
	w := s.Worker
	if !w.Known {
		m.facts.Known = false
		return
	}
	if w.Born != m.facts.Born {
		m.seen = 0
		m.safe = 0
		m.noted = 0
		m.ends = nil
		m.judge = judge{}
	}
	m.facts = w
}

// hearRun takes in one run that an agent reports.
func (t *term) hearRun(m *member, k graph.Task, v wire.RunState) {
	j := t.jobs[k.Job]
	if j == nil {
		t.estrange(m, k, v, graph.Size{})
		return
	}
	if k.Step >= len(j.Steps) {
		return
	}
	z := j.Steps[k.Step].Size
	r := j.runs[k]
	if p := j.prog.Of(j.Job, k); r == nil && p != nil && !p.Done && j.live() {
		r = t.adopt(j, m, k, v)
	}
	if r == nil || r.at != m || r.attempt != v.Attempt {
		t.estrange(m, k, v, z)
		return
	}
	r.saved = v.Saved
	r.pace.see(v.Percent, time.Now())
	if r.doubt && !v.Uncertain {
		r.doubt = false
		r.phase = running
	}
	if p := j.prog.Of(j.Job, k); p != nil {
		p.Attempt = max(p.Attempt, v.Attempt)
		if v.Saved != "" {
			p.Saved = v.Saved
		}
	}
}

// adopt takes over a run that an earlier term has started.
func (t *term) adopt(j *job, m *member, k graph.Task, v wire.RunState) *run {
	r := &run{
		task:    k,
		attempt: v.Attempt,
		at:      m,
		size:    j.Steps[k.Step].Size,
		phase:   running,
		begun:   time.Now(),
	}
	j.runs[k] = r
	m.runs[k] = r
	j.begin()
	t.log.WithFields(logrus.Fields{"task": k.String(), "attempt": v.Attempt, "agent": m.addr}).Info("run_found")
	return r
}

// estrange notes a run that should not be there; it is stopped.
func (t *term) estrange(m *member, k graph.Task, v wire.RunState, z graph.Size) {
	a, old := m.alien[k]
	if !old {
		t.log.WithFields(logrus.Fields{"task": v.Task, "attempt": v.Attempt, "agent": m.addr}).Warn("run_unexpected")
	}
	a.attempt = v.Attempt
	a.size = z
	m.alien[k] = a
}

// hearEnd takes in one end that an agent reports.
func (t *term) hearEnd(m *member, e wire.EndState) {
	if e.N <= m.seen {
		return
	}
	m.seen = e.N
	k, err := graph.ParseTask(e.Task)
	j := t.jobs[k.Job]
	if err != nil || j == nil {
		m.ends = append(m.ends, pendingEnd{
			n: e.N,
		})
		return
	}
	t.ended(j, m, graph.End{
		Task:    k,
		Attempt: e.Attempt,
		How:     graph.How(e.How),
		Saved:   e.Saved,
	})
	m.ends = append(m.ends, pendingEnd{
		n:       e.N,
		job:     j,
		version: j.version,
	})
}

// ended takes note of the end of a run.
func (t *term) ended(j *job, m *member, e graph.End) {
	if r := j.runs[e.Task]; r != nil && r.attempt == e.Attempt {
		delete(j.runs, e.Task)
		delete(r.at.runs, e.Task)
		m.judge.end(e, time.Now())
		if e.How == graph.Done && r.saved == "" {
			t.learn(j, time.Since(r.begun))
		}
	}
	attempts := j.MaxAttempts
	if q := t.queue(j); q != nil {
		attempts = q.MaxAttempts
	}
	f := logrus.Fields{"task": e.Task.String(), "attempt": e.Attempt, "how": e.How, "agent": m.addr}
	if !j.prog.Ended(j.Job, e, attempts) {
		t.log.WithFields(f).Info("run_ended")
		return
	}
	j.version++
	if j.prog.State.Final() {
		pause.Wake(t.save)
	}
	f["state"] = j.prog.State
	t.log.WithFields(f).Info("run_ended")
}

// vanished notes that a run is over without an end that was listed.
func (t *term) vanished(m *member, r *run) {
	delete(m.runs, r.task)
	j := t.jobs[r.task.Job]
	if j == nil || j.runs[r.task] != r {
		return
	}
	delete(j.runs, r.task)
	t.log.WithFields(logrus.Fields{"task": r.task.String(), "attempt": r.attempt, "agent": m.addr}).Info("run_lost")
	t.poke()
}

// noteEnds lets the worker forget the ends that are recorded; t.mu is held.
func (m *member) noteEnds() {
	for len(m.ends) > 0 {
		e := m.ends[0]
		if e.job != nil && e.job.stored < e.version {
			break
		}
		m.safe = e.n
		m.ends = m.ends[1:]
	}
	if m.safe <= m.noted || m.peer == nil {
		return
	}
	m.noted = m.safe
	p := m.peer
	v := &wire.Noted{
		Born:    m.facts.Born,
		Through: m.safe,
	}
	go func() {
		if err := p.Conn().Send(v); err != nil {
			p.Close()
		}
	}()
}
