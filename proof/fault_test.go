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

// fault is something that goes wrong at a step. It must not block.
type fault struct {
	name  string
	trait trait
	do    func(w *world, e event)
}

// trait says what a fault touches, and so which promises it leaves whole.
type trait uint8

// The traits of faults.
const (
	onProcess trait = 1 << iota
	onPath
	onStore
	onWorker
	onCall
	onJob
)

// fits reports whether a fault can come at a step.
func (f fault) fits(step string) bool { return f.trait&onCall == 0 || isCall(step) }

// Times of faults: longer than every lease, and than a heartbeat.
const (
	longTime  = 12 * time.Second
	shortTime = 2 * time.Second
	outage    = 10 * time.Second
	backAfter = 4 * time.Second
)

// faults is every fault of the matrix.
var faults = []fault{
	{name: "none", do: func(*world, event) {}},
	{name: "kill sender", trait: onProcess, do: func(w *world, e event) { w.kill(e.from, false, backAfter) }},
	{name: "kill receiver", trait: onProcess, do: func(w *world, e event) { w.kill(e.to, false, backAfter) }},
	{name: "sender dies silently", trait: onProcess, do: func(w *world, e event) { w.kill(e.from, true, longTime) }},
	{name: "receiver dies silently", trait: onProcess, do: func(w *world, e event) { w.kill(e.to, true, longTime) }},
	{name: "freeze sender", trait: onProcess, do: func(w *world, e event) { w.freeze(e.from, longTime) }},
	{name: "freeze receiver", trait: onProcess, do: func(w *world, e event) { w.freeze(e.to, longTime) }},
	{name: "freeze sender briefly", trait: onProcess, do: func(w *world, e event) { w.freeze(e.from, shortTime) }},
	{name: "freeze receiver briefly", trait: onProcess, do: func(w *world, e event) { w.freeze(e.to, shortTime) }},
	{name: "cut one way", trait: onPath, do: func(w *world, e event) { w.cut(e.from, e.to) }},
	{name: "cut the way back", trait: onPath, do: func(w *world, e event) { w.cut(e.to, e.from) }},
	{name: "cut both ways", trait: onPath, do: func(w *world, e event) {
		w.cut(e.from, e.to)
		w.cut(e.to, e.from)
	}},
	{name: "late", trait: onPath, do: func(w *world, e event) { w.late(e.from, e.to, time.Second, longTime) }},
	{name: "doubled", trait: onCall, do: func(w *world, e event) { w.mark(&w.double, e) }},
	{name: "out of order", trait: onCall, do: func(w *world, e event) { w.mark(&w.hold, e) }},
	{name: "store out", trait: onStore, do: func(w *world, _ event) { w.storeOut(outage) }},
	{name: "store out for long", trait: onStore, do: func(w *world, _ event) { w.storeOut(5 * time.Minute) }},
	{name: "store slow", trait: onStore, do: func(w *world, _ event) { w.storeSlow(time.Second, longTime) }},
	{name: "store answers lost", trait: onStore, do: func(w *world, _ event) { w.store.LoseAnswers(3) }},
	{name: "leases lapse", trait: onStore, do: func(w *world, _ event) { w.store.ExpireLeases(time.Minute) }},
	{name: "entry cut from the store", trait: onStore, do: func(w *world, e event) { w.cutFromStore(e, longTime) }},
	{name: "rival scheduler", trait: onStore, do: func(w *world, _ event) { w.dropRoles() }},
	{name: "rival operator", trait: onJob, do: func(w *world, _ event) { w.rivalChange() }},
	{name: "worker fails everything", trait: onWorker, do: func(w *world, e event) { w.failWorker(e) }},
	{name: "cancel", trait: onJob, do: func(w *world, _ event) { w.cancelAll() }},
}

// mark has the message that is about to be sent mangled.
func (w *world) mark(what *string, e event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*what = e.name + e.from + ">" + e.to
}

// dropRoles deletes the schedulers' keys under their holders, so that others
// take the roles while the holders still trust their leases.
func (w *world) dropRoles() {
	c := context.Background()
	w.group.Go(func() {
		p, err := w.store.List(c, "live/sched/", "")
		if err != nil {
			return
		}
		for _, i := range p.Items {
			_ = w.store.Delete(c, i.Key, i.Revision)
		}
	})
}

// rivalChange has a second operator publish another change on the version that
// the first one works on.
func (w *world) rivalChange() {
	w.mu.Lock()
	v := w.version
	o := w.objects
	w.mu.Unlock()
	o.Customers = append(slices.Clone(o.Customers), conf.Customer{
		Name: "rival",
	})
	w.group.Go(func() {
		var p entry.Published
		_, _ = w.do(http.MethodPut, "entry-2", "/v1/config", fmt.Sprint(v), o, &p)
	})
}

func (w *world) late(from, to string, by, d time.Duration) {
	w.net.SetExtraLatency(from, to, by)
	w.group.Go(func() {
		time.Sleep(d)
		w.net.SetExtraLatency(from, to, 0)
	})
}

func (w *world) storeOut(d time.Duration) {
	w.group.Go(func() {
		w.store.SetOut(true)
		time.Sleep(d)
		w.store.SetOut(false)
	})
}

func (w *world) storeSlow(by, d time.Duration) {
	w.store.SetDelay(by)
	w.group.Go(func() {
		time.Sleep(d)
		w.store.SetDelay(0)
	})
}

// cutFromStore cuts the entry that takes part in the step from the store.
func (w *world) cutFromStore(e event, d time.Duration) {
	for _, id := range []string{e.from, e.to} {
		w.mu.Lock()
		_, ok := w.entries[id]
		if ok {
			w.cutStore[id] = true
		}
		w.mu.Unlock()
		if !ok {
			continue
		}
		w.group.Go(func() {
			time.Sleep(d)
			w.mu.Lock()
			defer w.mu.Unlock()
			w.cutStore[id] = false
		})
	}
}

// failWorker lets a worker of the step fail every task.
func (w *world) failWorker(e event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range []string{e.to, e.from} {
		if a := w.agents[id]; a != nil {
			a.worker.SetFailAll(true)
			return
		}
	}
}

// cancelAll cancels every job submitted so far.
func (w *world) cancelAll() {
	w.mu.Lock()
	l := append([]string(nil), w.jobIDs...)
	w.mu.Unlock()
	w.group.Go(func() {
		for _, id := range l {
			for i := range 60 {
				var j jobs.Job
				if _, err := w.do(http.MethodDelete, []string{"entry-1", "entry-2"}[i%2], "/v1/jobs/"+id, "", nil, &j); err == nil {
					break
				}
				time.Sleep(time.Second)
			}
		}
	})
}

// arm brings about each fault at the first time that its step is about to be
// taken, the second only after the first. It returns whether the first came.
func (w *world) arm(l []timed) func() bool {
	var mu sync.Mutex
	next := 0
	w.setTap(func(e event) {
		mu.Lock()
		if next >= len(l) || l[next].step != e.name {
			mu.Unlock()
			return
		}
		f := l[next].fault
		next++
		mu.Unlock()
		f.do(w, e)
	})
	return func() bool {
		mu.Lock()
		defer mu.Unlock()
		return next > 0
	}
}
