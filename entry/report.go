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

// report records a lead's word on an attempt. It is acknowledged only once
// the record in the store says so; the copy kept here may be older than the
// attempt, and is no proof that the record has moved on.
func (e *Entry) report(c context.Context, v *wire.AttemptReport) (wire.Message, error) {
	r, ok := e.record(v.Attempt.Job)
	if !ok || old(r.Body, v.Attempt) {
		var err error
		r, err = e.records.Get(c, v.Attempt.Job)
		var m *store.NotFoundError
		switch {
		case errors.As(err, &m):
			return &wire.Ack{}, nil
		case err != nil:
			return nil, err
		case old(r.Body, v.Attempt):
			return &wire.Ack{}, nil
		}
		e.keepJob(r)
	}
	e.mu.Lock()
	s := e.scheds[r.Body.Domain]
	e.mu.Unlock()
	if s == nil || !s.valid() {
		return nil, wire.Refuse(wire.CodeClaimMoved, "this entry does not schedule failure domain %q", r.Body.Domain)
	}
	if v.Outcome == wire.OutcomeRunning {
		return &wire.Ack{}, s.running(c, r)
	}
	return &wire.Ack{}, s.conclude(c, r, v)
}

// old reports whether a record has moved on from an attempt.
func old(j jobs.Job, a wire.Attempt) bool {
	return !j.MayBeRunning() || !j.WireAttempt().Same(a)
}

// running records that every member of a gang runs.
func (s *scheduler) running(c context.Context, r store.Record[jobs.Job]) error {
	n := time.Now()
	s.mu.Lock()
	s.state.MarkRunning(r.ID, n)
	if a := s.attempts[r.ID]; a != nil {
		a.leadGone = false
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

// conclude records how an attempt ended and what becomes of the job.
func (s *scheduler) conclude(c context.Context, r store.Record[jobs.Job], v *wire.AttemptReport) error {
	c, cancel := context.WithTimeout(c, writeTimeout)
	defer cancel()
	for {
		j := after(r.Body, v, time.Now())
		r.Body = j
		_, err := s.entry.writeJob(c, r)
		if err == nil {
			s.settle(j, v)
			return nil
		}
		var f *store.ConflictError
		if !errors.As(err, &f) {
			return err
		}
		if r, err = s.entry.records.Get(c, r.ID); err != nil {
			return err
		}
		if old(r.Body, v.Attempt) {
			return nil
		}
	}
}

// after is a job's record once an attempt of it has ended.
func after(j jobs.Job, v *wire.AttemptReport, n time.Time) jobs.Job {
	j.Reason = v.Detail
	if v.Outcome != wire.OutcomeNotRun {
		j.MayHaveRun = true
	}
	switch v.Outcome {
	case wire.OutcomeDone:
		return ended(j, jobs.Done, v, n)
	case wire.OutcomeCancelled:
		return ended(j, jobs.Cancelled, v, n)
	case wire.OutcomeFailed:
		j.Failures = append(j.Failures, jobs.Failure{
			Attempt: j.Attempt,
			Worker:  v.BlamedAgent,
			Detail:  v.Detail,
		})
		if !j.Idempotent || j.FailureLimitReached() {
			return ended(j, jobs.Failed, v, n)
		}
	case wire.OutcomePreempted:
		j.Checkpointed = true
		j.Preemptions++
	}
	switch {
	case j.CancelRequested:
		return ended(j, jobs.Cancelled, v, n)
	case !j.Idempotent && j.MayHaveRun:
		return ended(j, jobs.Interrupted, v, n)
	}
	j.State = jobs.Accepted
	j.Parts = nil
	j.Guarantee = ""
	j.Started = time.Time{}
	return j
}

func ended(j jobs.Job, s jobs.State, v *wire.AttemptReport, n time.Time) jobs.Job {
	j.State = s
	j.Ended = n
	j.Results = v.Results
	return j
}

// settle tells the policy how an attempt ended.
func (s *scheduler) settle(j jobs.Job, v *wire.AttemptReport) {
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
	s.poke()
}

// finish ends a job that has no attempt under way.
func (s *scheduler) finish(r store.Record[jobs.Job], state jobs.State, why string) {
	c, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	r.Body.State = state
	r.Body.Reason = why
	r.Body.Ended = time.Now()
	if _, err := s.entry.writeJob(c, r); err != nil {
		s.log(r.ID).WithError(err).Warn("job_not_finished")
		s.mu.Lock()
		defer s.mu.Unlock()
		s.touched[r.ID] = true
		return
	}
	s.log(r.ID).WithField("state", state).WithField("reason", why).Info("job_finished")
}
