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

// process is an entry or agent of the simulated site.
type process struct {
	id          string
	host        *fakes.Host
	cancel      context.CancelFunc
	drain       chan struct{}
	done        chan struct{}
	drainOnce   sync.Once
	killed      atomic.Bool
	frozenUntil time.Time
	startedAt   time.Time
}

func newProcess(id string, h *fakes.Host, cancel context.CancelFunc) *process {
	return &process{
		id:        id,
		host:      h,
		cancel:    cancel,
		drain:     make(chan struct{}),
		done:      make(chan struct{}),
		startedAt: time.Now(),
	}
}

// upForConfigBound reports whether a process has been running without a freeze
// for at least configBound, so that it must have the current configuration. The
// caller holds mu of the site.
func (p *process) upForConfigBound() bool {
	return !p.killed.Load() && time.Since(p.startedAt) >= configBound && time.Since(p.frozenUntil) >= configBound
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

func (w *simSite) startEntry(id string) {
	h := w.net.Host(id)
	c, cancel := context.WithCancel(context.Background())
	e := entry.New(entry.Ports{
		Net: h,
		Store: &fakes.GatedStore{
			Store:  w.store,
			Gate:   h.Gate(),
			IsCut:  func() bool { return w.isStoreCut(id) },
			OnCall: func(op, key string) { w.onStoreCall(id, op, key) },
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

// startAgent starts an agent with the worker k, or with a new worker if k is nil.
func (w *simSite) startAgent(id, domain string, k *fakes.Worker) {
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
		Slots:         slotsPerWorker,
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

// proc returns the process with this id, or nil.
func (w *simSite) proc(id string) *process {
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

// kill kills a process and starts a new one after back, as the platform does. The
// new process has a later incarnation. If silent is set, the peers get no reset,
// as when a machine fails.
func (w *simSite) kill(id string, silent bool, back time.Duration) {
	p := w.proc(id)
	if p == nil || p.killed.Swap(true) {
		return
	}
	p.host.Kill(silent)
	p.cancel()
	w.background.Go(func() {
		<-p.done
		time.Sleep(back)
		if w.shuttingDown() {
			return
		}
		p.host.Restart()
		w.mu.Lock()
		delete(w.configVersions, id)
		if t, ok := w.draining[id]; ok {
			delete(w.draining, id)
			w.drains = append(w.drains, drainPeriod{
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

// freeze stops a process for d, like SIGSTOP and SIGCONT.
func (w *simSite) freeze(id string, d time.Duration) {
	p := w.proc(id)
	if p == nil {
		return
	}
	w.mu.Lock()
	p.frozenUntil = time.Now().Add(d)
	w.mu.Unlock()
	p.host.Gate().Freeze()
	w.background.Go(func() {
		time.Sleep(d)
		p.host.Gate().Thaw()
	})
}

// cut interrupts the path from one process to another for longFaultTime.
func (w *simSite) cut(from, to string) {
	w.net.Cut(from, to, true)
	w.background.Go(func() {
		time.Sleep(longFaultTime)
		w.net.Cut(from, to, false)
	})
}

func (w *simSite) isStoreCut(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storeCut[id]
}

// stopGracefully starts the drain of a process.
func (w *simSite) stopGracefully(id string) {
	p := w.proc(id)
	w.mu.Lock()
	if _, ok := w.draining[id]; !ok {
		w.draining[id] = time.Now()
	}
	w.mu.Unlock()
	p.drainOnce.Do(func() { close(p.drain) })
}
