package store_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"hemlockhinge/fakes"
	"hemlockhinge/store"
)

// withTable runs f in virtual time with two writers of the same table.
func withTable(t *testing.T, f func(t *testing.T, s *fakes.Store, a, b *store.Table[string])) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := fakes.NewStore()
		f(t, s, store.NewTable[string](s, "a", "x/"), store.NewTable[string](s, "b", "x/"))
	})
}

func wantConflict(t *testing.T, err error) {
	t.Helper()
	var f *store.ConflictError
	if !errors.As(err, &f) {
		t.Errorf("got %v, want a ConflictError", err)
	}
}

func TestSwap(t *testing.T) {
	c := context.Background()
	t.Run("creates once", func(t *testing.T) {
		withTable(t, func(t *testing.T, _ *fakes.Store, a, b *store.Table[string]) {
			if _, err := a.Swap(c, store.NewRecord("k", "1"), 0); err != nil {
				t.Fatal(err)
			}
			_, err := b.Swap(c, store.NewRecord("k", "2"), 0)
			wantConflict(t, err)
		})
	})
	t.Run("a lost answer is resolved", func(t *testing.T) {
		withTable(t, func(t *testing.T, s *fakes.Store, a, _ *store.Table[string]) {
			s.LoseAnswers(1)
			r, err := a.Swap(c, store.NewRecord("k", "1"), 0)
			if err != nil {
				t.Fatal(err)
			}
			r.Body = "2"
			if _, err := a.Swap(c, r, 0); err != nil {
				t.Errorf("resolved record has a wrong revision: %v", err)
			}
		})
	})
	t.Run("a lost answer is resolved after another writer has written", func(t *testing.T) {
		withTable(t, func(t *testing.T, s *fakes.Store, a, b *store.Table[string]) {
			s.LoseAnswers(1)
			go func() {
				time.Sleep(time.Millisecond)
				for i := range 3 {
					r, err := b.Get(c, "k")
					if err != nil {
						t.Error(err)
						return
					}
					r.Body = string(rune('a' + i))
					if _, err := b.Swap(c, r, 0); err != nil {
						t.Error(err)
					}
				}
			}()
			if _, err := a.SwapNonce(c, store.NewRecord("k", "1"), 0, "mine"); err != nil {
				t.Errorf("write took effect, but Swap returned: %v", err)
			}
			if ok, err := a.HasWrite(c, "k", "mine"); !ok || err != nil {
				t.Errorf("HasWrite: got %v, %v, want true", ok, err)
			}
		})
	})
	t.Run("an outage leaves the write uncertain", func(t *testing.T) {
		withTable(t, func(t *testing.T, s *fakes.Store, a, _ *store.Table[string]) {
			s.SetUnavailable(true)
			x, cancel := context.WithTimeout(c, 5*time.Second)
			defer cancel()
			_, err := a.Swap(x, store.NewRecord("k", "1"), 0)
			var u *store.UncertainError
			if !errors.As(err, &u) {
				t.Errorf("got %v, want an UncertainError", err)
			}
		})
	})
	t.Run("a value that is too large is refused", func(t *testing.T) {
		withTable(t, func(t *testing.T, _ *fakes.Store, a, _ *store.Table[string]) {
			_, err := a.Swap(c, store.NewRecord("k", string(make([]byte, store.MaxValue))), 0)
			var l *store.TooLargeError
			if !errors.As(err, &l) {
				t.Errorf("got %v, want a TooLargeError", err)
			}
		})
	})
}

func TestWatchAfterList(t *testing.T) {
	withTable(t, func(t *testing.T, _ *fakes.Store, a, b *store.Table[string]) {
		c := context.Background()
		if _, err := a.Swap(c, store.NewRecord("k1", "1"), 0); err != nil {
			t.Fatal(err)
		}
		l, rev, err := b.List(c)
		if err != nil || len(l) != 1 {
			t.Fatalf("List: got %d records, %v, want 1", len(l), err)
		}
		go func() {
			time.Sleep(time.Second)
			_ = a.Delete(c, "k1", l[0].Revision)
		}()
		w, _, err := b.Watch(c, rev)
		if err != nil || len(w) != 1 || !w[0].Deleted || w[0].ID != "k1" {
			t.Errorf("Watch: got %+v, %v, want the deletion of k1", w, err)
		}
	})
}
