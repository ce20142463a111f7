// Package mirror keeps a copy of the store's keys below a prefix, by a listing
// and a watch.
//
// It lists anew when the store has dropped the history that a watch needs, and
// then reports the keys that have gone meanwhile as deleted.
//
// # Usage
//
//	m := mirror.Mirror{Store: s, Prefix: "job/", Apply: func(i store.Item) { ... }}
//	m.Run(ctx)
package mirror

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/pause"
	"hemlockhinge/store"
)

// Pauses after a call that failed.
const (
	firstPause = 50 * time.Millisecond
	maxPause   = 500 * time.Millisecond
)

// Mirror follows the keys below Prefix. Apply gets each change once, in order.
// Read, if set, is called when all pages of a listing were read and before any of
// it is applied; Listed, if set, after it was applied.
type Mirror struct {
	Store  store.Port
	Prefix string
	Apply  func(store.Item)
	Read   func()
	Listed func()
	Log    *logrus.Entry

	known map[string]uint64
	rev   uint64
	wait  time.Duration
	lost  bool
}

// Run follows until c ends.
func (m *Mirror) Run(c context.Context) {
	for !m.retry(c, m.List(c)) {
		if c.Err() != nil {
			return
		}
	}
	for c.Err() == nil {
		m.retry(c, m.step(c))
	}
}

// step waits for the next changes.
func (m *Mirror) step(c context.Context) error {
	p, err := m.Store.Watch(c, m.Prefix, m.rev)
	var gone *store.CompactedError
	if errors.As(err, &gone) {
		m.Log.WithField("prefix", m.Prefix).WithField("revision", m.rev).Info("watch_compacted")
		return m.List(c)
	}
	if err != nil {
		return err
	}
	for _, i := range p.Items {
		m.apply(i)
	}
	m.rev = max(m.rev, p.Revision)
	return nil
}

// List reads all keys and reports what differs from what is known.
func (m *Mirror) List(c context.Context) error {
	items, rev, err := All(c, m.Store, m.Prefix)
	if err != nil {
		return err
	}
	if m.Read != nil {
		m.Read()
	}
	seen := make(map[string]bool, len(items))
	for _, i := range items {
		seen[i.Key] = true
		m.apply(i)
	}
	for k := range m.known {
		if !seen[k] {
			m.apply(store.Item{
				Key:      k,
				Revision: rev,
				Deleted:  true,
			})
		}
	}
	m.rev = rev
	if m.Listed != nil {
		m.Listed()
	}
	return nil
}

func (m *Mirror) apply(i store.Item) {
	if m.known == nil {
		m.known = map[string]uint64{}
	}
	if !i.Deleted && m.known[i.Key] >= i.Revision {
		return
	}
	if i.Deleted {
		delete(m.known, i.Key)
	} else {
		m.known[i.Key] = i.Revision
	}
	m.Apply(i)
}

// retry pauses after an error and reports whether there was none.
func (m *Mirror) retry(c context.Context, err error) bool {
	if err == nil {
		if m.lost {
			m.Log.WithField("prefix", m.Prefix).Info("watch_regained")
		}
		m.lost = false
		m.wait = 0
		return true
	}
	if !m.lost && c.Err() == nil {
		m.lost = true
		m.Log.WithError(err).WithField("prefix", m.Prefix).Warn("watch_lost")
	}
	m.wait = min(max(2*m.wait, firstPause), maxPause)
	pause.For(c, m.wait)
	return false
}

// All reads every key below a prefix, and the revision of the first page: a
// watch from there misses nothing.
func All(c context.Context, s store.Port, prefix string) ([]store.Item, uint64, error) {
	var all []store.Item
	var rev uint64
	after := ""
	for {
		p, err := s.List(c, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if rev == 0 {
			rev = p.Revision
		}
		all = append(all, p.Items...)
		if !p.More || len(p.Items) == 0 {
			return all, rev, nil
		}
		after = p.Items[len(p.Items)-1].Key
	}
}
