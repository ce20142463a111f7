package intake_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"hemlockhinge/clock"
	"hemlockhinge/intake"
	"hemlockhinge/store"
)

// revisionStore holds the configuration at a revision, and counts the calls.
type revisionStore struct {
	store.Committer
	revision  uint64
	compacted bool
	gets      int
	polls     int
}

func (s *revisionStore) item() store.Item {
	return store.Item{
		Key:      configKey,
		Revision: s.revision,
	}
}

func (s *revisionStore) Get(context.Context, string) (store.Item, error) {
	s.gets++
	return s.item(), nil
}

func (s *revisionStore) List(context.Context, string, string) (store.Page, error) {
	return store.Page{
		Items:    []store.Item{s.item()},
		Revision: s.revision,
	}, nil
}

func (s *revisionStore) Watch(c context.Context, _ string, _ uint64) (store.Page, error) {
	<-c.Done()
	return store.Page{}, c.Err()
}

func (s *revisionStore) Poll(_ context.Context, _ string, rev uint64) (store.Page, error) {
	s.polls++
	p := store.Page{
		Revision: s.revision,
	}
	switch {
	case s.compacted:
		return p, &store.CompactedError{}
	case rev < s.revision:
		p.Items = []store.Item{s.item()}
	}
	return p, nil
}

// TestConfirmByPoll guards against entries that read a large configuration again every
// second to confirm that it is the newest: they ask for changes, and read it only if the
// store cannot tell.
func TestConfirmByPoll(t *testing.T) {
	cases := []struct {
		name   string
		change func(s *revisionStore)
		gets   int
		want   uint64
	}{
		{"nothing changes", func(*revisionStore) {}, 0, 1},
		{"the watch is late with a change", func(s *revisionStore) { s.revision = 5 }, 0, 5},
		{"the history is compacted", func(s *revisionStore) { s.compacted = true; s.revision = 5 }, 1, 5},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &revisionStore{revision: 1}
				d := newIntake(s)
				c, cancel := context.WithCancel(context.Background())
				go d.Run(c)
				synctest.Wait()
				v.change(s)
				time.Sleep(2 * intake.ConfirmAge)
				if _, err := d.Resolve(c, intake.Request{Queue: "q", APIKey: apiKey}); err != nil {
					t.Errorf("request is not resolved: %v", err)
				}
				if s.gets != v.gets || s.polls != 1 {
					t.Errorf("%d reads and %d polls, want %d and 1", s.gets, s.polls, v.gets)
				}
				if r := d.Dump().Revision; r != v.want {
					t.Errorf("configuration of revision %d, want %d", r, v.want)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestRequestsDoNotQueueInOutage guards against callers who are held until their deadline
// while the store is silent: each waited for the attempts of those before it to confirm
// the configuration. They must be refused soon, and at once when the outage is known; and
// be served as soon as the store answers again.
func TestRequestsDoNotQueueInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &flakyStore{}
		d := newIntake(s)
		defer time.Sleep(2 * storeCallTime)
		if err := submit(d); err != nil {
			t.Fatal(err)
		}
		c, cancel := context.WithCancel(context.Background())
		defer cancel()
		go d.ConfirmLoop(c)
		s.unanswering.Store(true)
		time.Sleep(2 * intake.ConfirmAge)
		assertRefusedWithin(t, d, 500*time.Millisecond)
		for range 3 {
			time.Sleep(callerTimeout / 2)
			assertRefusedWithin(t, d, 200*time.Millisecond)
		}
		s.unanswering.Store(false)
		time.Sleep(storeCallTime + 400*time.Millisecond)
		if err := submit(d); err != nil {
			t.Errorf("refused although the store answers again: %v", err)
		}
	})
}

// assertRefusedWithin submits 20 jobs at the same time.
func assertRefusedWithin(t *testing.T, d *intake.Intake, most time.Duration) {
	t.Helper()
	begun := time.Now()
	var w sync.WaitGroup
	for range 20 {
		w.Go(func() {
			if err := submit(d); err == nil {
				t.Error("a job was accepted while the store did not answer")
			}
		})
	}
	w.Wait()
	if took := time.Since(begun); took > most {
		t.Errorf("requests were refused after %s, want within %s", took, most)
	}
}

// TestSuspendedMachineKnowsThatItsConfigurationIsOld guards against answers by a copy of the
// configuration from before the machine was suspended: the monotonic clock stands still
// meanwhile, so that the copy seems as young as it was. A key may have been revoked since.
func TestSuspendedMachineKnowsThatItsConfigurationIsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &flakyStore{}
		var suspended time.Duration
		d := newIntakeWithClock(s, clock.New(func() time.Duration { return suspended }))
		defer time.Sleep(2 * storeCallTime)
		if err := submit(d); err != nil {
			t.Fatal(err)
		}
		s.unanswering.Store(true)
		if err := d.Ready(); err != nil {
			t.Errorf("not ready right after a confirmation: %v", err)
		}
		suspended = 2 * callerTimeout
		if _, err := d.Resolve(t.Context(), intake.Request{Host: "h", Path: "/p/1", APIKey: apiKey}); err == nil {
			t.Error("a request is resolved by a configuration from before the machine was suspended")
		}
		if d.Ready() == nil {
			t.Error("ready by a configuration from before the machine was suspended")
		}
	})
}
