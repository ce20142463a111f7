package runner_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"hemlockhinge/fence"
	"hemlockhinge/graph"
	"hemlockhinge/meter"
	"hemlockhinge/pause"
	"hemlockhinge/runner"
	"hemlockhinge/wire"
)

const (
	birth = 1000
	lease = 6 * time.Second
)

var whole = graph.Size{
	MilliCPU:     8000,
	Accelerators: 8,
}

// obedient is a worker that answers every call, unless it is mute.
type obedient struct {
	running []fence.Run
	starts  int
	mute    bool
	// until is the end of the lease of the last start.
	until int64
}

// hear waits in vain for a mute worker's answer.
func (w *obedient) hear(c context.Context, op string) error {
	if !w.mute {
		return nil
	}
	<-c.Done()
	return &runner.NoAnswerError{
		Op:  op,
		Err: c.Err(),
	}
}

func (w *obedient) Start(c context.Context, o runner.StartOrder) (runner.Answer, error) {
	if err := w.hear(c, "start"); err != nil {
		return runner.Answer{}, err
	}
	w.starts++
	w.until = o.UntilMS
	w.running = append(w.running, fence.Run{
		Task:    o.Task,
		Attempt: o.Attempt,
	})
	return runner.Answer{
		ClockMS: 1,
	}, nil
}

func (w *obedient) Stop(context.Context, runner.StopOrder) (runner.Answer, error) {
	return runner.Answer{
		ClockMS: 1,
	}, nil
}

func (w *obedient) Hold(c context.Context, o runner.HoldOrder) (runner.Answer, error) {
	if err := w.hear(c, "hold"); err != nil {
		return runner.Answer{}, err
	}
	select {
	case <-c.Done():
	case <-time.After(o.Wait):
	}
	return runner.Answer{
		ClockMS: 1,
		Listing: fence.Listing{
			Born:    birth,
			Running: w.running,
		},
	}, nil
}

// withRunner runs f in virtual time on a runner that obeys a scheduler.
func withRunner(t *testing.T, w runner.Worker, f func(c context.Context, r *runner.Runner, p *wire.Peer)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := logrus.New()
		g.SetOutput(io.Discard)
		c, cancel := context.WithCancel(context.Background())
		r := runner.New(runner.Ports{
			Worker: w,
			Log:    logrus.NewEntry(g),
			Meter:  meter.New(prometheus.NewRegistry()),
		}, runner.Settings{
			Lease:     lease,
			Tolerance: lease,
		})
		go r.Run(c)
		r.Heard(wire.WorkerFacts{
			Known:    true,
			ID:       "w1",
			Born:     birth,
			Capacity: whole,
		}, 1, 1)
		time.Sleep(time.Second)
		a, b := net.Pipe()
		p := wire.NewPeer(a, r)
		if _, err := r.Handle(c, p, &wire.Lead{Epoch: 1, Session: 1}); err != nil {
			t.Fatal(err)
		}
		go contact(c, r, p)
		time.Sleep(time.Second)
		f(c, r, p)
		cancel()
		_ = a.Close()
		_ = b.Close()
		synctest.Wait()
	})
}

// contact keeps the scheduler's contact with a runner until c ends.
func contact(c context.Context, r *runner.Runner, p *wire.Peer) {
	for echo := int64(0); pause.For(c, lease/10); {
		if m, err := r.Handle(c, p, &wire.Ping{EchoMS: echo}); err == nil {
			if v, ok := m.(*wire.Pong); ok {
				echo = v.AgentMS
			}
		}
	}
}

// launch orders a start and returns the code of its refusal, 0 for none.
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
		EchoMS: v.AgentMS,
	})
	var f *wire.RefusedError
	if errors.As(err, &f) {
		return f.Code
	}
	return 0
}

// TestOneAttemptAtATime covers a scheduler that takes a run for lost which its
// worker still has: the agent has the last word.
func TestOneAttemptAtATime(t *testing.T) {
	w := &obedient{}
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
			t.Errorf("%d starts reached the worker", w.starts)
		}
	})
}

// TestWorkerThatWasMute covers a worker that answers nothing for longer than its
// leases last, while nothing more is wanted of it: its next start has a lease.
func TestWorkerThatWasMute(t *testing.T) {
	w := &obedient{}
	withRunner(t, w, func(c context.Context, r *runner.Runner, p *wire.Peer) {
		if k := launch(c, r, p, "0123456789abcdef.0.0.0", 1); k != 0 {
			t.Fatalf("first start: code %s", k)
		}
		w.mute = true
		time.Sleep(2 * lease)
		w.mute = false
		w.running = nil
		time.Sleep(lease / 2)
		if k := launch(c, r, p, "0123456789abcdef.0.0.1", 1); k != 0 || w.until <= 0 {
			t.Errorf("start after the silence: code %s, lease until %d", k, w.until)
		}
	})
}
