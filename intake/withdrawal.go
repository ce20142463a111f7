package intake

import (
	"context"
	"net/http"
	"sync"
	"time"

	"hemlockhinge/clock"
	"hemlockhinge/graph"
	"hemlockhinge/jobs"
	"hemlockhinge/store"
)

const (
	// withdrawalsPrefix precedes the keys of withdrawals.
	withdrawalsPrefix = "hemlockhinge/withdrawn/"
	// withdrawalTTL is how long the lease of withdrawals lasts, and withdrawalPeriod how long it is
	// used for new ones. The difference is longer than a write can be late and a client repeats a
	// submission.
	withdrawalTTL    = 2 * time.Minute
	withdrawalPeriod = 30 * time.Second
	// maxWithdrawals bounds the withdrawals of one process in one period, and
	// maxWithdrawalsPerCustomer those of one customer among them, so that a flood of
	// cancellations of unknown ids takes a small part of the store.
	maxWithdrawals            = 500
	maxWithdrawalsPerCustomer = 100
	// anyone is the scope of withdrawals in public queues, where all callers act for all jobs. No
	// customer has this name.
	anyone = "\x00"
)

// withdrawals are the ids that this process has withdrawn in the present period. A withdrawal is a
// key in the store that keeps a customer's job with an id from being accepted: the answer that there
// is no such job would be false if a submission without an answer took effect after it. The keys
// belong to a lease that is not renewed. The zero value has none.
type withdrawals struct {
	mu        sync.Mutex
	begunAt   clock.Time
	lease     store.Lease
	written   map[string]bool
	requested map[string]int
	total     int
}

// withdrawalKey returns the key of the withdrawal of an id in a scope: the name of a customer, or
// anyone.
func withdrawalKey(id, scope string) string {
	return withdrawalsPrefix + id + "/" + jobs.Digest(scope)
}

// withdrawalScope returns the scope in which a caller withdraws an id.
func withdrawalScope(t *ResolvedRequest) string {
	if t.Customer == "" || t.Queue != nil && t.Queue.Public {
		return anyone
	}
	return t.Customer
}

// withdrawalConditions returns the conditions that the id of a new job is not withdrawn.
func withdrawalConditions(t *ResolvedRequest) []store.Precondition {
	var l []store.Precondition
	if t.Customer != "" {
		l = append(l, store.Precondition{Key: withdrawalKey(t.JobID, t.Customer)})
	}
	if t.Queue.Public {
		l = append(l, store.Precondition{Key: withdrawalKey(t.JobID, anyone)})
	}
	return l
}

// withdraw keeps the caller's submissions of an id that are still under way from being accepted, and
// returns *Error of status 410. revision is that of a job of another customer with this id, 0 if there
// is none. It returns *conditionError if that has changed.
func (d *Intake) withdraw(c context.Context, t *ResolvedRequest, revision uint64) error {
	if !graph.ValidID(t.JobID) {
		return noSuchJob(t.JobID)
	}
	scope := withdrawalScope(t)
	k := withdrawalKey(t.JobID, scope)
	w := write{
		resolved:   t,
		key:        k,
		value:      []byte(t.Customer),
		conditions: []store.Precondition{{Key: t.jobKey(), Revision: revision}},
		lease:      d.withdrawalLease,
	}
	written, wait := d.withdrawals.request(d.ports.Clock, k, scope)
	var err error
	switch {
	case wait > 0:
		e := errorf(http.StatusTooManyRequests, "too many cancellations of jobs that do not exist")
		e.RetryAfter = wait
		err = e
	case !written:
		err = d.write(c, &w)
	}
	if err == nil {
		d.withdrawals.markWritten(k)
		err = noSuchJob(t.JobID)
	}
	d.recordCancel(&w, t, "", err)
	return err
}

// request counts a withdrawal, and reports whether the present period has it already. If it exceeds
// the limits, wait is the time until the next period.
func (w *withdrawals) request(k clock.Clock, key, scope string) (written bool, wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.written == nil || k.Since(w.begunAt) >= withdrawalPeriod {
		w.begunAt = k.Now()
		w.lease = 0
		w.written = map[string]bool{}
		w.requested = map[string]int{}
		w.total = 0
	}
	if w.written[key] {
		return true, 0
	}
	if w.total >= maxWithdrawals || w.requested[scope] >= maxWithdrawalsPerCustomer {
		return false, max(withdrawalPeriod-k.Since(w.begunAt), time.Second)
	}
	w.total++
	w.requested[scope]++
	return false, 0
}

// markWritten records that the store has a withdrawal.
func (w *withdrawals) markWritten(key string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.written[key] = true
}

// dropLease forgets a lease that has ended.
func (w *withdrawals) dropLease(l store.Lease) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lease == l {
		w.lease = 0
	}
}

// currentLease returns the lease of the present period, 0 if there is none yet.
func (w *withdrawals) currentLease() store.Lease {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lease
}

// setLease records the lease of the present period, unless there is one.
func (w *withdrawals) setLease(l store.Lease) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lease == 0 {
		w.lease = l
	}
}

// withdrawalLease returns the lease of the present period.
func (d *Intake) withdrawalLease(c context.Context) (store.Lease, error) {
	if l := d.withdrawals.currentLease(); l != 0 {
		return l, nil
	}
	l, err := d.ports.Store.Grant(c, withdrawalTTL)
	if err != nil {
		return 0, err
	}
	d.withdrawals.setLease(l)
	return l, nil
}
