// Package guard bounds what clients can make a process hold: connections, bytes of request
// heads and bodies, and bytes of frames from other daemons.
//
// Each port has a maximum number of connections of its own, so that a crowd at one port
// leaves the others usable. At the maximum, the connections that matter least are closed to
// make room. Bodies and long heads are claimed from one budget of bytes before they are read;
// when it is used up, claims that stand still or are larger than a new one lose theirs.
//
// # Usage
//
//	g := guard.New(settings.WithDefaults(memoryBytes, descriptors), meter, log)
//	l := g.HTTP(listener, guard.Callers, heads)
//	s := &http.Server{Handler: g.Handler(h)}
//	l.Attach(s) // s needs a ReadHeaderTimeout and an IdleTimeout
//	go s.Serve(l)
package guard

import (
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/semaphore"

	"hemlockhinge/meter"
)

// Ports, by who connects to them.
const (
	Callers    = "callers"
	Heartbeats = "heartbeats"
	Peers      = "peers"
	Probes     = "probes"
	Operators  = "operators"
)

// Causes of refusals.
const (
	causeConnections = "connections"
	causeBytes       = "bytes"
	causeStalled     = "stalled"
	causeDisplaced   = "displaced"
	causeHead        = "head"
	causeFrames      = "frames"
	causeSlots       = "slots"
)

// RetryAfter is how long refused clients are asked to wait.
const RetryAfter = time.Second

// logInterval is the shortest time between two log lines about refusals.
const logInterval = 10 * time.Second

// RefusedError says that a request was refused before any of it was handled.
type RefusedError struct {
	Cause string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("this process is overloaded (%s); the request was not handled", e.Cause)
}

// Guard bounds what the clients of one process can make it hold.
type Guard struct {
	settings Settings
	meter    *meter.Meter
	log      *logrus.Entry
	bodies   budget
	frames   *semaphore.Weighted
	slots    *semaphore.Weighted

	mu sync.Mutex
	// refusals counts refusals by cause since the last log line.
	refusals  map[string]int
	loggedAt  time.Time
	listeners map[string]*Listener
	frameHeld int64
}

// New returns a Guard. Its settings must be complete.
func New(s Settings, m *meter.Meter, g *logrus.Entry) *Guard {
	v := &Guard{
		settings: s,
		meter:    m,
		log:      g,
		bodies: budget{
			limit:     s.BodyBytes,
			yieldTime: s.YieldTime,
		},
		frames:    semaphore.NewWeighted(s.FrameBytes),
		slots:     semaphore.NewWeighted(int64(s.MaxDumps)),
		refusals:  map[string]int{},
		listeners: map[string]*Listener{},
	}
	m.WatchHeld(v.held)
	return v
}

// held returns the bytes and connections that are held, by kind and by port.
func (g *Guard) held() (bytes, connections map[string]float64) {
	g.mu.Lock()
	l := maps.Clone(g.listeners)
	f := g.frameHeld
	g.mu.Unlock()
	connections = map[string]float64{}
	for n, v := range l {
		connections[n] = float64(v.Len())
	}
	return map[string]float64{
		"bodies": float64(g.bodies.Held()),
		"frames": float64(f),
	}, connections
}

// refuse records a refusal and returns its error.
func (g *Guard) refuse(cause string) *RefusedError {
	g.record(cause)
	return &RefusedError{
		Cause: cause,
	}
}

// record records a refusal in the metrics and, from time to time, in the log.
func (g *Guard) record(cause string) {
	g.meter.ClientRefused(cause)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refusals[cause]++
	if now := time.Now(); now.Sub(g.loggedAt) >= logInterval {
		f := logrus.Fields{}
		for c, n := range g.refusals {
			f[c] = n
		}
		g.log.WithFields(f).Warn("clients_refused")
		clear(g.refusals)
		g.loggedAt = now
	}
}

// Slot takes one of the slots for answers that take much memory to build, and returns a
// function that gives it back; or a *RefusedError if none is free.
func (g *Guard) Slot() (release func(), err error) {
	if !g.slots.TryAcquire(1) {
		return nil, g.refuse(causeSlots)
	}
	return func() { g.slots.Release(1) }, nil
}

// Reserve implements wire.Quota.
func (g *Guard) Reserve(n int) bool {
	if !g.frames.TryAcquire(int64(n)) {
		g.record(causeFrames)
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frameHeld += int64(n)
	return true
}

// Release implements wire.Quota.
func (g *Guard) Release(n int) {
	g.frames.Release(int64(n))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frameHeld -= int64(n)
}

// StallTime implements wire.Quota.
func (g *Guard) StallTime() time.Duration { return g.settings.StallTime }
