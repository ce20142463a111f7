package proof

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"hemlockhinge/agent"
	"hemlockhinge/conf"
	"hemlockhinge/entry"
	"hemlockhinge/fakes"
)

type process struct {
	id     string
	host   *fakes.Host
	cancel context.CancelFunc
	drain  chan struct{}
	done   chan struct{}
	once   sync.Once
	killed atomic.Bool
	frozen time.Time
	began  time.Time
}

func newProcess(id string, h *fakes.Host, cancel context.CancelFunc) *process {
	return &process{
		id:     id,
		host:   h,
		cancel: cancel,
		drain:  make(chan struct{}),
		done:   make(chan struct{}),
		began:  time.Now(),
	}
}

// settled reports whether a process has run, and not been frozen, long enough to
// be judged. The caller holds the world's mu.
func (p *process) settled() bool {
	return !p.killed.Load() && time.Since(p.began) >= configBound && time.Since(p.frozen) >= configBound
}

type entryProc struct {
	*process
	entry *entry.Entry
}

type agentProc struct {
	*process
	agent  *agent.Agent
	worker *fakes.Worker
	domain string
}

func (w *world) startEntry(id string) {
	h := w.net.Host(id)
	c, cancel := context.WithCancel(context.Background())
	e := entry.New(entry.Ports{
		Net: h,
		Store: &fakes.GatedStore{
			Store:  w.store,
			Gate:   h.Gate(),
			IsCut:  func() bool { return w.isCut(id) },
			OnCall: func(op, key string) { w.onStore(id, op, key) },
		},
		Log: w.log,
	}, conf.EntrySettings{
		ID:            id,
		FailureDomain: domains[0],
		HTTPListen:    id + ":8080",
		WireListen:    id + ":7070",
	})
	p := &entryProc{
		entry:   e,
		process: newProcess(id, h, cancel),
	}
	w.mu.Lock()
	w.entries[id] = p
	w.mu.Unlock()
	go func() {
		defer close(p.done)
		_ = e.Run(c, p.drain)
	}()
}

func (w *world) startAgent(id, domain string, k *fakes.Worker) {
	h := w.net.Host(id)
	if k == nil {
		k = fakes.NewWorker(id)
	}
	var l []string
	for i := range entryCount {
		l = append(l, fmt.Sprintf("entry-%d:7070", i+1))
	}
	c, cancel := context.WithCancel(context.Background())
	a := agent.New(agent.Ports{
		Net: h,
		Worker: &fakes.GatedWorker{
			Worker: k,
			Gate:   h.Gate(),
			OnCall: func(op string) { w.fire(event{name: "worker " + op, from: id, to: id}) },
		},
		Log: w.log,
	}, conf.AgentSettings{
		ID:            id,
		FailureDomain: domain,
		Rack:          domain + "-r0",
		WireListen:    id + ":7070",
		HTTPListen:    id + ":8080",
		Entries:       l,
		Services:      []string{"raspored"},
		Slots:         slots,
		Connections:   64,
		Capacity:      workerSize,
	})
	p := &agentProc{
		agent:   a,
		worker:  k,
		domain:  domain,
		process: newProcess(id, h, cancel),
	}
	w.mu.Lock()
	w.agents[id] = p
	w.mu.Unlock()
	go func() {
		defer close(p.done)
		_ = a.Run(c, p.drain)
	}()
}

func (w *world) proc(id string) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p := w.entries[id]; p != nil {
		return p.process
	}
	if p := w.agents[id]; p != nil {
		return p.process
	}
	return nil
}

// kill ends a process by force, and has one new one take its place later, as
// the platform does. It has a later incarnation.
func (w *world) kill(id string, silent bool, back time.Duration) {
	p := w.proc(id)
	if p == nil || p.killed.Swap(true) {
		return
	}
	p.host.Kill(silent)
	p.cancel()
	w.group.Go(func() {
		<-p.done
		time.Sleep(back)
		if w.over() {
			return
		}
		p.host.Revive()
		w.mu.Lock()
		delete(w.versions, id)
		if t, ok := w.leaving[id]; ok {
			delete(w.leaving, id)
			w.left = append(w.left, departure{
				id:   id,
				from: t,
				to:   time.Now(),
			})
		}
		a := w.agents[id]
		w.mu.Unlock()
		if a != nil {
			w.startAgent(id, a.domain, a.worker)
		} else {
			w.startEntry(id)
		}
	})
}

func (w *world) freeze(id string, d time.Duration) {
	p := w.proc(id)
	if p == nil {
		return
	}
	w.mu.Lock()
	p.frozen = time.Now().Add(d)
	w.mu.Unlock()
	p.host.Gate().Freeze()
	w.group.Go(func() {
		time.Sleep(d)
		p.host.Gate().Thaw()
	})
}

func (w *world) cut(from, to string) {
	w.net.Cut(from, to, true)
	w.group.Go(func() {
		time.Sleep(longTime)
		w.net.Cut(from, to, false)
	})
}

func (w *world) isCut(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cutStore[id]
}

// stopGracefully asks a process to stop.
func (w *world) stopGracefully(id string) {
	p := w.proc(id)
	w.mu.Lock()
	if _, ok := w.leaving[id]; !ok {
		w.leaving[id] = time.Now()
	}
	w.mu.Unlock()
	p.once.Do(func() { close(p.drain) })
}
