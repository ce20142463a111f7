package leader

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/advice"
	"hemlockhinge/graph"
	"hemlockhinge/mirror"
	"hemlockhinge/pause"
	"hemlockhinge/store"
)

// Intervals of a term.
const (
	passInterval  = 100 * time.Millisecond
	flushDelay    = 300 * time.Millisecond
	flushTimeout  = 2 * time.Second
	flushPause    = 100 * time.Millisecond
	handTimeout   = 400 * time.Millisecond
	restorePause  = 100 * time.Millisecond
	haltInterval  = 500 * time.Millisecond
	retryInterval = 150 * time.Millisecond
)

// job is a job as the scheduler knows it.
type job struct {
	*graph.Job
	prog *graph.Progress
	// chains are the job's longest chains of estimates from each step, and chain
	// is the longest of all.
	chains []time.Duration
	chain  time.Duration
	// firstStart is how long the job waited for its first start here.
	firstStart time.Duration
	starts     int
	revision   uint64
	cancelled  bool
	arrived    time.Time
	runs       map[graph.Task]*run
	// version counts changes of prog, and stored is the version in the store.
	version uint64
	stored  uint64
	// saved is the revision of the progress in the store, 0 for none.
	saved uint64
	shown graph.State
	// claim means that the job is within what its customer is guaranteed.
	claim   bool
	evicted int
	// busy is when something of the job was last seen to run.
	busy time.Time
	// endedAt is when this term saw that nothing of the job is left to do.
	endedAt time.Time
	// again is when a step whose start was refused may be tried again.
	again map[graph.Task]time.Time
	// bumped are the tasks that this term has started before.
	bumped map[graph.Task]bool
}

// live reports whether tasks of the job may still start.
func (j *job) live() bool { return !j.cancelled && !j.prog.State.Final() }

// phase is where a run stands.
type phase uint8

const (
	launching phase = iota
	running
)

// run is one run of a task that may exist at a worker.
type run struct {
	task    graph.Task
	attempt int
	at      *member
	size    graph.Size
	phase   phase
	// doubt means that the start's reply was lost with the session.
	doubt bool
	// seq is the agent's first standing that must list the run.
	seq   uint64
	begun time.Time
	saved string
	pace  pace
	// resumed runs began from a checkpoint.
	resumed  bool
	halting  bool
	haltedAt time.Time
}

// term is one hold of the scheduler's role.
type term struct {
	l     *Leader
	grip  grip
	log   *logrus.Entry
	began time.Time
	wake  chan struct{}
	save  chan struct{}
	end   context.CancelFunc
	// unsaved means that the store's loss is logged already.
	unsaved bool

	mu sync.Mutex
	// deposed means that the role is known to be lost: nothing new is taken
	// in or started.
	deposed  bool
	listed   bool
	restored bool
	// ready is closed once restored is set: no agent is heard before, since
	// its word on a job that is not known yet would be lost.
	ready chan struct{}
	jobs  map[string]*job
	// cancels are the cancelled jobs; the listing may show a cancellation
	// before its job.
	cancels  map[string]bool
	members  map[string]*member
	sessions uint64
	// learnt are the mean times of runs by queue.
	learnt map[string]time.Duration
	book   advice.Book
	ctx    context.Context //nolint:containedctx // the term's own life
	group  sync.WaitGroup
}

func newTerm(l *Leader, g grip) *term {
	return &term{
		l:       l,
		grip:    g,
		log:     l.p.Log.WithField("epoch", g.epoch),
		began:   time.Now(),
		wake:    make(chan struct{}, 1),
		save:    make(chan struct{}, 1),
		ready:   make(chan struct{}),
		jobs:    map[string]*job{},
		cancels: map[string]bool{},
		learnt:  map[string]time.Duration{},
		members: map[string]*member{},
	}
}

// run schedules until c ends; end ends c.
func (t *term) run(c context.Context, end context.CancelFunc) {
	t.mu.Lock()
	t.ctx = c
	t.end = end
	t.mu.Unlock()
	m := mirror.Mirror{
		Store:  t.l.p.Store,
		Prefix: inputsPrefix,
		Apply:  t.apply,
		Read:   t.checkRole,
		Listed: t.markListed,
		Log:    t.log,
	}
	t.group.Go(func() { m.Run(c) })
	t.group.Go(func() { t.flushLoop(c) })
	t.group.Go(func() { t.expireLoop(c) })
	t.passLoop(c)
	t.group.Wait()
}

func (t *term) poke() { pause.Wake(t.wake) }

func (t *term) loaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.restored
}

// markListed is called after each complete listing of the inputs.
func (t *term) markListed() {
	t.mu.Lock()
	first := !t.listed
	t.listed = true
	t.mu.Unlock()
	if first {
		t.restore()
	}
	t.poke()
}

// checkRole reads the role after a listing, whose pages are not one moment's: a
// job in it may have been accepted after the role was lost.
func (t *term) checkRole() {
	for {
		i, err := t.l.p.Store.Get(t.ctx, roleKey)
		var none *store.NotFoundError
		if err == nil || errors.As(err, &none) {
			i.Deleted = err != nil
			t.mu.Lock()
			t.applyRole(i)
			t.mu.Unlock()
			return
		}
		t.log.WithError(err).Warn("role_unchecked")
		if !pause.For(t.ctx, restorePause) {
			return
		}
	}
}

// restore reads the progress of all jobs, once.
func (t *term) restore() {
	for {
		items, _, err := mirror.All(t.ctx, t.l.p.Store, progressPrefix)
		if err == nil {
			t.restoreAll(items)
			return
		}
		t.log.WithError(err).Warn("restore_failed")
		if !pause.For(t.ctx, restorePause) {
			return
		}
	}
}

func (t *term) restoreAll(items []store.Item) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, i := range items {
		id, _ := idOf(i.Key, progressPrefix)
		j := t.jobs[id]
		p, err := DecodeProgress(i.Value)
		if err != nil || j == nil {
			t.log.WithError(err).WithField("job", id).Warn("progress_without_job")
			continue
		}
		p.Restore(j.Job)
		j.prog = p
		j.shown = p.State
		j.saved = i.Revision
	}
	t.restored = true
	close(t.ready)
	t.log.WithFields(logrus.Fields{
		"jobs":   len(t.jobs),
		"agents": len(t.members),
		"ms":     time.Since(t.began).Milliseconds(),
	}).Info("term_restored")
}

// apply takes in a change of an input.
func (t *term) apply(i store.Item) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if i.Key == roleKey {
		t.applyRole(i)
		return
	}
	if id, ok := idOf(i.Key, jobsPrefix); ok {
		t.applyJob(id, i)
	}
	if id, ok := idOf(i.Key, cancelsPrefix); ok {
		t.applyCancel(id, i)
	}
	if a, ok := idOf(i.Key, agentsPrefix); ok {
		t.applyAgent(a, i)
	}
	t.poke()
}

// applyRole ends the term when the role is not this term's any more.
func (t *term) applyRole(i store.Item) {
	if !i.Deleted && i.Revision == t.grip.epoch {
		return
	}
	if !t.deposed {
		t.log.WithField("revision", i.Revision).Warn("role_lost")
	}
	t.deposed = true
	t.end()
}

// forget drops all that is known of a job.
func (t *term) forget(id string) {
	j := t.jobs[id]
	if j == nil {
		return
	}
	delete(t.jobs, id)
	for k := range j.Occurrences() {
		for s := range j.Steps {
			t.book.Forget(graph.Task{
				Job:        id,
				Occurrence: k,
				Step:       s,
			}.StepName())
		}
	}
}

func (t *term) applyJob(id string, i store.Item) {
	if i.Deleted {
		t.forget(id)
		return
	}
	if t.jobs[id] != nil || t.deposed {
		return
	}
	v, err := DecodeJob(i.Value)
	if err != nil {
		t.log.WithError(err).WithField("job", id).Error("job_unreadable")
		return
	}
	t.jobs[id] = &job{
		Job:      v,
		prog:     graph.NewProgress(v),
		chains:   v.Chains(),
		chain:    v.Chain(),
		revision: i.Revision,
		arrived:  time.Now(),
		runs:     map[graph.Task]*run{},
		shown:    graph.Queued,
		again:    map[graph.Task]time.Time{},

		cancelled: t.cancels[id],
	}
	t.log.WithFields(logrus.Fields{"job": id, "queue": v.Queue, "revision": i.Revision}).Info("job_known")
}

func (t *term) applyCancel(id string, i store.Item) {
	if i.Deleted {
		delete(t.cancels, id)
		return
	}
	t.cancels[id] = true
	j := t.jobs[id]
	if j == nil || j.cancelled {
		return
	}
	j.cancelled = true
	t.log.WithFields(logrus.Fields{"job": id, "runs": len(j.runs)}).Info("job_cancelled")
}

func (t *term) passLoop(c context.Context) {
	k := time.NewTicker(passInterval)
	defer k.Stop()
	for {
		select {
		case <-c.Done():
			return
		case <-t.wake:
		case <-k.C:
		}
		t.mu.Lock()
		if t.restored && !t.deposed {
			t.pass(time.Now())
		}
		t.mu.Unlock()
	}
}

// state returns where a job stands, as callers may see it.
func (t *term) state(id string) (graph.State, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.jobs[id]
	if j == nil {
		return "", ""
	}
	return j.state(), j.Queue
}

// state returns where the job stands, as callers may see it.
func (j *job) state() graph.State {
	switch {
	case j.shown.Final():
		return j.shown
	case j.cancelled:
		return graph.Cancelled
	case j.prog.Started:
		return graph.Running
	}
	return graph.Queued
}

func (t *term) pending(queue string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, j := range t.jobs {
		if j.Queue == queue && j.live() && !j.prog.Started {
			n++
		}
	}
	return n
}
