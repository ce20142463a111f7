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

// measureAgents measures an entry that schedules one failure domain, with no
// work, against the number of its agents.
func measureAgents(sizes []int, d time.Duration) error {
	t := newTable("An entry that schedules one idle failure domain, by agents", "agents",
		"entry in B/s", "entry out B/s", "agent in B/s", "agent out B/s", "entry % of a core", "agent % of a core", "entry heap KB", "agent heap KB", "store calls/s")
	for _, n := range sizes {
		y, err := agentsOnce(n, d)
		if err != nil {
			return err
		}
		t.add(float64(n), y...)
	}
	t.print()
	return nil
}

func agentsOnce(n int, d time.Duration) ([]float64, error) {
	base := heap()
	a, err := newSite(n, false)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	agents := heap() - base
	a.stop()
	base = heap()
	s, err := newSite(n, true)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	time.Sleep(3 * time.Second)
	all := heap() - base
	in, out, calls := s.net.in.Load(), s.net.out.Load(), s.calls()
	m, err := cpu(d)
	if err != nil {
		return nil, err
	}
	sec := d.Seconds()
	ei, eo := float64(s.net.in.Load()-in)/sec, float64(s.net.out.Load()-out)/sec
	k := float64(n)
	return []float64{
		ei, eo, eo / k, ei / k,
		m["entry"] * percent, m["agent"] * percent / k,
		(all - agents) / kilobyte, agents / k / kilobyte,
		float64(s.calls()-calls) / sec,
	}, nil
}

// calls counts the calls that the store has had.
func (s *site) calls() int {
	n := 0
	for _, v := range s.store.CallCounts() {
		n += v
	}
	return n
}

// measureGangs measures a running gang against the number of its members, one
// task at each agent.
func measureGangs(sizes []int, d time.Duration) error {
	t := newTable("A running gang, by members", "members",
		"lead in B/s", "lead out B/s", "member in B/s", "member out B/s", "start ms", "agents % of a core")
	for _, n := range sizes {
		y, err := gangOnce(n, d)
		if err != nil {
			return err
		}
		t.add(float64(n), y...)
	}
	t.print()
	return nil
}

func gangOnce(n int, d time.Duration) ([]float64, error) {
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
	if err := until(func() bool { return s.stateOf(j.ID) == jobs.Running }); err != nil {
		return nil, fmt.Errorf("gang of %d: %w", n, err)
	}
	start := time.Since(b)
	before := s.bytes()
	m, err := cpu(d)
	if err != nil {
		return nil, err
	}
	after := s.bytes()
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

func (s *site) stateOf(id string) jobs.State {
	var j jobs.Job
	if err := s.do(http.MethodGet, "/v1/jobs/"+id, "", nil, &j); err != nil {
		return ""
	}
	return j.State
}

// bytes returns what each agent has received and sent.
func (s *site) bytes() [][2]int64 {
	l := make([][2]int64, 0, len(s.nets))
	for _, m := range s.nets {
		l = append(l, [2]int64{m.in.Load(), m.out.Load()})
	}
	return l
}

// leadAndMember returns the traffic of the agent with the most, which is the
// lead, and the mean of the others.
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

// configAgents is how many agents a change of configuration is sent to.
const configAgents = 32

// measureObjects measures a change of configuration against the number of
// objects.
func measureObjects(sizes []int) error {
	t := newTable("A change of configuration to 32 agents, by objects", "objects",
		"answer ms", "in force everywhere ms", "entry out B for each agent", "store value KB")
	for _, n := range sizes {
		y, err := objectsOnce(n)
		if err != nil {
			return err
		}
		t.add(float64(n), y...)
	}
	t.print()
	return nil
}

func objectsOnce(n int) ([]float64, error) {
	s, err := newSite(configAgents, true)
	if err != nil {
		return nil, err
	}
	defer s.stop()
	s.extra = n
	if err := s.publish(1); err != nil {
		return nil, err
	}
	if err := until(func() bool { return s.inForce(2) }); err != nil {
		return nil, err
	}
	s.extra++
	out := s.net.out.Load()
	b := time.Now()
	if err := s.publish(2); err != nil {
		return nil, err
	}
	answer := time.Since(b)
	if err := until(func() bool { return s.inForce(3) }); err != nil {
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
		float64(s.net.out.Load()-out) / configAgents,
		float64(len(i.Value)) / kilobyte,
	}, nil
}

// measureRecords measures an entry's start against the job records that the
// store holds, half of them of jobs that have ended.
func measureRecords(sizes []int) error {
	t := newTable("An entry's start, by job records", "records",
		"until it schedules ms", "heap KB", "store list calls", "bytes of a record")
	for _, n := range sizes {
		y, err := recordsOnce(n)
		if err != nil {
			return err
		}
		t.add(float64(n), y...)
	}
	t.print()
	return nil
}

// leaseGone is longer than the store lease of an entry that was killed.
const leaseGone = 6 * time.Second

func recordsOnce(n int) ([]float64, error) {
	s, err := newSite(0, true)
	if err != nil {
		return nil, err
	}
	t := store.NewTable[jobs.Job](s.store, "slopes", "job/")
	size := 0
	for i := range n {
		j := record(i)
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
	time.Sleep(leaseGone)
	base := heap()
	c, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	lists := s.store.CallCounts()["list"]
	b := time.Now()
	s.startEntry(c)
	err = until(func() bool {
		l := s.entry.Status().FailureDomains
		return len(l) > 0 && l[0].View != nil && l[0].View.Queued == n/2
	})
	if err != nil {
		return nil, err
	}
	d := time.Since(b)
	h := heap() - base
	y := []float64{
		float64(d.Milliseconds()),
		h / kilobyte,
		float64(s.store.CallCounts()["list"] - lists),
		float64(size),
	}
	s.stop()
	return y, nil
}

func record(i int) jobs.Job {
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

// jobCount is how many jobs measureJobs runs.
const jobCount = 60

// measureJobs measures what one job costs the store.
func measureJobs() error {
	s, err := newSite(configAgents, true)
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
	err = until(func() bool {
		for _, id := range l {
			if s.stateOf(id) != jobs.Done {
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
