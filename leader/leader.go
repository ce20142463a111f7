// Package leader implements the scheduler, a role that one entry at a time holds
// under a lease in the store.
//
// A term begins when an entry acquires the role; the store revision of that write
// is the term's epoch. During its term the scheduler watches the jobs, cancellations
// and agents that other processes register in the store, keeps a session with each
// agent and decides which tasks start where. It alone writes the progress of jobs,
// and each of these writes requires that the role key is unchanged. What runs is
// known from the agents: each reports all that its worker runs, and obeys the newest
// epoch only. Starts are therefore not recorded in the store, and continue while the
// store is unreachable.
//
// # Usage
//
//	l := leader.New(leader.Ports{Net: wire.TCP{}, Store: s, Log: log}, settings)
//	go l.Run(ctx)
//	info, err := l.Job(id)
package leader

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/clock"
	"hemlockhinge/graph"
	"hemlockhinge/meter"
	"hemlockhinge/pause"
	"hemlockhinge/policy"
	"hemlockhinge/store"
	"hemlockhinge/wire"
)

// Ports are the dependencies of a scheduler.
type Ports struct {
	Net   wire.Network
	Store store.Committer
	// Adviser may be nil if no queue needs approval of its workers.
	Adviser   Adviser
	Log       *logrus.Entry
	Meter     *meter.Meter
	WallClock func() time.Time
	// Clock dates what was confirmed.
	Clock clock.Clock
	// Candidates returns how many other candidates for the role there are, and how many
	// of them have more processor capacity; nil if there are none.
	Candidates func() (others, larger int)
}

// Settings configure a scheduler.
type Settings struct {
	// ID names the process. Addr is the address at which other processes reach it.
	ID   string
	Addr string
	// SilenceTolerance is how long the tasks of an agent without contact to a scheduler
	// may keep running.
	SilenceTolerance time.Duration
	// MaxStopTime is the upper bound of the time that stopping a task takes.
	MaxStopTime time.Duration
	// ReclaimTimeout is the time within which a job that is covered by its customer's
	// guarantee must be started; zero means no bound.
	ReclaimTimeout time.Duration
	// JobRetention is the minimum time for which an ended job stays visible.
	JobRetention time.Duration
	// MaxSettingsAge is how long after the operators' settings were last confirmed tasks
	// are started; zero means that there is no limit.
	MaxSettingsAge time.Duration
	// Order is OrderByAge or OrderByCost; empty is OrderByAge.
	Order string
	// CampaignDelay is how long after Run is called the first campaign begins.
	CampaignDelay time.Duration
}

// OperatorSettings are the settings that operators change at run time: the configuration,
// nil until the first one is received, and the failure domains that are out of
// service. All changes that were made before ConfirmedAt are included.
type OperatorSettings struct {
	Config       *policy.Config
	OutOfService map[string]bool
	ConfirmedAt  clock.Time
}

// NotLeaderError reports that this process does not hold the scheduler's role. It
// contains the ID and the address of the last known holder.
type NotLeaderError struct {
	Holder string
	Addr   string
}

func (e *NotLeaderError) Error() string {
	return fmt.Sprintf("this process is not the scheduler; the last known scheduler is %q at %q", e.Holder, e.Addr)
}

// Leader takes part in the election of the scheduler, and schedules while it holds
// the role.
type Leader struct {
	ports      Ports
	settings   Settings
	role       *Role
	resigned   chan struct{}
	resignOnce sync.Once

	mu               sync.Mutex
	operatorSettings OperatorSettings
	term             *term
}

// New returns a candidate for the role, which takes part in the election once Run is
// called.
func New(p Ports, s Settings) *Leader {
	if p.WallClock == nil {
		p.WallClock = time.Now
	}
	if p.Candidates == nil {
		p.Candidates = func() (others, larger int) { return 0, 0 }
	}
	return &Leader{
		ports:    p,
		settings: s,
		resigned: make(chan struct{}),
		role: &Role{
			store:      p.Store,
			log:        p.Log,
			candidates: p.Candidates,
			clock:      p.Clock,
			self: holder{
				ID:   s.ID,
				Addr: s.Addr,
			},
		},
	}
}

// Role returns the state of the election as this process knows it.
func (l *Leader) Role() *Role { return l.role }

// SetOperatorSettings replaces the operators' settings; they apply from the next scheduling
// pass.
func (l *Leader) SetOperatorSettings(o OperatorSettings) {
	l.mu.Lock()
	l.operatorSettings = o
	t := l.term
	l.mu.Unlock()
	if t != nil {
		t.requestPass()
	}
}

// settingsAge returns how long ago settings were confirmed.
func (l *Leader) settingsAge(o OperatorSettings) time.Duration {
	return l.ports.Clock.Since(o.ConfirmedAt)
}

func (l *Leader) currentOperatorSettings() OperatorSettings {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.operatorSettings
}

// Resign makes Run release the role and return. It is called before a planned exit of
// the process.
func (l *Leader) Resign() { l.resignOnce.Do(func() { close(l.resigned) }) }

// Run campaigns for the role, and schedules whenever it holds the role, until c ends
// or Resign is called.
func (l *Leader) Run(c context.Context) {
	c, cancel := context.WithCancel(c)
	defer cancel()
	go func() {
		select {
		case <-l.resigned:
			cancel()
		case <-c.Done():
		}
	}()
	pause.For(c, l.settings.CampaignDelay)
	for c.Err() == nil {
		g, err := l.role.campaign(c)
		if err != nil {
			return
		}
		l.runTerm(c, g)
	}
}

// runTerm schedules until the role is lost or c ends. In the latter case it hands the
// role over.
func (l *Leader) runTerm(c context.Context, g leadership) {
	l.ports.Log.WithField("epoch", g.epoch).Info("term_begun")
	t := newTerm(l, g)
	u, cancel := context.WithCancel(c)
	l.mu.Lock()
	l.term = t
	l.mu.Unlock()
	var w sync.WaitGroup
	w.Go(func() {
		defer cancel()
		l.role.renewLoop(u, g)
	})
	t.run(u, cancel)
	cancel()
	w.Wait()
	l.mu.Lock()
	l.term = nil
	l.mu.Unlock()
	if c.Err() != nil || t.abandoned.Load() {
		l.handOver(t, g)
	}
	if t.abandoned.Load() {
		pause.For(c, abandonedPause)
	}
	l.ports.Log.WithField("epoch", g.epoch).Info("term_ended")
}

// handOver writes the progress that is not in the store yet and releases the role.
func (l *Leader) handOver(t *term, g leadership) {
	c, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	if err := t.flush(c); err != nil {
		l.ports.Log.WithError(err).Warn("last_flush_failed")
	}
	t.storeSpeeds(c)
	t.storeAbsences(c)
	t.storeAgeMark(c)
	l.role.release(c, g)
}

// currentTerm returns the running term once its state is restored, and otherwise
// *NotLeaderError.
func (l *Leader) currentTerm() (*term, error) {
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

// JobInfo is what callers may learn of a job, and whose it is.
type JobInfo struct {
	// State is empty if the job does not exist.
	State    graph.State
	Queue    policy.QueueRef
	Customer string
	// Revision is that of the job's record in the store.
	Revision uint64
}

// Job returns what is known of a job, zero if the scheduler does not know it. It returns
// *NotLeaderError if this process does not hold the role.
func (l *Leader) Job(id string) (JobInfo, error) {
	t, err := l.currentTerm()
	if err != nil {
		return JobInfo{}, err
	}
	return t.jobInfo(id), nil
}

// Pending returns how many jobs of a queue have not started yet. It returns
// *NotLeaderError if this process does not hold the role.
func (l *Leader) Pending(queue string) (int, error) {
	t, err := l.currentTerm()
	if err != nil {
		return 0, err
	}
	return t.pending(queue), nil
}

// InputWritten tells the scheduler in this process that an entry has written a job or a
// cancellation. It returns *NotLeaderError if this process does not hold the role.
func (l *Leader) InputWritten(v *wire.InputWritten) error {
	t, err := l.currentTerm()
	if err != nil {
		return err
	}
	t.inputWritten(v)
	return nil
}

// Handle implements wire.Handler for calls from other entries.
func (l *Leader) Handle(_ context.Context, _ *wire.Peer, m wire.Message) (wire.Message, error) {
	switch v := m.(type) {
	case *wire.GetJobState:
		i, err := l.Job(v.Job)
		if err != nil {
			return nil, wire.Refuse(wire.CodeClaimMoved, "%v", err)
		}
		return &wire.JobState{
			State:    string(i.State),
			Queue:    i.Queue.Name,
			Host:     i.Queue.Host,
			Prefix:   i.Queue.Prefix,
			Customer: i.Customer,
			Revision: i.Revision,
		}, nil
	case *wire.GetPendingCount:
		n, err := l.Pending(v.Queue)
		if err != nil {
			return nil, wire.Refuse(wire.CodeClaimMoved, "%v", err)
		}
		return &wire.PendingCount{
			Count: n,
		}, nil
	case *wire.InputWritten:
		if err := l.InputWritten(v); err != nil {
			return nil, wire.Refuse(wire.CodeClaimMoved, "%v", err)
		}
		return nil, nil
	}
	return nil, wire.Refuse(wire.CodeUnknown, "scheduler does not handle messages of kind %d", m.Kind())
}
