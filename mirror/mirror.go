// Package mirror follows the keys of the store below a prefix, by a listing and a
// watch.
//
// If the store has compacted the history that the watch needs, or its answer cannot be read,
// the keys are listed again, and those that have disappeared meanwhile are reported as deleted.
//
// A watch may deliver nothing for seconds although there are changes, for example because
// its connection has gone silent. Whoever depends on a copy that is not older than a bound
// calls CatchUp, which also asks the store on another connection, and takes the age of the
// copy from OnConfirmed.
//
// # Usage
//
//	m := mirror.Mirror{Store: s, Prefix: "job/", Apply: func(i store.Item) { ... }}
//	go m.Run(ctx)
//	err := m.CatchUp(ctx) // all earlier changes are applied now
package mirror

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/clock"
	"hemlockhinge/pause"
	"hemlockhinge/store"
)

// Bounds of the exponential backoff after a failed call.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// deliveryDelay is how long a watch normally takes at most to deliver a change.
const deliveryDelay = 100 * time.Millisecond

// Mirror follows the keys below Prefix.
type Mirror struct {
	Store  store.Committer
	Prefix string
	// Apply is called for each change, once and in order.
	Apply func(store.Item)
	// OnListingRead, if set, is called after all pages of a listing were read and before any
	// of it is applied.
	OnListingRead func()
	// OnListingApplied, if set, is called after a listing was applied.
	OnListingApplied func()
	// OnConfirmed, if set, is called after each answer of the store was applied: the mirror
	// has all changes that were made before the given time.
	OnConfirmed func(at clock.Time)
	// Clock dates the confirmations.
	Clock clock.Clock
	Log   *logrus.Entry

	// applying is held while changes are applied or confirmed.
	applying sync.Mutex
	// revisions holds the last applied revision of each existing key.
	revisions map[string]uint64
	backoff   time.Duration
	// failing is set from the first failed call until one succeeds.
	failing bool

	mu sync.Mutex
	// revision is the revision after which the watch continues.
	revision uint64
	// repeatWatch ends the pending watch, so that it is begun again; nil if there is
	// none.
	repeatWatch context.CancelFunc
}

// Run lists and watches until c is done.
func (m *Mirror) Run(c context.Context) {
	for !m.backOffOnError(c, m.Relist(c)) {
		if c.Err() != nil {
			return
		}
	}
	for c.Err() == nil {
		m.backOffOnError(c, m.watchOnce(c))
	}
}

// Expect tells the mirror that a key below Prefix was changed at a revision. If the
// pending watch does not deliver the change, it is repeated: its connection may have gone
// silent.
func (m *Mirror) Expect(revision uint64) {
	time.AfterFunc(deliveryDelay, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.revision < revision && m.repeatWatch != nil {
			m.repeatWatch()
		}
	})
}

// beginWatch returns the revision after which to watch, and a context that Expect may
// end.
func (m *Mirror) beginWatch(c context.Context) (context.Context, context.CancelFunc, uint64) {
	w, cancel := context.WithCancel(c)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.repeatWatch = cancel
	return w, cancel, m.revision
}

// Revision returns the revision up to which all changes are applied, 0 before the first
// listing.
func (m *Mirror) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// setRevision records up to which revision all changes are applied.
func (m *Mirror) setRevision(v uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision = v
}

// repeatPendingWatch begins the pending watch again.
func (m *Mirror) repeatPendingWatch() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.repeatWatch != nil {
		m.repeatWatch()
	}
}

// CatchUp asks the store for changes and applies those that the watch has not delivered. Its
// error satisfies store.MustRelist if there was no listing yet, or if the keys must be listed
// again, which Run then does.
func (m *Mirror) CatchUp(c context.Context) error {
	after := m.Revision()
	if after == 0 {
		return &store.CompactedError{}
	}
	begun := m.Clock.Now()
	p, err := m.Store.Poll(c, m.Prefix, after)
	if store.MustRelist(err) {
		m.repeatPendingWatch()
	}
	if err != nil {
		return err
	}
	if len(p.Items) > 0 {
		m.applyChanges(p.Items, p.Items[len(p.Items)-1].Revision)
		m.repeatPendingWatch()
	}
	m.confirmed(begun)
	return nil
}

// applyChanges applies the changes that are not applied yet, in order, after which all are
// applied up to a revision.
func (m *Mirror) applyChanges(items []store.Item, through uint64) {
	m.applying.Lock()
	defer m.applying.Unlock()
	applied := m.Revision()
	for _, i := range items {
		if i.Revision > applied {
			m.applyNew(i)
		}
	}
	m.setRevision(max(applied, through))
}

// watchOnce waits for the next changes and applies them.
func (m *Mirror) watchOnce(c context.Context) error {
	w, cancel, after := m.beginWatch(c)
	defer cancel()
	begun := m.Clock.Now()
	p, err := m.Store.Watch(w, m.Prefix, after)
	switch {
	case store.MustRelist(err):
		m.Log.WithError(err).WithField("prefix", m.Prefix).WithField("revision", after).Info("watch_compacted")
		return m.Relist(c)
	case err != nil && w.Err() != nil && c.Err() == nil:
		m.Log.WithField("prefix", m.Prefix).WithField("revision", after).Info("watch_repeated")
		return nil
	case err != nil:
		return err
	}
	m.applyChanges(p.Items, p.Revision)
	m.confirmed(begun)
	return nil
}

// Relist reads all keys and applies the differences from the known state.
func (m *Mirror) Relist(c context.Context) error {
	begun := m.Clock.Now()
	items, revision, err := ListAll(c, m.Store, m.Prefix)
	if err != nil {
		return err
	}
	if m.OnListingRead != nil {
		m.OnListingRead()
	}
	if !m.applyListing(items, revision) {
		return errOvertaken
	}
	if m.OnListingApplied != nil {
		m.OnListingApplied()
	}
	m.confirmed(begun)
	return nil
}

// errOvertaken says that CatchUp has applied later changes than a listing shows.
var errOvertaken = errors.New("the listing is older than changes that are applied")

// errEmptyPage says that a listing goes on after a page without keys, so that what it lacks
// cannot be told.
var errEmptyPage = errors.New("a page of a listing that goes on has no keys")

// applyListing applies the differences of a listing from the known state, unless later
// changes are applied already.
func (m *Mirror) applyListing(items []store.Item, revision uint64) bool {
	m.applying.Lock()
	defer m.applying.Unlock()
	if revision < m.Revision() {
		return false
	}
	seen := make(map[string]bool, len(items))
	for _, i := range items {
		seen[i.Key] = true
		m.applyNew(i)
	}
	for k := range m.revisions {
		if !seen[k] {
			m.applyNew(store.Item{
				Key:      k,
				Revision: revision,
				Deleted:  true,
			})
		}
	}
	m.setRevision(revision)
	return true
}

// confirmed reports that all changes made before a call to the store began are applied.
func (m *Mirror) confirmed(begun clock.Time) {
	m.applying.Lock()
	defer m.applying.Unlock()
	if m.OnConfirmed != nil {
		m.OnConfirmed(begun)
	}
}

// applyNew calls Apply for a change, unless it is a value that was applied already, or the
// deletion of an earlier value than the known one.
func (m *Mirror) applyNew(i store.Item) {
	if m.revisions == nil {
		m.revisions = map[string]uint64{}
	}
	if known := m.revisions[i.Key]; known > i.Revision || (!i.Deleted && known == i.Revision) {
		return
	}
	if i.Deleted {
		delete(m.revisions, i.Key)
	} else {
		m.revisions[i.Key] = i.Revision
	}
	m.Apply(i)
}

// backOffOnError pauses after an error, and reports whether there was none.
func (m *Mirror) backOffOnError(c context.Context, err error) bool {
	if err == nil {
		if m.failing {
			m.Log.WithField("prefix", m.Prefix).Info("watch_recovered")
		}
		m.failing = false
		m.backoff = 0
		return true
	}
	if !m.failing && c.Err() == nil {
		m.failing = true
		m.Log.WithError(err).WithField("prefix", m.Prefix).Warn("watch_lost")
	}
	m.backoff = min(max(2*m.backoff, minBackoff), maxBackoff)
	pause.For(c, m.backoff)
	return false
}

// ListAll returns all keys below a prefix, and the revision of the first page: pages
// are read at different revisions, so that only a watch from the first one misses
// no change.
func ListAll(c context.Context, s store.Port, prefix string) ([]store.Item, uint64, error) {
	var all []store.Item
	var revision uint64
	after := ""
	for {
		p, err := s.List(c, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if revision == 0 {
			revision = p.Revision
		}
		all = append(all, p.Items...)
		if !p.More {
			return all, revision, nil
		}
		if len(p.Items) == 0 {
			return nil, 0, errEmptyPage
		}
		after = p.Items[len(p.Items)-1].Key
	}
}
