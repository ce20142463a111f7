package intake_test

import (
	"context"
	"io"
	"sync"
	"testing"

	"github.com/sirupsen/logrus"

	"hemlockhinge/graph"
	"hemlockhinge/intake"
	"hemlockhinge/leader"
	"hemlockhinge/store"
)

// racingStore has a new configuration for each of its first transactions, which therefore
// fail.
type racingStore struct {
	flakyStore
	mu        sync.Mutex
	revision  uint64
	conflicts int
}

func (s *racingStore) Commit(context.Context, store.Txn) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conflicts == 0 {
		return s.revision, nil
	}
	s.conflicts--
	s.revision++
	return 0, &store.TxnConflictError{
		Items: []store.Item{{
			Key:      configKey,
			Revision: s.revision,
		}},
	}
}

// TestSchedulerKeepsNewestConfiguration guards against a scheduler that goes back to an older
// configuration, or forgets that a failure domain is out of service: requests that learn of
// changes at the same time pass them on in another order.
func TestSchedulerKeepsNewestConfiguration(t *testing.T) {
	const (
		rounds   = 4000
		requests = 16
	)
	g := logrus.New()
	g.SetOutput(io.Discard)
	// Each request makes a single try.
	once, cancel := context.WithCancel(t.Context())
	cancel()
	for range rounds {
		s := &racingStore{
			revision:  1,
			conflicts: requests,
		}
		l := leader.New(leader.Ports{
			Store: s,
			Log:   logrus.NewEntry(g),
		}, leader.Settings{})
		d := intake.New(intake.Ports{
			Store:   s,
			Objects: staticObjects{},
			Leader:  l,
			Log:     logrus.NewEntry(g),
		}, intake.Settings{
			MaxAge: callerTimeout,
		})
		q, err := d.Resolve(t.Context(), intake.Request{Queue: "q", APIKey: apiKey})
		if err != nil {
			t.Fatal(err)
		}
		var w sync.WaitGroup
		for range requests {
			w.Go(func() {
				v := *q
				_ = d.Submit(once, &v, &graph.Job{
					ID:    "0123456789abcdef",
					Steps: []graph.Step{{Count: 1}},
				})
			})
		}
		w.Wait()
		if have, want := l.Dump().Revision, d.Dump().Revision; have != want {
			t.Fatalf("the scheduler has revision %d, the entry has had %d", have, want)
		}
	}
}
