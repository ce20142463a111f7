// Package entry implements the daemon to which the platform's load balancer sends all
// traffic.
//
// It accepts requests and jobs from callers and configuration objects from operators,
// keeps a session with each agent, and holds the scheduler roles of some failure domains.
// All state that must survive a restart is in the store; an entry can be killed at any
// moment.
//
// # Usage
//
//	e := entry.New(entry.Ports{Net: wire.TCP{}, Store: s, Log: log}, settings)
//	err := e.Run(ctx, drain) // closing drain shuts it down gracefully
package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"hemlockhinge/admin"
	"hemlockhinge/conf"
	"hemlockhinge/jobs"
	"hemlockhinge/pause"
	"hemlockhinge/route"
	"hemlockhinge/store"
	"hemlockhinge/wire"
)

// Default times of a graceful shutdown.
const (
	drainDelay  = 2 * time.Second
	stopTimeout = 90 * time.Second
)

// Ports are the interfaces through which an entry uses the network, the store and the
// log.
type Ports struct {
	Net   wire.Network
	Store store.Port
	Log   *logrus.Entry
}

// Entry is the daemon. Create it with New.
type Entry struct {
	ports      Ports
	settings   conf.EntrySettings
	wireAddr   string
	httpAddr   string
	group      sync.WaitGroup
	runContext context.Context //nolint:containedctx // ends when Run returns
	handler    http.Handler

	configs       *store.Table[configDoc]
	records       *store.Table[jobs.Job]
	claims        *store.Table[claim]
	registrations *store.Table[registration]

	// mu guards the fields up to draining.
	mu       sync.Mutex
	config   config
	sessions map[string]*session
	// lastContact is when each agent last announced itself or sent a heartbeat.
	lastContact map[string]time.Time
	// jobCache holds all job records, by id.
	jobCache map[string]store.Record[jobs.Job]
	// openByDomain holds the ids of jobs that have not ended, by failure domain.
	openByDomain map[string]map[string]bool
	// demandByDomain and queuedByCustomer are totals of the cached jobs.
	demandByDomain   map[string]*demand
	queuedByCustomer map[string]int
	// schedulers are the schedulers that run at this entry, by failure domain.
	schedulers map[string]*scheduler
	entries    map[string]registration
	// roleHolders are the records of all scheduler roles, by failure domain.
	roleHolders map[string]store.Record[registration]
	// entryPeers are the connections to other entries, by address.
	entryPeers map[string]*wire.Peer
	lease      lease
	draining   bool

	dispatcher dispatcher
	streams    streamPool

	// claimMu is a mutex for the two fields below, as a channel of capacity one.
	claimMu             chan struct{}
	claimLeaseID        store.Lease
	claimLeaseGrantedAt time.Time

	registry *prometheus.Registry
	meter    meter
}

// New returns an entry that is not running yet.
func New(p Ports, s conf.EntrySettings) *Entry {
	e := &Entry{
		runContext:       context.Background(),
		ports:            p,
		settings:         s,
		wireAddr:         s.WireAddress,
		httpAddr:         s.HTTPAddress,
		configs:          store.NewTable[configDoc](p.Store, s.ID, "config/"),
		records:          store.NewTable[jobs.Job](p.Store, s.ID, "job/"),
		claims:           store.NewTable[claim](p.Store, s.ID, "claim/"),
		registrations:    store.NewTable[registration](p.Store, s.ID, "live/"),
		sessions:         map[string]*session{},
		lastContact:      map[string]time.Time{},
		jobCache:         map[string]store.Record[jobs.Job]{},
		openByDomain:     map[string]map[string]bool{},
		demandByDomain:   map[string]*demand{},
		queuedByCustomer: map[string]int{},
		schedulers:       map[string]*scheduler{},
		entries:          map[string]registration{},
		roleHolders:      map[string]store.Record[registration]{},
		entryPeers:       map[string]*wire.Peer{},
		claimMu:          make(chan struct{}, 1),
		registry:         prometheus.NewRegistry(),
	}
	e.config.objects = &conf.Objects{}
	e.dispatcher.queues = map[string]*route.Queue[*waiter]{}
	e.dispatcher.rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // load balancing
	e.ports.Log = p.Log.WithField("entry", s.ID)
	e.meter = newMeter(e.registry)
	e.handler = e.routes()
	return e
}

// Handler returns the HTTP interface.
func (e *Entry) Handler() http.Handler { return e.handler }

// Run serves until drain is closed, and then shuts down gracefully, or until c ends, and
// then stops at once.
func (e *Entry) Run(c context.Context, drain <-chan struct{}) error {
	w, h, err := admin.Listen(e.ports.Net, e.settings.WireListen, e.settings.HTTPListen)
	if err != nil {
		return err
	}
	defer func() { _ = w.Close() }()
	if e.wireAddr == "" {
		e.wireAddr = w.Addr().String()
	}
	if e.httpAddr == "" {
		e.httpAddr = h.Addr().String()
	}
	s := admin.Serve(h, e.handler, e.ports.Log)
	defer s.Close()
	defer e.streams.close()
	c, cancel := context.WithCancel(c)
	defer e.group.Wait()
	defer cancel()
	e.runContext = c
	e.ports.Log.WithField("http", e.httpAddr).WithField("wire", e.wireAddr).Info("entry_started")
	e.group.Go(func() { e.accept(c, w) })
	e.group.Go(func() { e.watchConfig(c) })
	e.group.Go(func() { e.watchJobs(c) })
	e.group.Go(func() { e.watchRegistrations(c) })
	e.group.Go(func() { e.maintainLease(c) })
	e.group.Go(func() { e.maintainRoles(c) })
	e.group.Go(func() { e.collectGarbage(c) })
	e.group.Go(func() { e.syncConfig(c) })
	select {
	case <-c.Done():
	case <-drain:
		e.drain(c, s)
	}
	e.ports.Log.Info("entry_stopped")
	return nil
}

// drain shuts down gracefully: it makes the entry report that it is not ready, releases
// its roles and its lease, gives the load balancer time to notice, and waits for the
// requests in progress to end.
func (e *Entry) drain(c context.Context, s *admin.Server) {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.ports.Log.Info("entry_draining")
	e.releaseRolesAndLease(c)
	pause.For(c, e.settings.DrainDelay.Or(drainDelay))
	c, cancel := context.WithTimeout(c, e.settings.StopTimeout.Or(stopTimeout))
	defer cancel()
	if err := s.Shutdown(c); err != nil {
		e.ports.Log.WithError(err).Warn("drain_timed_out")
	}
}

// Ready returns nil if the entry accepts work, and otherwise the reason why not.
func (e *Entry) Ready() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.draining:
		return errors.New("the entry is draining")
	case e.config.version == 0 && !e.config.loaded:
		return errors.New("the objects have not been read from the store yet")
	}
	return nil
}

// retryPause is the delay after a failed read of the store.
const retryPause = 500 * time.Millisecond

// listAndWatch passes the records of a table to onList and each later change to
// onChange, until c ends. It lists the table again whenever the store has compacted
// changes that it has not received yet.
func listAndWatch[T any](c context.Context, e *Entry, t *store.Table[T], onList func([]store.Record[T]), onChange func([]store.Record[T])) {
	for c.Err() == nil {
		l, rev, err := t.List(c)
		if err != nil {
			e.ports.Log.WithError(err).Warn("store_list_failed")
			pause.For(c, retryPause)
			continue
		}
		onList(l)
		watchChanges(c, e, t, rev, onChange)
	}
}

// watchChanges passes changes after revision rev to onChange, until c ends or the store
// has compacted the history that it needs.
func watchChanges[T any](c context.Context, e *Entry, t *store.Table[T], rev uint64, onChange func([]store.Record[T])) {
	for c.Err() == nil {
		l, n, err := t.Watch(c, rev)
		var g *store.CompactedError
		switch {
		case errors.As(err, &g):
			return
		case err != nil:
			e.ports.Log.WithError(err).Debug("store_watch_failed")
			pause.For(c, retryPause)
			continue
		}
		rev = n
		onChange(l)
	}
}
