package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	heartbeatTimeout  = time.Second
	// lastingStartup is how long after its start a lasting task is at work.
	lastingStartup = 300 * time.Millisecond
	// clockStart is the worker's clock when it starts, in milliseconds.
	clockStart = 1000
	maxEnds    = 500
	atWork     = 100
	// remainingTime is what a worker that drains says it stays at least.
	remainingTime = 20 * time.Second
)

// size is an amount of resources in the words of the wire.
type size struct {
	CPU   int `json:"Cpu"`
	MemMb int
	Gpu   int
}

// worker is a stand-in for a worker of the users' platform, in one life after the other.
type worker struct {
	site      *site
	id        string
	zone      string
	rack      string
	addr      string
	agentAddr string
	capacity  size
	stopTime  time.Duration
	// onStart, if set, is called after each start.
	onStart func(w *worker, task string, attempt int)

	mu       sync.Mutex
	life     *life
	draining bool
	// drainAckedAt is when a heartbeat was acknowledged that says "draining".
	drainAckedAt time.Time
}

// life is what a worker knows between a start and a crash.
type life struct {
	born    time.Time
	token   int64
	runs    map[string]*taskRun
	highest map[string]int
	ends    []taskEnd
	lastEnd int64
	lease   time.Time
	changed chan struct{}
	seq     int64
	cancel  context.CancelFunc
	server  *http.Server
}

type taskRun struct {
	attempt   int
	startedAt time.Time
	work      time.Duration
	lasting   bool
	serving   bool
	timer     *time.Timer
}

type taskEnd struct {
	number  int64
	task    string
	attempt int
	how     string
}

// start begins a life.
func (w *worker) start() error {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", w.addr)
	if err != nil {
		return err
	}
	c, cancel := context.WithCancel(context.Background())
	v := &life{
		born:    time.Now(),
		runs:    map[string]*taskRun{},
		highest: map[string]int{},
		changed: make(chan struct{}),
		cancel:  cancel,
	}
	v.server = &http.Server{
		Handler:           http.HandlerFunc(func(x http.ResponseWriter, r *http.Request) { w.serve(v, x, r) }),
		ReadHeaderTimeout: heartbeatInterval,
	}
	w.mu.Lock()
	w.life = v
	w.mu.Unlock()
	go func() { _ = v.server.Serve(l) }()
	go w.beat(c, v)
	go w.expireLeases(c, v)
	w.site.rec.printf("worker %s starts, born %d", w.id, v.born.UnixMilli())
	return nil
}

// crash ends the life at once: its connections break and all that it ran is gone.
func (w *worker) crash() {
	w.mu.Lock()
	v := w.life
	w.life = nil
	var lost []string
	if v != nil {
		for n, r := range v.runs {
			lost = append(lost, fmt.Sprintf("%s#%d", n, r.attempt))
			if r.timer != nil {
				r.timer.Stop()
			}
		}
	}
	w.mu.Unlock()
	if v == nil {
		return
	}
	v.cancel()
	_ = v.server.Close()
	w.site.rec.printf("worker %s crashes, with it %s", w.id, strings.Join(lost, " "))
}

// sendForeign sends a heartbeat of another writer under the worker's id: its zone and labels are
// missing, and its sequence number is the other writer's own.
func (w *worker) sendForeign() {
	w.mu.Lock()
	b := map[string]any{
		"Service": w.site.service, "Address": w.addr, "Version": "v1", "Slots": 8, "State": "ready", "Capacity": w.capacity,
		"ClockMs": w.life.clock(), "Seq": time.Now().UnixMilli(), "born": w.life.born.UnixMilli(),
	}
	w.mu.Unlock()
	c, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	status, _, err := request(c, http.MethodPost, "http://"+w.agentAddr+"/instances/"+w.id+"/heartbeat", nil, b)
	w.site.rec.printf("another writer sends a heartbeat under %s without Zone and Labels: %d %v", w.id, status, err)
}

// drain makes the worker say that it drains.
func (w *worker) drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = true
	w.site.rec.printf("worker %s drains", w.id)
}

// drainAcked returns when the worker's draining was acknowledged.
func (w *worker) drainAcked() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.drainAckedAt
}

// running lists the tasks that run.
func (w *worker) running() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var l []string
	if w.life != nil {
		for n := range w.life.runs {
			l = append(l, n)
		}
	}
	return l
}

func (v *life) clock() int64 { return clockStart + time.Since(v.born).Milliseconds() }

// beat sends heartbeats until c ends.
func (w *worker) beat(c context.Context, v *life) {
	for {
		w.mu.Lock()
		v.seq++
		b := map[string]any{
			"Service": w.site.service, "Address": w.addr, "Zone": w.zone, "Version": "v1", "Slots": 8, "State": "ready",
			"Machine": "m-" + w.id, "ColdLeftMs": 0, "Capacity": w.capacity, "Labels": []string{"a", w.rack},
			"ClockMs": v.clock(), "Seq": v.seq, "born": v.born.UnixMilli(),
		}
		draining := w.draining
		if draining {
			b["State"], b["RemainingMs"] = "draining", remainingTime.Milliseconds()
		}
		w.mu.Unlock()
		x, cancel := context.WithTimeout(c, heartbeatTimeout)
		status, _, err := request(x, http.MethodPost, "http://"+w.agentAddr+"/instances/"+w.id+"/heartbeat", nil, b)
		cancel()
		w.mu.Lock()
		if draining && err == nil && status == http.StatusOK && w.drainAckedAt.IsZero() {
			w.drainAckedAt = time.Now()
			w.site.rec.printf("worker %s: a heartbeat that says draining is acknowledged", w.id)
		}
		w.mu.Unlock()
		wait := heartbeatInterval
		if err != nil || status != http.StatusOK {
			wait /= 5
		}
		select {
		case <-c.Done():
			return
		case <-time.After(wait):
		}
	}
}

// expireLeases kills all that runs when the lease ends.
func (w *worker) expireLeases(c context.Context, v *life) {
	for {
		select {
		case <-c.Done():
			return
		case <-time.After(20 * time.Millisecond):
		}
		w.mu.Lock()
		if w.life == v && time.Now().After(v.lease) {
			for n := range v.runs {
				w.end(v, n, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// end ends a run; w.mu is held.
func (w *worker) end(v *life, task, how string) {
	r := v.runs[task]
	if r == nil {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(v.runs, task)
	v.lastEnd++
	v.ends = append(v.ends, taskEnd{
		number:  v.lastEnd,
		task:    task,
		attempt: r.attempt,
		how:     how,
	})
	close(v.changed)
	v.changed = make(chan struct{})
	w.site.rec.printf("end    %s#%d at %s: %s", task, r.attempt, w.id, how)
}

type order struct {
	Task         string
	Attempt      int
	Spec         string
	DeadlineMs   int64
	FencingToken int64
	AckedThrough int64
	WaitMs       int64
}

func (w *worker) serve(v *life, x http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		x.WriteHeader(http.StatusOK)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		reply(x, http.StatusBadRequest, struct{}{})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	id := r.Header.Get("Hemlockhinge-Expected-Instance")
	switch {
	case w.life != v:
		return
	case id != "" && id != w.id:
		reply(x, http.StatusMisdirectedRequest, struct{}{})
		return
	case o.FencingToken < v.token:
		reply(x, http.StatusConflict, map[string]any{"ClockMs": v.clock(), "Reason": "fence"})
		return
	}
	v.token = o.FencingToken
	if o.DeadlineMs > 0 {
		end := v.born.Add(time.Duration(o.DeadlineMs-clockStart) * time.Millisecond)
		if limit := time.Now().Add(w.site.maxLease); end.After(limit) {
			end = limit
		}
		if end.After(v.lease) {
			v.lease = end
		}
	}
	switch r.URL.Path {
	case "/run-start":
		w.startRun(v, x, o)
	case "/run-stop":
		w.stopRun(v, o)
		reply(x, http.StatusOK, map[string]any{"ClockMs": v.clock()})
	case "/hold":
		w.hold(r.Context(), v, x, o)
	default:
		reply(x, http.StatusNotFound, struct{}{})
	}
}

// startRun starts a run; w.mu is held.
func (w *worker) startRun(v *life, x http.ResponseWriter, o order) {
	reject := func(reason string) {
		w.site.rec.printf("reject %s#%d at %s: %s", o.Task, o.Attempt, w.id, reason)
		reply(x, http.StatusConflict, map[string]any{"ClockMs": v.clock(), "Reason": reason})
	}
	r := v.runs[o.Task]
	switch {
	case r != nil && r.attempt == o.Attempt:
		reply(x, http.StatusOK, map[string]any{"ClockMs": v.clock()})
		return
	case o.DeadlineMs < v.clock():
		reject("late")
		return
	case o.Attempt <= v.highest[o.Task]:
		reject("old")
		return
	}
	work, lasting, serving := parseSpec(o.Spec)
	n := &taskRun{
		attempt:   o.Attempt,
		startedAt: time.Now(),
		work:      work,
		lasting:   lasting,
		serving:   serving,
	}
	if !lasting {
		n.timer = time.AfterFunc(work, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.life == v && v.runs[o.Task] == n {
				w.end(v, o.Task, "done")
			}
		})
	}
	v.runs[o.Task] = n
	v.highest[o.Task] = o.Attempt
	w.site.rec.started(w, o.Task, o.Attempt)
	reply(x, http.StatusOK, map[string]any{"ClockMs": v.clock()})
	if w.onStart != nil {
		go w.onStart(w, o.Task, o.Attempt)
	}
}

// stopRun stops a run; w.mu is held.
func (w *worker) stopRun(v *life, o order) {
	v.highest[o.Task] = max(v.highest[o.Task], o.Attempt)
	r := v.runs[o.Task]
	if r == nil || r.attempt != o.Attempt {
		return
	}
	w.site.rec.printf("stop   %s#%d at %s", o.Task, o.Attempt, w.id)
	time.AfterFunc(w.stopTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life == v && v.runs[o.Task] == r {
			w.end(v, o.Task, "stopped")
		}
	})
}

// hold answers with the lists of runs and ends; w.mu is held but while it waits.
func (w *worker) hold(c context.Context, v *life, x http.ResponseWriter, o order) {
	var kept []taskEnd
	for _, e := range v.ends {
		if e.number > o.AckedThrough {
			kept = append(kept, e)
		}
	}
	v.ends = kept
	t := time.NewTimer(time.Duration(o.WaitMs) * time.Millisecond)
	defer t.Stop()
	for waiting := o.WaitMs > 0; waiting && len(v.ends) == 0 && w.life == v; {
		changed := v.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-t.C:
			waiting = false
		case <-c.Done():
			waiting = false
		}
		w.mu.Lock()
	}
	if w.life != v {
		return
	}
	running, finished := [][]any{}, [][]any{}
	for n, r := range v.runs {
		percent, rough := int(atWork*time.Since(r.startedAt)/max(r.work, 1)), 500
		if r.lasting {
			percent = 0
			if time.Since(r.startedAt) > lastingStartup {
				percent = atWork
			}
		}
		if r.serving {
			rough = 20
		}
		running = append(running, []any{n, r.attempt, "", min(percent, atWork), rough})
	}
	for _, e := range v.ends[:min(len(v.ends), maxEnds)] {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	reply(x, http.StatusOK, map[string]any{"ClockMs": v.clock(), "born": v.born.UnixMilli(), "Running": running, "Finished": finished})
}

// parseSpec reads what a task does: "work=MS", "lasting" or "serving".
func parseSpec(s string) (work time.Duration, lasting, serving bool) {
	if n, ok := strings.CutPrefix(s, "work="); ok {
		v, err := strconv.Atoi(n)
		if err == nil {
			return time.Duration(v) * time.Millisecond, false, false
		}
	}
	return time.Hour, true, s == "serving"
}

func reply(x http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil && !errors.Is(err, http.ErrHandlerTimeout) {
		status = http.StatusInternalServerError
	}
	x.Header().Set("Content-Type", "application/json")
	x.WriteHeader(status)
	_, _ = x.Write(b)
}
