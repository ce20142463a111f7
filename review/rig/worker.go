package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Timing of a worker, as the settings and PROTOCOL.md state it.
const (
	heartbeatInterval = 1500 * time.Millisecond
	heartbeatTimeout  = time.Second
	maxLease          = 6 * time.Second
	// stopTime is how long a stop takes; StopMs is 200.
	stopTime           = 180 * time.Millisecond
	checkpointInterval = 500 * time.Millisecond
	maxHoldWait        = 2 * time.Second
)

// run is one run of a task at a worker.
type run struct {
	attempt int
	begun   time.Time
	// from is the work that the checkpoint of the start order saves.
	from   time.Duration
	length time.Duration
	timer  *time.Timer
}

// end is one row of Finished.
type end struct {
	number     int64
	task       string
	attempt    int
	how        string
	checkpoint string
}

// worker is a stand-in for a worker. It lives at one address; each start is a new incarnation
// that knows nothing of the one before.
type worker struct {
	rig   *rig
	name  string
	id    string
	addr  string
	rack  string
	agent string

	mu       sync.Mutex
	up       bool
	born     time.Time
	listener net.Listener
	conns    map[net.Conn]struct{}
	cancel   context.CancelFunc
	runs     map[string]*run
	attempts map[string]int
	ends     []end
	lastEnd  int64
	acked    int64
	token    int64
	lease    time.Time
	changed  chan struct{}
	draining bool
	// silent means that the worker has sent its deregistration, and sends no more heartbeats.
	silent   bool
	leavesAt time.Time
}

// start starts an incarnation.
func (w *worker) start() error {
	var c net.ListenConfig
	l, err := c.Listen(context.Background(), "tcp", w.addr)
	if err != nil {
		return err
	}
	x, cancel := context.WithCancel(context.Background())
	w.mu.Lock()
	w.up = true
	w.born = time.Now()
	w.listener = l
	w.conns = map[net.Conn]struct{}{}
	w.cancel = cancel
	w.runs = map[string]*run{}
	w.attempts = map[string]int{}
	w.ends = nil
	w.lastEnd = 0
	w.acked = 0
	w.token = 0
	w.lease = time.Time{}
	w.changed = make(chan struct{})
	w.draining = false
	w.silent = false
	born := w.born
	w.mu.Unlock()
	w.rig.note("%s starts as %s, born %d", w.name, w.id, born.UnixMilli())
	s := &http.Server{
		Handler:           http.HandlerFunc(func(x http.ResponseWriter, r *http.Request) { w.serve(born, x, r) }),
		ReadHeaderTimeout: maxHoldWait,
		ConnState:         w.track,
	}
	go func() { _ = s.Serve(l) }()
	go func() {
		time.Sleep(w.rig.firstBeat)
		w.beat(x, born)
	}()
	go w.watchLease(x, born)
	return nil
}

func (w *worker) track(n net.Conn, v http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if v == http.StateClosed {
		delete(w.conns, n)
		return
	}
	w.conns[n] = struct{}{}
}

// stop ends the incarnation: everything that runs on it ends with it, and it says nothing.
func (w *worker) stop(why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.up = false
	w.cancel()
	_ = w.listener.Close()
	for n := range w.conns {
		_ = n.Close()
	}
	for k, r := range w.runs {
		r.timer.Stop()
		w.rig.ended(w, k, r.attempt, "gone with its worker")
	}
	w.runs = nil
	close(w.changed)
	w.rig.note("%s %s", w.name, why)
}

// lives reports whether the incarnation that was born then is still there. w.mu is held.
func (w *worker) lives(born time.Time) bool { return w.up && w.born.Equal(born) }

// clockMS is the worker's steady clock. w.mu is held.
func (w *worker) clockMS() int64 { return time.Since(w.born).Milliseconds() + 1 }

// drain makes the worker say that it leaves, and returns whether a heartbeat that says so was
// acknowledged.
func (w *worker) drain(left time.Duration) bool {
	w.mu.Lock()
	w.draining = true
	w.leavesAt = time.Now().Add(left)
	born := w.born
	w.mu.Unlock()
	return w.beatOnce(born)
}

// untilBeat returns the time until the next regular heartbeat.
func (w *worker) untilBeat() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return heartbeatInterval - (time.Since(w.born)-w.rig.firstBeat)%heartbeatInterval
}

// beat sends heartbeats until c ends.
func (w *worker) beat(c context.Context, born time.Time) {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for c.Err() == nil {
		w.beatOnce(born)
		select {
		case <-c.Done():
		case <-t.C:
		}
	}
}

// beatOnce sends one heartbeat and reports whether it was acknowledged.
func (w *worker) beatOnce(born time.Time) bool {
	w.mu.Lock()
	if !w.lives(born) || w.silent {
		w.mu.Unlock()
		return false
	}
	b := map[string]any{
		"Service":    serviceName,
		"Address":    w.addr,
		"Zone":       zoneName,
		"Version":    "v1",
		"Slots":      8,
		"State":      "ready",
		"ColdLeftMs": 0,
		"Capacity":   map[string]int{"Cpu": 64000, "MemMb": 262144, "Gpu": 8},
		"Labels":     []string{"a", w.rack},
		"Machine":    "m-" + w.name,
		"ClockMs":    w.clockMS(),
		"Seq":        w.clockMS(),
		"born":       born.UnixMilli(),
	}
	if w.draining {
		b["State"] = "draining"
		b["RemainingMs"] = max(time.Until(w.leavesAt).Milliseconds(), 0)
	}
	w.mu.Unlock()
	return w.tell("heartbeat", b, heartbeatTimeout) == http.StatusOK
}

// deregister tells the agent that the worker leaves, and returns the status of the answer, 0 for
// none.
func (w *worker) deregister(timeout time.Duration) int {
	w.mu.Lock()
	w.silent = true
	w.mu.Unlock()
	w.rig.note("%s sends its deregistration as %s", w.name, w.id)
	s := w.tell("deregister", nil, timeout)
	w.rig.note("%s has the answer %d to its deregistration", w.name, s)
	return s
}

// tell sends a call to the agent on a connection of its own and returns the status of the
// answer, 0 for none.
func (w *worker) tell(what string, body any, timeout time.Duration) int {
	c, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var b bytes.Buffer
	if body != nil {
		_ = json.NewEncoder(&b).Encode(body)
	}
	r, err := http.NewRequestWithContext(c, http.MethodPost, "http://"+w.agentAddr()+"/instances/"+w.id+"/"+what, &b) //nolint:gosec // a loopback address of the rig
	if err != nil {
		return 0
	}
	r.Close = true
	r.Header.Set("Content-Type", "application/json")
	p, err := http.DefaultClient.Do(r) //nolint:gosec // a loopback address of the rig
	if err != nil {
		return 0
	}
	defer func() { _ = p.Body.Close() }()
	_, _ = io.Copy(io.Discard, p.Body)
	return p.StatusCode
}

// order is the body of a call of the agent.
type order struct {
	Task         string
	Attempt      int
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	Checkpoint   string
	AckedThrough int64
	WaitMs       int64
}

// serve answers a call of the agent.
func (w *worker) serve(born time.Time, x http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		x.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	status, v := w.handle(born, r, o)
	w.mu.Unlock()
	if status == 0 {
		<-r.Context().Done()
		return
	}
	b, _ := json.Marshal(v)
	x.Header().Set("Content-Type", "application/json")
	x.WriteHeader(status)
	_, _ = x.Write(b)
}

// handle carries an order out and returns the answer; status 0 means none. w.mu is held.
func (w *worker) handle(born time.Time, r *http.Request, o order) (int, any) {
	id := r.Header.Get("Hemlockhinge-Expected-Instance")
	switch {
	case !w.lives(born):
		return 0, nil
	case id != "" && id != w.id:
		return http.StatusMisdirectedRequest, w.reason("")
	case o.FencingToken < w.token:
		return http.StatusConflict, w.reason("fence")
	}
	w.token = o.FencingToken
	switch r.URL.Path {
	case "/run-start":
		return w.startRun(o)
	case "/run-stop":
		return w.stopRun(o)
	case "/hold":
		return w.hold(r.Context(), born, o)
	}
	return http.StatusNotFound, w.reason("")
}

func (w *worker) reason(v string) any {
	b := map[string]any{"ClockMs": w.clockMS()}
	if v != "" {
		b["Reason"] = v
	}
	return b
}

// extend extends the lease. w.mu is held.
func (w *worker) extend(deadlineMS int64) {
	t := w.born.Add(time.Duration(deadlineMS) * time.Millisecond)
	if limit := time.Now().Add(maxLease); t.After(limit) {
		t = limit
	}
	if t.After(w.lease) {
		w.lease = t
	}
}

func (w *worker) startRun(o order) (int, any) {
	if r := w.runs[o.Task]; r != nil && r.attempt == o.Attempt {
		return http.StatusOK, w.reason("")
	}
	switch {
	case o.DeadlineMs < w.clockMS():
		return http.StatusConflict, w.reason("late")
	case o.Attempt <= w.attempts[o.Task]:
		w.extend(o.DeadlineMs)
		return http.StatusConflict, w.reason("old")
	}
	w.extend(o.DeadlineMs)
	w.attempts[o.Task] = o.Attempt
	saved, _ := strconv.ParseInt(o.Checkpoint, 16, 64)
	r := &run{
		attempt: o.Attempt,
		begun:   time.Now(),
		from:    time.Duration(saved) * time.Millisecond,
		length:  w.rig.taskLength,
	}
	w.runs[o.Task] = r
	w.rig.began(w, o)
	born := w.born
	r.timer = time.AfterFunc(r.length-r.from, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.lives(born) && w.runs[o.Task] == r && !w.rig.lasting {
			w.finish(o.Task, r, "done")
		}
	})
	return http.StatusOK, w.reason("")
}

func (w *worker) stopRun(o order) (int, any) {
	w.attempts[o.Task] = max(w.attempts[o.Task], o.Attempt)
	r := w.runs[o.Task]
	if r != nil && r.attempt == o.Attempt {
		born := w.born
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.lives(born) && w.runs[o.Task] == r {
				w.finish(o.Task, r, "stopped")
			}
		})
	}
	return http.StatusOK, w.reason("")
}

// finish lists the end of a run. w.mu is held.
func (w *worker) finish(task string, r *run, how string) {
	r.timer.Stop()
	delete(w.runs, task)
	w.lastEnd++
	w.ends = append(w.ends, end{
		number:     w.lastEnd,
		task:       task,
		attempt:    r.attempt,
		how:        how,
		checkpoint: w.checkpoint(r, how == "stopped"),
	})
	w.rig.ended(w, task, r.attempt, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

// checkpoint returns the value of a run's newest checkpoint; one is saved at a stop too.
func (w *worker) checkpoint(r *run, atStop bool) string {
	if !w.rig.checkpoints {
		return ""
	}
	d := r.from + time.Since(r.begun)
	if !atStop {
		d = d.Truncate(checkpointInterval)
	}
	if d <= 0 {
		return ""
	}
	return fmt.Sprintf("%016x", min(d, r.length).Milliseconds())
}

// watchLease ends all runs as lapsed when the lease expires.
func (w *worker) watchLease(c context.Context, born time.Time) {
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-c.Done():
			return
		case <-t.C:
		}
		w.mu.Lock()
		if w.lives(born) && time.Now().After(w.lease) {
			for k, r := range w.runs {
				w.finish(k, r, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// hold acknowledges ends, extends the lease and answers with both lists, at once if there is an
// end. w.mu is held, except while it waits.
func (w *worker) hold(c context.Context, born time.Time, o order) (int, any) {
	if o.DeadlineMs > 0 {
		w.extend(o.DeadlineMs)
	}
	if o.AckedThrough > w.acked {
		w.rig.note("%s: AckedThrough %d; the incarnation has listed ends up to %d", w.name, o.AckedThrough, w.lastEnd)
		w.acked = o.AckedThrough
	}
	w.forget()
	t := time.NewTimer(min(time.Duration(o.WaitMs)*time.Millisecond, maxHoldWait))
	defer t.Stop()
	for waiting := o.WaitMs > 0; waiting && len(w.ends) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-t.C:
			waiting = false
		case <-c.Done():
			waiting = false
		}
		w.mu.Lock()
		if !w.lives(born) {
			return 0, nil
		}
	}
	w.forget()
	running := [][]any{}
	for k, r := range w.runs {
		running = append(running, []any{k, r.attempt, w.checkpoint(r, false), int(100 * min(r.from+time.Since(r.begun), r.length) / r.length), 7500})
	}
	finished := [][]any{}
	for _, e := range w.ends {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, e.checkpoint})
	}
	return http.StatusOK, map[string]any{
		"ClockMs":  w.clockMS(),
		"Running":  running,
		"Finished": finished,
		"born":     born.UnixMilli(),
	}
}

// setAgent makes the worker send its heartbeats to another address.
func (w *worker) setAgent(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.agent = addr
}

// agentAddr returns the address of the worker's heartbeats.
func (w *worker) agentAddr() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.agent
}

// forget drops the ends up to the highest AckedThrough that the incarnation has received. w.mu is
// held.
func (w *worker) forget() {
	w.ends = slices.DeleteFunc(w.ends, func(e end) bool {
		if e.number > w.acked {
			return false
		}
		w.rig.note("%s: the end %d of %s attempt %d (%s) is taken note of", w.name, e.number, e.task, e.attempt, e.how)
		return true
	})
}

// setID gives the worker another id, under which its next incarnation starts.
func (w *worker) setID(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.id = id
}
