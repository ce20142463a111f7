package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// takeover: a machine beside a worker is lost for good; later the scheduler is killed twice.
func takeover(s *site, trouble bool) (verdict, error) {
	const (
		finish = 14 * time.Second
		idle   = 3 * time.Second
		// gap is the time between the two kills.
		gap = 7900 * time.Millisecond
	)
	s.addTenant(branch, 0)
	if err := s.begin(8); err != nil {
		return verdict{}, err
	}
	if trouble {
		s.agents[0].signal(syscall.SIGKILL)
		s.workers[0].crash()
	}
	time.Sleep(12 * time.Second)
	id := "5e00000000000002"
	one := step{
		Count:      1,
		CPU:        7500,
		MemMb:      31000,
		Gpu:        1,
		EstimateMs: 3000,
	}
	two := one
	two.After = []int{0}
	acked, err := s.submit("normal", id, branch, job{Spec: "work=3000", Phases: []step{one, two}})
	if err != nil {
		return verdict{}, err
	}
	if !waitFor(5*time.Second, func() bool { return len(s.rec.startsOf(id)) == 1 }) {
		return verdict{}, errors.New("the first step has not begun")
	}
	for i := range 2 {
		if !trouble {
			break
		}
		time.Sleep(time.Until(acked.Add(500*time.Millisecond + time.Duration(i)*gap)))
		if err := s.killScheduler(); err != nil {
			return verdict{}, err
		}
	}
	// The traffic has ended with the acknowledgement. Jobs are asked for finish_s later.
	time.Sleep(time.Until(acked.Add(finish)))
	state := s.state("normal", id)
	for end := acked.Add(finish + idle); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if state == "completed" || s.isRunning(id) {
			return verdict{false, fmt.Sprintf("the job is shown as %q, or runs", state)}, nil
		}
	}
	waitFor(20*time.Second, func() bool { return len(s.rec.startsOf(id)) > 1 })
	return verdict{true, fmt.Sprintf("LOST: %.0f s after the end of the traffic the job is shown as %q and has had nothing running for 3 s; seven workers are idle. %d of 2 steps had begun %.1f s after its acknowledgement",
		finish.Seconds(), state, len(s.rec.startsOf(id)), time.Since(acked).Seconds())}, nil
}

// reclaim: tasks that last fill the idle capacity; then a tenant asks for what it is guaranteed.
func reclaim(s *site, trouble bool) (verdict, error) {
	const limit = 2700 * time.Millisecond
	s.addTenant(branch, 8)
	s.addTenant(serving, 8)
	if err := s.begin(3); err != nil {
		return verdict{}, err
	}
	if trouble {
		_, err := s.submit("normal", "5e00000000000001", serving, job{
			Spec: "lasting",
			Phases: []step{{
				Count:       3,
				CPU:         16000,
				MemMb:       32768,
				Gpu:         8,
				EstimateMs:  1000,
				LongRunning: true,
				MayMiss:     3,
			}},
		})
		if err != nil {
			return verdict{}, err
		}
		if !waitFor(10*time.Second, func() bool { return len(s.rec.startsOf("5e00000000000001")) == 3 }) {
			return verdict{}, errors.New("the lasting tasks have not started")
		}
	}
	time.Sleep(6 * time.Second)
	id := "5e00000000000002"
	acked, err := s.submit("urgent", id, branch, job{
		Spec: "work=2500",
		Phases: []step{{
			Count:      1,
			CPU:        7500,
			MemMb:      31000,
			Gpu:        8,
			EstimateMs: 2500,
		}},
	})
	if err != nil {
		return verdict{}, err
	}
	waitFor(40*time.Second, func() bool { return len(s.rec.startsOf(id)) > 0 })
	state := s.state("urgent", id)
	l := s.rec.startsOf(id)
	if len(l) == 0 {
		return verdict{true, fmt.Sprintf("RECLAIM: the job has not begun %.1f s after its acknowledgement; it is shown as %q", time.Since(acked).Seconds(), state)}, nil
	}
	d := l[0].at.Sub(acked)
	return verdict{d > limit, fmt.Sprintf("the job began %d ms after its acknowledgement", d.Milliseconds())}, nil
}

// fills: each worker serves with a part of its capacity; then a job comes that fills what is left.
func fills(s *site, trouble bool) (verdict, error) {
	s.addTenant(branch, 0)
	s.addTenant(serving, 0)
	if err := s.begin(3); err != nil {
		return verdict{}, err
	}
	if trouble {
		_, err := s.submit("normal", "5e00000000000001", serving, job{
			Spec: "serving",
			Phases: []step{{
				Count:        3,
				CPU:          16000,
				MemMb:        32768,
				Gpu:          1,
				EstimateMs:   1000,
				LongRunning:  true,
				MaxPerServer: 1,
				TargetMs:     200,
				Image:        "front",
			}},
		})
		if err != nil {
			return verdict{}, err
		}
		if !waitFor(10*time.Second, func() bool { return len(s.rec.startsOf("5e00000000000001")) == 3 }) {
			return verdict{}, errors.New("the serving tasks have not started")
		}
	}
	time.Sleep(4 * time.Second)
	id := "5e00000000000002"
	acked, err := s.submit("patient", id, branch, job{
		Spec: "work=3000",
		Phases: []step{{
			Count:      1,
			CPU:        4000,
			MemMb:      1024,
			EstimateMs: 3000,
			Fills:      true,
			Image:      "batch",
		}},
	})
	if err != nil {
		return verdict{}, err
	}
	// finish_s after the end of the traffic, and 3 s more.
	started := waitFor(17*time.Second, func() bool { return len(s.rec.startsOf(id)) > 0 })
	if !started {
		waitFor(20*time.Second, func() bool { return len(s.rec.startsOf(id)) > 0 })
	}
	state := s.state("patient", id)
	if !started {
		return verdict{true, fmt.Sprintf("LOST: nothing of the job ran for %.1f s after its acknowledgement; it is shown as %q", time.Since(acked).Seconds(), state)}, nil
	}
	return verdict{false, fmt.Sprintf("the job began after %d ms", s.rec.startsOf(id)[0].at.Sub(acked).Milliseconds())}, nil
}

// cancelUnknown: a client gives a job up whose write the store carries out late, and cancels it.
func cancelUnknown(s *site, trouble bool) (verdict, error) {
	const limit = 3 * time.Second
	s.addTenant(branch, 0)
	id := "5e00000000000002"
	var lost atomic.Int32
	if trouble {
		s.filter = func(b []byte) (time.Duration, bool) {
			if !bytes.Contains(b, []byte("job/"+id)) || lost.Add(1) > 1 {
				return 0, false
			}
			return 5 * time.Second, true
		}
	}
	if err := s.begin(3); err != nil {
		return verdict{}, err
	}
	_, _, _ = s.call(0, http.MethodPost, "/urgent/"+id, branch, 120*time.Millisecond, job{
		Spec: "work=2500",
		Phases: []step{{
			Count:      1,
			CPU:        7500,
			MemMb:      31000,
			Gpu:        1,
			EstimateMs: 2500,
		}},
	})
	time.Sleep(200 * time.Millisecond)
	var acked time.Time
	status := 0
	for i := 1; acked.IsZero(); i++ {
		v, _, err := s.call(i, http.MethodDelete, "/urgent/"+id, branch, deadline, nil)
		if err == nil && (v/100 == 2 || v == http.StatusGone) {
			acked, status = time.Now(), v
		}
		if i > 8 {
			return verdict{}, errors.New("the cancelling is not acknowledged")
		}
	}
	waitFor(12*time.Second, func() bool { return false })
	for _, v := range s.rec.startsOf(id) {
		if d := v.at.Sub(acked); d > limit {
			return verdict{true, fmt.Sprintf("UNASKED: %s started %d ms after its cancelling was acknowledged with %d", v.task, d.Milliseconds(), status)}, nil
		}
	}
	return verdict{false, "no start later than cancel_ms after the cancelling"}, nil
}

// losses: three workers are lost for good, each soon after it has started the same task.
func losses(s *site, trouble bool) (verdict, error) {
	s.addTenant(branch, 0)
	if err := s.begin(6); err != nil {
		return verdict{}, err
	}
	var n atomic.Int32
	for _, w := range s.workers {
		w.onStart = func(w *worker, _ string, _ int) {
			if !trouble || n.Add(1) > 3 {
				return
			}
			time.Sleep(700 * time.Millisecond)
			w.crash()
		}
	}
	id := "5e00000000000002"
	if _, err := s.submit("normal", id, branch, job{
		Spec: "work=4000",
		Phases: []step{{
			Count:      1,
			CPU:        7500,
			MemMb:      31000,
			Gpu:        1,
			EstimateMs: 4000,
		}},
	}); err != nil {
		return verdict{}, err
	}
	idle := time.Now()
	for end := time.Now().Add(80 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if s.isRunning(id) {
			idle = time.Now()
		}
		if (n.Load() >= 3 || !trouble) && time.Since(idle) > 40*time.Second {
			break
		}
		if l := s.rec.startsOf(id); len(l) > 0 && time.Since(l[len(l)-1].at) > 5*time.Second && s.state("normal", id) == "completed" {
			return verdict{false, "the job is completed"}, nil
		}
	}
	state := s.state("normal", id)
	return verdict{true, fmt.Sprintf("LOST: the job is shown as %q, and nothing of it has run for %.1f s while three workers are idle", state, time.Since(idle).Seconds())}, nil
}

// longHold: leases last up to ten seconds; a worker with a task that lasts is lost for good.
func longHold(s *site, trouble bool) (verdict, error) {
	const limit = 9 * time.Second
	s.maxLease = 10 * time.Second
	s.addTenant(branch, 0)
	if err := s.begin(3); err != nil {
		return verdict{}, err
	}
	id := "5e00000000000002"
	if _, err := s.submit("normal", id, branch, job{
		Spec: "lasting",
		Phases: []step{{
			Count:       1,
			CPU:         7500,
			MemMb:       31000,
			Gpu:         1,
			EstimateMs:  1000,
			LongRunning: true,
		}},
	}); err != nil {
		return verdict{}, err
	}
	if !waitFor(10*time.Second, func() bool { return len(s.rec.startsOf(id)) == 1 }) {
		return verdict{}, errors.New("the lasting task has not started")
	}
	time.Sleep(8 * time.Second)
	if !trouble {
		return verdict{!s.isRunning(id), "the task runs on"}, nil
	}
	var lostAt time.Time
	for _, w := range s.workers {
		if len(w.running()) > 0 {
			w.crash()
			lostAt = time.Now()
		}
	}
	waitFor(30*time.Second, func() bool { return len(s.rec.startsOf(id)) > 1 })
	l := s.rec.startsOf(id)
	if len(l) < 2 {
		return verdict{true, "LOST: the task has not started again 30 s after its worker was lost"}, nil
	}
	d := l[1].at.Sub(lostAt)
	return verdict{d > limit, fmt.Sprintf("the task was away for %d ms", d.Milliseconds())}, nil
}

// affinity: the rack of a job's data is full; half of the other racks is idle.
func affinity(s *site, trouble bool) (verdict, error) {
	s.addTenant(branch, 0)
	s.addTenant(serving, 0)
	if err := s.begin(9); err != nil {
		return verdict{}, err
	}
	if trouble {
		_, err := s.submit("normal", "5e00000000000001", serving, job{
			Spec: "lasting",
			Phases: []step{{
				Count:         3,
				CPU:           16000,
				MemMb:         32768,
				Gpu:           8,
				EstimateMs:    1000,
				LongRunning:   true,
				RequiredLabel: "r1-0",
			}},
		})
		if err != nil {
			return verdict{}, err
		}
		if !waitFor(10*time.Second, func() bool { return len(s.rec.startsOf("5e00000000000001")) == 3 }) {
			return verdict{}, errors.New("the lasting tasks have not started")
		}
	}
	time.Sleep(4 * time.Second)
	id := "5e00000000000002"
	acked, err := s.submit("normal", id, branch, job{
		Spec: "work=3000",
		Phases: []step{{
			Count:      1,
			CPU:        4000,
			MemMb:      1024,
			Gpu:        1,
			EstimateMs: 100000,
			Affinity:   "r1-0",
		}},
	})
	if err != nil {
		return verdict{}, err
	}
	waitFor(40*time.Second, func() bool { return len(s.rec.startsOf(id)) > 0 })
	l := s.rec.startsOf(id)
	if len(l) == 0 {
		return verdict{true, fmt.Sprintf("LOST: nothing of the job ran for %.1f s after its acknowledgement", time.Since(acked).Seconds())}, nil
	}
	d := l[0].at.Sub(acked)
	return verdict{d > 17*time.Second, fmt.Sprintf("the job began after %d ms", d.Milliseconds())}, nil
}

// reserve: a large gang waits for room; meanwhile the worker of a task that lasts crashes once.
func reserve(s *site, trouble bool) (verdict, error) {
	const (
		workers  = 8
		limit    = 9 * time.Second
		downTime = 1400 * time.Millisecond
		watch    = 30 * time.Second
	)
	s.addTenant(branch, 0)
	s.addTenant(serving, 0)
	if err := s.begin(workers); err != nil {
		return verdict{}, err
	}
	wide := func(n int, gang bool) job {
		return job{
			Spec: "work=70000",
			Phases: []step{{
				Count:      n,
				CPU:        16000,
				MemMb:      32768,
				Gpu:        8,
				EstimateMs: 70000,
				Gang:       gang,
			}},
		}
	}
	first, gang, id := "5e00000000000001", "5e00000000000003", "5e00000000000002"
	if _, err := s.submit("normal", first, serving, wide(workers-1, false)); err != nil {
		return verdict{}, err
	}
	if !waitFor(10*time.Second, func() bool { return len(s.rec.startsOf(first)) == workers-1 }) {
		return verdict{}, errors.New("the first job has not started")
	}
	if _, err := s.submit("normal", id, branch, job{
		Spec: "lasting",
		Phases: []step{{
			Count:       1,
			CPU:         4000,
			MemMb:       1024,
			Gpu:         1,
			EstimateMs:  3000,
			LongRunning: true,
		}},
	}); err != nil {
		return verdict{}, err
	}
	if !waitFor(10*time.Second, func() bool { return s.isRunning(id) }) {
		return verdict{}, errors.New("the lasting task has not started")
	}
	if _, err := s.submit("normal", gang, serving, wide(workers, true)); err != nil {
		return verdict{}, err
	}
	time.Sleep(8 * time.Second)
	lostAt := time.Now()
	for _, w := range s.workers {
		if l := w.running(); trouble && len(l) == 1 && strings.HasPrefix(l[0], id) {
			w.crash()
			time.Sleep(downTime)
			if err := w.start(); err != nil {
				return verdict{}, err
			}
		}
	}
	waitFor(watch, func() bool { return s.isRunning(id) })
	d := time.Since(lostAt)
	if !s.isRunning(id) {
		return verdict{true, fmt.Sprintf("LOST: the task was not started again for %.1f s after its worker crashed", d.Seconds())}, nil
	}
	return verdict{d > limit, fmt.Sprintf("the task was away for %d ms", d.Milliseconds())}, nil
}

// routeRemoved: a route is removed while a job of it is at its first step.
func routeRemoved(s *site, trouble bool) (verdict, error) {
	s.addTenant(branch, 0)
	if err := s.begin(3); err != nil {
		return verdict{}, err
	}
	id := "5e00000000000002"
	one := step{
		Count:      1,
		CPU:        7500,
		MemMb:      31000,
		Gpu:        1,
		EstimateMs: 3000,
	}
	two := one
	two.After = []int{0}
	if _, err := s.submit("patient", id, branch, job{Spec: "work=3000", Phases: []step{one, two}}); err != nil {
		return verdict{}, err
	}
	if trouble {
		s.routes = s.routes[:2]
		if err := s.publish(); err != nil {
			return verdict{}, err
		}
	}
	waitFor(25*time.Second, func() bool { return len(s.rec.startsOf(id)) > 1 })
	s.state("patient", id)
	return verdict{len(s.rec.startsOf(id)) < 2, fmt.Sprintf("%d of 2 steps have begun", len(s.rec.startsOf(id)))}, nil
}

// foreignHeartbeat: a heartbeat of another writer, with fields missing, comes under a worker's id; later
// the worker drains.
func foreignHeartbeat(s *site, trouble bool) (verdict, error) {
	const limit = 2 * time.Second
	s.addTenant(branch, 0)
	if err := s.begin(3); err != nil {
		return verdict{}, err
	}
	w := s.workers[0]
	if trouble {
		w.sendForeign()
	}
	time.Sleep(4 * time.Second)
	w.drain()
	if !waitFor(6*time.Second, func() bool { return !w.drainAcked().IsZero() }) {
		return verdict{false, "the draining is not acknowledged"}, nil
	}
	time.Sleep(limit + time.Second)
	id := "5e00000000000002"
	if _, err := s.submit("normal", id, branch, job{
		Spec: "work=2500",
		Phases: []step{{
			Count:      24,
			CPU:        7500,
			MemMb:      31000,
			Gpu:        1,
			EstimateMs: 2500,
		}},
	}); err != nil {
		return verdict{}, err
	}
	waitFor(12*time.Second, func() bool { return s.state("normal", id) == "completed" })
	n := 0
	var first time.Duration
	for _, v := range s.rec.startsOf(id) {
		if d := v.at.Sub(w.drainAcked()); v.worker == w.id && d > limit {
			if n == 0 {
				first = d
			}
			n++
		}
	}
	return verdict{n > 0, fmt.Sprintf("DRAIN: %d tasks started at a worker later than DrainMs after its draining was acknowledged, the first %d ms after", n, first.Milliseconds())}, nil
}
