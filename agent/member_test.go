package agent

import (
	"context"
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"hemlockhinge/conf"
	"hemlockhinge/fakes"
	"hemlockhinge/pack"
	"hemlockhinge/wire"
)

// newIdle returns an agent that does not run, for calls to its handler.
func newIdle() *Agent {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return New(Ports{
		Worker: fakes.NewWorker("w"),
		Log:    logrus.NewEntry(l),
	}, conf.AgentSettings{
		ID:       "w",
		Capacity: pack.Size{Accelerators: 8},
	})
}

func reserve(job string, epoch, try uint64, tasks int) *wire.Reserve {
	return &wire.Reserve{
		Attempt:   wire.Attempt{Job: job, Number: 1, Epoch: epoch, Try: try},
		Size:      pack.Size{Accelerators: 1},
		TaskCount: tasks,
	}
}

// wantCode checks that err is a refusal with a code; CodeInternal means none.
func wantCode(t *testing.T, err error, c wire.Code) {
	t.Helper()
	r, ok := wire.Refused(err)
	if c == wire.CodeInternal && err == nil {
		return
	}
	if !ok || r.Code != c {
		t.Errorf("got %v, want a refusal with code %s", err, c)
	}
}

func TestReserveRefusals(t *testing.T) {
	for _, c := range []struct {
		name  string
		after []*wire.Reserve
		set   func(a *Agent)
		last  *wire.Reserve
		want  wire.Code
	}{
		{name: "room", last: reserve("j", 1, 1, 8)},
		{name: "no room", last: reserve("j", 1, 1, 9), want: wire.CodeBusy},
		{name: "room taken", after: []*wire.Reserve{reserve("i", 1, 1, 5)}, last: reserve("j", 1, 2, 4), want: wire.CodeBusy},
		{name: "a lower epoch", after: []*wire.Reserve{reserve("i", 5, 1, 1)}, last: reserve("j", 4, 9, 1), want: wire.CodeStaleEpoch},
		{name: "doubled", after: []*wire.Reserve{reserve("j", 1, 1, 1)}, last: reserve("j", 1, 1, 1), want: wire.CodeAlreadyDone},
		{name: "a later try", after: []*wire.Reserve{reserve("j", 1, 1, 1)}, last: reserve("j", 1, 2, 1)},
		{name: "leaving", set: func(a *Agent) { a.leaving = true }, last: reserve("j", 1, 1, 1), want: wire.CodeLeaving},
		{name: "out", set: func(a *Agent) { a.policy.OutOfService = true }, last: reserve("j", 1, 1, 1), want: wire.CodeOutOfService},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newIdle()
			if c.set != nil {
				c.set(a)
			}
			for _, r := range c.after {
				if _, err := a.handle(context.Background(), nil, r); err != nil {
					t.Fatal(err)
				}
			}
			_, err := a.handle(context.Background(), nil, c.last)
			wantCode(t, err, c.want)
		})
	}
}

// TestQueryOfAnEarlierEpoch asks about an attempt of an earlier scheduler after
// the agent has heard of a later one.
func TestQueryOfAnEarlierEpoch(t *testing.T) {
	a := newIdle()
	old := reserve("old", 5, 1, 1)
	for _, r := range []*wire.Reserve{old, reserve("new", 9, 1, 1)} {
		if _, err := a.handle(context.Background(), nil, r); err != nil {
			t.Fatal(err)
		}
	}
	r, err := a.handle(context.Background(), nil, &wire.GetMemberStatus{Attempt: old.Attempt})
	if err != nil {
		t.Fatal(err)
	}
	if m, ok := r.(*wire.MemberStatus); !ok || m.Phase != wire.PhaseReserved {
		t.Errorf("got %+v", r)
	}
}
