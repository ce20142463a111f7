package leader

import (
	"time"

	"hemlockhinge/graph"
	"hemlockhinge/policy"
)

// job is a job and its scheduling state.
type job struct {
	*graph.Job
	progress *graph.Progress
	// remainingPaths are the critical paths by estimates from each step on, and
	// criticalPath is that of the whole job.
	remainingPaths []time.Duration
	criticalPath   time.Duration
	// firstStartDelay is how long the job waited for its first start in this term.
	firstStartDelay time.Duration
	startCount      int
	revision        uint64
	cancelled       bool
	// arrivedAt is when the job was submitted at the latest, as far as this term and the marks of
	// earlier ones tell.
	arrivedAt time.Time
	runs      map[graph.Task]*run
	// progressVersion counts changes of progress. storedVersion is the version in the
	// store.
	progressVersion uint64
	storedVersion   uint64
	// crashVersion is the version of progress that has the newest crash of a worker.
	crashVersion uint64
	// storedRevision is the revision of the progress in the store, 0 for none.
	storedRevision uint64
	// publishedState is the last state that is known to be in the store.
	publishedState graph.State
	// endUnconfirmed means that a write of the job's end, as not cancelled, has no answer yet.
	endUnconfirmed bool
	// withinGuarantee means that the job is covered by its customer's guarantee.
	withinGuarantee bool
	preemptions     int
	// groupPreemptions counts the preemptions of each gang, by its first task, and of each other
	// task.
	groupPreemptions map[graph.Task]int
	// overtaken is how many younger jobs of the queue have started while this one waited.
	overtaken int
	// lastActive is when the job last had a run.
	lastActive time.Time
	// endedAt is when this term found that nothing of the job is left to do: it has
	// ended or was cancelled, has no runs and is saved in the store.
	endedAt time.Time
	// retryAfter is the time before which a task whose start was refused is not
	// started again.
	retryAfter map[graph.Task]time.Time
	// startedInTerm are the tasks that this term has started at least once.
	startedInTerm map[graph.Task]bool
}

// newJob returns a job that was just submitted at a revision of the store.
func newJob(v *graph.Job, revision uint64) *job {
	return &job{
		Job:            v,
		progress:       graph.NewProgress(v),
		remainingPaths: v.StepCriticalPaths(),
		criticalPath:   v.CriticalPath(),
		revision:       revision,
		arrivedAt:      time.Now(),
		runs:           map[graph.Task]*run{},
		publishedState: graph.Queued,
		retryAfter:     map[graph.Task]time.Time{},
	}
}

// QueueRefOf refers to the queue that took a job.
func QueueRefOf(j *graph.Job) policy.QueueRef {
	return policy.QueueRef{
		Name:   j.Queue,
		Host:   j.Host,
		Prefix: j.Prefix,
	}
}

// schedulable reports whether tasks of the job may still be started.
func (j *job) schedulable() bool { return !j.cancelled && !j.progress.State.Final() }

// state returns the job's state as callers see it: a final state is shown only once it
// is in the store. The end of a job may have been stored before its cancellation, so that is not
// shown while a write of the end has no answer.
func (j *job) state() graph.State {
	switch {
	case j.publishedState.Final():
		return j.publishedState
	case j.cancelled && !j.endUnconfirmed:
		return graph.Cancelled
	case j.progress.Started || j.endUnconfirmed:
		return graph.Running
	}
	return graph.Queued
}

// runPhase says whether the start of a run is confirmed.
type runPhase uint8

const (
	launching runPhase = iota
	running
)

// run is one attempt at a task that may exist at a worker.
type run struct {
	task    graph.Task
	attempt int
	agent   *agentState
	size    graph.Size
	phase   runPhase
	// incarnation of the worker and agentRestarts of the agent are those at the start; 0 if
	// an earlier term has started the run.
	incarnation   int64
	agentRestarts int
	// apart means that a task of the unit is suspected to crash its workers.
	apart bool
	// survived means that the run has progressed after survivalTime.
	survived bool
	// superseded means that another run of the task was done.
	superseded bool
	// startUnconfirmed means that the reply to the start was lost.
	startUnconfirmed bool
	// session is the number of the session in which the start was requested, and
	// requestClockMS the reading of the agent's clock that the request carried.
	session        uint64
	requestClockMS int64
	// listedFromSeq is the number of the agent's first report that must list the run.
	listedFromSeq uint64
	startedAt     time.Time
	checkpoint    string
	progress      runProgress
	// resumed means that the run began from a checkpoint.
	resumed bool
	// adopted means that an earlier term has started the run.
	adopted bool
	// stopping means that the run is to be stopped; the order is repeated until the
	// run has ended.
	stopping   bool
	stopSentAt time.Time
}

// markStarted records in the stored progress that a task of the job has started, so
// that a later scheduler also shows the job as running.
func (j *job) markStarted() {
	if !j.progress.Started {
		j.progress.Started = true
		j.progressVersion++
	}
}
