package fence_test

import (
	"testing"

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
	l.Live(7)
	l.Raise(100)
	return &l
}

func listing(l *fence.Ledger, r ...fence.Run) fence.Listing {
	return fence.Listing{
		Born:    7,
		Token:   l.Token(),
		Mark:    l.Mark(),
		Running: r,
	}
}

func assertRuns(t *testing.T, l *fence.Ledger, want int) {
	t.Helper()
	if n := len(l.Runs()); n != want {
		t.Errorf("%d runs may exist, not %d: %+v", n, want, l.Runs())
	}
}

func TestUnansweredStart(t *testing.T) {
	t.Run("a list under the same token settles nothing", func(t *testing.T) {
		l := ledger()
		l.Begin(first, 1, size)
		l.Apply(listing(l))
		assertRuns(t, l, 1)
	})
	t.Run("a list under a higher token shows that it never will be", func(t *testing.T) {
		l := ledger()
		l.Begin(first, 1, size)
		l.Raise(0)
		l.Apply(listing(l))
		assertRuns(t, l, 0)
	})
	t.Run("a list that has it confirms it", func(t *testing.T) {
		l := ledger()
		l.Begin(first, 1, size)
		l.Raise(0)
		l.Apply(listing(l, fence.Run{Task: first, Attempt: 1}))
		assertRuns(t, l, 1)
		if l.Runs()[0].Uncertain() {
			t.Error("a listed run is uncertain")
		}
	})
}

func TestOvertakenList(t *testing.T) {
	l := ledger()
	old := listing(l)
	l.Begin(first, 1, size)
	l.Confirm(first, 1)
	l.Apply(old)
	assertRuns(t, l, 1)
	l.Apply(listing(l))
	assertRuns(t, l, 0)
}

// TestOvertakenListAfterALostAnswer covers a start whose answer is lost: the run is
// found by a list, and an older list that was asked for before it arrives late.
func TestOvertakenListAfterALostAnswer(t *testing.T) {
	l := ledger()
	old := listing(l)
	l.Begin(first, 1, size)
	l.Raise(0)
	l.Apply(listing(l, fence.Run{Task: first, Attempt: 1, Size: size}))
	l.Apply(old)
	assertRuns(t, l, 1)
	l.Apply(listing(l))
	assertRuns(t, l, 0)
}

func TestOtherLife(t *testing.T) {
	l := ledger()
	l.Begin(first, 1, size)
	l.Confirm(first, 1)
	if l.Live(7) || !l.Live(8) {
		t.Error("lives are not told apart")
	}
	assertRuns(t, l, 0)
	if l.Apply(listing(l, fence.Run{Task: first, Attempt: 1})) {
		t.Error("a list of the former life was taken in")
	}
}

func TestEnds(t *testing.T) {
	l := ledger()
	l.Begin(first, 1, size)
	l.Confirm(first, 1)
	v := listing(l)
	v.Ended = []fence.End{{N: 1, End: graph.End{Task: first, Attempt: 1, How: graph.Done}}}
	l.Apply(v)
	l.Apply(v)
	if n := len(l.Ends()); n != 1 {
		t.Errorf("%d ends of one", n)
	}
	l.Note(6, 1)
	l.Note(7, 1)
	if l.Acked() != 1 || !l.Idle() {
		t.Errorf("acknowledged through %d, idle %t", l.Acked(), l.Idle())
	}
}

func TestUsedCountsUncertainRuns(t *testing.T) {
	l := ledger()
	l.Begin(first, 1, size)
	l.Begin(second, 1, size)
	l.Confirm(second, 1)
	if z := l.Used(); z != size.Times(2) {
		t.Errorf("used %+v", z)
	}
	l.Reject(first, 1)
	if z := l.Used(); z != size {
		t.Errorf("used %+v after a rejection", z)
	}
}

// order is a start that the worker may carry out late.
type order struct {
	attempt int
	token   fence.Token
}

// hindered is a worker that carries orders out late, or never, in any order, and
// whose answers may be lost or late; and the ledger of its agent.
type hindered struct {
	ledger  *fence.Ledger
	seen    fence.Token
	running map[int]bool
	late    []order
	lists   []fence.Listing
	attempt int
}

func numbered(n int) graph.Task {
	return graph.Task{
		Job:   "a",
		Index: n,
	}
}

// begin notes the next start in the ledger.
func (h *hindered) begin() fence.Token {
	h.attempt++
	return h.ledger.Begin(numbered(h.attempt), h.attempt, size)
}

// carryOut has the worker start an attempt, unless it has seen a higher token.
func (h *hindered) carryOut(attempt int, k fence.Token) bool {
	if k < h.seen {
		return false
	}
	h.seen = k
	h.running[attempt] = true
	return true
}

// list returns what the worker shows now.
func (h *hindered) list() fence.Listing {
	h.seen = max(h.seen, h.ledger.Token())
	v := listing(h.ledger)
	for n := range h.running {
		v.Running = append(v.Running, fence.Run{
			Task:    numbered(n),
			Attempt: n,
		})
	}
	return v
}

// StartAnswered is a start with its answer.
func (h *hindered) StartAnswered(*rapid.T) {
	k := h.begin()
	if h.carryOut(h.attempt, k) {
		h.ledger.Confirm(numbered(h.attempt), h.attempt)
		return
	}
	h.ledger.Reject(numbered(h.attempt), h.attempt)
}

// StartLate is a start that has no answer and may be carried out later.
func (h *hindered) StartLate(*rapid.T) {
	k := h.begin()
	h.late = append(h.late, order{
		attempt: h.attempt,
		token:   k,
	})
}

// StartAnswerLost is a start that is carried out and whose answer is lost.
func (h *hindered) StartAnswerLost(*rapid.T) {
	k := h.begin()
	h.carryOut(h.attempt, k)
}

// LateOrder carries out one of the late starts.
func (h *hindered) LateOrder(t *rapid.T) {
	if len(h.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.late)-1).Draw(t, "which")
	o := h.late[i]
	h.late = append(h.late[:i], h.late[i+1:]...)
	h.carryOut(o.attempt, o.token)
}

// List takes in a list, at times under a higher token.
func (h *hindered) List(t *rapid.T) {
	if rapid.Bool().Draw(t, "raised") {
		h.ledger.Raise(0)
	}
	h.ledger.Apply(h.list())
}

// ListLate is a list that is made now and arrives later.
func (h *hindered) ListLate(*rapid.T) { h.lists = append(h.lists, h.list()) }

// LateList takes in one of the late lists.
func (h *hindered) LateList(t *rapid.T) {
	if len(h.lists) == 0 {
		return
	}
	i := rapid.IntRange(0, len(h.lists)-1).Draw(t, "which list")
	h.ledger.Apply(h.lists[i])
	h.lists = append(h.lists[:i], h.lists[i+1:]...)
}

// Check fails when something runs at the worker that is not in the ledger.
func (h *hindered) Check(t *rapid.T) {
	for n := range h.running {
		if !h.ledger.Has(numbered(n), n) {
			t.Fatalf("run %d is at the worker and not in the ledger", n)
		}
	}
}

// TestLedgerCoversTheWorker covers every interleaving of orders, answers and lists:
// whatever runs at the worker is always in the ledger.
func TestLedgerCoversTheWorker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(&hindered{
			ledger:  ledger(),
			running: map[int]bool{},
		}))
	})
}
