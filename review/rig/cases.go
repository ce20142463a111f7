package main

import (
	"errors"
	"fmt"
	"time"
)

// Names of the jobs.
const (
	jobID  = "5c0e7a21d94b36f8"
	taskID = jobID + ".0.0.0"
)

// lateLeave lets a worker leave and start again under its id while a cut holds up its
// deregistration, which arrives after the new incarnation has begun to work.
func lateLeave(r *rig) (bool, error) {
	const (
		endsAnyway = 2 * time.Second
		restart    = 1100 * time.Millisecond
		// A TCP sender without answers sends again 0.2, 0.6, 1.4, 3.0 and 6.2 s after the first
		// time: the cut ends after the fourth, and new connections are faster than the fifth.
		retransmit = 3100 * time.Millisecond
		drainTime  = 2 * time.Second
	)
	r.taskLength = 8 * time.Second
	if err := r.deploy(); err != nil {
		return false, err
	}
	w := r.workers[0]
	p, err := newProxy(r, r.addr(proxyHost, controlPort), w.agent)
	if err != nil {
		return false, err
	}
	defer p.close()
	w.setAgent(p.addr())
	if !w.drain(drainTime) {
		r.note("the heartbeat that says draining has no answer")
	}
	r.note("worker-1 says that it drains")
	time.Sleep(drainTime)
	if r.trouble {
		p.cut()
	}
	w.deregister(endsAnyway)
	w.stop("ends")
	time.Sleep(restart)
	if r.trouble {
		p.heal(retransmit)
	}
	if err := w.start(); err != nil {
		return false, err
	}
	time.Sleep(200 * time.Millisecond)
	if err := r.submit(map[string]any{"Count": 1, "Cpu": 7500, "MemMb": 1024, "Gpu": 2, "EstimateMs": 8000}); err != nil {
		return false, err
	}
	v, err := r.waitRun(startTimeout)
	if err != nil {
		return false, err
	}
	if v != w {
		return false, fmt.Errorf("the task runs at %s, not at %s", v.name, w.name)
	}
	s := r.waitState()
	twice := r.doubled()
	r.note("the job is shown as %s; a task was started beside a run of its own %d times", s, twice)
	return twice > 0, nil
}

// unansweredLeave stops the agent beside a worker that leaves for 2 s: the deregistration is read
// once the agent goes on, when nobody waits for the answer any more, and the worker ends some
// seconds after it has sent it. Either the task is started elsewhere while the worker still runs it,
// or, if the scheduler handles the report that the worker is gone before the answer that opened the
// session, the task is never started again.
func unansweredLeave(r *rig) (bool, error) {
	const (
		drainTime = 2 * time.Second
		// The agent stands still from shortly after the worker's last heartbeat, which is the one
		// after the first that says draining, until the worker waits no more for the answer to its
		// deregistration.
		lastBeat      = time.Second
		beforeFreeze  = 50 * time.Millisecond
		answerTimeout = time.Second
		freezeTime    = drainTime - lastBeat + answerTimeout
		endsAnyway    = 3 * time.Second
	)
	r.taskLength = 12 * time.Second
	r.checkpoints = true
	if err := r.deploy(); err != nil {
		return false, err
	}
	if err := r.submit(map[string]any{"Count": 1, "Cpu": 7500, "MemMb": 1024, "Gpu": 2, "EstimateMs": 12000, "Checkpointing": true}); err != nil {
		return false, err
	}
	w, err := r.waitRun(startTimeout)
	if err != nil {
		return false, err
	}
	time.Sleep(w.untilBeat() + heartbeatInterval - lastBeat)
	if !w.drain(drainTime) {
		return false, errors.New("the heartbeat that says draining has no answer")
	}
	drained := time.Now()
	r.note("%s says that it drains, and is acknowledged", w.name)
	time.Sleep(lastBeat + beforeFreeze)
	if r.trouble {
		if err := r.freeze(w, freezeTime); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(drained.Add(drainTime)))
	sent := time.Now()
	if w.deregister(answerTimeout) == 0 {
		time.Sleep(time.Until(sent.Add(endsAnyway)))
	}
	w.stop("ends")
	ended := time.Now()
	s := r.waitState()
	twice := r.doubled()
	// finish_s and 3 s more are 17 s, less than a client's patience here.
	lost := s != "completed" && r.running() == 0
	r.note("the job is shown as %s; a task was started beside a run of its own %d times", s, twice)
	if lost {
		r.note("LOST: nothing of the job runs %.1f s after its worker has ended, beside nine idle workers", time.Since(ended).Seconds())
	}
	return twice > 0 || lost, nil
}

// lastingCrash lets one worker of ten go down and up twice, and asks how long the tasks of a
// lasting job stand still that need that worker's rack, once all is calm.
func lastingCrash(r *rig) (bool, error) {
	const (
		tasks    = 12
		upTime   = 500 * time.Millisecond
		downTime = 1400 * time.Millisecond
		crashes  = 2
		// restTime is from when on a task that lasts must run again, and calmTime how long all
		// must have been calm then; stillTime is how long it may stand still.
		restTime  = 6 * time.Second
		calmTime  = 4 * time.Second
		stillTime = 3 * time.Second
	)
	r.taskLength = time.Second
	r.lasting = true
	if err := r.deploy(); err != nil {
		return false, err
	}
	last := r.workers[workerCount-1]
	if err := r.submit(map[string]any{"Count": tasks, "Cpu": 1000, "MemMb": 1024, "EstimateMs": 1000, "RequiredLabel": last.rack, "LongRunning": true}); err != nil {
		return false, err
	}
	if _, err := r.waitRun(startTimeout); err != nil {
		return false, err
	}
	for i := range crashes {
		if !r.trouble {
			break
		}
		time.Sleep(upTime)
		last.stop("crashes")
		time.Sleep(downTime)
		if err := last.start(); err != nil {
			return false, err
		}
		if i < crashes-1 {
			_, _ = r.waitRun(upTime)
		}
	}
	begun := time.Now()
	r.note("from now on all is calm")
	for last := -1; time.Since(begun) < patience; time.Sleep(pollPause) {
		if n := r.running(); n != last {
			r.note("%d of %d tasks run", n, tasks)
			last = n
		}
		if last == tasks {
			break
		}
	}
	d := time.Since(begun)
	r.note("all tasks ran, or the time was over, %.1f s after the last disruption", d.Seconds())
	return d > max(restTime, calmTime)+stillTime, nil
}

// foreignAck lets a worker crash under a task and start again under its id, and asks how often the
// task is done.
func foreignAck(r *rig) (bool, error) {
	const (
		tasks    = 8
		upTime   = 1200 * time.Millisecond
		downTime = 1400 * time.Millisecond
	)
	r.taskLength = 3 * time.Second
	r.firstBeat = 300 * time.Millisecond
	if err := r.deploy(); err != nil {
		return false, err
	}
	last := r.workers[workerCount-1]
	step := map[string]any{"Count": tasks, "Cpu": 16000, "MemMb": 1024, "Gpu": 2, "EstimateMs": 3000, "RequiredLabel": last.rack}
	if err := r.submit(step); err != nil {
		return false, err
	}
	if _, err := r.waitRun(startTimeout); err != nil {
		return false, err
	}
	time.Sleep(r.taskLength + upTime)
	if r.trouble {
		last.stop("crashes")
		time.Sleep(downTime)
		if err := last.start(); err != nil {
			return false, err
		}
	}
	s := r.waitState()
	n := r.doneTwice()
	r.note("the job is shown as %s; tasks were started again %d times after a run had ended done", s, n)
	return n > 0, nil
}

// forgottenAgent replaces a worker while the store is slow, and kills the agent before it has
// registered again for the next worker, which has a task by then.
func forgottenAgent(r *rig) (bool, error) {
	const (
		drainTime = 2 * time.Second
		replaced  = 100 * time.Millisecond
		killAfter = 550 * time.Millisecond
		slowMS    = 240
	)
	// All workers but the one that leaves have a task each until 0.8 s after it has left, so that
	// the tenth task starts at the next worker at its address.
	r.taskLength = drainTime + 800*time.Millisecond
	if err := r.deploy(); err != nil {
		return false, err
	}
	w := r.workers[0]
	if !w.drain(drainTime) {
		return false, errors.New("the heartbeat that says draining has no answer")
	}
	drained := time.Now()
	if err := r.submit(map[string]any{"Count": workerCount, "Cpu": 33000, "MemMb": 1024, "Gpu": 5, "EstimateMs": 2800}); err != nil {
		return false, err
	}
	time.Sleep(time.Until(drained.Add(drainTime)))
	if r.trouble {
		if err := r.slowStore(slowMS); err != nil {
			return false, err
		}
	}
	gone := time.Now()
	w.deregister(time.Second)
	w.stop("ends")
	time.Sleep(replaced)
	w.setID("i-7f3b0000")
	if err := w.start(); err != nil {
		return false, err
	}
	if r.trouble {
		time.Sleep(time.Until(gone.Add(killAfter)))
		if err := r.restartAgent(w); err != nil {
			return false, err
		}
		time.Sleep(2 * time.Second)
		if err := r.slowStore(0); err != nil {
			return false, err
		}
	}
	s := r.waitState()
	twice := r.doubled()
	r.note("the job is shown as %s; a task was started beside a run of its own %d times", s, twice)
	return twice > 0, nil
}
