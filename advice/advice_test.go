package advice_test

import (
	"fmt"
	"testing"
	"time"

	"hemlockhinge/advice"
)

var (
	start   = time.Unix(100, 0)
	workers = []advice.WorkerIncarnation{{Worker: "a", Incarnation: 1}, {Worker: "b", Incarnation: 1}}
)

func assertAsked(t *testing.T, b *advice.Cache, at time.Time, want int) {
	t.Helper()
	if n := len(b.WorkersToAsk("s", workers, at)); n != want {
		t.Errorf("asked about %d workers, want %d", n, want)
	}
}

func TestCache(t *testing.T) {
	var b advice.Cache
	assertAsked(t, &b, start, 2)
	assertAsked(t, &b, start, 0)
	b.RecordAnswer("s", workers, map[string]string{"a": "t1"}, start.Add(3*time.Second), true)
	if k, ok := b.Ticket("s", workers[0], start); !ok || k != "t1" {
		t.Errorf("ticket %q, %t", k, ok)
	}
	if _, ok := b.Ticket("s", workers[1], start); ok {
		t.Error("a worker that was not approved has a ticket")
	}
	if _, ok := b.Ticket("s", advice.WorkerIncarnation{Worker: "a", Incarnation: 2}, start); ok {
		t.Error("a ticket is valid for a new incarnation of the worker")
	}
	if _, ok := b.Ticket("s", workers[0], start.Add(3*time.Second)); ok {
		t.Error("a ticket is valid after its expiry")
	}
	assertAsked(t, &b, start, 0)
	assertAsked(t, &b, start.Add(2800*time.Millisecond), 1)
	b.RecordAnswer("s", workers[:1], nil, time.Time{}, false)
	assertAsked(t, &b, start.Add(2800*time.Millisecond), 1)
}

func TestCacheLimitsWorkersPerCall(t *testing.T) {
	var b advice.Cache
	var many []advice.WorkerIncarnation
	for i := range advice.MaxWorkers + 5 {
		many = append(many, advice.WorkerIncarnation{Worker: fmt.Sprint(i)})
	}
	first := b.WorkersToAsk("s", many, start)
	b.RecordAnswer("s", first, nil, start, true)
	if n := len(b.WorkersToAsk("s", many, start)); len(first) != advice.MaxWorkers || n != 5 {
		t.Errorf("asked about %d workers, then %d", len(first), n)
	}
}
