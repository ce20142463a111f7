package main

import (
	"fmt"
	"net/http"
	"time"

	"hemlockhinge/platform/stand"
)

const demoHelp = `Shows the path of jobs on the users' platform, in one process, on a stand-in in
memory: two entries and six agents with workers. It hands jobs in, kills the
scheduler while they run, and shows how they end. Exit status 1 when a rule was
broken.`

type demoRun struct {
	LogLevel string `long:"log-level" default:"warn" description:"debug, info, warn or error"`
}

func demoCommand() command {
	return command{
		name:  "demo",
		short: "Show the path of jobs on a stand-in of the users' platform",
		long:  demoHelp,
		run:   &demoRun{},
	}
}

// The site and the jobs of the demo.
const (
	demoWait  = 6 * time.Second
	demoTick  = 500 * time.Millisecond
	demoTicks = 40
	demoKill  = 2
	demoJobs  = 4
)

var (
	demoEntries = []string{"10.0.0.1", "10.0.0.2"}
	demoWorkers = []string{"10.1.0.1", "10.1.0.2", "10.2.0.1", "10.2.0.2", "10.3.0.1", "10.3.0.2"}
	demoSize    = stand.Size{
		CPU:   64000,
		MemMb: 262144,
		Gpu:   8,
	}
)

// Execute implements flags.Commander.
func (r *demoRun) Execute([]string) error {
	s := stand.NewSite(newLog(r.LogLevel))
	defer s.Close()
	demoStart(s)
	fmt.Println("two entries and six agents start; their workers report within", demoWait)
	time.Sleep(demoWait)
	c := s.NewClient("caller", stand.APIKey)
	for i := range demoJobs {
		id := demoID(i)
		status := c.Submit(demoEntries[i%2], stand.QueuePrefix, id, demoJob(i))
		fmt.Printf("job %s: gang of %d, handed in, status %d\n", id, i+1, status)
	}
	demoWatch(s, c)
	if b := s.Fleet.Violations(); len(b) > 0 {
		return fmt.Errorf("rules were broken: %q", b)
	}
	return nil
}

func demoStart(s *stand.Site) {
	for i, ip := range demoEntries {
		s.AddEntry(ip, fmt.Sprintf("zone-%d", i+1))
	}
	for i, ip := range demoWorkers {
		s.AddWorker(ip, fmt.Sprintf("zone-%d", i/2+1), fmt.Sprintf("rack-%d", i/2+1), demoSize)
	}
}

func demoID(i int) string { return fmt.Sprintf("%016x", i+1) }

func demoJob(i int) stand.Job {
	return stand.Job{
		Spec: "demo",
		Phases: []stand.Phase{{
			Count:      i + 1,
			CPU:        1000,
			MemMb:      1000,
			Gpu:        4,
			EstimateMs: 3000 + 1000*i,
			Gang:       true,
		}},
	}
}

// demoWatch prints how the jobs stand until all have ended, and kills the
// scheduler on the way.
func demoWatch(s *stand.Site, c *stand.Client) {
	shown := map[string]string{}
	for tick := range demoTicks {
		time.Sleep(demoTick)
		if tick == demoKill {
			demoKillScheduler(s)
		}
		ended := 0
		for i := range demoJobs {
			id := demoID(i)
			status, state := c.State(demoEntries[i%2], stand.QueuePrefix, id)
			if status == http.StatusOK && state != shown[id] {
				fmt.Printf("job %s: %s\n", id, state)
				shown[id] = state
			}
			if shown[id] == "completed" {
				ended++
			}
		}
		if ended == demoJobs {
			fmt.Printf("all have ended after %d starts\n", s.Fleet.StartCount())
			return
		}
	}
}

func demoKillScheduler(s *stand.Site) {
	for _, ip := range demoEntries {
		if s.IsLeader(ip) {
			fmt.Println("entry", ip, "holds the scheduler's role and is killed")
			s.Kill(ip, false)
			s.Start(ip)
			return
		}
	}
}
