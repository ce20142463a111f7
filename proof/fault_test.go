package proof

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"hemlockhinge/conf"
	"hemlockhinge/entry"
	"hemlockhinge/jobs"
)

// fault is a fault that is injected at a step. inject runs within the step and
// must not block.
type fault struct {
	name   string
	scope  scope
	inject func(w *simSite, e event)
}

// scope says what a fault affects, and so which properties must hold in spite of
// it.
type scope uint8

// The scopes of faults.
const (
	scopeProcess scope = 1 << iota
	scopePath
	scopeStore
	scopeWorker
	scopeMessage
	scopeJob
)

// appliesTo reports whether a fault can be injected at a step.
func (f fault) appliesTo(step string) bool {
	return f.scope&scopeMessage == 0 || isStandaloneMessage(step)
}

// Durations of faults: longFaultTime is longer than every lease, and
// shortFaultTime is longer than a heartbeat interval.
const (
	longFaultTime   = 12 * time.Second
	shortFaultTime  = 2 * time.Second
	storeOutageTime = 10 * time.Second
	restartDelay    = 4 * time.Second
)

// faults are all faults of the matrix.
var faults = []fault{
	{name: "none", inject: func(*simSite, event) {}},
	{name: "kill sender", scope: scopeProcess, inject: func(w *simSite, e event) { w.kill(e.from, false, restartDelay) }},
	{name: "kill receiver", scope: scopeProcess, inject: func(w *simSite, e event) { w.kill(e.to, false, restartDelay) }},
	{name: "sender machine fails", scope: scopeProcess, inject: func(w *simSite, e event) { w.kill(e.from, true, longFaultTime) }},
	{name: "receiver machine fails", scope: scopeProcess, inject: func(w *simSite, e event) { w.kill(e.to, true, longFaultTime) }},
	{name: "freeze sender", scope: scopeProcess, inject: func(w *simSite, e event) { w.freeze(e.from, longFaultTime) }},
	{name: "freeze receiver", scope: scopeProcess, inject: func(w *simSite, e event) { w.freeze(e.to, longFaultTime) }},
	{name: "freeze sender briefly", scope: scopeProcess, inject: func(w *simSite, e event) { w.freeze(e.from, shortFaultTime) }},
	{name: "freeze receiver briefly", scope: scopeProcess, inject: func(w *simSite, e event) { w.freeze(e.to, shortFaultTime) }},
	{name: "cut forward path", scope: scopePath, inject: func(w *simSite, e event) { w.cut(e.from, e.to) }},
	{name: "cut reverse path", scope: scopePath, inject: func(w *simSite, e event) { w.cut(e.to, e.from) }},
	{name: "cut both paths", scope: scopePath, inject: func(w *simSite, e event) {
		w.cut(e.from, e.to)
		w.cut(e.to, e.from)
	}},
	{name: "late", scope: scopePath, inject: func(w *simSite, e event) { w.addLatency(e.from, e.to, time.Second, longFaultTime) }},
	{name: "duplicated", scope: scopeMessage, inject: func(w *simSite, e event) { w.mangleNext(&w.duplicateNext, e) }},
	{name: "out of order", scope: scopeMessage, inject: func(w *simSite, e event) { w.mangleNext(&w.delayNext, e) }},
	{name: "store outage", scope: scopeStore, inject: func(w *simSite, _ event) { w.startStoreOutage(storeOutageTime) }},
	{name: "long store outage", scope: scopeStore, inject: func(w *simSite, _ event) { w.startStoreOutage(5 * time.Minute) }},
	{name: "store slow", scope: scopeStore, inject: func(w *simSite, _ event) { w.slowDownStore(time.Second, longFaultTime) }},
	{name: "store answers lost", scope: scopeStore, inject: func(w *simSite, _ event) { w.store.LoseAnswers(3) }},
	{name: "leases expire", scope: scopeStore, inject: func(w *simSite, _ event) { w.store.ExpireLeases(time.Minute) }},
	{name: "entry cut from the store", scope: scopeStore, inject: func(w *simSite, e event) { w.cutFromStore(e, longFaultTime) }},
	{name: "competing scheduler", scope: scopeStore, inject: func(w *simSite, _ event) { w.deleteSchedulerKeys() }},
	{name: "competing operator", scope: scopeJob, inject: func(w *simSite, _ event) { w.publishCompetingChange() }},
	{name: "worker fails everything", scope: scopeWorker, inject: func(w *simSite, e event) { w.failTasksOfWorker(e) }},
	{name: "cancel", scope: scopeJob, inject: func(w *simSite, _ event) { w.cancelAllJobs() }},
}

// mangleNext selects the message that is about to be sent for duplication or
// delay: field is &w.duplicateNext or &w.delayNext.
func (w *simSite) mangleNext(field *string, e event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*field = e.name + e.from + ">" + e.to
}

// deleteSchedulerKeys deletes the keys by which schedulers hold their roles.
// Other entries then take over the roles while the holders still rely on their
// leases.
func (w *simSite) deleteSchedulerKeys() {
	c := context.Background()
	w.background.Go(func() {
		p, err := w.store.List(c, "live/sched/", "")
		if err != nil {
			return
		}
		for _, i := range p.Items {
			_ = w.store.Delete(c, i.Key, i.Revision)
		}
	})
}

// publishCompetingChange publishes, as a second operator, a different change
// that is based on the same configuration version as the first operator's
// change.
func (w *simSite) publishCompetingChange() {
	w.mu.Lock()
	v := w.configVersion
	o := w.objects
	w.mu.Unlock()
	o.Customers = append(slices.Clone(o.Customers), conf.Customer{
		Name: "rival",
	})
	w.background.Go(func() {
		var p entry.PublishResult
		_, _ = w.callAPI(http.MethodPut, "entry-2", "/v1/config", fmt.Sprint(v), o, &p)
	})
}

// addLatency adds by to the latency of a path for d.
func (w *simSite) addLatency(from, to string, by, d time.Duration) {
	w.net.SetExtraLatency(from, to, by)
	w.background.Go(func() {
		time.Sleep(d)
		w.net.SetExtraLatency(from, to, 0)
	})
}

func (w *simSite) startStoreOutage(d time.Duration) {
	w.background.Go(func() {
		w.store.SetUnavailable(true)
		time.Sleep(d)
		w.store.SetUnavailable(false)
	})
}

func (w *simSite) slowDownStore(by, d time.Duration) {
	w.store.SetDelay(by)
	w.background.Go(func() {
		time.Sleep(d)
		w.store.SetDelay(0)
	})
}

// cutFromStore cuts off from the store, for d, the entries that take part in the
// step.
func (w *simSite) cutFromStore(e event, d time.Duration) {
	for _, id := range []string{e.from, e.to} {
		w.mu.Lock()
		_, ok := w.entries[id]
		if ok {
			w.storeCut[id] = true
		}
		w.mu.Unlock()
		if !ok {
			continue
		}
		w.background.Go(func() {
			time.Sleep(d)
			w.mu.Lock()
			defer w.mu.Unlock()
			w.storeCut[id] = false
		})
	}
}

// failTasksOfWorker makes a worker that takes part in the step fail every task.
func (w *simSite) failTasksOfWorker(e event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range []string{e.to, e.from} {
		if a := w.agents[id]; a != nil {
			a.worker.SetFailAll(true)
			return
		}
	}
}

// cancelAllJobs cancels every job submitted so far.
func (w *simSite) cancelAllJobs() {
	w.mu.Lock()
	l := append([]string(nil), w.jobIDs...)
	w.mu.Unlock()
	w.background.Go(func() {
		for _, id := range l {
			for i := range 60 {
				var j jobs.Job
				if _, err := w.callAPI(http.MethodDelete, []string{"entry-1", "entry-2"}[i%2], "/v1/jobs/"+id, "", nil, &j); err == nil {
					break
				}
				time.Sleep(time.Second)
			}
		}
	})
}

// injectFaults injects each fault when its step is about to happen for the
// first time, and the second fault only after the first. The returned function
// reports whether the first fault was injected.
func (w *simSite) injectFaults(l []faultAtStep) func() bool {
	var mu sync.Mutex
	next := 0
	w.setEventHook(func(e event) {
		mu.Lock()
		if next >= len(l) || l[next].step != e.name {
			mu.Unlock()
			return
		}
		f := l[next].fault
		next++
		mu.Unlock()
		f.inject(w, e)
	})
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return next > 0
	}
}
