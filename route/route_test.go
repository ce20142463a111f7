package route

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTable(ids ...string) (*Table, *rand.Rand) {
	t := &Table{}
	for _, id := range ids {
		t.Set(Target{ID: id, Incarnation: 1, Domain: "d-" + id, Services: []string{"s"}, Slots: 2}, start)
	}
	return t, rand.New(rand.NewPCG(1, 2))
}

// afterSlowStart is a time at which slow start is over for all targets.
var afterSlowStart = start.Add(slowStart)

// wantPicks picks targets until none has a free slot, and checks how often each
// was picked.
func wantPicks(t *testing.T, b *Table, r *rand.Rand, now time.Time, want map[string]int) {
	t.Helper()
	got := map[string]int{}
	for {
		v, ok := b.Pick("s", nil, now, r)
		if !ok {
			break
		}
		got[v.ID]++
	}
	for id, n := range want {
		if got[id] != n {
			t.Errorf("target %s picked %d times, want %d", id, got[id], n)
		}
		delete(got, id)
	}
	if len(got) > 0 {
		t.Errorf("picked %v, want none of these", got)
	}
}

func TestPickUntilNoneLeft(t *testing.T) {
	for _, c := range []struct {
		name string
		at   time.Time
		set  func(b *Table)
		want map[string]int
	}{
		{name: "all slots are used", at: afterSlowStart, want: map[string]int{"a": 2, "b": 2}},
		{name: "slow start", at: start, want: map[string]int{"a": 1, "b": 1}},
		{name: "requests from other entries count", at: afterSlowStart, set: func(b *Table) { b.SetLoad("a", 1, false) }, want: map[string]int{"a": 1, "b": 2}},
		{name: "leaving", at: afterSlowStart, set: func(b *Table) { b.SetLoad("a", 0, true) }, want: map[string]int{"b": 2}},
		{name: "failure domain is out of service", at: afterSlowStart, set: func(b *Table) { b.SetOutOfService(map[string]bool{"d-a": true}) }, want: map[string]int{"b": 2}},
		{name: "target is removed", at: afterSlowStart, set: func(b *Table) { b.Remove("a") }, want: map[string]int{"b": 2}},
		{name: "target is ejected after failures", at: afterSlowStart, set: func(b *Table) { failRepeatedly(b, "a") }, want: map[string]int{"b": 2}},
		{name: "at most half of the targets are ejected", at: afterSlowStart, set: func(b *Table) {
			failRepeatedly(b, "a")
			failRepeatedly(b, "b")
		}, want: map[string]int{"b": 1}},
		{name: "one request at a time after an ejection", at: afterSlowStart.Add(ejectBase), set: func(b *Table) { failRepeatedly(b, "a") }, want: map[string]int{"a": 1, "b": 2}},
		{name: "targets without heartbeats are used last", at: afterSlowStart, set: func(b *Table) { b.MarkLost("a") }, want: map[string]int{"a": 2, "b": 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, r := newTable("a", "b")
			if c.set != nil {
				c.set(b)
			}
			wantPicks(t, b, r, c.at, c.want)
		})
	}
}

func failRepeatedly(b *Table, id string) {
	for range ejectAfter {
		b.TakeSlot(id)
		b.ReleaseSlot(id, Failed, afterSlowStart)
	}
}

func TestQueue(t *testing.T) {
	var q Queue[string]
	q.SetLimit(2)
	q.Push("late", 0, start)
	low, _, _ := q.Push("low", 5, afterSlowStart)
	if _, _, ok := q.Push("lower", 6, afterSlowStart); ok {
		t.Error("full queue accepted a value of the lowest priority")
	}
	_, out, ok := q.Push("high", 1, afterSlowStart)
	if !ok || out != low {
		t.Errorf("displaced %v, want the one of the lowest priority", out)
	}
	w, late := q.Pop(start)
	if w.Value() != "high" || len(late) != 1 {
		t.Errorf("popped %q and %d late waiters, want high and 1", w.Value(), len(late))
	}
	if q.Remove(w) || q.Len() != 0 {
		t.Error("removed a waiter that was popped")
	}
}

func TestIdempotentAndMayRetry(t *testing.T) {
	yes, no := true, false
	for _, c := range []struct {
		method  string
		service *bool
		mark    string
		want    bool
	}{
		{method: http.MethodGet, want: true},
		{method: http.MethodPost},
		{method: http.MethodPost, service: &yes, want: true},
		{method: http.MethodGet, service: &no},
		{method: http.MethodGet, service: &yes, mark: "false"},
		{method: http.MethodPost, service: &no, mark: "true", want: true},
	} {
		if got := Idempotent(c.method, c.service, c.mark); got != c.want {
			t.Errorf("%s, service %v, mark %q: %v", c.method, c.service, c.mark, got)
		}
	}
	for _, c := range []struct {
		failure    Failure
		idempotent bool
		replayable bool
		left       time.Duration
		want       bool
	}{
		{failure: NotSent, left: time.Second, want: true},
		{failure: NotRun, left: time.Second, want: true},
		{failure: NotRun},
		{failure: MayHaveRun, replayable: true, left: time.Second},
		{failure: MayHaveRun, idempotent: true, left: time.Second},
		{failure: MayHaveRun, idempotent: true, replayable: true, left: time.Second, want: true},
	} {
		if got := MayRetry(c.failure, c.idempotent, c.replayable, c.left); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

func TestRetryBudget(t *testing.T) {
	var b RetryBudget
	n := 0
	for b.TakeRetry() {
		n++
	}
	if n != retryBurst {
		t.Errorf("%d retries in a burst, want %d", n, retryBurst)
	}
	for range 5 {
		b.RecordRequest()
	}
	if !b.TakeRetry() || b.TakeRetry() {
		t.Error("five requests should earn one retry")
	}
}
