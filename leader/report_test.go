package leader

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"hemlockhinge/graph"
	"hemlockhinge/meter"
	"hemlockhinge/store"
	"hemlockhinge/wire"
)

const (
	testEpoch            = 100
	testSilenceTolerance = 8 * time.Second
)

// newTestTerm returns a term without a store or a network.
func newTestTerm() *term {
	g := logrus.New()
	g.SetOutput(io.Discard)
	l := New(Ports{
		Log:   logrus.NewEntry(g),
		Meter: meter.New(prometheus.NewRegistry()),
	}, Settings{
		SilenceTolerance: testSilenceTolerance,
	})
	t := newTerm(l, leadership{
		epoch: testEpoch,
	})
	t.ctx = context.Background()
	return t
}

// reportTest is a run whose start was requested in session 1 of an agent.
type reportTest struct {
	term  *term
	agent *agentState
	job   *job
	run   *run
}

var testTask = graph.Task{Job: "j"}

func newReportTest() *reportTest {
	t := newTestTerm()
	j := newJob(&graph.Job{
		ID:    testTask.Job,
		Steps: []graph.Step{{Count: 1}},
	}, testEpoch+1)
	t.jobs[j.ID] = j
	m := newAgentState("a", func() {})
	t.agents[m.addr] = m
	v := &reportTest{
		term:  t,
		agent: m,
		job:   j,
	}
	v.open(1, v.report(1, 1000))
	v.run = &run{
		task:           testTask,
		attempt:        1,
		agent:          m,
		session:        m.session,
		requestClockMS: m.agentClockMS,
		startedAt:      time.Now(),
	}
	j.runs[testTask] = v.run
	m.runs[testTask] = v.run
	return v
}

// report returns a conclusive report, in which the runs are those of the task.
func (v *reportTest) report(seq uint64, agentMS int64, runs ...wire.RunState) *wire.AgentStatus {
	return &wire.AgentStatus{
		Seq:     seq,
		AgentMS: agentMS,
		Settled: true,
		Worker: wire.WorkerInfo{
			Known: true,
			ID:    "w",
			Born:  1,
		},
		Runs: runs,
	}
}

func (v *reportTest) open(session uint64, s *wire.AgentStatus) {
	v.term.sessionOpened(v.agent, &wire.Peer{}, session, s)
}

// loseReply ends the request without a reply, as the loss of its session does.
func (v *reportTest) loseReply() {
	v.term.handleLaunchReply(v.job, v.run, nil, errors.New("connection closed"))
}

func (v *reportTest) confirm(seq uint64) {
	v.term.handleLaunchReply(v.job, v.run, &wire.Launched{Seq: seq}, nil)
}

// TestRunKeptWithoutConclusiveReport guards against two runs of one task: a scheduler
// that is late in handling messages takes a report that was made before a start for proof
// that the start did not take effect, and starts the task elsewhere.
func TestRunKeptWithoutConclusiveReport(t *testing.T) {
	listed := wire.RunState{Task: testTask.String(), Attempt: 1}
	expired := 1000 + wire.MaxLaunchAge.Milliseconds() + 1
	cases := []struct {
		name string
		do   func(v *reportTest)
		kept bool
	}{
		{"report of the session after the reply was lost", func(v *reportTest) {
			v.loseReply()
			v.term.applyReport(v.agent, 1, v.report(2, 1100))
		}, true},
		{"that report after the session has closed", func(v *reportTest) {
			v.loseReply()
			v.term.sessionClosed(v.agent, v.agent.peer)
			v.term.applyReport(v.agent, 1, v.report(2, 1100))
		}, true},
		{"that report after the next session lists the run", func(v *reportTest) {
			v.loseReply()
			v.open(2, v.report(3, 1200, listed))
			v.term.applyReport(v.agent, 1, v.report(9, 1100))
		}, true},
		{"that report while the next session is not settled", func(v *reportTest) {
			v.loseReply()
			s := v.report(3, 1200)
			s.Settled = false
			v.open(2, s)
			v.term.applyReport(v.agent, 1, v.report(9, 1100))
		}, true},
		{"reply of the session after the next one lists the run", func(v *reportTest) {
			v.open(2, v.report(3, 1200, listed))
			v.confirm(2)
		}, true},
		{"report of the session while the reply is awaited", func(v *reportTest) {
			v.term.applyReport(v.agent, 1, v.report(2, expired))
		}, true},
		{"report before the one that must list it", func(v *reportTest) {
			v.confirm(5)
			v.term.applyReport(v.agent, 1, v.report(4, 1100))
		}, true},
		{"report that must list it", func(v *reportTest) {
			v.confirm(5)
			v.term.applyReport(v.agent, 1, v.report(5, 1100))
		}, false},
		{"next session does not list the run", func(v *reportTest) {
			v.loseReply()
			v.open(2, v.report(3, 1200))
		}, false},
		{"next session of a restarted agent does not list the run", func(v *reportTest) {
			v.confirm(50)
			v.open(2, v.report(1, 10))
		}, false},
		{"report of the session once the request has expired", func(v *reportTest) {
			v.loseReply()
			v.term.applyReport(v.agent, 1, v.report(2, expired))
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newReportTest()
				c.do(v)
				if kept := v.job.runs[testTask] == v.run; kept != c.kept {
					t.Errorf("run kept: %t, want %t", kept, c.kept)
				}
			})
		})
	}
}

// TestLeasesCountedFromLastReading guards against leases that are taken for expired too
// early: an agent renews them by the newest reading of its clock that the scheduler has
// returned, and reports carry readings as well as the replies to pings.
func TestLeasesCountedFromLastReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newReportTest()
		time.Sleep(5 * time.Second)
		v.term.applyReport(v.agent, 1, v.report(2, 6000))
		v.term.sessionClosed(v.agent, v.agent.peer)
		time.Sleep(testSilenceTolerance - time.Second)
		if v.term.workerLeasesExpired(v.agent, time.Now()) {
			t.Error("leases count as expired although the agent may still renew them")
		}
		time.Sleep(2 * time.Second)
		if !v.term.workerLeasesExpired(v.agent, time.Now()) {
			t.Error("leases do not count as expired")
		}
	})
}

// TestEndOfAnotherRun guards against two runs of one task: the end of a run that an earlier term
// had started elsewhere, with the same attempt number, counts as that of the present run, whose
// task is then started once more.
func TestEndOfAnotherRun(t *testing.T) {
	for _, c := range []struct {
		how        graph.Outcome
		superseded bool
	}{
		{graph.OutcomeLeaseExpired, false},
		{graph.OutcomeFailed, false},
		{graph.OutcomeDone, true},
	} {
		t.Run(string(c.how), func(t *testing.T) {
			v := newReportTest()
			v.confirm(1)
			m := newAgentState("b", func() {})
			v.term.agents[m.addr] = m
			s := v.report(1, 1000)
			s.Ends = []wire.EndState{{
				N:       1,
				Task:    testTask.String(),
				Attempt: v.run.attempt,
				How:     string(c.how),
			}}
			v.term.sessionOpened(m, &wire.Peer{}, 1, s)
			if v.job.runs[testTask] != v.run || v.agent.runs[testTask] != v.run {
				t.Error("the run at the other agent counts as ended")
			}
			if v.run.superseded != c.superseded {
				t.Errorf("the run counts as superseded: %t", v.run.superseded)
			}
		})
	}
}

// TestAttemptsOfTermsDiffer guards against two runs with one number: starts are not recorded, so a
// term does not know the numbers that those before it have used.
func TestAttemptsOfTermsDiffer(t *testing.T) {
	const terms, starts = 5, 10
	old := newTestTerm()
	old.leadership.epoch = 1 << 40
	if n := old.nextAttempt(newJob(&graph.Job{
		ID:    testTask.Job,
		Steps: []graph.Step{{Count: 1}},
	}, 1), []graph.Task{testTask}); n > maxFirstAttempt {
		t.Errorf("the first attempt at an old job is %d", n)
	}
	used := map[int]uint64{}
	for epoch := uint64(testEpoch); epoch < testEpoch+terms; epoch++ {
		v := newTestTerm()
		v.leadership.epoch = epoch
		j := newJob(&graph.Job{
			ID:    testTask.Job,
			Steps: []graph.Step{{Count: 1}},
		}, testEpoch-1)
		last := 0
		for range starts {
			n := v.nextAttempt(j, []graph.Task{testTask})
			if e, found := used[n]; found || n <= last {
				t.Errorf("epoch %d: attempt %d after %d, used by epoch %d", epoch, n, last, e)
			}
			used[n] = epoch
			last = n
			j.startedInTerm = map[graph.Task]bool{testTask: true}
			j.progress.Task(j.Job, testTask).Attempt = n
		}
	}
}

// TestReportBeforeSessionOpens guards against a task that is never started again: the report that
// its worker is gone is handled before the answer that opens the session, and an agent whose worker
// runs nothing does not repeat its reports.
func TestReportBeforeSessionOpens(t *testing.T) {
	running := wire.RunState{
		Task:    testTask.String(),
		Attempt: 1,
	}
	gone := func(v *reportTest) *wire.AgentStatus {
		s := v.report(6, 3000)
		s.Worker.Gone = true
		return s
	}
	cases := []struct {
		name string
		do   func(v *reportTest)
		kept bool
	}{
		{"newer than the answer", func(v *reportTest) {
			v.term.applyReport(v.agent, 2, gone(v))
			v.open(2, v.report(5, 2000, running))
		}, false},
		{"of a session that was given up", func(v *reportTest) {
			v.term.applyReport(v.agent, 2, gone(v))
			v.open(3, v.report(5, 2000, running))
		}, true},
		{"older than the answer", func(v *reportTest) {
			s := gone(v)
			s.Seq = 4
			v.term.applyReport(v.agent, 2, s)
			v.open(2, v.report(5, 2000, running))
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := newReportTest()
			v.confirm(1)
			c.do(v)
			if kept := v.job.runs[testTask] == v.run; kept != c.kept {
				t.Errorf("the run is kept: %t, not %t", kept, c.kept)
			}
		})
	}
}

// countingNet counts the connections that are asked for, and opens none.
type countingNet struct {
	wire.Network
	dials int
}

func (n *countingNet) Dial(context.Context, string) (net.Conn, error) {
	n.dials++
	return nil, errors.New("no connection")
}

// TestNoSessionAfterRoleMayHaveExpired guards against two schedulers that start one task at a
// hand-over: an agent that is restarted forgets that a successor has a session with it, and
// accepts one of the old scheduler, which still acts by its sessions.
func TestNoSessionAfterRoleMayHaveExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newReportTest()
		n := &countingNet{}
		v.term.leader.ports.Net = n
		for _, c := range []struct {
			after time.Duration
			dials int
		}{
			{0, 1},
			{roleTTL - time.Millisecond, 2},
			{roleTTL, 2},
			{maxUnrenewedTime, 2},
		} {
			v.term.leader.role.recordRenewal(v.term.leader.role.clock.Now())
			time.Sleep(c.after)
			if err := v.term.runSession(context.Background(), v.agent); err == nil || n.dials != c.dials {
				t.Errorf("%s after the last renewal: %d connections, %v", c.after, n.dials, err)
			}
		}
	})
}

// TestRegistrationDeletedLate guards against a task that is lost for good, or runs twice: a worker
// leaves, the next one comes and is given tasks, and only then the scheduler sees that the
// registration was deleted meanwhile. The tasks must not count as lost, and a report may bring none
// of them to an agent that was removed.
func TestRegistrationDeletedLate(t *testing.T) {
	deleted := store.Item{Deleted: true}
	running := wire.RunState{
		Task:    testTask.String(),
		Attempt: 1,
	}
	t.Run("the next worker is there", func(t *testing.T) {
		v := newReportTest()
		v.confirm(1)
		v.term.applyAgent(v.agent.addr, deleted)
		v.term.applyAgent(v.agent.addr, store.Item{})
		v.term.applyReport(v.agent, 1, v.report(2, 2000, running))
		if v.job.runs[testTask] != v.run || v.term.agents[v.agent.addr] != v.agent || v.agent.unregistered {
			t.Error("the run or its agent was removed")
		}
	})
	t.Run("the worker is gone", func(t *testing.T) {
		v := newReportTest()
		v.confirm(1)
		v.term.applyAgent(v.agent.addr, deleted)
		s := v.report(2, 2000)
		s.Worker.Gone = true
		v.term.applyReport(v.agent, 1, s)
		v.term.removeIfGone(v.agent, time.Now())
		v.term.applyReport(v.agent, 1, v.report(3, 3000, running))
		if len(v.job.runs) > 0 || v.term.agents[v.agent.addr] != nil {
			t.Error("the run or its agent has stayed")
		}
	})
	t.Run("the agent was restarted", func(t *testing.T) {
		v := newReportTest()
		v.confirm(1)
		v.term.applyAgent(v.agent.addr, deleted)
		s := v.report(1, 10, running)
		s.Worker = wire.WorkerInfo{}
		s.Settled = false
		v.open(2, s)
		v.term.removeIfGone(v.agent, time.Now())
		if v.job.runs[testTask] != v.run || v.term.agents[v.agent.addr] != v.agent {
			t.Error("the run or its agent was removed before the agent knows its worker")
		}
		s = v.report(2, 20)
		s.Worker = wire.WorkerInfo{}
		s.Vacant = true
		v.term.applyReport(v.agent, 2, s)
		v.term.removeIfGone(v.agent, time.Now())
		if len(v.job.runs) > 0 || v.term.agents[v.agent.addr] != nil {
			t.Error("the run or its agent has stayed once all leases have expired")
		}
	})
}
