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

// Times of an entry's store lease, which covers its registration and the scheduler
// roles that it holds, and of the changes of these roles.
const (
	leaseTTL           = 4500 * time.Millisecond
	leaseRenewInterval = 1500 * time.Millisecond
	// leaseMargin is how long before the TTL is over an entry stops using its lease.
	leaseMargin       = time.Second
	roleCheckInterval = 500 * time.Millisecond
	// surplusRoleDelay is how long an entry keeps more roles than its share.
	surplusRoleDelay = 10 * time.Second
)

// Prefixes of the keys below live/.
const (
	entryKeyPrefix     = "entry/"
	schedulerKeyPrefix = "sched/"
)

// registration is the value of the store keys that name an entry: the registration of
// the entry itself, and the scheduler role of each failure domain.
type registration struct {
	Entry string `json:"entry"`
	Wire  string `json:"wire"`
	HTTP  string `json:"http"`
}

// lease is the store lease of this entry. It must not be used after until, which is
// leaseMargin earlier than the store may expire it.
type lease struct {
	id    store.Lease
	until time.Time
}

// leaseID returns the entry's lease, and whether it is valid by the clock of this
// process.
func (e *Entry) leaseID() (store.Lease, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lease.id, e.lease.id != 0 && time.Now().Before(e.lease.until)
}

// maintainLease renews the entry's lease until c ends. When it has none, it gets a new
// one and registers the entry under it.
func (e *Entry) maintainLease(c context.Context) {
	for {
		e.renewLease(c)
		if !pause.For(c, leaseRenewInterval) {
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
		e.ports.Log.Warn("lease_expired")
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
		e.ports.Log.WithError(err).Warn("registration_failed")
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

func (e *Entry) ownRegistration() registration {
	return registration{
		Entry: e.settings.ID,
		Wire:  e.wireAddr,
		HTTP:  e.httpAddr,
	}
}

// register writes the entry's registration, and replaces that of an earlier process
// with the same id.
func (e *Entry) register(c context.Context, id store.Lease) error {
	r := store.NewRecord(entryKeyPrefix+e.settings.ID, e.ownRegistration())
	o, err := e.registrations.Get(c, r.ID)
	if err == nil {
		o.Body = r.Body
		r = o
	}
	_, err = e.registrations.Swap(c, r, id)
	return err
}

// watchRegistrations keeps a copy of the registered entries and of the holders of the
// scheduler roles.
func (e *Entry) watchRegistrations(c context.Context) {
	listAndWatch(c, e, e.registrations, e.replaceRegistrations, e.updateRegistrations)
}

func (e *Entry) replaceRegistrations(l []store.Record[registration]) {
	e.mu.Lock()
	e.entries = map[string]registration{}
	e.roleHolders = map[string]store.Record[registration]{}
	e.mu.Unlock()
	e.updateRegistrations(l)
}

func (e *Entry) updateRegistrations(l []store.Record[registration]) {
	e.mu.Lock()
	for _, r := range l {
		e.applyRegistration(r)
	}
	e.mu.Unlock()
	e.pushConfigToAll()
}

// applyRegistration updates the entries or the role holders with a changed record.
// The caller holds mu.
func (e *Entry) applyRegistration(r store.Record[registration]) {
	if n, ok := strings.CutPrefix(r.ID, entryKeyPrefix); ok {
		if r.Deleted {
			delete(e.entries, n)
		} else {
			e.entries[n] = r.Body
		}
	}
	if n, ok := strings.CutPrefix(r.ID, schedulerKeyPrefix); ok {
		if r.Deleted {
			delete(e.roleHolders, n)
		} else {
			e.roleHolders[n] = r
		}
	}
}

// directory returns the addresses of all entries, for agents. The caller holds mu.
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

// maintainRoles acquires the scheduler roles that no entry holds, up to this entry's
// share, and releases one when it has held more than its share for surplusRoleDelay.
func (e *Entry) maintainRoles(c context.Context) {
	if e.settings.NoScheduler {
		return
	}
	surplusSince := time.Time{}
	for pause.For(c, roleCheckInterval) {
		e.dropLostRoles()
		id, ok := e.leaseID()
		if !ok {
			continue
		}
		free, n, share := e.roleShare()
		switch {
		case n < share && len(free) > 0:
			e.acquireRole(c, free[0], id)
		case n <= share:
			surplusSince = time.Time{}
		case surplusSince.IsZero():
			surplusSince = time.Now()
		case time.Since(surplusSince) > surplusRoleDelay:
			e.releaseOneRole(c)
			surplusSince = time.Time{}
		}
	}
}

// roleShare returns the failure domains without a scheduler, the number of those that
// this entry schedules, and its share: the number of failure domains divided by the
// number of entries, rounded up. While draining, all of them are zero.
func (e *Entry) roleShare() ([]string, int, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var free []string
	d := e.config.objects.FailureDomains
	for _, v := range d {
		if _, ok := e.roleHolders[v.Name]; !ok && e.schedulers[v.Name] == nil {
			free = append(free, v.Name)
		}
	}
	if e.draining {
		return nil, 0, 0
	}
	n := max(len(e.entries), 1)
	return free, len(e.schedulers), (len(d) + n - 1) / n
}

// acquireRole acquires the scheduler role of a failure domain and starts its scheduler.
// The revision of the write is the epoch.
func (e *Entry) acquireRole(c context.Context, domain string, id store.Lease) {
	r, err := e.registrations.Swap(c, store.NewRecord(schedulerKeyPrefix+domain, e.ownRegistration()), id)
	if err != nil {
		var f *store.ConflictError
		if !errors.As(err, &f) {
			e.ports.Log.WithField("failure_domain", domain).WithError(err).Warn("role_not_taken")
		}
		return
	}
	s := newScheduler(e, domain, r.Revision, id)
	e.mu.Lock()
	e.schedulers[domain] = s
	e.applyRegistration(r)
	e.mu.Unlock()
	e.ports.Log.WithField("failure_domain", domain).WithField("epoch", r.Revision).Info("role_taken")
	e.group.Go(func() { s.run(c) })
}

// dropLostRoles stops the schedulers whose role was acquired under an earlier lease
// or has been acquired by another entry since. While the store is not available,
// schedulers are not stopped but make no decisions: no other entry can acquire their
// roles.
func (e *Entry) dropLostRoles() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for d, s := range e.schedulers {
		h, ok := e.roleHolders[d]
		if s.lease == e.lease.id && (!ok || h.Revision <= s.epoch) {
			continue
		}
		s.stop()
		delete(e.schedulers, d)
		e.ports.Log.WithField("failure_domain", d).WithField("epoch", s.epoch).Info("role_lost")
	}
}

// releaseOneRole releases the role of the failure domain whose name sorts first.
func (e *Entry) releaseOneRole(c context.Context) {
	e.mu.Lock()
	var s *scheduler
	for _, v := range e.schedulers {
		if s == nil || v.domain < s.domain {
			s = v
		}
	}
	e.mu.Unlock()
	if s != nil {
		e.releaseRole(c, s)
	}
}

func (e *Entry) releaseRole(c context.Context, s *scheduler) {
	s.stop()
	e.mu.Lock()
	delete(e.schedulers, s.domain)
	e.mu.Unlock()
	err := e.registrations.Delete(c, schedulerKeyPrefix+s.domain, s.epoch)
	e.ports.Log.WithField("failure_domain", s.domain).WithField("error", err).Info("role_released")
}

// releaseRolesAndLease releases all roles, so that other entries can acquire them at
// once, and revokes the lease, which removes the entry's registration.
func (e *Entry) releaseRolesAndLease(c context.Context) {
	e.mu.Lock()
	l := make([]*scheduler, 0, len(e.schedulers))
	for _, s := range e.schedulers {
		l = append(l, s)
	}
	id := e.lease.id
	e.lease = lease{}
	e.mu.Unlock()
	for _, s := range l {
		e.releaseRole(c, s)
	}
	if id != 0 {
		if err := e.ports.Store.Revoke(c, id); err != nil {
			e.ports.Log.WithError(err).Warn("lease_not_revoked")
		}
	}
}
