package leader

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/advice"
	"hemlockhinge/clock"
	"hemlockhinge/graph"
	"hemlockhinge/mirror"
	"hemlockhinge/pause"
)

// Intervals and time limits of a term.
const (
	passInterval      = 100 * time.Millisecond
	flushDelay        = 300 * time.Millisecond
	flushTimeout      = 2 * time.Second
	flushRetryDelay   = 100 * time.Millisecond
	handOverTimeout   = 400 * time.Millisecond
	restoreRetryDelay = 100 * time.Millisecond
	stopRetryInterval = 500 * time.Millisecond
	refusedRetryDelay = 150 * time.Millisecond
)

// term is the scheduler's state from acquiring the role to losing it.
type term struct {
	leader     *Leader
	leadership leadership
	log        *logrus.Entry
	startedAt  time.Time
	// startedAtBoot is startedAt by the clock that dates the confirmations of the inputs.
	startedAtBoot clock.Time
	wake          chan struct{}
	flushNow      chan struct{}
	// absencesNow wakes storeAbsencesLoop.
	absencesNow chan struct{}
	cancel      context.CancelFunc
	// storeLossLogged is set while the store is unavailable, so that the failure is
	// logged only once.
	storeLossLogged bool

	mu sync.Mutex
	// roleUncertain is set while the role has not been renewed for so long that another
	// process may hold it.
	roleUncertain bool
	// settingsOutdated is set while the operators' settings are too old to start tasks.
	settingsOutdated bool
	// roleLost means that the role is known to be lost: no job is accepted and
	// nothing is started any more.
	roleLost     bool
	inputsListed bool
	// inputsConfirmedAt is the time before which all changes of the inputs are applied.
	inputsConfirmedAt clock.Time
	restored          bool
	// ready is closed once restored is set. Sessions with agents begin only then: a
	// report on a job that is not loaded yet would be lost.
	ready chan struct{}
	jobs  map[string]*job
	// cancellations are the cancelled jobs. They are kept apart because a listing may
	// show a cancellation before its job.
	cancellations map[string]bool
	agents        map[string]*agentState
	absences      absences
	sessionCount  uint64
	// meanRunTime is the moving average of the run times of each queue at normal speed.
	meanRunTime map[string]time.Duration
	// speeds are the speeds of the workers of each service.
	speeds          map[string]*serviceSpeeds
	speedsUpdatedAt time.Time
	// storedSpeeds are the speeds that earlier terms have stored, by the addresses of agents.
	storedSpeeds map[string]storedSpeed
	// speedsChanged means that storedSpeeds differs from what is in the store.
	speedsChanged bool
	// ages tells how long ago jobs have ended.
	ages ageMarks
	// heldBackSince is since when jobs wait for agents that are unaccounted for, zero if none do.
	heldBackSince time.Time
	// keepsRoom is what contended returned last.
	keepsRoom bool
	// room is where the last decision made room for units, by their first tasks.
	room       map[graph.Task]roomPlan
	approvals  advice.Cache
	ctx        context.Context //nolint:containedctx // ends with the term
	goroutines sync.WaitGroup
	lateTimers lagProbe
	// abandoned is set when the term ends because its process is late.
	abandoned atomic.Bool
	// inputs follows the jobs, the cancellations and the agents in the store.
	inputs mirror.Mirror
}

func newTerm(l *Leader, g leadership) *term {
	t := &term{
		leader:        l,
		leadership:    g,
		log:           l.ports.Log.WithField("epoch", g.epoch),
		startedAt:     time.Now(),
		startedAtBoot: l.ports.Clock.Now(),
		wake:          make(chan struct{}, 1),
		flushNow:      make(chan struct{}, 1),
		absencesNow:   make(chan struct{}, 1),
		ready:         make(chan struct{}),
		jobs:          map[string]*job{},
		cancellations: map[string]bool{},
		meanRunTime:   map[string]time.Duration{},
		speeds:        map[string]*serviceSpeeds{},
		room:          map[graph.Task]roomPlan{},
		agents:        map[string]*agentState{},
		absences: absences{
			settled: make(chan struct{}),
		},
	}
	t.inputs = mirror.Mirror{
		Store:            l.ports.Store,
		Prefix:           inputsPrefix,
		Apply:            t.apply,
		OnListingRead:    t.checkRole,
		OnListingApplied: t.markListed,
		OnConfirmed:      t.markConfirmed,
		Clock:            l.ports.Clock,
		Log:              t.log,
	}
	return t
}

// run schedules until c ends; cancel ends c.
func (t *term) run(c context.Context, cancel context.CancelFunc) {
	t.mu.Lock()
	t.ctx = c
	t.cancel = cancel
	t.mu.Unlock()
	t.goroutines.Go(func() { t.inputs.Run(c) })
	t.goroutines.Go(func() { t.confirmInputs(c) })
	t.goroutines.Go(func() { t.flushLoop(c) })
	t.goroutines.Go(func() { t.storeSpeedsLoop(c) })
	t.goroutines.Go(func() { t.storeAbsencesLoop(c) })
	t.goroutines.Go(func() { t.expireLoop(c) })
	t.goroutines.Go(func() { t.lateTimers.run(c) })
	t.passLoop(c)
	t.goroutines.Wait()
	t.leader.ports.Meter.ForgetWorkerSpeeds()
}

// requestPass wakes passLoop.
func (t *term) requestPass() { pause.Wake(t.wake) }

// loaded reports whether the jobs and their progress have been read.
func (t *term) loaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.restored
}

// jobInfo returns what callers may learn of a job, zero if there is none.
func (t *term) jobInfo(id string) JobInfo {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.jobs[id]
	if j == nil {
		return JobInfo{}
	}
	return JobInfo{
		State:    j.state(),
		Queue:    QueueRefOf(j.Job),
		Customer: j.Customer,
		Revision: j.revision,
	}
}

// pending returns how many jobs of a queue have not started yet.
func (t *term) pending(queue string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, j := range t.jobs {
		if !j.schedulable() || j.progress.Started {
			continue
		}
		if q := t.queue(j); q != nil && q.Name == queue {
			n++
		}
	}
	return n
}
