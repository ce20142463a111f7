package entry

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"hemlockhinge/pause"
	"hemlockhinge/store"
	"hemlockhinge/wire"
)

// Times of the store's lease, which covers an entry's registration and the
// scheduler's roles that it holds.
const (
	leaseTTL    = 4500 * time.Millisecond
	keepEvery   = 1500 * time.Millisecond
	leaseMargin = time.Second
	roleEvery   = 500 * time.Millisecond
	balanceWait = 10 * time.Second
)

// Prefixes of the keys below live/.
const (
	liveEntry = "entry/"
	liveSched = "sched/"
)

// live is the value of an entry's registration and of a scheduler's role.
type live struct {
	Entry string `json:"entry"`
	Wire  string `json:"wire"`
	HTTP  string `json:"http"`
}

// lease is the store lease of this entry.
type lease struct {
	id    store.Lease
	until time.Time
}

// leaseID returns the lease while it holds by this process's own clock.
func (e *Entry) leaseID() (store.Lease, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.id, e.lease.id != 0 && time.Now().Before(e.lease.until)
}

// keepLease holds a lease and registers the entry under it.
func (e *Entry) keepLease(c context.Context) {
	for {
		e.renewLease(c)
		if !pause.For(c, keepEvery) {
			return
		}
	}
}

func (e *Entry) renewLease(c context.Context) {
	e.mu.Lock()
	id := e.lease.id
	d := e.draining
	e.mu.Unlock()
	n := time.Now()
	if id != 0 {
		err := e.ports.Store.Keep(c, id)
		var m *store.NotFoundError
		switch {
		case err == nil:
			e.setLease(id, n)
			return
		case !errors.As(err, &m):
			e.ports.Log.WithError(err).Warn("lease_not_renewed")
			return
		}
		e.ports.Log.Warn("lease_lapsed")
		e.setLease(0, n)
	}
	if d {
		return
	}
	id, err := e.ports.Store.Grant(c, leaseTTL)
	if err != nil {
		e.ports.Log.WithError(err).Warn("lease_not_granted")
		return
	}
	if err := e.register(c, id); err != nil {
		e.ports.Log.WithError(err).Warn("not_registered")
		return
	}
	e.setLease(id, n)
}

func (e *Entry) setLease(id store.Lease, from time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lease = lease{
		id:    id,
		until: from.Add(leaseTTL - leaseMargin),
	}
}

func (e *Entry) self() live {
	return live{
		Entry: e.set.ID,
		Wire:  e.wireAddr,
		HTTP:  e.httpAddr,
	}
}

// register writes the entry's registration, over that of an earlier process
// with the same id.
func (e *Entry) register(c context.Context, id store.Lease) error {
	r := store.NewRecord(liveEntry+e.set.ID, e.self())
	o, err := e.lives.Get(c, r.ID)
	if err == nil {
		o.Body = r.Body
		r = o
	}
	_, err = e.lives.Swap(c, r, id)
	return err
}

// watchLives follows who the entries are and who schedules what.
func (e *Entry) watchLives(c context.Context) {
	follow(c, e, e.lives, e.allLives, e.someLives)
}

func (e *Entry) allLives(l []store.Record[live]) {
	e.mu.Lock()
	e.entries = map[string]live{}
	e.holders = map[string]store.Record[live]{}
	e.mu.Unlock()
	e.someLives(l)
}

func (e *Entry) someLives(l []store.Record[live]) {
	e.mu.Lock()
	for _, r := range l {
		e.takeLive(r)
	}
	e.mu.Unlock()
	e.pushAll()
}

// takeLive updates the directory. The caller holds mu.
func (e *Entry) takeLive(r store.Record[live]) {
	if n, ok := strings.CutPrefix(r.ID, liveEntry); ok {
		if r.Deleted {
			delete(e.entries, n)
		} else {
			e.entries[n] = r.Body
		}
	}
	if n, ok := strings.CutPrefix(r.ID, liveSched); ok {
		if r.Deleted {
			delete(e.holders, n)
		} else {
			e.holders[n] = r
		}
	}
}

// directory lists all entries for agents. The caller holds mu.
func (e *Entry) directory() []wire.Entry {
	l := make([]wire.Entry, 0, len(e.entries))
	for n, v := range e.entries {
		l = append(l, wire.Entry{
			ID:   n,
			Wire: v.Wire,
		})
	}
	slices.SortFunc(l, func(a, b wire.Entry) int { return strings.Compare(a.ID, b.ID) })
	return l
}

// keepRole takes the scheduler's role of failure domains that have none, and
// gives up those that are more than this entry's share.
func (e *Entry) keepRole(c context.Context) {
	if e.set.NoScheduler {
		return
	}
	over := time.Time{}
	for pause.For(c, roleEvery) {
		e.dropLapsed()
		id, ok := e.leaseID()
		if !ok {
			continue
		}
		free, n, share := e.shares()
		switch {
		case n < share && len(free) > 0:
			e.acquire(c, free[0], id)
		case n <= share:
			over = time.Time{}
		case over.IsZero():
			over = time.Now()
		case time.Since(over) > balanceWait:
			e.giveUpOne(c)
			over = time.Time{}
		}
	}
}

// shares returns the failure domains without a scheduler, how many this entry
// schedules, and how many its share is.
func (e *Entry) shares() ([]string, int, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var free []string
	d := e.config.objects.FailureDomains
	for _, v := range d {
		if _, ok := e.holders[v.Name]; !ok && e.scheds[v.Name] == nil {
			free = append(free, v.Name)
		}
	}
	if e.draining {
		return nil, 0, 0
	}
	n := max(len(e.entries), 1)
	return free, len(e.scheds), (len(d) + n - 1) / n
}

// acquire takes the role of one failure domain; the revision of the write is
// the epoch.
func (e *Entry) acquire(c context.Context, domain string, id store.Lease) {
	r, err := e.lives.Swap(c, store.NewRecord(liveSched+domain, e.self()), id)
	if err != nil {
		var f *store.ConflictError
		if !errors.As(err, &f) {
			e.ports.Log.WithField("failure_domain", domain).WithError(err).Warn("role_not_taken")
		}
		return
	}
	s := newScheduler(e, domain, r.Revision, id)
	e.mu.Lock()
	e.scheds[domain] = s
	e.takeLive(r)
	e.mu.Unlock()
	e.ports.Log.WithField("failure_domain", domain).WithField("epoch", r.Revision).Info("role_taken")
	e.group.Go(func() { s.run(c) })
}

// dropLapsed ends schedulers whose lease is no longer the one they were taken
// under. While the store is out they stay, without deciding anything, since
// nobody can take their place.
func (e *Entry) dropLapsed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for d, s := range e.scheds {
		h, ok := e.holders[d]
		if s.lease == e.lease.id && (!ok || h.Revision <= s.epoch) {
			continue
		}
		s.end()
		delete(e.scheds, d)
		e.ports.Log.WithField("failure_domain", d).WithField("epoch", s.epoch).Info("role_lost")
	}
}

func (e *Entry) giveUpOne(c context.Context) {
	e.mu.Lock()
	var s *scheduler
	for _, v := range e.scheds {
		if s == nil || v.domain < s.domain {
			s = v
		}
	}
	e.mu.Unlock()
	if s != nil {
		e.giveUp(c, s)
	}
}

func (e *Entry) giveUp(c context.Context, s *scheduler) {
	s.end()
	e.mu.Lock()
	delete(e.scheds, s.domain)
	e.mu.Unlock()
	err := e.lives.Delete(c, liveSched+s.domain, s.epoch)
	e.ports.Log.WithField("failure_domain", s.domain).WithField("error", err).Info("role_given_up")
}

// handBack gives up all roles, so that others take them at once, and takes the
// entry out of the directory.
func (e *Entry) handBack(c context.Context) {
	e.mu.Lock()
	l := make([]*scheduler, 0, len(e.scheds))
	for _, s := range e.scheds {
		l = append(l, s)
	}
	id := e.lease.id
	e.lease = lease{}
	e.mu.Unlock()
	for _, s := range l {
		e.giveUp(c, s)
	}
	if id != 0 {
		if err := e.ports.Store.Revoke(c, id); err != nil {
			e.ports.Log.WithError(err).Warn("lease_not_revoked")
		}
	}
}
