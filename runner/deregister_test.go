package runner_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"hemlockhinge/runner"
	"hemlockhinge/wire"
)

// status opens a session with a number, and returns the status that it gets.
func status(c context.Context, t *testing.T, r *runner.Runner, p *wire.Peer, session uint64) *wire.AgentStatus {
	t.Helper()
	m, err := r.Handle(c, p, &wire.StartSession{
		Epoch:   1,
		Session: session,
	})
	s, ok := m.(*wire.AgentStatus)
	if !ok {
		t.Fatalf("session %d: %v", session, err)
	}
	return s
}

// TestDeregistrationIsConfirmed guards against a deregistration that ends runs which go on: it is
// of an earlier incarnation, or the worker takes its time to end. The worker is gone once nobody
// with its id listens at its address.
func TestDeregistrationIsConfirmed(t *testing.T) {
	cases := []struct {
		name  string
		id    string
		after func(w *fakeWorker)
		gone  bool
	}{
		{"the worker answers", "w1", func(*fakeWorker) {}, false},
		{"the worker is busy", "w1", func(w *fakeWorker) { w.unresponsive = true }, false},
		{"its address cannot be reached", "w1", func(w *fakeWorker) { w.rejects = runner.ReasonNotSent }, false},
		{"nobody listens", "w1", func(w *fakeWorker) { w.rejects = runner.ReasonNoListener }, true},
		{"another worker listens", "w1", func(w *fakeWorker) { w.rejects = runner.ReasonOtherIncarnation }, true},
		{"another worker deregisters", "w9", func(w *fakeWorker) { w.rejects = runner.ReasonNoListener }, false},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			w := &fakeWorker{}
			withRunner(t, w, func(c context.Context, r *runner.Runner, p *wire.Peer) {
				if k := launch(c, r, p, "0123456789abcdef.0.0.0", 1); k != 0 {
					t.Fatalf("start: code %s", k)
				}
				r.HandleDeregister(v.id)
				time.Sleep(200 * time.Millisecond)
				v.after(w)
				time.Sleep(2 * time.Second)
				s := status(c, t, r, p, 2)
				if s.Worker.Gone != v.gone || (len(s.Runs) == 0) != v.gone {
					t.Errorf("gone %t with %d runs, not %t", s.Worker.Gone, len(s.Runs), v.gone)
				}
			})
		})
	}
}

// TestGoneWorkerComesBack guards against a worker that is lost to the scheduler because it was
// taken for gone, and against a heartbeat from before its end that makes it count as present.
func TestGoneWorkerComesBack(t *testing.T) {
	cases := []struct {
		name string
		// born is the incarnation of the heartbeat, rejects why the worker rejects calls.
		born    int64
		rejects runner.Reason
		back    bool
	}{
		{"late heartbeat, nobody listens", workerStart, runner.ReasonNoListener, false},
		{"late heartbeat, another worker listens", workerStart, runner.ReasonOtherIncarnation, false},
		{"the same incarnation answers", workerStart, "", true},
		{"the next incarnation answers", workerStart + 5000, "", true},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			w := &fakeWorker{}
			withRunner(t, w, func(c context.Context, r *runner.Runner, p *wire.Peer) {
				r.HandleDeregister("w1")
				w.rejects = runner.ReasonNoListener
				time.Sleep(time.Second)
				if s := status(c, t, r, p, 2); !s.Worker.Gone {
					t.Fatal("the worker is not gone")
				}
				w.rejects = v.rejects
				w.incarnation = v.born
				err := r.HandleHeartbeat(wire.WorkerInfo{
					Known:    true,
					ID:       "w1",
					Born:     v.born,
					Capacity: workerCapacity,
				}, 2, 1)
				time.Sleep(time.Second)
				if s := status(c, t, r, p, 3); s.Worker.Gone == v.back {
					t.Errorf("gone %t after the heartbeat (%v)", s.Worker.Gone, err)
				}
				var u *runner.UnconfirmedHeartbeatError
				var f *runner.ForeignHeartbeatError
				if refused := errors.As(err, &u) || errors.As(err, &f); refused == v.back {
					t.Errorf("heartbeat: %v", err)
				}
				if k := launch(c, r, p, "0123456789abcdef.0.0.0", 1); (k == 0) != v.back {
					t.Errorf("start: code %s", k)
				}
			})
		})
	}
}
