package leader

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"hemlockhinge/alloc"
	"hemlockhinge/graph"
	"hemlockhinge/policy"
)

const (
	// attemptGap is the distance between the attempt numbers that two terms begin with for
	// each revision between their epochs. A term seldom needs as many for one task.
	attemptGap = 16
	// maxFirstAttempt bounds the number that a term begins with: workers may keep it in 32
	// bits.
	maxFirstAttempt = 1 << 30
	// spreadWaitFactor times its estimate is how long a step waits for free capacity
	// in one rack before it may be spread over several.
	spreadWaitFactor = 1.0
	// vacateMargin is the time reserved for an order to stop a run on a leaving worker to
	// be decided on and to arrive.
	vacateMargin = 600 * time.Millisecond
	// apartTime is for how long after the start of a suspect nothing else is started on its
	// worker. The members of a gang may wait for the last one until gangStartTimeout.
	apartTime = 2 * gangStartTimeout
)

// queue returns a job's queue, or nil if it is no longer configured.
func (t *term) queue(j *job) *policy.Queue {
	o := t.leader.currentOperatorSettings()
	if o.Config == nil {
		return nil
	}
	return o.Config.Lookup(QueueRefOf(j.Job))
}

// schedulingPass removes the runs of agents whose leases have expired, stops unwanted
// runs, decides which units to start and which runs to preempt, and sends the orders;
// t.mu is held.
func (t *term) schedulingPass(now time.Time) {
	for _, m := range t.agents {
		if t.workerLeasesExpired(m, now) {
			t.markAccountedFor(m, accountedByExpiry)
			for _, r := range m.runs {
				t.removeLostRun(m, r)
			}
		}
		t.removeIfGone(m, now)
	}
	h := t.heldBackWork()
	t.recordHeldBack(&h, now)
	t.stopUnwantedRuns(now, &h)
	t.updateSpeeds(now)
	t.markGuaranteedJobs()
	w, agents := t.allocWorkers(now)
	g, runs := t.runningGroups(w, agents, now)
	if t.roleCertain() && t.settingsCurrent() {
		d := alloc.Decide(w, g, t.startableUnits(now, agents, totalCapacity(w), &h))
		for _, e := range d.Stop {
			for _, r := range runs[e.Group] {
				t.preempt(r, e.For, now)
			}
		}
		for _, p := range d.Start {
			t.startUnit(p, agents, now)
		}
		t.keepRoom(d.Room, agents)
	}
	for _, i := range alloc.Vacate(w, g, t.leader.settings.MaxStopTime+vacateMargin) {
		for _, r := range runs[i] {
			t.vacate(r, now)
		}
	}
}

// roleCertain reports whether the role was renewed recently enough to act by it: the tasks
// that a scheduler starts or keeps alive after that may run a second time under a successor.
func (t *term) roleCertain() bool {
	d, certain := t.leader.role.certain()
	if certain == t.roleUncertain {
		t.roleUncertain = !certain
		t.log.WithFields(logrus.Fields{"certain": certain, "unrenewed_ms": d.Milliseconds()}).Warn("role_certainty_changed")
	}
	return certain
}

// settingsCurrent reports whether the operators' settings were confirmed recently enough to
// start tasks by them: a failure domain may have been taken out of service since.
func (t *term) settingsCurrent() bool {
	o := t.leader.currentOperatorSettings()
	age := t.leader.settingsAge(o)
	limit := t.leader.settings.MaxSettingsAge
	current := limit == 0 || age <= limit
	if current == t.settingsOutdated {
		t.settingsOutdated = !current
		t.log.WithFields(logrus.Fields{"outdated": !current, "age_ms": age.Milliseconds()}).Warn("operator_settings_outdated")
	}
	return current
}

// allocWorkers returns the workers as alloc takes them, and their agents in the same
// order.
func (t *term) allocWorkers(now time.Time) ([]alloc.Worker, []*agentState) {
	out := t.leader.currentOperatorSettings().OutOfService
	var agents []*agentState
	for _, m := range t.agents {
		agents = append(agents, m)
	}
	slices.SortFunc(agents, func(a, b *agentState) int { return cmp.Compare(a.addr, b.addr) })
	w := make([]alloc.Worker, 0, len(agents))
	for _, m := range agents {
		f := m.worker
		d := t.outlierScoreOf(m, now)
		w = append(w, alloc.Worker{
			ID:               m.addr,
			Rack:             f.Rack,
			Service:          f.Service,
			Labels:           f.Labels,
			Total:            f.Capacity,
			Free:             f.Capacity.Sub(m.usedCapacity()),
			RunsLatencyTasks: m.runsStep(t, func(s *graph.Step) bool { return s.TailLatencyTarget > 0 }),
			RunsBestEffort:   m.runsStep(t, func(s *graph.Step) bool { return s.BestEffort }),
			Unschedulable:    m.peer == nil || !m.accountedFor || !m.acceptsTasks || !f.Known || f.Leaving || f.Gone || out[f.Zone],
			KeepApart:        m.startedSuspect(now),
			Leaving:          f.Leaving,
			LeavesIn:         max(m.leavesAt.Sub(now), 0),
			FailureScore:     d,
			Outlier:          d >= outlierScore,
			Speed:            t.placementSpeed(m),
		})
	}
	return w, agents
}

// outlierScoreOf returns the failure score of a worker, at least outlierScore if it is slow or
// fails, and logs when that changes.
func (t *term) outlierScoreOf(m *agentState, now time.Time) int {
	d := m.failureScore(now)
	slow := t.isSlow(m)
	if slow {
		d = max(d, outlierScore)
	}
	if outlier := d >= outlierScore; outlier != m.outlier {
		m.outlier = outlier
		t.log.WithFields(logrus.Fields{"agent": m.addr, "worker": m.worker.ID, "outlier": outlier, "slow": slow, "runs": len(m.runs)}).Info("worker_outlier_changed")
	}
	return d
}

// runsStep reports whether the worker has a run of a step for which f returns true.
func (m *agentState) runsStep(t *term, f func(*graph.Step) bool) bool {
	for k := range m.runs {
		if j := t.jobs[k.Job]; j != nil && f(&j.Steps[k.Step]) {
			return true
		}
	}
	return false
}

// usedCapacity returns the capacity that runs at the worker may occupy.
func (m *agentState) usedCapacity() graph.Size {
	var z graph.Size
	for _, r := range m.runs {
		z = z.Add(r.size)
	}
	for _, a := range m.unexpected {
		z = z.Add(a.size)
	}
	return z
}

// monotonicTimeOfDay returns the time of day, counted from the start of the term by the
// monotonic clock, so that adjustments of the wall clock do not change it.
func (t *term) monotonicTimeOfDay(now time.Time) time.Time {
	return t.startedAt.Round(0).Add(now.Sub(t.startedAt))
}

// medianTimeOfDay returns the time of day in Unix milliseconds: the median of the
// wall clocks of this process and of the agents in session.
func (t *term) medianTimeOfDay(now time.Time) int64 {
	s := t.monotonicTimeOfDay(now)
	o := []time.Duration{t.leader.ports.WallClock().Round(0).Sub(s)}
	for _, m := range t.agents {
		if m.hasClockOffset && m.peer != nil {
			o = append(o, m.clockOffset)
		}
	}
	slices.Sort(o)
	return s.Add(o[len(o)/2]).UnixMilli()
}
