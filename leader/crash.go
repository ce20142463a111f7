package leader

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/fence"
	"hemlockhinge/graph"
	"hemlockhinge/pause"
)

// recordCrash records in the progress of a job that an agent's worker crashed soon after an
// attempt at a task had started, or may have if ran is false. Agents report a crash repeatedly.
func (t *term) recordCrash(j *job, m *agentState, k graph.Task, attempt int, ran bool) {
	if !j.progress.RecordCrash(j.Job, k, attempt, ran) {
		return
	}
	j.progressVersion++
	j.crashVersion = j.progressVersion
	pause.Wake(t.flushNow)
	t.requestPass()
	t.log.WithFields(logrus.Fields{
		"task":    k.String(),
		"attempt": attempt,
		"ran":     ran,
		"agent":   m.addr,
		"crashes": len(j.progress.Task(j.Job, k).CrashedAttempts),
		"state":   j.progress.State,
	}).Warn("run_crashed_worker")
}

// survivalTime is how long after its start a run that progresses has not crashed its worker. A
// report may be that much older than it is, and an agent goes on listing the runs of a worker
// that does not answer, without progress.
const survivalTime = 2 * fence.CrashWindow

// recordSurvival records that an attempt at a task works and has not crashed its worker. The
// members of a gang work only together.
func (j *job) recordSurvival(k graph.Task, attempt int) {
	first, last := k.Index, k.Index
	if s := j.Steps[k.Step]; s.Gang {
		first, last = 0, s.Count-1
	}
	for i := first; i <= last; i++ {
		k.Index = i
		if j.progress.Task(j.Job, k).RecordSurvival(attempt) {
			j.progressVersion++
		}
	}
}

// hasSuspect reports whether a task is suspected to crash its workers, if those of its early
// losses have crashed.
func (j *job) hasSuspect(tasks []graph.Task, earlyLosses map[graph.Task]int) bool {
	return slices.ContainsFunc(tasks, func(k graph.Task) bool { return j.progress.Task(j.Job, k).SuspectAfter(earlyLosses[k]) })
}

// startedSuspect reports whether a task that is suspected to crash its workers was started
// at the worker within apartTime.
func (m *agentState) startedSuspect(now time.Time) bool {
	for _, r := range m.runs {
		if r.apart && now.Sub(r.startedAt) < apartTime {
			return true
		}
	}
	return false
}

// apartGroup returns the group of suspects with which a task may start on one worker, 0 for none, if
// the workers of its early losses have crashed. A task that lasts is never given up, so it may share
// the blame for a crash. Any other one must be started alone, since its job fails with the next crash.
func (j *job) apartGroup(k graph.Task, earlyLosses int) int {
	s := j.Steps[k.Step]
	if !s.LongRunning || s.Gang {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(k.StepName()))
	return j.progress.Task(j.Job, k).ApartGroup(h.Sum32()^uint32(k.Index), earlyLosses) //nolint:gosec // only its lowest bits count
}
