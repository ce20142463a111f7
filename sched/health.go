package sched

import (
	"slices"
	"time"
)

// Parameters of quarantine.
const (
	// quarantineAfterJobs is how many different jobs must have failed on a
	// worker before it is quarantined.
	quarantineAfterJobs = 3
	// Length of the first quarantine, and upper bound.
	quarantineBase = time.Minute
	quarantineMax  = time.Hour
	// At most 1/maxQuarantinedDivisor of the workers are quarantined at a time.
	maxQuarantinedDivisor = 4
	// failureRetention is how long a job's failures are kept after the last.
	failureRetention = time.Hour
	// jobFaultWorkers is on how many workers a job must have failed for the
	// failures to count as the job's fault.
	jobFaultWorkers = 2
	// quarantineGrowth is the factor between successive quarantines.
	quarantineGrowth = 2
)

// healthTracker decides whether failures are the fault of a worker, on which
// different jobs fail, or of a job, which fails on different workers. The zero
// value is ready to use.
type healthTracker struct {
	workers map[string]*workerHistory
	jobs    map[string]*jobFailures
}

// workerHistory is the recent history of one worker. A worker whose quarantine is
// over is on probation until a job succeeds on it or it is quarantined again.
type workerHistory struct {
	failedJobs       map[string]bool
	quarantinedUntil time.Time
	quarantineTime   time.Duration
	onProbation      bool
}

// jobFailures has the workers on which one job has failed.
type jobFailures struct {
	workers     map[string]bool
	lastFailure time.Time
}

// recordFailure records that a job failed because of a worker. A job that has
// failed on jobFaultWorkers workers counts against none of them.
func (h *healthTracker) recordFailure(worker, job string, workers int, now time.Time) {
	if h.workers == nil {
		h.workers = map[string]*workerHistory{}
		h.jobs = map[string]*jobFailures{}
	}
	r := h.jobs[job]
	if r == nil {
		r = &jobFailures{
			workers: map[string]bool{},
		}
		h.jobs[job] = r
	}
	r.workers[worker] = true
	r.lastFailure = now
	p := h.workers[worker]
	if p == nil {
		p = &workerHistory{
			failedJobs: map[string]bool{},
		}
		h.workers[worker] = p
	}
	p.failedJobs[job] = true
	if len(r.workers) >= jobFaultWorkers {
		h.discardFailures(r, job)
		return
	}
	if len(p.failedJobs) >= quarantineAfterJobs || p.onProbation {
		h.quarantine(p, workers, now)
	}
}

// discardFailures removes a job from the histories of the workers on which it
// failed. A worker that has succeeded since has no history any more.
func (h *healthTracker) discardFailures(r *jobFailures, job string) {
	for w := range r.workers {
		if p := h.workers[w]; p != nil {
			delete(p.failedJobs, job)
		}
	}
}

// quarantine takes a worker out of use for a while, longer each time, unless that
// would exceed the share of workers that may be quarantined.
func (h *healthTracker) quarantine(p *workerHistory, workers int, now time.Time) {
	if (h.quarantinedCount()+1)*maxQuarantinedDivisor > max(workers, maxQuarantinedDivisor) {
		return
	}
	p.quarantineTime = min(max(quarantineBase, quarantineGrowth*p.quarantineTime), quarantineMax)
	p.quarantinedUntil = now.Add(p.quarantineTime)
	p.onProbation = false
}

// recordSuccess records that a job succeeded on a worker, which clears the
// worker's history.
func (h *healthTracker) recordSuccess(worker string) { delete(h.workers, worker) }

// endQuarantines puts workers whose quarantine is over on probation, and reports
// whether there were any. It also drops failures older than failureRetention.
func (h *healthTracker) endQuarantines(now time.Time) bool {
	n := false
	for _, p := range h.workers {
		if !p.quarantinedUntil.IsZero() && !now.Before(p.quarantinedUntil) {
			p.quarantinedUntil = time.Time{}
			p.onProbation = true
			n = true
		}
	}
	for j, r := range h.jobs {
		if now.Sub(r.lastFailure) > failureRetention {
			h.discardFailures(r, j)
			delete(h.jobs, j)
		}
	}
	return n
}

func (h *healthTracker) quarantined(worker string) bool {
	p := h.workers[worker]
	return p != nil && !p.quarantinedUntil.IsZero()
}

// onProbation reports whether a worker has returned from quarantine and no job
// has succeeded on it yet.
func (h *healthTracker) onProbation(worker string) bool {
	p := h.workers[worker]
	return p != nil && p.onProbation
}

func (h *healthTracker) quarantinedCount() int { return len(h.quarantinedWorkers()) }

func (h *healthTracker) quarantinedWorkers() []string {
	l := []string{}
	for w := range h.workers {
		if h.quarantined(w) {
			l = append(l, w)
		}
	}
	slices.Sort(l)
	return l
}
