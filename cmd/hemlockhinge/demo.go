package main

import (
	"fmt"
	"net/http"
	"time"

	"hemlockhinge/platform/stand"
)

const demoHelp = `Shows the life cycle of jobs in one process, on an in-memory stand-in of the
users' platform: two entries and six agents with workers. It submits jobs,
kills the scheduler while they run, and prints their states until they end.
Exit status 1 when a run violated a rule of the platform.`

type demoOptions struct {
	LogLevel string `long:"log-level" default:"warn" description:"debug, info, warn or error"`
}

func demoCommand() command {
	return command{
		name:    "demo",
		short:   "Show the life cycle of jobs on a stand-in of the users' platform",
		long:    demoHelp,
		options: &demoOptions{},
	}
}

// Parameters of the demo.
const (
	demoStartupWait  = 6 * time.Second
	demoPollInterval = 500 * time.Millisecond
	demoMaxPolls     = 40
	demoKillAtPoll   = 2
	demoJobCount     = 4
)

var (
	demoEntries        = []string{"10.0.0.1", "10.0.0.2"}
	demoWorkers        = []string{"10.1.0.1", "10.1.0.2", "10.2.0.1", "10.2.0.2", "10.3.0.1", "10.3.0.2"}
	demoWorkerCapacity = stand.Size{
		CPU:   64000,
		MemMb: 262144,
		Gpu:   8,
	}
)

// Execute implements flags.Commander.
func (r *demoOptions) Execute([]string) error {
	s := stand.NewSite(newLog(r.LogLevel))
	defer s.Close()
	demoStartSite(s)
	fmt.Println("two entries and six agents start; their workers report within", demoStartupWait)
	time.Sleep(demoStartupWait)
	c := s.NewClient("caller", stand.APIKey)
	for i := range demoJobCount {
		id := demoJobID(i)
		status := c.Submit(demoEntries[i%2], stand.QueuePrefix, id, demoJob(i))
		fmt.Printf("job %s: gang of %d submitted, status %d\n", id, i+1, status)
	}
	demoWatchJobs(s, c)
	if b := s.Fleet.Violations(); len(b) > 0 {
		return fmt.Errorf("rules of the platform were violated: %q", b)
	}
	return nil
}

func demoStartSite(s *stand.Site) {
	for i, ip := range demoEntries {
		s.AddEntry(ip, fmt.Sprintf("zone-%d", i+1))
	}
	for i, ip := range demoWorkers {
		s.AddWorker(ip, fmt.Sprintf("zone-%d", i/2+1), fmt.Sprintf("rack-%d", i/2+1), demoWorkerCapacity)
	}
}

func demoJobID(i int) string { return fmt.Sprintf("%016x", i+1) }

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

// demoWatchJobs prints each change of a job's state until all jobs have ended, and
// kills the scheduler at poll demoKillAtPoll.
func demoWatchJobs(s *stand.Site, c *stand.Client) {
	shown := map[string]string{}
	for poll := range demoMaxPolls {
		time.Sleep(demoPollInterval)
		if poll == demoKillAtPoll {
			demoKillScheduler(s)
		}
		ended := 0
		for i := range demoJobCount {
			id := demoJobID(i)
			status, state := c.State(demoEntries[i%2], stand.QueuePrefix, id)
			if status == http.StatusOK && state != shown[id] {
				fmt.Printf("job %s: %s\n", id, state)
				shown[id] = state
			}
			if shown[id] == "completed" {
				ended++
			}
		}
		if ended == demoJobCount {
			fmt.Printf("all jobs have ended after %d starts of tasks\n", s.Fleet.StartCount())
			return
		}
	}
}

func demoKillScheduler(s *stand.Site) {
	for _, ip := range demoEntries {
		if s.IsLeader(ip) {
			fmt.Println("entry", ip, "holds the scheduler role; killing and restarting it")
			s.Kill(ip, false)
			s.Start(ip)
			return
		}
	}
}
