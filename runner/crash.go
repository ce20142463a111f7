package runner

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/fence"
)

// recordCrash records that the previous incarnation of the worker ended unplanned, after it
// last answered at lastAnswer. The caller holds r.mu.
func (r *Runner) recordCrash(lastAnswer time.Time) {
	lost := r.ledger.Dropped()
	r.ports.Meter.WorkerCrashed()
	var names []string
	for _, v := range fence.CrashSuspects(lost, lastAnswer) {
		names = append(names, v.Task.String())
	}
	r.ports.Log.WithFields(logrus.Fields{
		"worker":             r.worker.ID,
		"lost_runs":          len(lost),
		"started_last":       strings.Join(names, ","),
		"last_answer_ms_ago": time.Since(lastAnswer).Milliseconds(),
	}).Warn("worker_crashed")
}
