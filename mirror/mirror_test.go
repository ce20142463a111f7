package mirror_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/clock"
	"hemlockhinge/mirror"
	"hemlockhinge/store"
)

// scriptedStore is a store that returns the given pages and watch answers in turn.
type scriptedStore struct {
	store.Committer
	lists   []store.Page
	watches []func() (store.Page, error)
	polls   []func() (store.Page, error)
	// watchContext is that of the last watch.
	watchContext context.Context //nolint:containedctx // for the scripts of watches
}

func (s *scriptedStore) List(context.Context, string, string) (store.Page, error) {
	p := s.lists[0]
	if len(s.lists) > 1 {
		s.lists = s.lists[1:]
	}
	return p, nil
}

func (s *scriptedStore) Watch(c context.Context, _ string, _ uint64) (store.Page, error) {
	s.watchContext = c
	if len(s.watches) == 0 {
		<-c.Done()
		return store.Page{}, c.Err()
	}
	f := s.watches[0]
	s.watches = s.watches[1:]
	return f()
}

func (s *scriptedStore) Poll(context.Context, string, uint64) (store.Page, error) {
	f := s.polls[0]
	s.polls = s.polls[1:]
	return f()
}

func put(key string, rev uint64) store.Item {
	return store.Item{
		Key:      key,
		Revision: rev,
	}
}

func page(rev uint64, items ...store.Item) store.Page {
	return store.Page{
		Revision: rev,
		Items:    items,
	}
}

func answer(p store.Page, err error) func() (store.Page, error) {
	return func() (store.Page, error) { return p, err }
}

func TestMirror(t *testing.T) {
	deleted := store.Item{
		Key:      "b",
		Revision: 4,
		Deleted:  true,
	}
	cases := []struct {
		name  string
		store scriptedStore
		want  string
	}{
		{"changes in order", scriptedStore{
			lists:   []store.Page{page(2, put("a", 1), put("b", 2))},
			watches: []func() (store.Page, error){answer(page(4, put("a", 3), deleted), nil)},
		}, "a1 b2 listed a3 -b"},
		{"compacted history", scriptedStore{
			lists:   []store.Page{page(2, put("a", 1), put("b", 2)), page(9, put("a", 7))},
			watches: []func() (store.Page, error){answer(store.Page{}, &store.CompactedError{})},
		}, "a1 b2 listed a7 -b listed"},
		{"outage of the store", scriptedStore{
			lists: []store.Page{page(2, put("a", 1))},
			watches: []func() (store.Page, error){
				answer(store.Page{}, &store.UnavailableError{Err: errors.New("out")}),
				answer(page(3, put("a", 1), put("c", 3)), nil),
			},
		}, "a1 listed c3"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { assertSeen(t, &c.store, c.want) })
		})
	}
}

func discardingLog() *logrus.Entry {
	g := logrus.New()
	g.SetOutput(io.Discard)
	return logrus.NewEntry(g)
}

// assertSeen runs a mirror of the store and compares the changes that it reports.
func assertSeen(t *testing.T, s *scriptedStore, want string) {
	t.Helper()
	var seen []string
	m := mirror.Mirror{
		Store:  s,
		Prefix: "",
		Log:    discardingLog(),
		Apply: func(i store.Item) {
			if i.Deleted {
				seen = append(seen, "-"+i.Key)
				return
			}
			seen = append(seen, i.Key+string(rune('0'+i.Revision)))
		},
		OnListingApplied: func() { seen = append(seen, "listed") },
	}
	c, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	m.Run(c)
	if got := strings.Join(seen, " "); got != want {
		t.Errorf("seen %q, want %q", got, want)
	}
}

// TestExpect guards against a change that a silent watch withholds until its timeout: a
// mirror that is told of the change repeats the watch, unless it has the change already.
func TestExpect(t *testing.T) {
	cases := []struct {
		name     string
		revision uint64
		want     string
	}{
		{"newer revision", 5, "a1 listed a5"},
		{"known revision", 1, "a1 listed"},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var got []string
				c, cancel := context.WithCancel(context.Background())
				s := &scriptedStore{
					lists: []store.Page{page(1, put("a", 1))},
				}
				silent := func() (store.Page, error) {
					s.watches = []func() (store.Page, error){answer(page(5, put("a", 5)), nil)}
					<-s.watchContext.Done()
					return store.Page{}, s.watchContext.Err()
				}
				s.watches = []func() (store.Page, error){silent}
				m := mirror.Mirror{
					Store:            s,
					Apply:            func(i store.Item) { got = append(got, fmt.Sprintf("%s%d", i.Key, i.Revision)) },
					OnListingApplied: func() { got = append(got, "listed") },
					Log:              discardingLog(),
				}
				go m.Run(c)
				synctest.Wait()
				m.Expect(v.revision)
				time.Sleep(time.Second)
				synctest.Wait()
				if w := strings.Join(got, " "); w != v.want {
					t.Errorf("applied %q, not %q", w, v.want)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

func removal(key string, rev uint64) store.Item {
	return store.Item{
		Key:      key,
		Revision: rev,
		Deleted:  true,
	}
}

// TestCatchUp guards against changes that a silent watch withholds, and against changes that
// are applied twice or out of order because the watch and a poll deliver the same ones. The
// watch is silent until the poll is answered; what it delivers then comes after the poll.
func TestCatchUp(t *testing.T) {
	outage := &store.UnavailableError{Err: errors.New("out")}
	cases := []struct {
		name      string
		poll      func() (store.Page, error)
		watch     store.Page
		want      string
		confirmed bool
	}{
		{"changes", answer(page(5, put("a", 4), put("b", 5)), nil), page(5), "a1 listed a4 b5", true},
		{"no changes", answer(page(3), nil), page(4, put("a", 4)), "a1 listed a4", true},
		{"the watch repeats the changes", answer(page(5, removal("a", 4), put("a", 5)), nil), page(6, removal("a", 4), put("a", 5), put("b", 6)), "a1 listed -a a5 b6", true},
		{"no answer", answer(store.Page{}, outage), page(4, put("a", 4)), "a1 listed a4", false},
		{"compacted history", answer(store.Page{}, &store.CompactedError{}), page(4, put("a", 4)), "a1 listed a4", false},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { assertCaughtUp(t, v.poll, v.watch, v.want, v.confirmed) })
		})
	}
}

// assertCaughtUp runs a mirror whose first watch ends only when it is repeated or after two
// seconds. It compares the changes that the mirror reports, and whether CatchUp confirms
// them.
func assertCaughtUp(t *testing.T, poll func() (store.Page, error), watch store.Page, want string, confirmed bool) {
	t.Helper()
	var got []string
	var dated atomic.Pointer[clock.Time]
	s := &scriptedStore{
		lists: []store.Page{page(1, put("a", 1))},
		polls: []func() (store.Page, error){poll},
	}
	s.watches = []func() (store.Page, error){func() (store.Page, error) {
		s.watches = []func() (store.Page, error){answer(watch, nil)}
		select {
		case <-s.watchContext.Done():
			return store.Page{}, s.watchContext.Err()
		case <-time.After(2 * time.Second):
		}
		return page(1), nil
	}}
	m := mirror.Mirror{
		Store: s,
		Apply: func(i store.Item) {
			if i.Deleted {
				got = append(got, "-"+i.Key)
				return
			}
			got = append(got, fmt.Sprintf("%s%d", i.Key, i.Revision))
		},
		OnListingApplied: func() { got = append(got, "listed") },
		OnConfirmed:      func(at clock.Time) { dated.Store(&at) },
		Log:              discardingLog(),
	}
	c, cancel := context.WithCancel(context.Background())
	go m.Run(c)
	time.Sleep(time.Second)
	asked := m.Clock.Now()
	err := m.CatchUp(c)
	synctest.Wait()
	at := dated.Load()
	if ok := err == nil && at != nil && asked.Sub(*at) == 0; ok != confirmed {
		t.Errorf("error %v, confirmed as of %v; a confirmation as of %v: %t", err, at, asked, confirmed)
	}
	time.Sleep(5 * time.Second)
	synctest.Wait()
	if w := strings.Join(got, " "); w != want {
		t.Errorf("applied %q, not %q", w, want)
	}
	cancel()
	synctest.Wait()
}

// TestListingOlderThanCatchUp guards against a listing that brings back what was deleted
// while it was read.
func TestListingOlderThanCatchUp(t *testing.T) {
	var got []string
	s := &scriptedStore{
		lists: []store.Page{page(2, put("a", 1)), page(2, put("a", 1)), page(4)},
		polls: []func() (store.Page, error){answer(page(4, removal("a", 4)), nil)},
	}
	m := mirror.Mirror{
		Store: s,
		Apply: func(i store.Item) { got = append(got, fmt.Sprintf("%s %t", i.Key, i.Deleted)) },
		Log:   discardingLog(),
	}
	for i, want := range []bool{true, false, true} {
		if i == 1 {
			if err := m.CatchUp(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		if err := m.Relist(t.Context()); (err == nil) != want {
			t.Errorf("listing %d: %v", i, err)
		}
	}
	if w := strings.Join(got, ", "); w != "a false, a true" {
		t.Errorf("applied %q", w)
	}
}

// TestListingWithoutItsLastPage guards against keys that count as deleted, because a listing is
// taken as complete although the store says that it goes on.
func TestListingWithoutItsLastPage(t *testing.T) {
	empty := page(9)
	empty.More = true
	first := page(9, put("a", 1))
	first.More = true
	s := &scriptedStore{
		lists: []store.Page{first, empty},
	}
	if l, _, err := mirror.ListAll(context.Background(), s, ""); err == nil {
		t.Errorf("the listing counts as complete: %v", l)
	}
}
