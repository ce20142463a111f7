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

// newIdleAgent returns an agent that is not running, for direct calls to its handler.
func newIdleAgent() *Agent {
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

func newReserve(job string, epoch, try uint64, tasks int) *wire.Reserve {
	return &wire.Reserve{
		Attempt:   wire.Attempt{Job: job, Number: 1, Epoch: epoch, Try: try},
		Size:      pack.Size{Accelerators: 1},
		TaskCount: tasks,
	}
}

// wantCode checks that err is a refusal with code c, or nil if c is CodeInternal.
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

func TestReserve(t *testing.T) {
	for _, c := range []struct {
		name    string
		earlier []*wire.Reserve
		prepare func(a *Agent)
		request *wire.Reserve
		want    wire.Code
	}{
		{name: "room", request: newReserve("j", 1, 1, 8)},
		{name: "exceeds the capacity", request: newReserve("j", 1, 1, 9), want: wire.CodeBusy},
		{name: "capacity reserved by another job", earlier: []*wire.Reserve{newReserve("i", 1, 1, 5)}, request: newReserve("j", 1, 2, 4), want: wire.CodeBusy},
		{name: "lower epoch", earlier: []*wire.Reserve{newReserve("i", 5, 1, 1)}, request: newReserve("j", 4, 9, 1), want: wire.CodeStaleEpoch},
		{name: "same try repeated", earlier: []*wire.Reserve{newReserve("j", 1, 1, 1)}, request: newReserve("j", 1, 1, 1), want: wire.CodeAlreadyDone},
		{name: "later try of the same attempt", earlier: []*wire.Reserve{newReserve("j", 1, 1, 1)}, request: newReserve("j", 1, 2, 1)},
		{name: "leaving", prepare: func(a *Agent) { a.leaving = true }, request: newReserve("j", 1, 1, 1), want: wire.CodeLeaving},
		{name: "out", prepare: func(a *Agent) { a.config.OutOfService = true }, request: newReserve("j", 1, 1, 1), want: wire.CodeOutOfService},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newIdleAgent()
			if c.prepare != nil {
				c.prepare(a)
			}
			for _, r := range c.earlier {
				if _, err := a.handle(context.Background(), nil, r); err != nil {
					t.Fatal(err)
				}
			}
			_, err := a.handle(context.Background(), nil, c.request)
			wantCode(t, err, c.want)
		})
	}
}

// TestStatusOfEarlierEpoch asks for the status of an attempt of an earlier scheduler
// after the agent has seen the epoch of a later one. Such a question must be answered
// although orders of the earlier scheduler are refused.
func TestStatusOfEarlierEpoch(t *testing.T) {
	a := newIdleAgent()
	old := newReserve("old", 5, 1, 1)
	for _, r := range []*wire.Reserve{old, newReserve("new", 9, 1, 1)} {
		if _, err := a.handle(context.Background(), nil, r); err != nil {
			t.Fatal(err)
		}
	}
	r, err := a.handle(context.Background(), nil, &wire.GetMemberStatus{Attempt: old.Attempt})
	if err != nil {
		t.Fatal(err)
	}
	if m, ok := r.(*wire.MemberStatus); !ok || m.Phase != wire.PhaseReserved {
		t.Errorf("got %+v, want the status of a reserved member", r)
	}
}
