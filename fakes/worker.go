package fakes

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"hemlockhinge/pack"
	"hemlockhinge/pause"
	"hemlockhinge/worker"
)

// Headers with which a request controls how the worker runs it.
const (
	// HeaderLedger is an id under which the worker counts the runs of the
	// request.
	HeaderLedger = "Standin-Ledger"
	// HeaderDelay is how long the request runs, as a time.Duration.
	HeaderDelay = "Standin-Delay"
	// HeaderBytes is the size of a generated response body. Without this header,
	// the worker echoes the body of the request.
	HeaderBytes = "Standin-Bytes"
	// HeaderAbort, if not empty, makes the worker abort the response after half
	// of the body.
	HeaderAbort = "Standin-Break"
)

// defaultRunTime is the run time of a task whose command sets none.
const defaultRunTime = time.Second

// checkpointTime is the duration of a checkpoint.
const checkpointTime = 200 * time.Millisecond

// usageLag is how long a task must have run before its usage is reported.
const usageLag = 2 * time.Second

// Worker is a worker in memory. The arguments of a task's command control how it
// behaves: "run=5s" sets its run time, "fail" makes it fail at its end, and
// "use=32" makes it use 32 cores.
type Worker struct {
	mu            sync.Mutex
	id            string
	tasks         map[string]*task
	executions    map[string]int
	failAll       bool
	delay         time.Duration
	starts        []Start
	requestStarts []Start
	inFlight      int
	maxInFlight   int
}

// Start says when a task or a request was started. ID is the id of the task or
// the HeaderLedger of the request.
type Start struct {
	ID string
	At time.Time
}

type task struct {
	worker.Task
	state       worker.State
	output      string
	startedAt   time.Time
	endedAt     time.Time
	usage       pack.Size
	corePercent int
	runTimer    *time.Timer
	leaseTimer  *time.Timer
}

// NewWorker returns an idle worker.
func NewWorker(id string) *Worker {
	return &Worker{
		id:         id,
		tasks:      map[string]*task{},
		executions: map[string]int{},
	}
}

// SetFailAll makes every task fail right after its start.
func (w *Worker) SetFailAll(f bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failAll = f
}

// SetDelay sets a delay that is added to every call.
func (w *Worker) SetDelay(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delay = d
}

// Starts lists all starts of tasks so far.
func (w *Worker) Starts() []Start {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.starts)
}

// RequestStarts lists when each request with HeaderLedger was started.
func (w *Worker) RequestStarts() []Start {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.requestStarts)
}

// Span is the time in which a task ran. To is zero while the task is running.
// Succeeded means that the task ended without error and was not stopped.
type Span struct {
	Task      string
	From      time.Time
	To        time.Time
	Succeeded bool
}

// Spans returns the span of each task.
func (w *Worker) Spans() []Span {
	w.mu.Lock()
	defer w.mu.Unlock()
	var l []Span
	for _, t := range w.tasks {
		l = append(l, Span{
			Task:      t.ID,
			From:      t.startedAt,
			To:        t.endedAt,
			Succeeded: t.state == worker.StateDone,
		})
	}
	return l
}

// Executions returns how often requests with this HeaderLedger ran.
func (w *Worker) Executions(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.executions[id]
}

// MaxInFlight returns the maximum number of requests that ran at the same time.
func (w *Worker) MaxInFlight() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.maxInFlight
}

// applyDelay waits for the delay that SetDelay has set, or until c ends.
func (w *Worker) applyDelay(c context.Context) error {
	w.mu.Lock()
	d := w.delay
	w.mu.Unlock()
	if d == 0 {
		return c.Err()
	}
	pause.For(c, d)
	return c.Err()
}

// Start implements worker.Port.
func (w *Worker) Start(c context.Context, t worker.Task) error {
	if err := w.applyDelay(c); err != nil {
		return &worker.CallError{
			Op:  "start",
			Err: err,
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	n := time.Now()
	if !n.Before(t.StartBefore) {
		return newRefusedError(t.ID, "received after its start deadline")
	}
	if w.tasks[t.ID] != nil {
		return newRefusedError(t.ID, "already started")
	}
	v := &task{
		Task:        t,
		state:       worker.StateRunning,
		startedAt:   n,
		usage:       t.Size,
		corePercent: 100,
	}
	w.tasks[t.ID] = v
	w.starts = append(w.starts, Start{
		ID: t.ID,
		At: n,
	})
	d, ok := v.parseCommand()
	if w.failAll {
		d, ok = time.Millisecond, false
	}
	v.runTimer = time.AfterFunc(d, func() { w.finish(v, ok) })
	v.leaseTimer = time.AfterFunc(t.LeaseUntil.Sub(n), func() { w.expireLease(v) })
	return nil
}

func newRefusedError(id, why string) error {
	return &worker.RefusedError{
		Task:   id,
		Detail: why,
	}
}

// parseCommand returns how long the task runs and whether it succeeds, and sets
// its usage.
func (t *task) parseCommand() (time.Duration, bool) {
	d, ok := defaultRunTime, true
	for _, s := range t.Command {
		k, v, _ := strings.Cut(s, "=")
		switch k {
		case "run":
			if x, err := time.ParseDuration(v); err == nil {
				d = x
			}
		case "fail":
			ok = false
		case "use":
			t.usage.Cores, _ = strconv.Atoi(v)
		}
	}
	return d, ok
}

func (w *Worker) finish(t *task, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := worker.StateDone
	t.output = "ran on " + w.id
	if !ok {
		s = worker.StateFailed
		t.output = "failed on " + w.id
	}
	t.end(s)
}

// expireLease stops a task whose lease was not renewed in time.
func (w *Worker) expireLease(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t.end(worker.StateStopped)
}

// end sets the final state of a running task; other tasks stay as they are. The
// caller holds Worker.mu.
func (t *task) end(s worker.State) {
	if t.state != worker.StateRunning {
		return
	}
	t.state = s
	t.endedAt = time.Now()
	t.runTimer.Stop()
	t.leaseTimer.Stop()
}

// Renew implements worker.Port.
func (w *Worker) Renew(c context.Context, ids []string, until time.Time) error {
	if err := w.applyDelay(c); err != nil {
		return &worker.CallError{
			Op:  "renew",
			Err: err,
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		if t := w.tasks[id]; t != nil && t.state == worker.StateRunning && until.After(t.LeaseUntil) {
			t.LeaseUntil = until
			t.leaseTimer.Reset(time.Until(until))
		}
	}
	return nil
}

// Checkpoint implements worker.Port.
func (w *Worker) Checkpoint(c context.Context, id string) error {
	if !pause.For(c, checkpointTime) {
		return &worker.CallError{
			Op:  "checkpoint",
			Err: c.Err(),
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.tasks[id]; t == nil || t.state != worker.StateRunning {
		return &worker.CallError{
			Op:  "checkpoint",
			Err: errors.New("the task is not running"),
		}
	}
	return nil
}

// Throttle implements worker.Port.
func (w *Worker) Throttle(c context.Context, id string, percent int) error {
	if err := w.applyDelay(c); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.tasks[id]; t != nil {
		t.corePercent = percent
	}
	return nil
}

// CorePercent returns the percentage of its cores that a task may use, or 0 if
// the worker does not know the task.
func (w *Worker) CorePercent(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.tasks[id]; t != nil {
		return t.corePercent
	}
	return 0
}

// Stop implements worker.Port.
func (w *Worker) Stop(c context.Context, id string) error {
	if err := w.applyDelay(c); err != nil {
		return &worker.CallError{
			Op:  "stop",
			Err: err,
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if t := w.tasks[id]; t != nil {
		t.end(worker.StateStopped)
	}
	return nil
}

// Tasks implements worker.Port. The usage of a task is zero during the first
// usageLag of its run.
func (w *Worker) Tasks(c context.Context) ([]worker.Status, error) {
	if err := w.applyDelay(c); err != nil {
		return nil, &worker.CallError{
			Op:  "list",
			Err: err,
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	l := make([]worker.Status, 0, len(w.tasks))
	for _, t := range w.tasks {
		s := worker.Status{
			ID:     t.ID,
			State:  t.state,
			Output: t.output,
		}
		if time.Since(t.startedAt) >= usageLag {
			s.Usage = t.usage
		}
		l = append(l, s)
	}
	return l, nil
}

// Serve implements worker.Port.
func (w *Worker) Serve(r *http.Request, _ string, _ bool) (*http.Response, error) {
	a := newStreamingResponse(r.Context())
	go func() {
		defer a.end()
		w.ServeHTTP(a, r)
	}()
	return a.response()
}

// ServeHTTP runs a request: it counts the run under HeaderLedger, reads the body,
// waits for HeaderDelay, and responds with the same body or with HeaderBytes
// bytes.
func (w *Worker) ServeHTTP(a http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	if id := r.Header.Get(HeaderLedger); id != "" {
		w.executions[id]++
		w.requestStarts = append(w.requestStarts, Start{
			ID: id,
			At: time.Now(),
		})
	}
	w.inFlight++
	w.maxInFlight = max(w.maxInFlight, w.inFlight)
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.inFlight--
	}()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(a, err.Error(), http.StatusBadRequest)
		return
	}
	if d, err := time.ParseDuration(r.Header.Get(HeaderDelay)); err == nil {
		if !pause.For(r.Context(), d) {
			return
		}
	}
	a.Header().Set("Standin-Worker", w.id)
	if n, err := strconv.Atoi(r.Header.Get(HeaderBytes)); err == nil {
		b = []byte(strings.Repeat("x", n))
	}
	a.Header().Set("Content-Length", strconv.Itoa(len(b)))
	a.WriteHeader(http.StatusOK)
	if r.Header.Get(HeaderAbort) != "" {
		_, _ = a.Write(b[:len(b)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = a.Write(b)
}

// Crash stops all tasks immediately, as when the machine loses power.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.tasks {
		t.end(worker.StateStopped)
	}
}
