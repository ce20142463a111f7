package runner

import (
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/fence"
	"hemlockhinge/graph"
	"hemlockhinge/wire"
)

const (
	// crashReportTime is how long a crash is reported. A scheduler that takes over within
	// it learns of the crash.
	crashReportTime = time.Minute
	// maxReportedCrashes bounds the size of reports.
	maxReportedCrashes = 64
)

// crashedRun is a run that may have crashed the worker.
type crashedRun struct {
	fence.Run
	recordedAt time.Time
}

// recordCrash records that the previous incarnation of the worker ended unplanned, after it
// last answered at lastAnswer. The caller holds r.mu.
func (r *Runner) recordCrash(lastAnswer time.Time) {
	lost := r.ledger.Dropped()
	r.ports.Meter.WorkerCrashed()
	var names []string
	for _, v := range fence.CrashSuspects(lost, lastAnswer) {
		names = append(names, v.Task.String())
		r.crashed = append(r.crashed, crashedRun{
			Run:        v,
			recordedAt: time.Now(),
		})
	}
	r.crashed = r.crashed[max(len(r.crashed)-maxReportedCrashes, 0):]
	r.ports.Log.WithFields(logrus.Fields{
		"worker":             r.worker.ID,
		"lost_runs":          len(lost),
		"started_last":       strings.Join(names, ","),
		"last_answer_ms_ago": time.Since(lastAnswer).Milliseconds(),
	}).Warn("worker_crashed")
}

// crashEnds returns the ends of runs that may have crashed the worker. They have no number,
// since the worker does not list them. The caller holds r.mu.
func (r *Runner) crashEnds() []wire.EndState {
	r.crashed = slices.DeleteFunc(r.crashed, func(v crashedRun) bool { return time.Since(v.recordedAt) > crashReportTime })
	var l []wire.EndState
	for _, v := range r.crashed {
		how := graph.OutcomeWorkerCrashed
		if v.Uncertain() {
			how = graph.OutcomeStartUnresolved
		}
		l = append(l, wire.EndState{
			Task:    v.Task.String(),
			Attempt: v.Attempt,
			How:     string(how),
			Saved:   v.Checkpoint,
		})
	}
	return l
}
