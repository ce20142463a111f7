// Package proof tests complete sites. It simulates a site in virtual time,
// injects faults at each step of each protocol, and then runs checkers, one for
// each property that the system must keep. TestProcesses repeats some of the
// faults with real processes.
package proof

import (
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/conf"
	"hemlockhinge/fakes"
	"hemlockhinge/pack"
	"hemlockhinge/wire"
)

// Sizes and times of a simulated site.
const (
	latency          = 1400 * time.Microsecond
	entryCount       = 2
	workersPerDomain = 3
	slotsPerWorker   = 8
	settleTime       = 6 * time.Second
)

var domains = []string{"split-a", "split-b", "kastela"}

var workerSize = pack.Size{
	Accelerators: 8,
	Cores:        128,
	MemoryGiB:    256,
}

// simSite is a simulated site: entries, agents and workers in three failure
// domains, with the store, the network and the callers.
type simSite struct {
	t          *testing.T
	log        *logrus.Entry
	net        *fakes.Net
	store      *fakes.Store
	entries    map[string]*entryProc
	agents     map[string]*agentProc
	background sync.WaitGroup

	mu           sync.Mutex
	eventHook    func(e event)
	exchanges    []*exchange
	publications []publication
	// shutdowns is not empty once the simulation shuts down.
	shutdowns []string
	// draining has the start of each drain that has not ended, by process.
	draining map[string]time.Time
	// drains has the drains that ended with a new process.
	drains []drainPeriod
	// configVersions has the last configuration version seen at each process.
	configVersions map[string]uint64
	objects        conf.Objects
	configVersion  uint64
	// storeCut has the entries that cannot reach the store.
	storeCut map[string]bool
	// duplicateNext and delayNext name the message, with its path, that is sent
	// twice or delayed next. delayed has the delayed message of each path.
	duplicateNext   string
	delayNext       string
	delayed         map[string][]byte
	plannedStopDone bool
	// forcedBodySize, if set, makes workers respond with a body of this size that
	// differs from the request's, to test checkResponses.
	forcedBodySize string
	// backInServiceAt is when a failure domain was last put back into service.
	backInServiceAt map[string]time.Time
	jobIDs          []string
}

// drainPeriod is the time from the start of a drain to the start of the process
// that replaces the drained one.
type drainPeriod struct {
	id   string
	from time.Time
	to   time.Time
}

// event is one step of a protocol that is about to happen: a message from one
// process to another, a call of the store, or a call of a worker.
type event struct {
	name string
	from string
	to   string
}

// publication is an accepted change of the configuration. outOfService and
// inService list the failure domains that are out of service and in service.
type publication struct {
	version      uint64
	acceptedAt   time.Time
	outOfService []string
	inService    []string
}

// inSimulation runs f with a new simulated site in virtual time, and then stops
// the site.
func inSimulation(t *testing.T, f func(w *simSite)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newSimSite(t)
		w.start()
		f(w)
		w.stop()
	})
}

func newSimSite(t *testing.T) *simSite {
	l := logrus.New()
	l.SetOutput(io.Discard)
	if os.Getenv("PROOF_LOG") != "" {
		l.SetOutput(os.Stderr)
		l.SetLevel(logrus.DebugLevel)
		l.SetFormatter(&logrus.TextFormatter{
			DisableColors:   true,
			FullTimestamp:   true,
			TimestampFormat: "15:04:05.000",
		})
	}
	return &simSite{
		t:               t,
		log:             logrus.NewEntry(l),
		net:             fakes.NewNet(latency),
		store:           fakes.NewStore(),
		entries:         map[string]*entryProc{},
		agents:          map[string]*agentProc{},
		draining:        map[string]time.Time{},
		configVersions:  map[string]uint64{},
		storeCut:        map[string]bool{},
		delayed:         map[string][]byte{},
		backInServiceAt: map[string]time.Time{},
		objects:         objects(),
	}
}

// objects returns the configuration of the site.
func objects() conf.Objects {
	o := conf.Objects{
		Customers: []conf.Customer{
			{Name: "pharmacies", Weight: 1},
			{Name: "bakeries", Weight: 1},
		},
		Guarantees: []conf.Guarantee{{
			Name:           "night",
			Customer:       "pharmacies",
			Count:          1,
			FailureDomains: domains,
			Reclaim:        conf.Duration(30 * time.Second),
			Survive:        1,
			Shape: pack.Shape{
				Tasks:     2,
				Adjacency: pack.AdjacentRack,
				Size:      pack.Size{Accelerators: 8},
			},
		}},
		Services: []conf.Service{{
			Name:    "raspored",
			Timeout: conf.Duration(20 * time.Second),
		}},
		JobClasses: []conf.JobClass{
			{Name: "urgent", Priority: 0, Urgent: true, Grace: conf.Duration(2 * time.Second)},
			{Name: "batch", Priority: 10, Grace: conf.Duration(5 * time.Second)},
		},
	}
	for _, d := range domains {
		o.FailureDomains = append(o.FailureDomains, conf.FailureDomain{
			Name:           d,
			Region:         "dalmatia",
			Workers:        workersPerDomain,
			WorkersPerRack: 3,
			Worker:         workerSize,
		})
	}
	return o
}

func (w *simSite) start() {
	w.net.SetWriteHook(w.onWrite)
	for i := range entryCount {
		w.startEntry(fmt.Sprintf("entry-%d", i+1))
	}
	for _, d := range domains {
		for i := range workersPerDomain {
			w.startAgent(fmt.Sprintf("%s-w%d", d, i), d, nil)
		}
	}
	time.Sleep(500 * time.Millisecond)
	w.mustPublish()
	time.Sleep(settleTime)
	w.background.Go(w.watchVersions)
}

// stop kills every process, whatever state it is in.
func (w *simSite) stop() {
	w.setEventHook(nil)
	w.mu.Lock()
	w.shutdowns = append(w.shutdowns, "all")
	w.mu.Unlock()
	for _, p := range w.entries {
		p.host.Kill(false)
		p.cancel()
		<-p.done
	}
	for _, p := range w.agents {
		p.host.Kill(false)
		p.cancel()
		<-p.done
	}
	w.background.Wait()
	time.Sleep(2 * time.Minute)
}

// shuttingDown reports whether the simulation is shutting down, so that
// background work must end.
func (w *simSite) shuttingDown() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.shutdowns) > 0
}

// setEventHook sets the function that is called before each step.
func (w *simSite) setEventHook(f func(e event)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.eventHook = f
}

func (w *simSite) fire(e event) {
	w.mu.Lock()
	f := w.eventHook
	w.mu.Unlock()
	if f != nil {
		f(e)
	}
}

// stepNames are the names of the steps that are messages between daemons.
var stepNames = map[wire.Kind]string{
	wire.KindAnnounce:      "announce",
	wire.KindHeartbeat:     "heartbeat",
	wire.KindAgentConfig:   "agent config",
	wire.KindReserve:       "reserve",
	wire.KindReserved:      "reserved",
	wire.KindPrepare:       "prepare",
	wire.KindJoin:          "join",
	wire.KindStartTasks:    "start tasks",
	wire.KindRenew:         "renew",
	wire.KindMemberStatus:  "member status",
	wire.KindStop:          "stop",
	wire.KindAttemptReport: "attempt report",
	wire.KindRequestHead:   "request head",
	wire.KindAdmitted:      "admitted",
	wire.KindResponseHead:  "response head",
	wire.KindBodyChunk:     "body chunk",
	wire.KindBodyEnd:       "body end",
}

// onWrite is called before each write of a daemon to another. It reports the
// message as a step, and returns what is sent instead.
func (w *simSite) onWrite(from, to string, b []byte) [][]byte {
	k, _, ok := wire.KindOf(b)
	n, known := stepNames[k]
	if !ok || !known {
		return [][]byte{b}
	}
	w.fire(event{name: n, from: from, to: to})
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.duplicateOrDelay(n, from+">"+to, b)
}

// duplicateOrDelay returns the messages to send in place of b. It sends b twice
// if duplicateNext selects it, and if delayNext selects it, it delays b until
// after the next standalone message on the same path. The caller holds mu.
func (w *simSite) duplicateOrDelay(name, path string, b []byte) [][]byte {
	if h := w.delayed[path]; h != nil && isStandaloneMessage(name) {
		delete(w.delayed, path)
		return [][]byte{b, h}
	}
	switch {
	case w.duplicateNext == name+path:
		w.duplicateNext = ""
		return [][]byte{b, b}
	case w.delayNext == name+path:
		w.delayNext = ""
		w.delayed[path] = append([]byte(nil), b...)
		return nil
	}
	return [][]byte{b}
}

// isStandaloneMessage reports whether a step is a message that can be
// duplicated or reordered. The messages of a request's stream cannot be: TCP
// delivers them once and in order.
func isStandaloneMessage(name string) bool {
	switch name {
	case "request head", "admitted", "response head", "body chunk", "body end":
		return false
	}
	return slices.Contains(slices.Collect(maps.Values(stepNames)), name)
}

// onStoreCall reports a call of the store as a step, named after the operation
// and the first segment of the key.
func (w *simSite) onStoreCall(from, op, key string) {
	k, _, _ := strings.Cut(key, "/")
	w.fire(event{name: op + " " + k, from: from, to: "store"})
}

// watchVersions checks until the end of the simulation that no process returns
// to an older configuration version.
func (w *simSite) watchVersions() {
	for !w.shuttingDown() {
		w.mu.Lock()
		for id, p := range w.agents {
			w.checkVersion(id, p.agent.State().ConfigVersion)
		}
		for id, p := range w.entries {
			w.checkVersion(id, p.entry.Status().ConfigVersion)
		}
		w.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
}

// checkVersion fails the test if v is older than the version seen before at a
// process. The caller holds mu.
func (w *simSite) checkVersion(id string, v uint64) {
	if v < w.configVersions[id] {
		w.t.Errorf("configuration version at %s decreased from %d to %d", id, w.configVersions[id], v)
	}
	w.configVersions[id] = v
}
