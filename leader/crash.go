package leader

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/graph"
	"hemlockhinge/pause"
)

// recordCrash records in the progress of a job that an agent's worker crashed soon after an
// attempt at a task had started. Agents report a crash repeatedly.
func (t *term) recordCrash(j *job, m *agentState, k graph.Task, attempt int) {
	if !j.progress.RecordCrash(j.Job, k, attempt) {
		return
	}
	j.progressVersion++
	j.crashVersion = j.progressVersion
	j.hasCrashes = true
	pause.Wake(t.flushNow)
	t.requestPass()
	t.log.WithFields(logrus.Fields{
		"task":    k.String(),
		"attempt": attempt,
		"agent":   m.addr,
		"crashes": len(j.progress.Task(j.Job, k).CrashedAttempts),
		"state":   j.progress.State,
	}).Warn("run_crashed_worker")
}

// recordSurvival records that an attempt at a task works and has not crashed its worker. The
// members of a gang work only together.
func (j *job) recordSurvival(k graph.Task, attempt int) {
	if !j.hasCrashes {
		return
	}
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
	j.hasCrashes = j.progress.HasCrashes()
}

// hasSuspect reports whether a task is suspected to crash its workers.
func (j *job) hasSuspect(tasks []graph.Task) bool {
	return slices.ContainsFunc(tasks, func(k graph.Task) bool { return j.progress.Task(j.Job, k).Suspect() })
}

// startedSuspect reports whether a task that is suspected to crash its workers was started
// at the worker within apartTime.
func (m *agentState) startedSuspect(t *term, now time.Time) bool {
	for k, r := range m.runs {
		if j := t.jobs[k.Job]; j != nil && now.Sub(r.startedAt) < apartTime && j.hasSuspect([]graph.Task{k}) {
			return true
		}
	}
	return false
}
