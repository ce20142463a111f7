package intake_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"hemlockhinge/clock"
	"hemlockhinge/graph"
	"hemlockhinge/intake"
	"hemlockhinge/leader"
	"hemlockhinge/meter"
	"hemlockhinge/policy"
	"hemlockhinge/store"
)

const (
	configKey = "objects"
	apiKey    = "k1"
	// storeCallTime is how long a call to a store that does not answer takes.
	storeCallTime = 500 * time.Millisecond
	callerTimeout = 3 * time.Second
)

// flakyStore can answer, refuse every call with status 503, or let every call
// time out.
type flakyStore struct {
	store.Committer
	unanswering atomic.Bool
	refusing    bool
	commits     int
}

func (s *flakyStore) fault(c context.Context, op string) error {
	switch {
	case s.refusing:
		return store.NewUnavailableError(op, "", true, errors.New("status 503"))
	case s.unanswering.Load():
		select {
		case <-c.Done():
		case <-time.After(storeCallTime):
		}
		return store.NewUnavailableError(op, "", false, context.DeadlineExceeded)
	}
	return nil
}

func (s *flakyStore) Get(c context.Context, key string) (store.Item, error) {
	if err := s.fault(c, "get"); err != nil {
		return store.Item{}, err
	}
	return store.Item{
		Key:      key,
		Revision: 1,
	}, nil
}

func (s *flakyStore) Commit(c context.Context, _ store.Txn) (uint64, error) {
	s.commits++
	if err := s.fault(c, "commit"); err != nil {
		return 0, err
	}
	return 2, nil
}

// staticObjects is a configuration that never changes.
type staticObjects struct{}

func (staticObjects) OutOfService(string) (string, bool) { return "", false }
func (staticObjects) ConfigKey() string                  { return configKey }
func (staticObjects) Prefix() string                     { return configKey }
func (staticObjects) Decode(i store.Item) (*policy.Config, error) {
	return &policy.Config{
		Version:   1,
		Revision:  i.Revision,
		Queues:    []policy.Queue{{Name: "q", Host: "h", Prefix: "/p/", Service: "s", MaxAttempts: 3}},
		Customers: []policy.Customer{{Name: "c", APIKeys: []string{apiKey}}},
	}, nil
}

func newIntake(s store.Committer) *intake.Intake { return newIntakeWithClock(s, clock.Clock{}) }

func newIntakeWithClock(s store.Committer, c clock.Clock) *intake.Intake {
	l := logrus.New()
	l.SetOutput(io.Discard)
	g := logrus.NewEntry(l)
	return intake.New(intake.Ports{
		Store:   s,
		Objects: staticObjects{},
		Leader: leader.New(leader.Ports{
			Store: s,
			Log:   g,
		}, leader.Settings{}),
		Log:   g,
		Meter: meter.New(prometheus.NewRegistry()),
		Clock: c,
	}, intake.Settings{
		MaxAge: callerTimeout,
	})
}

// submit submits a job as a caller would, in a single try.
func submit(d *intake.Intake) error {
	c, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	t, err := d.Resolve(c, intake.Request{
		Host:   "h",
		Path:   "/p/0123456789abcdef",
		APIKey: apiKey,
	})
	if err != nil {
		return err
	}
	return d.Submit(c, t, &graph.Job{
		ID:    "0123456789abcdef",
		Steps: []graph.Step{{Count: 1}},
	})
}

func assertRefused(t *testing.T, err error, status int, retry time.Duration) {
	t.Helper()
	var e *intake.Error
	if !errors.As(err, &e) {
		t.Fatalf("error %v, not *intake.Error", err)
	}
	if e.Status != status || e.RetryAfter != retry {
		t.Errorf("status %d, retry after %s; want %d, %s (%s)", e.Status, e.RetryAfter, status, retry, e.Detail)
	}
}

// TestNoWriteIsSentToStoreThatDoesNotAnswer guards against sending a write to a
// store that has just stopped answering: a caller whose write got no answer
// cannot be told whether its job was accepted. So no write is sent before the
// store has answered a read.
func TestNoWriteIsSentToStoreThatDoesNotAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &flakyStore{}
		d := newIntake(s)
		defer time.Sleep(2 * storeCallTime) // for attempts in the background
		if err := submit(d); err != nil || s.commits != 1 {
			t.Fatalf("error %v, %d writes while the store answers", err, s.commits)
		}
		time.Sleep(storeCallTime)
		s.unanswering.Store(true)
		assertRefused(t, submit(d), http.StatusServiceUnavailable, time.Second)
		if s.commits != 1 {
			t.Errorf("%d writes were sent to a store that does not answer", s.commits-1)
		}
	})
}

// TestRetryAfterGrowsWithOutage guards against callers who retry four times using
// up all their retries in an outage of some seconds, as they do when each answer
// tells them to come back after a second.
func TestRetryAfterGrowsWithOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &flakyStore{
			refusing: true,
		}
		d := newIntake(s)
		s.refusing = false
		if err := submit(d); err != nil {
			t.Fatal(err)
		}
		time.Sleep(storeCallTime)
		s.refusing = true
		begun := time.Now()
		retries := 0
		for {
			err := submit(d)
			if err == nil {
				break
			}
			var e *intake.Error
			if !errors.As(err, &e) || e.Status != http.StatusServiceUnavailable || e.RetryAfter < time.Second || e.RetryAfter > 4*time.Second {
				t.Fatalf("refused with %v", err)
			}
			time.Sleep(e.RetryAfter)
			retries++
			s.refusing = time.Since(begun) < 7*time.Second
		}
		if retries > 4 {
			t.Errorf("%d retries for an outage of 7 s", retries)
		}
		s.refusing = true
		time.Sleep(storeCallTime)
		assertRefused(t, submit(d), http.StatusServiceUnavailable, time.Second)
	})
}
