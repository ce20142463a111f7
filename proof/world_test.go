// Package proof runs whole sites in virtual time, brings about faults at each
// step of each protocol, and judges the runs by checkers, one for each promise.
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

// Sizes and times of a site.
const (
	latency    = 1400 * time.Microsecond
	entryCount = 2
	perDomain  = 3
	slots      = 8
	settleTime = 6 * time.Second
)

var domains = []string{"split-a", "split-b", "kastela"}

var workerSize = pack.Size{
	Accelerators: 8,
	Cores:        128,
	MemoryGiB:    256,
}

// world is one site with everything around it.
type world struct {
	t       *testing.T
	log     *logrus.Entry
	net     *fakes.Net
	store   *fakes.Store
	entries map[string]*entryProc
	agents  map[string]*agentProc
	group   sync.WaitGroup

	mu       sync.Mutex
	tap      func(e event)
	requests []*exchange
	pubs     []published
	downs    []string
	leaving  map[string]time.Time
	left     []departure
	versions map[string]uint64
	objects  conf.Objects
	version  uint64
	cutStore map[string]bool
	double   string
	hold     string
	held     map[string][]byte
	planned  bool
	// wrongBytes has workers answer with other bodies, for planted faults.
	wrongBytes string
	backFrom   map[string]time.Time
	jobIDs     []string
}

// departure is the time from the beginning of a planned stop to the start of
// the process that takes the place.
type departure struct {
	id   string
	from time.Time
	to   time.Time
}

// event is one step that is about to be taken.
type event struct {
	name string
	from string
	to   string
}

// published is an accepted change of the objects.
type published struct {
	version uint64
	at      time.Time
	out     []string
	in      []string
}

// inWorld runs f against a fresh site in virtual time, and stops everything.
func inWorld(t *testing.T, f func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.start()
		f(w)
		w.stop()
	})
}

func newWorld(t *testing.T) *world {
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
	return &world{
		t:        t,
		log:      logrus.NewEntry(l),
		net:      fakes.NewNet(latency),
		store:    fakes.NewStore(),
		entries:  map[string]*entryProc{},
		agents:   map[string]*agentProc{},
		leaving:  map[string]time.Time{},
		versions: map[string]uint64{},
		cutStore: map[string]bool{},
		held:     map[string][]byte{},
		backFrom: map[string]time.Time{},
		objects:  objects(),
	}
}

// objects is the configuration of the site.
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
			Workers:        perDomain,
			WorkersPerRack: 3,
			Worker:         workerSize,
		})
	}
	return o
}

func (w *world) start() {
	w.net.SetWriteHook(w.onWrite)
	for i := range entryCount {
		w.startEntry(fmt.Sprintf("entry-%d", i+1))
	}
	for _, d := range domains {
		for i := range perDomain {
			w.startAgent(fmt.Sprintf("%s-w%d", d, i), d, nil)
		}
	}
	time.Sleep(500 * time.Millisecond)
	w.mustPublish()
	time.Sleep(settleTime)
	w.group.Go(w.sampleVersions)
}

// stop ends every process at once, whatever state it is in.
func (w *world) stop() {
	w.setTap(nil)
	w.mu.Lock()
	w.downs = append(w.downs, "all")
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
	w.group.Wait()
	time.Sleep(2 * time.Minute)
}

func (w *world) over() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.downs) > 0
}

func (w *world) setTap(f func(e event)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tap = f
}

func (w *world) fire(e event) {
	w.mu.Lock()
	f := w.tap
	w.mu.Unlock()
	if f != nil {
		f(e)
	}
}

var kindNames = map[wire.Kind]string{
	wire.KindAnnounce:      "announce",
	wire.KindHeartbeat:     "beat",
	wire.KindAgentConfig:   "policy",
	wire.KindReserve:       "reserve",
	wire.KindReserved:      "granted",
	wire.KindPrepare:       "prepare",
	wire.KindJoin:          "join",
	wire.KindStartTasks:    "release",
	wire.KindRenew:         "renew",
	wire.KindMemberStatus:  "member",
	wire.KindStop:          "stop",
	wire.KindAttemptReport: "report",
	wire.KindRequestHead:   "head",
	wire.KindAdmitted:      "verdict",
	wire.KindResponseHead:  "response",
	wire.KindBodyChunk:     "chunk",
	wire.KindBodyEnd:       "end",
}

func (w *world) onWrite(from, to string, b []byte) [][]byte {
	k, _, ok := wire.KindOf(b)
	n, known := kindNames[k]
	if !ok || !known {
		return [][]byte{b}
	}
	w.fire(event{name: n, from: from, to: to})
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mangle(n, from+">"+to, b)
}

// mangle doubles a message, or holds it back until the next one on its way.
// The caller holds mu.
func (w *world) mangle(name, way string, b []byte) [][]byte {
	if h := w.held[way]; h != nil && isCall(name) {
		delete(w.held, way)
		return [][]byte{b, h}
	}
	switch {
	case w.double == name+way:
		w.double = ""
		return [][]byte{b, b}
	case w.hold == name+way:
		w.hold = ""
		w.held[way] = append([]byte(nil), b...)
		return nil
	}
	return [][]byte{b}
}

// isCall reports whether a message travels by itself; the messages of a
// request's stream are kept in order, and single, by TCP.
func isCall(name string) bool {
	switch name {
	case "head", "verdict", "response", "chunk", "end":
		return false
	}
	return slices.Contains(slices.Collect(maps.Values(kindNames)), name)
}

func (w *world) onStore(from, op, key string) {
	k, _, _ := strings.Cut(key, "/")
	w.fire(event{name: op + " " + k, from: from, to: "store"})
}

// sampleVersions watches that no process goes back to an older version.
func (w *world) sampleVersions() {
	for !w.over() {
		w.mu.Lock()
		for id, p := range w.agents {
			w.sample(id, p.agent.State().ConfigVersion)
		}
		for id, p := range w.entries {
			w.sample(id, p.entry.Status().ConfigVersion)
		}
		w.mu.Unlock()
		time.Sleep(100 * time.Millisecond)
	}
}

// sample takes one reading. The caller holds mu.
func (w *world) sample(id string, v uint64) {
	if v < w.versions[id] {
		w.t.Errorf("version at %s went from %d to %d", id, w.versions[id], v)
	}
	w.versions[id] = v
}
