package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"hemlockhinge/conf"
	"hemlockhinge/jobs"
	"hemlockhinge/pack"
	"hemlockhinge/store"
)

const (
	kilobyte = 1 << 10
	percent  = 100
)

// measureAgents measures the load of an entry that schedules one idle failure
// domain, as a function of the number of agents.
func measureAgents(sizes []int, d time.Duration) error {
	t := newTable("An entry that schedules one idle failure domain, by agents", "agents",
		"entry in B/s", "entry out B/s", "agent in B/s", "agent out B/s", "entry % of a core", "agent % of a core", "entry heap KB", "agent heap KB", "store calls/s")
	for _, n := range sizes {
		y, err := agentsRow(n, d)
		if err != nil {
			return err
		}
		t.add(float64(n), y...)
	}
	t.print()
	return nil
}

// agentsRow returns the row of measureAgents for n agents. The heap of the agents is
// measured without an entry; that of the entry is the difference to a site with one.
func agentsRow(n int, d time.Duration) ([]float64, error) {
	base := heapInUse()
	a, err := newSite(n, false)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	agents := heapInUse() - base
	a.stop()
	base = heapInUse()
	s, err := newSite(n, true)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	time.Sleep(3 * time.Second)
	all := heapInUse() - base
	in, out, calls := s.entryNet.received.Load(), s.entryNet.sent.Load(), s.storeCallCount()
	m, err := cpuByRole(d)
	if err != nil {
		return nil, err
	}
	sec := d.Seconds()
	ei, eo := float64(s.entryNet.received.Load()-in)/sec, float64(s.entryNet.sent.Load()-out)/sec
	k := float64(n)
	return []float64{
		ei, eo, eo / k, ei / k,
		m["entry"] * percent, m["agent"] * percent / k,
		(all - agents) / kilobyte, agents / k / kilobyte,
		float64(s.storeCallCount()-calls) / sec,
	}, nil
}

// storeCallCount returns the number of calls that the store has received.
func (s *site) storeCallCount() int {
	n := 0
	for _, v := range s.store.CallCounts() {
		n += v
	}
	return n
}

// measureGangs measures the load of a running gang, as a function of the number of
// its members. Each agent has one task of it.
func measureGangs(sizes []int, d time.Duration) error {
	t := newTable("A running gang, by members", "members",
		"lead in B/s", "lead out B/s", "member in B/s", "member out B/s", "start ms", "agents % of a core")
	for _, n := range sizes {
		y, err := gangRow(n, d)
		if err != nil {
			return err
		}
		t.add(float64(n), y...)
	}
	t.print()
	return nil
}

func gangRow(n int, d time.Duration) ([]float64, error) {
	s, err := newSite(n, true)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	time.Sleep(2 * time.Second)
	b := time.Now()
	j, err := s.submit(n, "run=10m")
	if err != nil {
		return nil, err
	}
	if err := waitFor(func() bool { return s.jobState(j.ID) == jobs.Running }); err != nil {
		return nil, fmt.Errorf("gang of %d: %w", n, err)
	}
	start := time.Since(b)
	before := s.agentTraffic()
	m, err := cpuByRole(d)
	if err != nil {
		return nil, err
	}
	after := s.agentTraffic()
	lead, member := s.leadAndMember(before, after)
	sec := d.Seconds()
	return []float64{
		lead[0] / sec, lead[1] / sec, member[0] / sec, member[1] / sec,
		float64(start.Milliseconds()), m["agent"] * percent,
	}, nil
}

func (s *site) submit(tasks int, command string) (jobs.Job, error) {
	var j jobs.Job
	b, err := json.Marshal(jobs.Request{
		Customer:     "c",
		JobClass:     "batch",
		Tasks:        tasks,
		Accelerators: 2,
		Command:      []string{command},
	})
	if err != nil {
		return j, err
	}
	return j, s.do(http.MethodPost, "/v1/jobs", "", b, &j)
}

func (s *site) jobState(id string) jobs.State {
	var j jobs.Job
	if err := s.do(http.MethodGet, "/v1/jobs/"+id, "", nil, &j); err != nil {
		return ""
	}
	return j.State
}

// agentTraffic returns the bytes that each agent has received and sent.
func (s *site) agentTraffic() [][2]int64 {
	l := make([][2]int64, 0, len(s.agentNets))
	for _, m := range s.agentNets {
		l = append(l, [2]int64{m.received.Load(), m.sent.Load()})
	}
	return l
}

// leadAndMember returns the traffic, from a to b, of the gang's lead and the mean of
// the other agents. The lead is taken to be the agent that sent most.
func (s *site) leadAndMember(a, b [][2]int64) (lead, member [2]float64) {
	k := 0
	for i := range a {
		if b[i][1]-a[i][1] > b[k][1]-a[k][1] {
			k = i
		}
	}
	for i := range a {
		in, out := float64(b[i][0]-a[i][0]), float64(b[i][1]-a[i][1])
		if i == k {
			lead = [2]float64{in, out}
			continue
		}
		n := float64(max(len(a)-1, 1))
		member[0] += in / n
		member[1] += out / n
	}
	return lead, member
}

// configAgentCount is the number of agents in measureObjects and measureJobs.
const configAgentCount = 32

// measureObjects measures the cost of a configuration change, as a function of the
// number of objects.
func measureObjects(sizes []int) error {
	t := newTable("A change of configuration to 32 agents, by objects", "objects",
		"answer ms", "in force everywhere ms", "entry out B for each agent", "store value KB")
	for _, n := range sizes {
		y, err := objectsRow(n)
		if err != nil {
			return err
		}
		t.add(float64(n), y...)
	}
	t.print()
	return nil
}

func objectsRow(n int) ([]float64, error) {
	s, err := newSite(configAgentCount, true)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	s.extraCustomers = n
	if err := s.publish(1); err != nil {
		return nil, err
	}
	if err := waitFor(func() bool { return s.agentsHaveVersion(2) }); err != nil {
		return nil, err
	}
	s.extraCustomers++
	out := s.entryNet.sent.Load()
	b := time.Now()
	if err := s.publish(2); err != nil {
		return nil, err
	}
	answer := time.Since(b)
	if err := waitFor(func() bool { return s.agentsHaveVersion(3) }); err != nil {
		return nil, err
	}
	all := time.Since(b)
	i, err := s.store.Get(context.Background(), "config/objects")
	if err != nil {
		return nil, err
	}
	return []float64{
		float64(answer.Microseconds()) / 1000,
		float64(all.Microseconds()) / 1000,
		float64(s.entryNet.sent.Load()-out) / configAgentCount,
		float64(len(i.Value)) / kilobyte,
	}, nil
}

// measureRecords measures the start of an entry, as a function of the number of job
// records in the store. Half of the jobs have ended.
func measureRecords(sizes []int) error {
	t := newTable("An entry's start, by job records", "records",
		"until it schedules ms", "heap KB", "store list calls", "bytes of a record")
	for _, n := range sizes {
		y, err := recordsRow(n)
		if err != nil {
			return err
		}
		t.add(float64(n), y...)
	}
	t.print()
	return nil
}

// leaseExpiryWait is longer than the store lease of an entry. After it the lease of an
// entry that was killed has expired.
const leaseExpiryWait = 6 * time.Second

func recordsRow(n int) ([]float64, error) {
	s, err := newSite(0, true)
	if err != nil {
		return nil, err
	}
	t := store.NewTable[jobs.Job](s.store, "slopes", "job/")
	size := 0
	for i := range n {
		j := jobRecord(i)
		if _, err := t.Swap(context.Background(), store.NewRecord(j.ID, j), 0); err != nil {
			return nil, err
		}
		if i == 0 {
			v, err := s.store.Get(context.Background(), "job/"+j.ID)
			if err != nil {
				return nil, err
			}
			size = len(v.Value)
		}
	}
	s.stop()
	s.entry = nil
	time.Sleep(leaseExpiryWait)
	base := heapInUse()
	c, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	lists := s.store.CallCounts()["list"]
	b := time.Now()
	s.startEntry(c)
	err = waitFor(func() bool {
		l := s.entry.Status().FailureDomains
		return len(l) > 0 && l[0].View != nil && l[0].View.Queued == n/2
	})
	if err != nil {
		return nil, err
	}
	d := time.Since(b)
	h := heapInUse() - base
	y := []float64{
		float64(d.Milliseconds()),
		h / kilobyte,
		float64(s.store.CallCounts()["list"] - lists),
		float64(size),
	}
	s.stop()
	return y, nil
}

func jobRecord(i int) jobs.Job {
	j := jobs.Job{
		ID:          jobs.Digest(fmt.Sprint(i)),
		Customer:    "c",
		Class:       "batch",
		RunTime:     conf.Duration(time.Hour),
		Idempotent:  true,
		Command:     []string{"run=1h", "--with", "a", "few", "arguments"},
		Fingerprint: jobs.Digest("f", fmt.Sprint(i)),
		Domain:      "d0",
		State:       jobs.Accepted,
		Created:     time.Now(),
		Shape: pack.Shape{
			Tasks: 1,
			Size: pack.Size{
				Accelerators: 2,
			},
		},
	}
	if i%2 == 1 {
		j.State = jobs.Done
		j.Ended = time.Now()
	}
	return j
}

// jobCount is the number of jobs that measureJobs runs.
const jobCount = 60

// measureJobs measures the store calls per job, net of the rate of an idle system.
func measureJobs() error {
	s, err := newSite(configAgentCount, true)
	if err != nil {
		return err
	}
	defer s.stop()
	time.Sleep(3 * time.Second)
	before := s.store.CallCounts()
	idle := time.Now()
	time.Sleep(5 * time.Second)
	rest := s.store.CallCounts()
	sec := time.Since(idle).Seconds()
	b := time.Now()
	var l []string
	for range jobCount {
		j, err := s.submit(2, "run=1s")
		if err != nil {
			return err
		}
		l = append(l, j.ID)
	}
	err = waitFor(func() bool {
		for _, id := range l {
			if s.jobState(id) != jobs.Done {
				return false
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	all := s.store.CallCounts()
	took := time.Since(b).Seconds()
	fmt.Printf("\n### The store's calls\n\n| call | idle, a second for each entry | for each job |\n|---|---|---|\n")
	for _, op := range []string{"put", "delete", "keep", "list", "watch"} {
		i := float64(rest[op]-before[op]) / sec
		fmt.Printf("| %s | %.2f | %.2f |\n", op, i, (float64(all[op]-rest[op])-i*took)/jobCount)
	}
	return nil
}
