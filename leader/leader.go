// Package leader is the scheduler: a role that one entry holds at a time, under
// a lease in the store.
//
// A holder's term begins with the revision of the write that took the role, its
// epoch. In its term it follows the jobs, cancellations and agents that others
// register in the store, keeps a session with each agent, decides which tasks
// start where, and alone writes the progress of jobs, under the condition that
// its role still stands. What runs is known from the agents: each reports all
// that its worker runs, and obeys the newest epoch only. Starts are therefore
// not recorded in the store, and go on while it is away.
//
// # Usage
//
//	l := leader.New(leader.Ports{Net: wire.TCP{}, Store: s, Log: log}, settings)
//	go l.Run(ctx)
//	state, err := l.State(ctx, id)
package leader

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/graph"
	"hemlockhinge/meter"
	"hemlockhinge/policy"
	"hemlockhinge/store"
	"hemlockhinge/wire"
)

// Ports of a scheduler.
type Ports struct {
	Net   wire.Network
	Store store.Committer
	// Adviser may be nil where no queue needs one.
	Adviser Adviser
	Log     *logrus.Entry
	Meter   *meter.Meter
	Wall    func() time.Time
}

// Settings of a scheduler.
type Settings struct {
	// ID names the process and Addr is where other processes reach it.
	ID   string
	Addr string
	// Tolerance is how long a silent agent's tasks may run on.
	Tolerance time.Duration
	// StopTime is how long a stop takes at most.
	StopTime time.Duration
	// Reclaim is when a claim must have begun; zero means no bound.
	Reclaim time.Duration
	// Kept is how long an ended job is shown.
	Kept time.Duration
}

// Objects is what operators ask for: the configuration, nil before the first
// one, and the failure domains that are out.
type Objects struct {
	Config *policy.Config
	Out    map[string]bool
}

// NotLeaderError says that this process does not hold the scheduler's role, and
// where the last known holder is.
type NotLeaderError struct {
	Holder string
	Addr   string
}

func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("this process is not the scheduler; %q at %q is", e.Holder, e.Addr)
}

// Leader is the scheduler's role in one process: a candidate, or its holder.
type Leader struct {
	p    Ports
	s    Settings
	role *Role
	stop chan struct{}
	once sync.Once

	mu      sync.Mutex
	objects Objects
	term    *term
}

// New returns a candidate; Run must be called.
func New(p Ports, s Settings) *Leader {
	if p.Wall == nil {
		p.Wall = time.Now
	}
	return &Leader{
		p:    p,
		s:    s,
		stop: make(chan struct{}),
		role: &Role{
			store: p.Store,
			log:   p.Log,
			me: holder{
				ID:   s.ID,
				Addr: s.Addr,
			},
		},
	}
}

// Role returns the role as this process sees it.
func (l *Leader) Role() *Role { return l.role }

// SetObjects notes what the operators ask for.
func (l *Leader) SetObjects(o Objects) {
	l.mu.Lock()
	l.objects = o
	t := l.term
	l.mu.Unlock()
	if t != nil {
		t.poke()
	}
}

func (l *Leader) current() Objects {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.objects
}

// Resign gives the role up for good, before a planned end of the process.
func (l *Leader) Resign() { l.once.Do(func() { close(l.stop) }) }

// Run campaigns for the role, and schedules whenever it holds it, until c ends
// or Resign is called.
func (l *Leader) Run(c context.Context) {
	c, cancel := context.WithCancel(c)
	defer cancel()
	go func() {
		select {
		case <-l.stop:
			cancel()
		case <-c.Done():
		}
	}()
	for c.Err() == nil {
		g, err := l.role.campaign(c)
		if err != nil {
			return
		}
		l.serve(c, g)
	}
}

// serve holds one term.
func (l *Leader) serve(c context.Context, g grip) {
	l.p.Log.WithField("epoch", g.epoch).Info("term_begun")
	t := newTerm(l, g)
	u, cancel := context.WithCancel(c)
	l.mu.Lock()
	l.term = t
	l.mu.Unlock()
	var w sync.WaitGroup
	w.Go(func() {
		defer cancel()
		l.role.keep(u, g)
	})
	t.run(u, cancel)
	cancel()
	w.Wait()
	l.mu.Lock()
	l.term = nil
	l.mu.Unlock()
	if c.Err() != nil {
		l.hand(t, g)
	}
	l.p.Log.WithField("epoch", g.epoch).Info("term_ended")
}

// hand records what is not recorded yet and gives the role up.
func (l *Leader) hand(t *term, g grip) {
	c, cancel := context.WithTimeout(context.Background(), handTimeout)
	defer cancel()
	if err := t.flush(c); err != nil {
		l.p.Log.WithError(err).Warn("last_flush_failed")
	}
	l.role.leave(c, g)
}

func (l *Leader) held() (*term, error) {
	l.mu.Lock()
	t := l.term
	l.mu.Unlock()
	if t == nil || !t.loaded() {
		h, a := l.role.Holder()
		return nil, &NotLeaderError{
			Holder: h,
			Addr:   a,
		}
	}
	return t, nil
}

// State returns where a job stands and its queue; the state is empty when the
// scheduler does not know the job. Without the role it returns *NotLeaderError.
func (l *Leader) State(id string) (graph.State, string, error) {
	t, err := l.held()
	if err != nil {
		return "", "", err
	}
	s, q := t.state(id)
	return s, q, nil
}

// Pending returns how many jobs of a queue have not begun. Without the role it
// returns *NotLeaderError.
func (l *Leader) Pending(queue string) (int, error) {
	t, err := l.held()
	if err != nil {
		return 0, err
	}
	return t.pending(queue), nil
}

// Handle implements wire.Handler for the calls of other entries.
func (l *Leader) Handle(_ context.Context, _ *wire.Peer, m wire.Message) (wire.Message, error) {
	switch v := m.(type) {
	case *wire.AskState:
		s, q, err := l.State(v.Job)
		if err != nil {
			return nil, wire.Refuse(wire.CodeMoved, "%v", err)
		}
		return &wire.JobState{
			State: string(s),
			Queue: q,
		}, nil
	case *wire.AskPending:
		n, err := l.Pending(v.Queue)
		if err != nil {
			return nil, wire.Refuse(wire.CodeMoved, "%v", err)
		}
		return &wire.Pending{
			Count: n,
		}, nil
	}
	return nil, wire.Refuse(wire.CodeUnknown, "scheduler takes no message of kind %d", m.Kind())
}
