package leader

import (
	"fmt"
	"net"
	"testing"
	"time"

	"hemlockhinge/graph"
	"hemlockhinge/policy"
	"hemlockhinge/wire"
)

const (
	benchService = "svc"
	benchRack    = 20
	// benchWaiting is how many tasks wait, beside those that fill the workers.
	benchWaiting = 3000
)

// benchConfig has an urgent queue, a queue of gangs and a queue of wide jobs.
func benchConfig() *policy.Config {
	return &policy.Config{
		Queues: []policy.Queue{
			{Name: "urgent", Service: benchService, Priority: 0, MaxAttempts: 3, SlackFactor: 1.5, Target: time.Second},
			{Name: "gangs", Service: benchService, Priority: 1, MaxAttempts: 3, SlackFactor: 2, Target: time.Second},
			{Name: "wide", Service: benchService, Priority: 2, MaxAttempts: 3, SlackFactor: 3, Target: time.Second},
		},
		Customers: []policy.Customer{{Name: "c", GuaranteedAccelerators: 64}},
	}
}

// benchSteps are the steps of jobs of the queues of benchConfig.
func benchSteps(queue string, n int) graph.Step {
	switch queue {
	case "urgent":
		return graph.Step{Count: 8, Size: graph.Size{MilliCPU: 15000, MemoryMiB: 8192, Accelerators: 1 + n%8}, Estimate: 2500 * time.Millisecond}
	case "gangs":
		return graph.Step{Count: 25, Size: graph.Size{MilliCPU: 52000, MemoryMiB: 16384, Accelerators: 1 << (n % 4)}, Estimate: 8500 * time.Millisecond, Gang: true, Checkpoints: true}
	}
	return graph.Step{Count: 78, Size: graph.Size{MilliCPU: 11000, MemoryMiB: 4096, Accelerators: 1}, Estimate: 6 * time.Second, Checkpoints: true}
}

func (t *term) addBenchJob(queue string, n int) *job {
	j := newJob(&graph.Job{
		ID:       fmt.Sprintf("%s-%d", queue, n),
		Queue:    queue,
		Customer: "c",
		Service:  benchService,
		Steps:    []graph.Step{benchSteps(queue, n)},
	}, uint64(testEpoch+1+len(t.jobs)))
	t.jobs[j.ID] = j
	return j
}

// sinkConn is a connection that accepts all data and delivers none.
type sinkConn struct {
	net.Conn
}

func (sinkConn) Write(b []byte) (int, error)      { return len(b), nil }
func (sinkConn) SetWriteDeadline(time.Time) error { return nil }

// newBenchTerm returns a term whose workers are full, and on which benchWaiting tasks
// of all queues wait.
func newBenchTerm(workers int) *term {
	t := newTestTerm()
	t.leader.operatorSettings.Config = benchConfig()
	for i := range workers {
		t.addBenchAgent(i)
	}
	t.fillBenchWorkers()
	queues := []string{"urgent", "gangs", "wide"}
	for n, waiting := 0, 0; waiting < benchWaiting; n++ {
		waiting += t.addBenchJob(queues[n%len(queues)], n).Steps[0].Count
	}
	return t
}

// addBenchAgent adds an agent in session whose worker runs nothing.
func (t *term) addBenchAgent(i int) {
	m := newAgentState(fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250), func() {})
	m.peer = wire.NewPeer(sinkConn{}, wire.RefuseCalls)
	m.accountedFor = true
	m.acceptsTasks = true
	m.worker = wire.WorkerInfo{
		Known:    true,
		ID:       m.addr,
		Born:     1,
		Service:  benchService,
		Zone:     fmt.Sprintf("z%d", i%5),
		Rack:     fmt.Sprintf("r%d", i/benchRack),
		Capacity: graph.Size{MilliCPU: 128000, MemoryMiB: 524288, Accelerators: 8},
	}
	t.agents[m.addr] = m
}

// fillBenchWorkers runs tasks of wide jobs on all accelerators.
func (t *term) fillBenchWorkers() {
	var j *job
	index := 0
	for _, m := range t.agents {
		for range m.worker.Capacity.Accelerators {
			if j == nil || index == j.Steps[0].Count {
				j = t.addBenchJob("wide", 1000+len(t.jobs))
				index = 0
			}
			k := graph.Task{Job: j.ID, Index: index}
			index++
			r := &run{
				task:      k,
				attempt:   1,
				agent:     m,
				size:      j.Steps[0].Size,
				phase:     running,
				startedAt: time.Now(),
			}
			j.runs[k] = r
			m.runs[k] = r
		}
	}
}

// BenchmarkPass measures one scheduling pass on full workers with waiting tasks.
func BenchmarkPass(b *testing.B) {
	for _, n := range []int{100, 300, 1200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := newBenchTerm(n)
			now := time.Now()
			// The first pass stops what urgent jobs preempt.
			t.schedulingPass(now)
			for b.Loop() {
				t.schedulingPass(now)
			}
		})
	}
}
