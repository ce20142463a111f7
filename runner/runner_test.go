package runner_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"hemlockhinge/clock"
	"hemlockhinge/fence"
	"hemlockhinge/graph"
	"hemlockhinge/meter"
	"hemlockhinge/pause"
	"hemlockhinge/runner"
	"hemlockhinge/wire"
)

const (
	workerStart = 1000
	lease       = 6 * time.Second
	// workerClockMS is the worker's clock in all its answers.
	workerClockMS = 1
)

var workerCapacity = graph.Size{
	MilliCPU:     8000,
	Accelerators: 8,
}

// fakeWorker accepts every order. While unresponsive is set it answers no Start or
// RenewAndList.
type fakeWorker struct {
	running []fence.Run
	ended   []fence.End
	// acknowledged is the number up to which ends were acknowledged.
	acknowledged int64
	starts       int
	unresponsive bool
	// closed means that no call reaches it.
	closed bool
	// rejects is the reason for which it rejects calls, if any.
	rejects runner.Reason
	// incarnation is that of its listings, workerStart if 0.
	incarnation int64
	// startDelay is how long it takes to answer a start, with startClockMS as its clock if set.
	startDelay   time.Duration
	startClockMS int64
	// lastLeaseEnd is the end of the lease of the last order.
	lastLeaseEnd int64
	// suspended is for how long the agent's machine has been suspended.
	suspended time.Duration
}

// answer returns nil, or, while the worker is unresponsive, a *NoAnswerError when c ends.
func (w *fakeWorker) answer(c context.Context, op string) error {
	if w.closed {
		w.rejects = runner.ReasonNotSent
	}
	if w.rejects != "" {
		return &runner.RejectedError{
			Op:     op,
			Reason: w.rejects,
		}
	}
	if !w.unresponsive {
		return nil
	}
	<-c.Done()
	return &runner.NoAnswerError{
		Op:  op,
		Err: c.Err(),
	}
}

func (w *fakeWorker) Start(c context.Context, o runner.StartOrder) (runner.Answer, error) {
	if err := w.answer(c, "start"); err != nil {
		return runner.Answer{}, err
	}
	w.starts++
	w.lastLeaseEnd = o.LeaseEndMS
	w.running = append(w.running, fence.Run{
		Task:    o.Task,
		Attempt: o.Attempt,
	})
	clockMS := cmp.Or(w.startClockMS, workerClockMS)
	time.Sleep(w.startDelay)
	return runner.Answer{
		ClockMS: clockMS,
	}, nil
}

// beat sends the first heartbeat of the worker's incarnation.
func (w *fakeWorker) beat(t *testing.T, r *runner.Runner) {
	t.Helper()
	if err := r.HandleHeartbeat(wire.WorkerInfo{
		Known:    true,
		ID:       "w1",
		Born:     w.incarnation,
		Capacity: workerCapacity,
	}, 1, 1); err != nil {
		t.Fatal(err)
	}
}

// endFirst ends the first run as done.
func (w *fakeWorker) endFirst() {
	e := fence.End{Number: int64(len(w.ended) + 1)}
	e.Task = w.running[0].Task
	e.Attempt = w.running[0].Attempt
	e.Outcome = graph.OutcomeDone
	w.running, w.ended = w.running[1:], append(w.ended, e)
}

func (w *fakeWorker) Stop(context.Context, runner.StopOrder) (runner.Answer, error) {
	return runner.Answer{
		ClockMS: workerClockMS,
	}, nil
}

func (w *fakeWorker) RenewAndList(c context.Context, o runner.RenewOrder) (runner.Answer, error) {
	if err := w.answer(c, "hold"); err != nil {
		return runner.Answer{}, err
	}
	w.lastLeaseEnd = o.LeaseEndMS
	w.acknowledged = max(w.acknowledged, o.AckedThrough)
	w.ended = slices.DeleteFunc(w.ended, func(e fence.End) bool { return e.Number <= o.AckedThrough })
	select {
	case <-c.Done():
	case <-time.After(o.Wait):
	}
	return runner.Answer{
		ClockMS: workerClockMS,
		Listing: fence.Listing{
			Incarnation: cmp.Or(w.incarnation, workerStart),
			Running:     w.running,
			Ended:       w.ended,
		},
	}, nil
}

// withRunner runs f in virtual time on a runner that has accepted a scheduler's session
// and is pinged by it.
func withRunner(t *testing.T, w *fakeWorker, f func(c context.Context, r *runner.Runner, p *wire.Peer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := logrus.New()
		g.SetOutput(io.Discard)
		c, cancel := context.WithCancel(context.Background())
		r := runner.New(runner.Ports{
			Worker: w,
			Log:    logrus.NewEntry(g),
			Meter:  meter.New(prometheus.NewRegistry()),
			Clock:  clock.New(func() time.Duration { return w.suspended }),
		}, runner.Settings{
			Lease:            lease,
			SilenceTolerance: lease,
		})
		go r.Run(c)
		if err := r.HandleHeartbeat(wire.WorkerInfo{
			Known:    true,
			ID:       "w1",
			Born:     workerStart,
			Capacity: workerCapacity,
		}, 1, 1); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		a, b := net.Pipe()
		p := wire.NewPeer(a, r)
		if _, err := r.Handle(c, p, &wire.StartSession{Epoch: 1, Session: 1}); err != nil {
			t.Fatal(err)
		}
		go keepContact(c, r, p)
		time.Sleep(time.Second)
		f(c, r, p)
		cancel()
		_ = a.Close()
		_ = b.Close()
		synctest.Wait()
	})
}

// keepContact pings the runner as the scheduler does until c ends.
func keepContact(c context.Context, r *runner.Runner, p *wire.Peer) {
	for agentClockMS := int64(0); pause.For(c, lease/10); {
		if m, err := r.Handle(c, p, &wire.Ping{LastAgentMS: agentClockMS}); err == nil {
			if v, ok := m.(*wire.Pong); ok {
				agentClockMS = v.AgentMS
			}
		}
	}
}

// launch requests a start and returns the code of the refusal, or 0 if it was accepted.
func launch(c context.Context, r *runner.Runner, p *wire.Peer, task string, attempt int) wire.Code {
	m, err := r.Handle(c, p, &wire.Ping{})
	v, ok := m.(*wire.Pong)
	if err != nil || !ok {
		return wire.CodeInternal
	}
	_, err = r.Handle(c, p, &wire.Launch{
		Task:    task,
		Attempt: attempt,
		Size: graph.Size{
			Accelerators: 1,
		},
		LastAgentMS: v.AgentMS,
	})
	var f *wire.RefusedError
	if errors.As(err, &f) {
		return f.Code
	}
	return 0
}

// TestOneAttemptAtATime guards against two attempts of a task running at once: the
// scheduler believes that a run is lost and launches the next attempt, but the worker is
// still running it. The agent must refuse the launch.
func TestOneAttemptAtATime(t *testing.T) {
	w := &fakeWorker{}
	withRunner(t, w, func(c context.Context, r *runner.Runner, p *wire.Peer) {
		for _, v := range []struct {
			task    string
			attempt int
			want    wire.Code
		}{
			{"0123456789abcdef.0.0.0", 1, 0},
			{"0123456789abcdef.0.0.0", 2, wire.CodeBusy},
			{"0123456789abcdef.0.0.1", 2, 0},
		} {
			if k := launch(c, r, p, v.task, v.attempt); k != v.want {
				t.Errorf("task %s, attempt %d: code %s, want %s", v.task, v.attempt, k, v.want)
			}
		}
		if w.starts != 2 {
			t.Errorf("%d starts reached the worker, want 2", w.starts)
		}
	})
}

// TestStartAfterUnresponsiveWorker guards against starts without a lease: the worker
// answers nothing for longer than its leases last while no order is sent to it, so that
// the runner stops renewing. The first start after that must have a lease again.
func TestStartAfterUnresponsiveWorker(t *testing.T) {
	w := &fakeWorker{}
	withRunner(t, w, func(c context.Context, r *runner.Runner, p *wire.Peer) {
		if k := launch(c, r, p, "0123456789abcdef.0.0.0", 1); k != 0 {
			t.Fatalf("first start: code %s", k)
		}
		w.unresponsive = true
		time.Sleep(2 * lease)
		w.unresponsive = false
		w.running = nil
		time.Sleep(lease / 2)
		if k := launch(c, r, p, "0123456789abcdef.0.0.1", 1); k != 0 || w.lastLeaseEnd <= 0 {
			t.Errorf("start after the worker answers again: code %s, lease until %d", k, w.lastLeaseEnd)
		}
	})
}

// TestSuspendedAgentCountsSuspension guards against a task that runs twice: its start waits at an
// agent whose machine is suspended, until the scheduler has given the agent up and started the
// task elsewhere. The agent must refuse the start when it wakes, and renew no lease.
func TestSuspendedAgentCountsSuspension(t *testing.T) {
	w := &fakeWorker{}
	withRunner(t, w, func(c context.Context, r *runner.Runner, p *wire.Peer) {
		if k := launch(c, r, p, "0123456789abcdef.0.0.0", 1); k != 0 {
			t.Fatalf("first start: code %s", k)
		}
		m, err := r.Handle(c, p, &wire.Ping{})
		v, ok := m.(*wire.Pong)
		if !ok {
			t.Fatalf("ping: %v", err)
		}
		w.suspended = 2 * lease
		r.ExtendLease(c)
		if w.lastLeaseEnd > workerClockMS {
			t.Errorf("lease renewed until %d after the suspension", w.lastLeaseEnd)
		}
		_, err = r.Handle(c, p, &wire.Launch{
			Task:        "0123456789abcdef.0.0.1",
			Attempt:     1,
			LastAgentMS: v.AgentMS,
		})
		var f *wire.RefusedError
		if !errors.As(err, &f) || f.Code != wire.CodeExpired || w.starts != 1 {
			t.Errorf("start from before the suspension: %v, %d starts", err, w.starts)
		}
	})
}

// TestHeartbeatAfterRestartWithSameID guards against a worker whose reports are taken for
// those of its previous incarnation: it restarts under its ID, the runner learns of that from
// a listing first, and the numbers of its heartbeats begin anew. No task may start before
// the first heartbeat, since the worker may have become smaller.
func TestHeartbeatAfterRestartWithSameID(t *testing.T) {
	w := &fakeWorker{}
	withRunner(t, w, func(c context.Context, r *runner.Runner, p *wire.Peer) {
		beat := func(born, seq int64, z graph.Size) {
			_ = r.HandleHeartbeat(wire.WorkerInfo{
				Known:    true,
				ID:       "w1",
				Born:     born,
				Capacity: z,
			}, seq, 1)
		}
		beat(workerStart, 20, workerCapacity)
		if k := launch(c, r, p, "0123456789abcdef.0.0.0", 1); k != 0 {
			t.Fatalf("first start: code %s", k)
		}
		w.incarnation = workerStart + 5000
		w.running = nil
		time.Sleep(2 * time.Second)
		if k := launch(c, r, p, "0123456789abcdef.0.0.1", 1); k == 0 {
			t.Error("a task was started before the first heartbeat of the new incarnation")
		}
		beat(workerStart+5000, 1, graph.Size{})
		time.Sleep(2 * time.Second)
		if k := launch(c, r, p, "0123456789abcdef.0.0.2", 1); k != wire.CodeBusy {
			t.Errorf("start on a worker without capacity: code %s", k)
		}
		beat(workerStart+5000, 2, workerCapacity)
		if k := launch(c, r, p, "0123456789abcdef.0.0.3", 1); k != 0 {
			t.Errorf("start after the second heartbeat: code %s", k)
		}
	})
}

// TestLateAnswerOfEarlierIncarnation guards against leases of the next incarnation that last too
// long: an answer of the earlier one arrives late, and its clock, which has run for an hour, is
// taken for that of the next one.
func TestLateAnswerOfEarlierIncarnation(t *testing.T) {
	const hourMS = 3_600_000
	w := &fakeWorker{
		startDelay:   300 * time.Millisecond,
		startClockMS: hourMS,
	}
	withRunner(t, w, func(c context.Context, r *runner.Runner, p *wire.Peer) {
		go launch(c, r, p, "0123456789abcdef.0.0.0", 1)
		time.Sleep(100 * time.Millisecond)
		w.incarnation = workerStart + 5000
		w.running = nil
		w.beat(t, r)
		time.Sleep(200*time.Millisecond + time.Millisecond)
		r.ExtendLease(c)
		if limit := (2 * lease).Milliseconds(); w.lastLeaseEnd > limit {
			t.Errorf("a lease lasts until %d ms by the clock of an incarnation that has just begun", w.lastLeaseEnd)
		}
	})
}

// TestForeignHeartbeatIsRefused guards against a heartbeat of another writer that displaces a
// sound worker: its task is started elsewhere while it runs, or the worker gets none any more.
// A worker that has really restarted must be believed, also if its clock was set back.
func TestForeignHeartbeatIsRefused(t *testing.T) {
	w := &fakeWorker{}
	withRunner(t, w, func(c context.Context, r *runner.Runner, p *wire.Peer) {
		if k := launch(c, r, p, "0123456789abcdef.0.0.0", 1); k != 0 {
			t.Fatalf("first start: code %s", k)
		}
		beat := func(id string, born int64) error {
			return r.HandleHeartbeat(wire.WorkerInfo{
				Known:    true,
				ID:       id,
				Born:     born,
				Capacity: workerCapacity,
			}, 1, 1)
		}
		var f *runner.ForeignHeartbeatError
		for _, id := range []string{"w1", "w9"} {
			if err := beat(id, workerStart+5000); !errors.As(err, &f) {
				t.Errorf("heartbeat of another writer as %s: %v", id, err)
			}
		}
		if k := launch(c, r, p, "0123456789abcdef.0.0.0", 2); k != wire.CodeBusy {
			t.Errorf("second attempt beside the first: code %s", k)
		}
		if k := launch(c, r, p, "0123456789abcdef.0.0.1", 1); k != 0 {
			t.Errorf("start after the foreign heartbeats: code %s", k)
		}
		w.incarnation = workerStart - 500
		w.running = nil
		if err := beat("w2", workerStart-500); err != nil {
			t.Errorf("heartbeat of the next incarnation: %v", err)
		}
		time.Sleep(2 * time.Second)
		if k := launch(c, r, p, "0123456789abcdef.0.0.2", 1); k != 0 {
			t.Errorf("start at the next incarnation: code %s", k)
		}
	})
}

// TestBusyWorkerIsNotDisplaced guards against a heartbeat of another writer that arrives while the
// worker does not answer, and is believed for want of an answer: the worker's task is started
// elsewhere while it runs.
func TestBusyWorkerIsNotDisplaced(t *testing.T) {
	w := &fakeWorker{}
	withRunner(t, w, func(c context.Context, r *runner.Runner, p *wire.Peer) {
		if k := launch(c, r, p, "0123456789abcdef.0.0.0", 1); k != 0 {
			t.Fatalf("start: code %s", k)
		}
		for _, id := range []string{"w1", "w9"} {
			w.unresponsive = true
			err := r.HandleHeartbeat(wire.WorkerInfo{
				Known:    true,
				ID:       id,
				Born:     workerStart + 5000,
				Capacity: workerCapacity,
			}, 1, 1)
			var u *runner.UnconfirmedHeartbeatError
			if !errors.As(err, &u) {
				t.Errorf("heartbeat of another writer as %s: %v", id, err)
			}
			w.unresponsive = false
			time.Sleep(2 * time.Second)
			if k := launch(c, r, p, "0123456789abcdef.0.0.0", 2); k != wire.CodeBusy {
				t.Errorf("second attempt beside the first: code %s", k)
			}
		}
	})
}

// TestLastEndIsAcknowledged guards against ends that the scheduler has recorded and the worker
// keeps, since its agent calls it no more once nothing runs there.
func TestLastEndIsAcknowledged(t *testing.T) {
	w := &fakeWorker{}
	withRunner(t, w, func(c context.Context, r *runner.Runner, p *wire.Peer) {
		if k := launch(c, r, p, "0123456789abcdef.0.0.0", 1); k != 0 {
			t.Fatalf("start: code %s", k)
		}
		time.Sleep(time.Second)
		w.endFirst()
		time.Sleep(2 * time.Second)
		if _, err := r.Handle(c, p, &wire.AckEnds{Born: workerStart, Through: 1}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		if w.acknowledged != 1 {
			t.Errorf("ends up to %d are acknowledged to the worker", w.acknowledged)
		}
	})
}

// TestAckIsForOneIncarnation guards against ends that are never listed, so that their tasks are done
// twice: the acknowledgement of ends of an earlier incarnation reaches the next one, which has the
// same id and numbers its ends from 1 as well. It must reach the incarnation that listed them.
func TestAckIsForOneIncarnation(t *testing.T) {
	cases := []struct {
		name string
		// before happens before the scheduler's acknowledgement, and after between that and the
		// next incarnation.
		before, after func(w *fakeWorker)
	}{
		{"acknowledged before the crash", func(*fakeWorker) {}, func(w *fakeWorker) {
			time.Sleep(time.Second)
			w.rejects = runner.ReasonNotSent
			time.Sleep(1500 * time.Millisecond)
		}},
		{"the worker is down", func(w *fakeWorker) { w.rejects = runner.ReasonNotSent }, func(*fakeWorker) { time.Sleep(time.Second) }},
		{"the agent was suspended", func(w *fakeWorker) { w.suspended = lease }, func(*fakeWorker) {}},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			w := &fakeWorker{}
			withRunner(t, w, func(c context.Context, r *runner.Runner, p *wire.Peer) {
				for _, k := range []string{"0123456789abcdef.0.0.0", "0123456789abcdef.0.0.1"} {
					if n := launch(c, r, p, k, 1); n != 0 {
						t.Fatalf("start: code %s", n)
					}
				}
				w.endFirst()
				time.Sleep(1100 * time.Millisecond)
				v.before(w)
				if _, err := r.Handle(c, p, &wire.AckEnds{Born: workerStart, Through: 1}); err != nil {
					t.Fatal(err)
				}
				v.after(w)
				w.acknowledged = 0
				w.rejects = ""
				w.incarnation = workerStart + 5000
				w.running, w.ended = nil, nil
				time.Sleep(2 * time.Second)
				if w.acknowledged > 0 {
					t.Errorf("ends up to %d of the earlier incarnation are acknowledged to the next one", w.acknowledged)
				}
			})
		})
	}
}

// TestStartBeforeCrash guards against a job that is given up for crashes of workers that never ran
// it: a start without an answer, whose worker comes back as another incarnation, may have been sent
// after the crash.
func TestStartBeforeCrash(t *testing.T) {
	for _, answered := range []bool{true, false} {
		t.Run(fmt.Sprintf("answered %t", answered), func(t *testing.T) {
			w := &fakeWorker{}
			withRunner(t, w, func(c context.Context, r *runner.Runner, p *wire.Peer) {
				w.unresponsive = !answered
				go launch(c, r, p, "0123456789abcdef.0.0.0", 1)
				time.Sleep(200 * time.Millisecond)
				w.unresponsive = false
				w.running = nil
				w.incarnation = workerStart + 5000
				w.beat(t, r)
				want := graph.OutcomeStartUnresolved
				if answered {
					want = graph.OutcomeWorkerCrashed
				}
				l := status(c, t, r, p, 2).Ends
				if len(l) != 1 || l[0].How != string(want) {
					t.Errorf("ends %+v, not one that is %s", l, want)
				}
			})
		})
	}
}

// TestStartIsForOneIncarnation guards against a task that starts on a worker of another size or
// kind than the one that it was placed on: the worker has restarted, under its id, while the start
// was on its way.
func TestStartIsForOneIncarnation(t *testing.T) {
	w := &fakeWorker{}
	withRunner(t, w, func(c context.Context, r *runner.Runner, p *wire.Peer) {
		for _, v := range []struct {
			born int64
			want wire.Code
		}{
			{workerStart - 100, wire.CodeLost},
			{workerStart, 0},
		} {
			m, err := r.Handle(c, p, &wire.Ping{})
			g, ok := m.(*wire.Pong)
			if !ok {
				t.Fatalf("ping: %v", err)
			}
			_, err = r.Handle(c, p, &wire.Launch{
				Task:        "0123456789abcdef.0.0.0",
				Attempt:     1,
				LastAgentMS: g.AgentMS,
				Born:        v.born,
			})
			var f *wire.RefusedError
			if errors.As(err, &f); f != nil && f.Code != v.want || f == nil && v.want != 0 {
				t.Errorf("start for incarnation %d: %v", v.born, err)
			}
		}
	})
}

// TestWorkGoesElsewhereAfterOneLease guards against work on a worker that is gone for good and
// starts elsewhere only after two leases: renewals that could not be sent counted as if they had
// arrived. A renewal without an answer may have arrived.
func TestWorkGoesElsewhereAfterOneLease(t *testing.T) {
	const (
		slack = time.Second
		// pollTime is how long before its loss the worker may have got its last renewal.
		pollTime = time.Second
	)
	for _, c := range []struct {
		name string
		lose func(w *fakeWorker)
		want time.Duration
	}{
		{"gone", func(w *fakeWorker) { w.closed = true }, lease + slack},
		{"silent", func(w *fakeWorker) { w.unresponsive = true }, 2*lease + 2*slack},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := &fakeWorker{}
			withRunner(t, w, func(x context.Context, r *runner.Runner, p *wire.Peer) {
				if k := launch(x, r, p, "0123456789abcdef.0.0.0", 1); k != 0 {
					t.Fatalf("start: code %s", k)
				}
				time.Sleep(time.Second)
				c.lose(w)
				begun := time.Now()
				for session := uint64(2); !isVacant(x, t, r, p, session); session++ {
					time.Sleep(100 * time.Millisecond)
					if time.Since(begun) > c.want {
						t.Errorf("the task counts as running %s after the worker was lost", c.want)
						return
					}
				}
				if d := time.Since(begun); d < lease-pollTime {
					t.Errorf("the task counts as ended after %s, within its lease", d)
				}
			})
		})
	}
}

// isVacant opens a session with a number, and reports whether all leases have expired by the
// status that it gets.
func isVacant(c context.Context, t *testing.T, r *runner.Runner, p *wire.Peer, session uint64) bool {
	t.Helper()
	return status(c, t, r, p, session).Vacant
}
