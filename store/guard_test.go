package store_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"hemlockhinge/store"
)

// silentStore answers Keep with keepErr, and no watch before watchable is set.
type silentStore struct {
	store.Committer
	keepErr   error
	watchable bool
	watches   int
}

func (s *silentStore) Keep(context.Context, store.Lease) error { return s.keepErr }

func (s *silentStore) Watch(c context.Context, _ string, _ uint64) (store.Page, error) {
	s.watches++
	if s.watchable {
		return store.Page{Revision: 7}, nil
	}
	<-c.Done()
	return store.Page{}, store.NewUnavailableError("watch", "", false, c.Err())
}

// TestWatchGuard guards against a watch that hangs after an outage because it was sent
// while the store was silent: the first answer after a failed call must repeat it, and
// no other answer may.
func TestWatchGuard(t *testing.T) {
	lost := store.NewUnavailableError("keep", "", false, errors.New("timeout"))
	cases := []struct {
		name    string
		before  []error
		during  []error
		watches int
	}{
		{"answers alone", []error{nil}, []error{nil, nil}, 1},
		{"a call fails while it is pending", nil, []error{lost, nil}, 2},
		{"begun after a failed call", []error{lost}, []error{nil}, 2},
		{"still failing", nil, []error{lost, lost}, 1},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var g store.WatchGuard
				s := &silentStore{}
				p := g.Wrap(s)
				c, cancel := context.WithCancel(context.Background())
				keep := func(l []error) {
					for _, err := range l {
						s.keepErr = err
						_ = p.Keep(c, 1)
						time.Sleep(time.Second)
					}
				}
				keep(v.before)
				done := make(chan struct{})
				go func() {
					defer close(done)
					_, _ = p.Watch(c, "a", 1)
				}()
				synctest.Wait()
				keep(v.during)
				if s.watches != v.watches {
					t.Errorf("%d watches were sent, not %d", s.watches, v.watches)
				}
				cancel()
				<-done
			})
		})
	}
}

// TestWatchGuardDeliversRepeatedWatch checks that the caller gets the answer of the
// repeated watch.
func TestWatchGuardDeliversRepeatedWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var g store.WatchGuard
		s := &silentStore{keepErr: store.NewUnavailableError("keep", "", false, errors.New("timeout"))}
		p := g.Wrap(s)
		_ = p.Keep(context.Background(), 1)
		time.AfterFunc(time.Second, func() {
			s.keepErr = nil
			s.watchable = true
			_ = p.Keep(context.Background(), 1)
		})
		v, err := p.Watch(context.Background(), "a", 1)
		if err != nil || v.Revision != 7 {
			t.Errorf("revision %d and error %v, not 7 and none", v.Revision, err)
		}
	})
}
