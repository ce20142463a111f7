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

// TestLedgerCoversTheWorker lets a worker carry orders out late, or never, in
// any order: whatever runs there is always in the ledger.
func TestLedgerCoversTheWorker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := ledger()
		type order struct {
			attempt int
			token   fence.Token
		}
		var seen fence.Token
		running := map[int]bool{}
		var late []order
		var lists []fence.Listing
		attempt := 0
		list := func() fence.Listing {
			seen = max(seen, l.Token())
			v := listing(l)
			for n := range running {
				v.Running = append(v.Running, fence.Run{Task: graph.Task{Job: "a", Index: n}, Attempt: n})
			}
			return v
		}
		t.Repeat(map[string]func(*rapid.T){
			"start answered": func(t *rapid.T) {
				attempt++
				k := l.Begin(graph.Task{Job: "a", Index: attempt}, attempt, size)
				if k < seen {
					l.Reject(graph.Task{Job: "a", Index: attempt}, attempt)
					return
				}
				seen = k
				running[attempt] = true
				l.Confirm(graph.Task{Job: "a", Index: attempt}, attempt)
			},
			"start unanswered": func(t *rapid.T) {
				attempt++
				late = append(late, order{
					attempt: attempt,
					token:   l.Begin(graph.Task{Job: "a", Index: attempt}, attempt, size),
				})
			},
			"late order": func(t *rapid.T) {
				if len(late) == 0 {
					return
				}
				i := rapid.IntRange(0, len(late)-1).Draw(t, "which")
				o := late[i]
				late = append(late[:i], late[i+1:]...)
				if o.token >= seen {
					seen = o.token
					running[o.attempt] = true
				}
			},
			"start whose answer is lost": func(*rapid.T) {
				attempt++
				k := l.Begin(graph.Task{Job: "a", Index: attempt}, attempt, size)
				if k >= seen {
					seen = k
					running[attempt] = true
				}
			},
			"list": func(t *rapid.T) {
				if rapid.Bool().Draw(t, "raised") {
					l.Raise(0)
				}
				l.Apply(list())
			},
			"list that comes late": func(*rapid.T) { lists = append(lists, list()) },
			"late list": func(t *rapid.T) {
				if len(lists) == 0 {
					return
				}
				i := rapid.IntRange(0, len(lists)-1).Draw(t, "which list")
				l.Apply(lists[i])
				lists = append(lists[:i], lists[i+1:]...)
			},
			"": func(t *rapid.T) {
				for n := range running {
					if !l.Has(graph.Task{Job: "a", Index: n}, n) {
						t.Fatalf("run %d is at the worker and not in the ledger", n)
					}
				}
			},
		})
	})
}
