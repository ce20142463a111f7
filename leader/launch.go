package leader

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/alloc"
	"hemlockhinge/graph"
	"hemlockhinge/wire"
)

// startUnit starts a unit's tasks on the workers that alloc chose.
func (t *term) startUnit(p alloc.Placement, agents []*agentState, now time.Time) {
	j := t.jobs[p.Unit.Job]
	attempt := t.nextAttempt(j, p.Unit.Tasks)
	for i, k := range p.Unit.Tasks {
		if j.startedInTerm == nil {
			j.startedInTerm = map[graph.Task]bool{}
		}
		j.startedInTerm[k] = true
		v := j.progress.Task(j.Job, k)
		v.Attempt = attempt
		r := &run{
			task:       k,
			attempt:    attempt,
			agent:      agents[p.At[i]],
			size:       p.Unit.Step.Size,
			startedAt:  now,
			checkpoint: v.Checkpoint,

			apart:         p.Unit.Apart,
			incarnation:   agents[p.At[i]].worker.Born,
			agentRestarts: agents[p.At[i]].agentRestarts,
			resumed:       checkpointFor(j, k) != "",
		}
		j.runs[k] = r
		r.agent.runs[k] = r
		t.launch(j, r)
	}
}

// nextAttempt returns the number of the next attempt at tasks that start together. Starts are
// not recorded, so numbers of earlier terms may be unknown. Terms differ in their epochs, and
// so do the numbers that they begin with.
func (t *term) nextAttempt(j *job, tasks []graph.Task) int {
	n := 0
	for _, k := range tasks {
		n = max(n, j.progress.Task(j.Job, k).Attempt)
	}
	n++
	if j.revision < t.leadership.epoch && !j.startedInTerm[tasks[0]] {
		revisions := min(t.leadership.epoch-j.revision, maxFirstAttempt/attemptGap)
		return max(n+attemptGap, attemptGap*int(revisions)) //nolint:gosec // at most maxFirstAttempt
	}
	return n
}

// checkpointFor returns the checkpoint from which a task resumes. All members of a
// gang get the same one: the newest of any member.
func checkpointFor(j *job, k graph.Task) string {
	if !j.Steps[k.Step].Gang {
		return j.progress.Task(j.Job, k).Checkpoint
	}
	newest := ""
	for i := range j.Steps[k.Step].Count {
		k.Index = i
		newest = max(newest, j.progress.Task(j.Job, k).Checkpoint)
	}
	return newest
}

// launch sends the order to start a run.
func (t *term) launch(j *job, r *run) {
	m := &wire.Launch{
		Task:        r.task.String(),
		Attempt:     r.attempt,
		Spec:        j.Spec,
		Checkpoint:  checkpointFor(j, r.task),
		Ticket:      t.ticket(r),
		Size:        r.size,
		LastAgentMS: r.agent.agentClockMS,
		Born:        r.incarnation,
	}
	p := r.agent.peer
	o := t.leader.currentOperatorSettings()
	r.session = r.agent.session
	r.requestClockMS = m.LastAgentMS
	if j.startCount == 0 {
		if !j.progress.Started {
			t.countOvertaken(j)
		}
		j.firstStartDelay = time.Since(j.arrivedAt)
	}
	j.startCount++
	t.log.WithFields(logrus.Fields{
		"task":            m.Task,
		"attempt":         r.attempt,
		"agent":           r.agent.addr,
		"worker":          r.agent.worker.ID,
		"domain":          r.agent.worker.Zone,
		"queue":           j.Queue,
		"settings_age_ms": t.leader.settingsAge(o).Milliseconds(),
		"waited_ms":       time.Since(j.arrivedAt).Milliseconds(),
		"from_checkpoint": m.Checkpoint != "",
		"weight":          coreEquivalents(r.size),
	}).Info("run_start_sent")
	t.goroutines.Go(func() {
		v, err := wire.CallFor[*wire.Launched](t.ctx, p, m, launchTimeout)
		t.handleLaunchReply(j, r, v, err)
	})
}

// launchTimeout bounds the wait for the reply to a start. After that, the session's
// status reports show whether the run exists.
const launchTimeout = 20 * time.Second

// handleLaunchReply applies an agent's reply to a start, or its absence.
func (t *term) handleLaunchReply(j *job, r *run, v *wire.Launched, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.requestPass()
	if j.runs[r.task] != r {
		return
	}
	var f *wire.RefusedError
	t.leader.ports.Meter.Started(startOutcome(err))
	switch {
	case err == nil:
		r.phase = running
		if r.session == r.agent.session {
			// Reports of another session may come from a restarted agent, which
			// counts anew.
			r.listedFromSeq = v.Seq
		}
		r.startUnconfirmed = false
		j.markStarted()
	case errors.As(err, &f):
		t.log.WithFields(logrus.Fields{"task": r.task.String(), "attempt": r.attempt, "agent": r.agent.addr, "code": f.Code.String()}).WithError(err).Warn("run_refused")
		delete(j.runs, r.task)
		delete(r.agent.runs, r.task)
		r.agent.failures.recordRefusal(r.task, f.Code, time.Now())
		j.retryAfter[r.task] = time.Now().Add(refusedRetryDelay)
		if f.Code == wire.CodeLost || f.Code == wire.CodeExpired {
			r.agent.lostStartAt = time.Now()
		}
		if f.Code == wire.CodeNoTicket {
			t.approvals.DropTicket(r.task.StepName(), incarnationOf(r.agent))
		}
	default:
		r.startUnconfirmed = true
	}
}

// startOutcome returns the metric label for the reply to a start.
func startOutcome(err error) string {
	var f *wire.RefusedError
	switch {
	case err == nil:
		return "started"
	case errors.As(err, &f):
		return f.Code.String()
	}
	return "unanswered"
}
