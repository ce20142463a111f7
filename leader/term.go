package leader

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/advice"
	"hemlockhinge/graph"
	"hemlockhinge/mirror"
	"hemlockhinge/pause"
	"hemlockhinge/store"
	"hemlockhinge/wire"
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
	// inputsInterval is how often the jobs, cancellations and agents in the store are
	// confirmed beside the watch.
	inputsInterval    = time.Second
	inputsTimeout     = 900 * time.Millisecond
	refusedRetryDelay = 150 * time.Millisecond
)

// job is a job and its scheduling state.
type job struct {
	*graph.Job
	progress *graph.Progress
	// remainingPaths are the critical paths by estimates from each step on, and
	// criticalPath is that of the whole job.
	remainingPaths []time.Duration
	criticalPath   time.Duration
	// firstStartDelay is how long the job waited for its first start in this term.
	firstStartDelay time.Duration
	startCount      int
	revision        uint64
	cancelled       bool
	// arrivedAt is when this term first saw the job.
	arrivedAt time.Time
	runs      map[graph.Task]*run
	// progressVersion counts changes of progress. storedVersion is the version in the
	// store.
	progressVersion uint64
	storedVersion   uint64
	// crashVersion is the version of progress that has the newest crash of a worker.
	crashVersion uint64
	// storedRevision is the revision of the progress in the store, 0 for none.
	storedRevision uint64
	// publishedState is the last state that is known to be in the store.
	publishedState graph.State
	// withinGuarantee means that the job is covered by its customer's guarantee.
	withinGuarantee bool
	preemptions     int
	// lastActive is when the job last had a run.
	lastActive time.Time
	// endedAt is when this term found that nothing of the job is left to do: it has
	// ended or was cancelled, has no runs and is saved in the store.
	endedAt time.Time
	// retryAfter is the time before which a task whose start was refused is not
	// started again.
	retryAfter map[graph.Task]time.Time
	// startedInTerm are the tasks that this term has started at least once.
	startedInTerm map[graph.Task]bool
}

// newJob returns a job that was just submitted at a revision of the store.
func newJob(v *graph.Job, revision uint64) *job {
	return &job{
		Job:            v,
		progress:       graph.NewProgress(v),
		remainingPaths: v.StepCriticalPaths(),
		criticalPath:   v.CriticalPath(),
		revision:       revision,
		arrivedAt:      time.Now(),
		runs:           map[graph.Task]*run{},
		publishedState: graph.Queued,
		retryAfter:     map[graph.Task]time.Time{},
	}
}

// schedulable reports whether tasks of the job may still be started.
func (j *job) schedulable() bool { return !j.cancelled && !j.progress.State.Final() }

// runPhase says whether the start of a run is confirmed.
type runPhase uint8

const (
	launching runPhase = iota
	running
)

// run is one attempt at a task that may exist at a worker.
type run struct {
	task    graph.Task
	attempt int
	agent   *agentState
	size    graph.Size
	phase   runPhase
	// startUnconfirmed means that the reply to the start was lost.
	startUnconfirmed bool
	// session is the number of the session in which the start was requested, and
	// requestClockMS the reading of the agent's clock that the request carried.
	session        uint64
	requestClockMS int64
	// listedFromSeq is the number of the agent's first report that must list the run.
	listedFromSeq uint64
	startedAt     time.Time
	checkpoint    string
	progress      runProgress
	// resumed means that the run began from a checkpoint.
	resumed bool
	// stopping means that the run is to be stopped; the order is repeated until the
	// run has ended.
	stopping   bool
	stopSentAt time.Time
}

// term is the scheduler's state from acquiring the role to losing it.
type term struct {
	leader     *Leader
	leadership leadership
	log        *logrus.Entry
	startedAt  time.Time
	wake       chan struct{}
	flushNow   chan struct{}
	cancel     context.CancelFunc
	// storeLossLogged is set while the store is unavailable, so that the failure is
	// logged only once.
	storeLossLogged bool

	mu sync.Mutex
	// settingsOutdated is set while the operators' settings are too old to start tasks.
	settingsOutdated bool
	// roleLost means that the role is known to be lost: no job is accepted and
	// nothing is started any more.
	roleLost     bool
	inputsListed bool
	restored     bool
	// ready is closed once restored is set. Sessions with agents begin only then: a
	// report on a job that is not loaded yet would be lost.
	ready chan struct{}
	jobs  map[string]*job
	// cancellations are the cancelled jobs. They are kept apart because a listing may
	// show a cancellation before its job.
	cancellations map[string]bool
	agents        map[string]*agentState
	sessionCount  uint64
	// meanRunTime is the moving average of the run times of each queue.
	meanRunTime map[string]time.Duration
	approvals   advice.Cache
	ctx         context.Context //nolint:containedctx // ends with the term
	goroutines  sync.WaitGroup
	lateTimers  lagProbe
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
		wake:          make(chan struct{}, 1),
		flushNow:      make(chan struct{}, 1),
		ready:         make(chan struct{}),
		jobs:          map[string]*job{},
		cancellations: map[string]bool{},
		meanRunTime:   map[string]time.Duration{},
		agents:        map[string]*agentState{},
	}
	t.inputs = mirror.Mirror{
		Store:            l.ports.Store,
		Prefix:           inputsPrefix,
		Apply:            t.apply,
		OnListingRead:    t.checkRole,
		OnListingApplied: t.markListed,
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
	t.goroutines.Go(func() { t.expireLoop(c) })
	t.goroutines.Go(func() { t.lateTimers.run(c) })
	t.passLoop(c)
	t.goroutines.Wait()
}

// confirmInputs applies the inputs that the watch has not delivered, until c ends: its
// connection may have gone silent.
func (t *term) confirmInputs(c context.Context) {
	for pause.For(c, inputsInterval) {
		x, cancel := context.WithTimeout(c, inputsTimeout)
		err := t.inputs.CatchUp(x)
		cancel()
		if err != nil && c.Err() == nil {
			t.log.WithError(err).Debug("inputs_unconfirmed")
		}
	}
}

// requestPass wakes passLoop.
func (t *term) requestPass() { pause.Wake(t.wake) }

// loaded reports whether the jobs and their progress have been read.
func (t *term) loaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.restored
}

// markListed is called after each complete listing of the inputs, and restores the
// progress after the first one.
func (t *term) markListed() {
	t.mu.Lock()
	first := !t.inputsListed
	t.inputsListed = true
	t.mu.Unlock()
	if first {
		t.restore()
	}
	t.requestPass()
}

// checkRole reads the role key after a listing. The pages of a listing are not one
// snapshot, so a job in it may have been accepted after the role was lost.
func (t *term) checkRole() {
	for {
		i, err := t.leader.ports.Store.Get(t.ctx, roleKey)
		var notFound *store.NotFoundError
		if err == nil || errors.As(err, &notFound) {
			i.Deleted = err != nil
			t.mu.Lock()
			t.applyRole(i)
			t.mu.Unlock()
			return
		}
		t.log.WithError(err).Warn("role_check_failed")
		if !pause.For(t.ctx, restoreRetryDelay) {
			return
		}
	}
}

// restore reads the progress of all jobs, and retries until the store answers.
func (t *term) restore() {
	for {
		items, _, err := mirror.ListAll(t.ctx, t.leader.ports.Store, progressPrefix)
		if err == nil {
			t.applyProgress(items)
			return
		}
		t.log.WithError(err).Warn("restore_failed")
		if !pause.For(t.ctx, restoreRetryDelay) {
			return
		}
	}
}

// applyProgress applies the stored progress and lets the sessions with agents begin.
func (t *term) applyProgress(items []store.Item) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range items {
		id, _ := cutPrefix(i.Key, progressPrefix)
		j := t.jobs[id]
		p, err := DecodeProgress(i.Value)
		if err != nil || j == nil {
			t.log.WithError(err).WithField("job", id).Warn("progress_without_job")
			continue
		}
		p.Restore(j.Job)
		j.progress = p
		j.publishedState = p.State
		j.storedRevision = i.Revision
	}
	t.restored = true
	close(t.ready)
	t.log.WithFields(logrus.Fields{
		"jobs":   len(t.jobs),
		"agents": len(t.agents),
		"ms":     time.Since(t.startedAt).Milliseconds(),
	}).Info("term_restored")
}

// apply applies a change of a key below inputsPrefix.
func (t *term) apply(i store.Item) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i.Key == roleKey {
		t.applyRole(i)
		return
	}
	if id, ok := cutPrefix(i.Key, jobsPrefix); ok {
		t.applyJob(id, i)
	}
	if id, ok := cutPrefix(i.Key, cancelsPrefix); ok {
		t.applyCancel(id, i)
	}
	if a, ok := cutPrefix(i.Key, agentsPrefix); ok {
		t.applyAgent(a, i)
	}
	t.requestPass()
}

// applyRole ends the term if the role key is no longer the one that this term wrote.
func (t *term) applyRole(i store.Item) {
	if !i.Deleted && i.Revision == t.leadership.epoch {
		return
	}
	if !t.roleLost {
		t.log.WithField("revision", i.Revision).Warn("role_lost")
	}
	t.roleLost = true
	t.cancel()
}

// removeJob removes a job and the approvals for its steps.
func (t *term) removeJob(id string) {
	j := t.jobs[id]
	if j == nil {
		return
	}
	delete(t.jobs, id)
	for k := range j.Occurrences() {
		for s := range j.Steps {
			t.approvals.ForgetStep(graph.Task{
				Job:        id,
				Occurrence: k,
				Step:       s,
			}.StepName())
		}
	}
}

func (t *term) applyJob(id string, i store.Item) {
	if i.Deleted {
		t.removeJob(id)
		return
	}
	if t.jobs[id] != nil || t.roleLost {
		return
	}
	v, err := DecodeJob(i.Value)
	if err != nil {
		t.log.WithError(err).WithField("job", id).Error("job_record_invalid")
		return
	}
	j := newJob(v, i.Revision)
	j.cancelled = t.cancellations[id]
	t.jobs[id] = j
	t.log.WithFields(logrus.Fields{"job": id, "queue": v.Queue, "revision": i.Revision}).Info("job_loaded")
}

func (t *term) applyCancel(id string, i store.Item) {
	if i.Deleted {
		delete(t.cancellations, id)
		return
	}
	t.cancelJob(id)
}

// cancelJob marks a job as cancelled, also if it is not loaded yet.
func (t *term) cancelJob(id string) {
	t.cancellations[id] = true
	j := t.jobs[id]
	if j == nil || j.cancelled {
		return
	}
	j.cancelled = true
	t.log.WithFields(logrus.Fields{"job": id, "runs": len(j.runs)}).Info("job_cancelled")
}

// inputWritten is called when an entry has written an input. A cancellation takes effect
// at once. A job must come through the watch: only the order of the store's changes shows
// that it was accepted before the role was lost.
func (t *term) inputWritten(v *wire.InputWritten) {
	if v.CancelledJob != "" {
		t.mu.Lock()
		t.cancelJob(v.CancelledJob)
		t.mu.Unlock()
		t.requestPass()
	}
	t.inputs.Expect(v.Revision)
}

// state returns a job's state as callers see it, and its queue.
func (t *term) state(id string) (graph.State, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.jobs[id]
	if j == nil {
		return "", ""
	}
	return j.state(), j.Queue
}

// state returns the job's state as callers see it: a final state is shown only once it
// is in the store.
func (j *job) state() graph.State {
	switch {
	case j.publishedState.Final():
		return j.publishedState
	case j.cancelled:
		return graph.Cancelled
	case j.progress.Started:
		return graph.Running
	}
	return graph.Queued
}

// pending returns how many jobs of a queue have not started yet.
func (t *term) pending(queue string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, j := range t.jobs {
		if j.Queue == queue && j.schedulable() && !j.progress.Started {
			n++
		}
	}
	return n
}
