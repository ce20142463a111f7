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

// obedient is a worker that answers every call.
type obedient struct {
	running []fence.Run
	starts  int
}

func (w *obedient) Start(_ context.Context, o runner.StartOrder) (runner.Answer, error) {
	w.starts++
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
		f(c, r, p)
		cancel()
		_ = a.Close()
		_ = b.Close()
		synctest.Wait()
	})
}

// launch orders a start and returns the code of its refusal, 0 for none.
func launch(c context.Context, r *runner.Runner, p *wire.Peer, task string, attempt int) wire.Code {
	_, err := r.Handle(c, p, &wire.Launch{
		Task:    task,
		Attempt: attempt,
		Size: graph.Size{
			Accelerators: 1,
		},
		EchoMS: 1000,
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
