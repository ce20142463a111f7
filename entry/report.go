package entry

import (
	"context"
	"errors"
	"time"

	"hemlockhinge/jobs"
	"hemlockhinge/sched"
	"hemlockhinge/store"
	"hemlockhinge/wire"
)

// handleReport records a lead's report on an attempt, and acknowledges it only when
// the record in the store reflects it. The cached record may be older than the
// attempt, so a report is dismissed as outdated only after a read of the store.
func (e *Entry) handleReport(c context.Context, v *wire.AttemptReport) (wire.Message, error) {
	r, ok := e.cachedRecord(v.Attempt.Job)
	if !ok || pastAttempt(r.Body, v.Attempt) {
		var err error
		r, err = e.records.Get(c, v.Attempt.Job)
		var m *store.NotFoundError
		switch {
		case errors.As(err, &m):
			return &wire.Ack{}, nil
		case err != nil:
			return nil, err
		case pastAttempt(r.Body, v.Attempt):
			return &wire.Ack{}, nil
		}
		e.cacheJob(r)
	}
	e.mu.Lock()
	s := e.schedulers[r.Body.Domain]
	e.mu.Unlock()
	if s == nil || !s.holdsLease() {
		return nil, wire.Refuse(wire.CodeClaimMoved, "this entry does not schedule failure domain %q", r.Body.Domain)
	}
	if v.Outcome == wire.OutcomeRunning {
		return &wire.Ack{}, s.recordRunning(c, r)
	}
	return &wire.Ack{}, s.recordAttemptEnd(c, r, v)
}

// pastAttempt reports whether an attempt is over according to the job's record: the
// job is not running, or a different attempt is.
func pastAttempt(j jobs.Job, a wire.Attempt) bool {
	return !j.MayBeRunning() || !j.WireAttempt().Same(a)
}

// recordRunning records that all members of a gang are running.
func (s *scheduler) recordRunning(c context.Context, r store.Record[jobs.Job]) error {
	n := time.Now()
	s.mu.Lock()
	s.state.MarkRunning(r.ID, n)
	if a := s.attempts[r.ID]; a != nil {
		a.leadLost = false
	}
	s.mu.Unlock()
	if r.Body.State == jobs.Running {
		return nil
	}
	r.Body.State = jobs.Running
	r.Body.Started = n
	_, err := s.entry.writeJob(c, r)
	var f *store.ConflictError
	if errors.As(err, &f) {
		return nil
	}
	return err
}

// recordAttemptEnd writes the end of an attempt to the job's record, which ends or
// requeues the job. After a write conflict it reads the record and tries again,
// unless the record shows that the attempt is over already.
func (s *scheduler) recordAttemptEnd(c context.Context, r store.Record[jobs.Job], v *wire.AttemptReport) error {
	c, cancel := context.WithTimeout(c, writeTimeout)
	defer cancel()
	for {
		j := jobAfterAttempt(r.Body, v, time.Now())
		r.Body = j
		_, err := s.entry.writeJob(c, r)
		if err == nil {
			s.applyAttemptEnd(j, v)
			return nil
		}
		var f *store.ConflictError
		if !errors.As(err, &f) {
			return err
		}
		if r, err = s.entry.records.Get(c, r.ID); err != nil {
			return err
		}
		if pastAttempt(r.Body, v.Attempt) {
			return nil
		}
	}
}

// jobAfterAttempt returns the job as it is after the end of an attempt: requeued, or
// ended.
func jobAfterAttempt(j jobs.Job, v *wire.AttemptReport, n time.Time) jobs.Job {
	j.Reason = v.Detail
	if v.Outcome != wire.OutcomeNotRun {
		j.MayHaveRun = true
	}
	switch v.Outcome {
	case wire.OutcomeDone:
		return endedJob(j, jobs.Done, v, n)
	case wire.OutcomeCancelled:
		return endedJob(j, jobs.Cancelled, v, n)
	case wire.OutcomeFailed:
		j.Failures = append(j.Failures, jobs.Failure{
			Attempt: j.Attempt,
			Worker:  v.BlamedAgent,
			Detail:  v.Detail,
		})
		if !j.Idempotent || j.FailureLimitReached() {
			return endedJob(j, jobs.Failed, v, n)
		}
	case wire.OutcomePreempted:
		j.Checkpointed = true
		j.Preemptions++
	}
	switch {
	case j.CancelRequested:
		return endedJob(j, jobs.Cancelled, v, n)
	case !j.Idempotent && j.MayHaveRun:
		return endedJob(j, jobs.Interrupted, v, n)
	}
	j.State = jobs.Accepted
	j.Parts = nil
	j.Guarantee = ""
	j.Started = time.Time{}
	return j
}

func endedJob(j jobs.Job, s jobs.State, v *wire.AttemptReport, n time.Time) jobs.Job {
	j.State = s
	j.Ended = n
	j.Results = v.Results
	return j
}

// applyAttemptEnd updates the scheduling state with the end of an attempt.
func (s *scheduler) applyAttemptEnd(j jobs.Job, v *wire.AttemptReport) {
	s.log(j.ID).WithField("outcome", v.Outcome).WithField("state", j.State).WithField("detail", v.Detail).Info("attempt_ended")
	s.entry.meter.attempts.WithLabelValues(v.Outcome.String()).Inc()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.attempts[j.ID] == nil {
		return
	}
	delete(s.attempts, j.ID)
	b := ""
	if v.Outcome == wire.OutcomeFailed || v.Outcome == wire.OutcomePartial {
		b = v.BlamedAgent
	}
	s.state.MarkEnded(j.ID, sched.AttemptEnd{
		Success:      v.Outcome == wire.OutcomeDone,
		Failed:       v.Outcome == wire.OutcomeFailed,
		BlamedWorker: b,
		Requeue:      j.State == jobs.Accepted && j.Domain == s.domain,
	}, time.Now())
	s.triggerDecision()
}

// finishJob writes the final state of a job that has no running attempt. If the write
// fails, the job is marked as changed, so that the next pass tries again.
func (s *scheduler) finishJob(r store.Record[jobs.Job], state jobs.State, why string) {
	c, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	r.Body.State = state
	r.Body.Reason = why
	r.Body.Ended = time.Now()
	if _, err := s.entry.writeJob(c, r); err != nil {
		s.log(r.ID).WithError(err).Warn("job_end_not_recorded")
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changedJobs[r.ID] = true
		return
	}
	s.log(r.ID).WithField("state", state).WithField("reason", why).Info("job_finished")
}
