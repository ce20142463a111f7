package intake_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

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
	// callTime is how long a store that is out lets its callers wait.
	callTime = 500 * time.Millisecond
	callers  = 3 * time.Second
)

// flaky is a store that answers, refuses every call, or answers none.
type flaky struct {
	store.Committer
	silent  bool
	busy    bool
	commits int
}

func (s *flaky) hinder(c context.Context, op string) error {
	switch {
	case s.busy:
		return store.Unavailable(op, "", true, errors.New("status 503"))
	case s.silent:
		select {
		case <-c.Done():
		case <-time.After(callTime):
		}
		return store.Unavailable(op, "", false, context.DeadlineExceeded)
	}
	return nil
}

func (s *flaky) Get(c context.Context, key string) (store.Item, error) {
	if err := s.hinder(c, "get"); err != nil {
		return store.Item{}, err
	}
	return store.Item{
		Key:      key,
		Revision: 1,
	}, nil
}

func (s *flaky) Commit(c context.Context, _ store.Txn) (uint64, error) {
	s.commits++
	if err := s.hinder(c, "commit"); err != nil {
		return 0, err
	}
	return 2, nil
}

// objects is a configuration that never changes.
type objects struct{}

func (objects) Out(string) (string, bool) { return "", false }
func (objects) ConfigKey() string         { return configKey }
func (objects) Prefix() string            { return configKey }
func (objects) Decode(i store.Item) (*policy.Config, error) {
	return &policy.Config{
		Version:   1,
		Revision:  i.Revision,
		Queues:    []policy.Queue{{Name: "q", Host: "h", Prefix: "/p/", Service: "s", MaxAttempts: 3}},
		Customers: []policy.Customer{{Name: "c", Keys: []string{apiKey}}},
	}, nil
}

func newIntake(s *flaky) *intake.Intake {
	l := logrus.New()
	l.SetOutput(io.Discard)
	g := logrus.NewEntry(l)
	return intake.New(intake.Ports{
		Store:   s,
		Objects: objects{},
		Leader: leader.New(leader.Ports{
			Store: s,
			Log:   g,
		}, leader.Settings{}),
		Log:   g,
		Meter: meter.New(prometheus.NewRegistry()),
	}, intake.Settings{
		MaxAge: callers,
	})
}

// submit hands a job in as one try of a caller.
func submit(d *intake.Intake) error {
	c, cancel := context.WithTimeout(context.Background(), callers)
	defer cancel()
	t, err := d.Resolve(c, intake.Call{
		Host: "h",
		Path: "/p/0123456789abcdef",
		Key:  apiKey,
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
		t.Errorf("status %d, again after %s; want %d, %s (%s)", e.Status, e.RetryAfter, status, retry, e.Detail)
	}
}

// TestSilentStoreGetsNoWrite covers the pattern of a store that has just stopped
// answering: a caller whose write got no answer cannot be told whether its job
// was accepted, so none is sent before the store has answered a read.
func TestSilentStoreGetsNoWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &flaky{}
		d := newIntake(s)
		if err := submit(d); err != nil || s.commits != 1 {
			t.Fatalf("error %v, %d writes while the store answers", err, s.commits)
		}
		time.Sleep(callTime)
		s.silent = true
		assertRefused(t, submit(d), http.StatusServiceUnavailable, time.Second)
		if s.commits != 1 {
			t.Errorf("%d writes were sent to a store that does not answer", s.commits-1)
		}
	})
}

// TestRetryAfterGrowsWithTheOutage covers the pattern of callers with four retries
// in an outage of seconds: those who are told to come back each second have used
// all of them before it ends.
func TestRetryAfterGrowsWithTheOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &flaky{
			busy: true,
		}
		d := newIntake(s)
		s.busy = false
		if err := submit(d); err != nil {
			t.Fatal(err)
		}
		time.Sleep(callTime)
		s.busy = true
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
			s.busy = time.Since(begun) < 7*time.Second
		}
		if retries > 4 {
			t.Errorf("%d retries for an outage of 7 s", retries)
		}
		s.busy = true
		time.Sleep(callTime)
		assertRefused(t, submit(d), http.StatusServiceUnavailable, time.Second)
	})
}
