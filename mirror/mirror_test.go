package mirror_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/mirror"
	"hemlockhinge/store"
)

// scriptedStore is a store that returns the given pages and watch answers in turn.
type scriptedStore struct {
	store.Port
	lists   []store.Page
	watches []func() (store.Page, error)
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
				if w := strings.Join(got, " "); w != v.want {
					t.Errorf("applied %q, not %q", w, v.want)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}
