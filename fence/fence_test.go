package fence_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"hemlockhinge/fence"
	"hemlockhinge/graph"
)

var (
	first  = graph.Task{Job: "a"}
	second = graph.Task{Job: "b"}
	size   = graph.Size{MilliCPU: 100}
)

func ledger() *fence.Ledger {
	var l fence.Ledger
	l.SetIncarnation(7)
	l.RaiseToken(100)
	return &l
}

func listing(l *fence.Ledger, r ...fence.Run) fence.Listing {
	return fence.Listing{
		Incarnation:   7,
		Token:         l.Token(),
		Confirmations: l.Confirmations(),
		Running:       r,
	}
}

func assertRuns(t *testing.T, l *fence.Ledger, want int) {
	t.Helper()
	if n := len(l.Runs()); n != want {
		t.Errorf("%d runs may exist, want %d: %+v", n, want, l.Runs())
	}
}

// TestIncompleteListing guards against a run that counts as lost because its row cannot be read.
func TestIncompleteListing(t *testing.T) {
	l := ledger()
	l.Begin(first, 1, size, time.Time{})
	l.Confirm(first, 1)
	s := listing(l)
	s.Incomplete = true
	l.Apply(s)
	assertRuns(t, l, 1)
	l.Apply(listing(l))
	assertRuns(t, l, 0)
}

// TestOvertakenListing guards against a run that ended, was acknowledged and comes back with a
// listing that was overtaken by newer ones: its task would wait until the next listing.
func TestOvertakenListing(t *testing.T) {
	l := ledger()
	l.Begin(first, 1, size, time.Time{})
	l.Confirm(first, 1)
	at := func(ms int64, s fence.Listing) fence.Listing {
		s.ClockMS = ms
		return s
	}
	overtaken := at(1000, listing(l, fence.Run{Task: first, Attempt: 1}))
	ended := at(1001, listing(l))
	ended.Ended = []fence.End{{Number: 1, End: graph.End{Task: first, Attempt: 1, Outcome: graph.OutcomeDone}}}
	l.Apply(ended)
	l.Acknowledge(7, 1)
	l.Apply(overtaken)
	assertRuns(t, l, 0)
	l.SetIncarnation(8)
	next := at(1, listing(l, fence.Run{Task: second, Attempt: 1}))
	next.Incarnation = 8
	l.Apply(next)
	assertRuns(t, l, 1)
}

func TestStartWithoutAnswer(t *testing.T) {
	t.Run("listing under the same token does not remove the run", func(t *testing.T) {
		l := ledger()
		l.Begin(first, 1, size, time.Time{})
		l.Apply(listing(l))
		assertRuns(t, l, 1)
	})
	t.Run("listing under a higher token removes the run", func(t *testing.T) {
		l := ledger()
		l.Begin(first, 1, size, time.Time{})
		l.RaiseToken(0)
		l.Apply(listing(l))
		assertRuns(t, l, 0)
	})
	t.Run("listing that shows the run confirms it", func(t *testing.T) {
		l := ledger()
		l.Begin(first, 1, size, time.Time{})
		l.RaiseToken(0)
		l.Apply(listing(l, fence.Run{Task: first, Attempt: 1}))
		assertRuns(t, l, 1)
		if l.Runs()[0].Uncertain() {
			t.Error("a listed run is uncertain")
		}
	})
}

func TestOutdatedListing(t *testing.T) {
	l := ledger()
	outdated := listing(l)
	l.Begin(first, 1, size, time.Time{})
	l.Confirm(first, 1)
	l.Apply(outdated)
	assertRuns(t, l, 1)
	l.Apply(listing(l))
	assertRuns(t, l, 0)
}

// TestOutdatedListingAfterLostAnswer covers a start whose answer is lost: a
// listing confirms the run, and then a listing arrives that was requested earlier
// and lacks it. The run must stay.
func TestOutdatedListingAfterLostAnswer(t *testing.T) {
	l := ledger()
	outdated := listing(l)
	l.Begin(first, 1, size, time.Time{})
	l.RaiseToken(0)
	l.Apply(listing(l, fence.Run{Task: first, Attempt: 1, Size: size}))
	l.Apply(outdated)
	assertRuns(t, l, 1)
	l.Apply(listing(l))
	assertRuns(t, l, 0)
}

func TestNewIncarnation(t *testing.T) {
	l := ledger()
	l.Begin(first, 1, size, time.Time{})
	l.Confirm(first, 1)
	if l.SetIncarnation(7) || !l.SetIncarnation(8) {
		t.Error("SetIncarnation does not report changes of the incarnation correctly")
	}
	assertRuns(t, l, 0)
	if l.Apply(listing(l, fence.Run{Task: first, Attempt: 1})) {
		t.Error("a listing of the previous incarnation was applied")
	}
}

func TestEnds(t *testing.T) {
	l := ledger()
	l.Begin(first, 1, size, time.Time{})
	l.Confirm(first, 1)
	v := listing(l)
	v.Ended = []fence.End{{Number: 1, End: graph.End{Task: first, Attempt: 1, Outcome: graph.OutcomeDone}}}
	l.Apply(v)
	l.Apply(v)
	if n := len(l.Ends()); n != 1 {
		t.Errorf("%d ends, want 1", n)
	}
	l.Acknowledge(6, 1)
	l.Acknowledge(7, 1)
	if l.AckedThrough() != 1 || !l.Idle() {
		t.Errorf("acknowledged through %d, idle %t; want 1, true", l.AckedThrough(), l.Idle())
	}
}

// TestTruncatedListing guards against runs that count as vanished although they have ended: the
// worker keeps more ends than it lists at a time.
func TestTruncatedListing(t *testing.T) {
	l := ledger()
	l.Begin(first, 1, size, time.Time{})
	l.Confirm(first, 1)
	l.Begin(second, 1, size, time.Time{})
	l.RaiseToken(0)
	s := listing(l)
	s.Truncated = true
	l.Apply(s)
	assertRuns(t, l, 2)
	l.Reject(first, 1)
	l.Reject(second, 1)
	if !l.Truncated() || l.Idle() {
		t.Error("the ledger counts as complete")
	}
	l.Begin(first, 1, size, time.Time{})
	l.RaiseToken(0)
	l.Apply(listing(l))
	assertRuns(t, l, 0)
	if l.Truncated() {
		t.Error("the ledger does not count as complete after a complete listing")
	}
}

func TestUsedCountsUncertainRuns(t *testing.T) {
	l := ledger()
	l.Begin(first, 1, size, time.Time{})
	l.Begin(second, 1, size, time.Time{})
	l.Confirm(second, 1)
	if z := l.Used(); z != size.Times(2) {
		t.Errorf("used %+v", z)
	}
	l.Reject(first, 1)
	if z := l.Used(); z != size {
		t.Errorf("used %+v after a rejection", z)
	}
}

// delayedStart is a start order that the worker may execute later.
type delayedStart struct {
	attempt int
	token   fence.Token
}

// unreliableWorker models a worker that executes orders late, out of order or
// never, and whose answers may be delayed or lost, together with the ledger of its
// agent. Its exported methods are the actions of the state machine. The recorded
// failures under testdata select actions by the order of the sorted names.
type unreliableWorker struct {
	ledger          *fence.Ledger
	highestToken    fence.Token
	running         map[int]bool
	delayedStarts   []delayedStart
	delayedListings []fence.Listing
	attempt         int
}

func taskNumbered(n int) graph.Task {
	return graph.Task{
		Job:   "a",
		Index: n,
	}
}

// begin adds the next start to the ledger.
func (h *unreliableWorker) begin() fence.Token {
	h.attempt++
	return h.ledger.Begin(taskNumbered(h.attempt), h.attempt, size, time.Time{})
}

// execute starts an attempt on the worker, unless it has seen a higher token.
func (h *unreliableWorker) execute(attempt int, k fence.Token) bool {
	if k < h.highestToken {
		return false
	}
	h.highestToken = k
	h.running[attempt] = true
	return true
}

// snapshot returns what the worker would list now.
func (h *unreliableWorker) snapshot() fence.Listing {
	h.highestToken = max(h.highestToken, h.ledger.Token())
	v := listing(h.ledger)
	for n := range h.running {
		v.Running = append(v.Running, fence.Run{
			Task:    taskNumbered(n),
			Attempt: n,
		})
	}
	return v
}

// StartAnswered sends a start that is answered at once.
func (h *unreliableWorker) StartAnswered(*rapid.T) {
	k := h.begin()
	if h.execute(h.attempt, k) {
		h.ledger.Confirm(taskNumbered(h.attempt), h.attempt)
		return
	}
	h.ledger.Reject(taskNumbered(h.attempt), h.attempt)
}

// StartLate sends a start that gets no answer and may be executed later.
func (h *unreliableWorker) StartLate(*rapid.T) {
	k := h.begin()
	h.delayedStarts = append(h.delayedStarts, delayedStart{
		attempt: h.attempt,
		token:   k,
	})
}

// StartAnswerLost sends a start that is executed at once, but whose answer is
// lost.
func (h *unreliableWorker) StartAnswerLost(*rapid.T) {
	k := h.begin()
	h.execute(h.attempt, k)
}

// LateOrder executes one of the delayed starts.
func (h *unreliableWorker) LateOrder(t *rapid.T) {
	if len(h.delayedStarts) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.delayedStarts)-1).Draw(t, "which")
	o := h.delayedStarts[i]
	h.delayedStarts = append(h.delayedStarts[:i], h.delayedStarts[i+1:]...)
	h.execute(o.attempt, o.token)
}

// List applies a listing immediately, sometimes under a raised token.
func (h *unreliableWorker) List(t *rapid.T) {
	if rapid.Bool().Draw(t, "raised") {
		h.ledger.RaiseToken(0)
	}
	h.ledger.Apply(h.snapshot())
}

// ListLate takes a listing that is delivered later.
func (h *unreliableWorker) ListLate(*rapid.T) {
	h.delayedListings = append(h.delayedListings, h.snapshot())
}

// LateList applies one of the delayed listings.
func (h *unreliableWorker) LateList(t *rapid.T) {
	if len(h.delayedListings) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.delayedListings)-1).Draw(t, "which list")
	h.ledger.Apply(h.delayedListings[i])
	h.delayedListings = append(h.delayedListings[:i], h.delayedListings[i+1:]...)
}

// Check fails if the ledger lacks a run that exists on the worker.
func (h *unreliableWorker) Check(t *rapid.T) {
	for n := range h.running {
		if !h.ledger.HasAttempt(taskNumbered(n), n) {
			t.Fatalf("run %d exists on the worker but is missing from the ledger", n)
		}
	}
}

// TestLedgerCoversTheWorker checks over random interleavings of orders, answers
// and listings that the ledger holds every run that exists on the worker.
func TestLedgerCoversTheWorker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(&unreliableWorker{
			ledger:  ledger(),
			running: map[int]bool{},
		}))
	})
}
