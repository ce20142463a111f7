package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"hemlockhinge/conf"
	"hemlockhinge/jobs"
	"hemlockhinge/pack"
)

const (
	submitHelp = `Submits a job and prints its id. A job names its customer and class, or, where
the configuration has queues, its queue; one of several steps is read from a file
(JSON with comments, - for standard input). With --key, submitting again after a
lost answer finds the first submission. Exit status 3 when it is unknown whether
the job was accepted; the id to ask for is printed.`
	jobHelp = `Prints a job. With --wait, waits until it has ended. Exit status 0 when it is
done, or, without --wait, when it has not ended; 1 when it failed, was refused,
cancelled or interrupted.`
	cancelHelp = `Cancels a job, wherever it stands.`
	pollEvery  = 500 * time.Millisecond
)

type submitRun struct {
	target
	File         string   `long:"file" description:"the whole job, in place of the flags that describe one"`
	Queue        string   `long:"queue" description:"queue, in place of customer and class"`
	Spec         string   `long:"spec" description:"what the tasks of a queue's job run"`
	Customer     string   `long:"customer" description:"customer"`
	Class        string   `long:"class" description:"job class"`
	Tasks        int      `long:"tasks" default:"1" description:"number of tasks"`
	Accelerators int      `long:"accelerators" description:"accelerators for each task"`
	Cores        int      `long:"cores" description:"cores for each task"`
	Memory       int      `long:"memory-gib" description:"memory for each task, in GiB"`
	Adjacency    string   `long:"adjacency" choice:"failure_domain" choice:"rack" choice:"worker" default:"failure_domain" description:"how near the tasks must be"`
	RunTime      string   `long:"run-time" default:"1h" description:"declared run time"`
	Once         bool     `long:"not-idempotent" description:"never start the job twice"`
	Key          string   `long:"key" description:"idempotency key"`
	Domains      []string `long:"failure-domain" description:"where it may run; may be repeated"`
	Wait         bool     `long:"wait" description:"wait until the job has ended"`
	Args         struct {
		Command []string `positional-arg-name:"COMMAND"`
	} `positional-args:"yes"`
}

func submitCommand() command {
	return command{
		name:  "submit",
		short: "Submit a job",
		long:  submitHelp,
		run:   &submitRun{},
	}
}

// Execute implements flags.Commander.
func (r *submitRun) Execute([]string) error {
	b, err := r.request()
	if err != nil {
		return exit(exitUsage, err)
	}
	h := http.Header{"Content-Type": {"application/json"}}
	set(h, "Idempotency-Key", r.Key)
	p, err := r.do(http.MethodPost, "/v1/jobs", b, h)
	if err != nil {
		return err
	}
	j, err := readJob(p.body)
	if err != nil {
		return err
	}
	fmt.Println(j.ID)
	if r.Wait {
		return r.wait(j.ID)
	}
	return nil
}

// request returns the body that the file or the flags describe.
func (r *submitRun) request() ([]byte, error) {
	if r.File != "" {
		return readInput(r.File)
	}
	if r.Queue == "" && (r.Customer == "" || r.Class == "") {
		return nil, errors.New("a job needs --customer and --class, or --queue, or --file")
	}
	t, err := time.ParseDuration(r.RunTime)
	if err != nil {
		return nil, err
	}
	q := jobs.Request{
		Queue:          r.Queue,
		Spec:           r.Spec,
		Customer:       r.Customer,
		JobClass:       r.Class,
		Tasks:          r.Tasks,
		Accelerators:   r.Accelerators,
		Cores:          r.Cores,
		MemoryGiB:      r.Memory,
		Adjacency:      pack.Adjacency(r.Adjacency),
		RunTime:        conf.Duration(t),
		Command:        r.Args.Command,
		FailureDomains: r.Domains,
	}
	if i := !r.Once; r.Queue == "" {
		q.Idempotent = &i
	}
	return json.Marshal(q)
}

func readJob(b []byte) (jobs.Job, error) {
	var j jobs.Job
	if err := json.Unmarshal(b, &j); err != nil {
		return j, exit(exitUnknown, fmt.Errorf("unreadable job: %w", err))
	}
	return j, nil
}

type jobRun struct {
	target
	Wait bool `long:"wait" description:"wait until the job has ended"`
	Args struct {
		ID string `positional-arg-name:"JOB"`
	} `positional-args:"yes" required:"yes"`
}

func jobCommand() command {
	return command{
		name:  "job",
		short: "Print a job",
		long:  jobHelp,
		run:   &jobRun{},
	}
}

// Execute implements flags.Commander.
func (r *jobRun) Execute([]string) error {
	if r.Wait {
		return r.wait(r.Args.ID)
	}
	b, j, err := r.job(r.Args.ID)
	if err != nil {
		return err
	}
	show(b)
	return verdict(j)
}

func (t *target) job(id string) ([]byte, jobs.Job, error) {
	p, err := t.do(http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil, nil)
	if err != nil {
		return nil, jobs.Job{}, err
	}
	j, err := readJob(p.body)
	return p.body, j, err
}

// wait polls until the job has ended, and prints it. An entry that is not
// reached, or does not know, is asked again.
func (t *target) wait(id string) error {
	for {
		b, j, err := t.job(id)
		switch {
		case err != nil && !transient(err):
			return err
		case err == nil && j.State.Final():
			show(b)
			return verdict(j)
		}
		time.Sleep(pollEvery)
	}
}

// transient reports whether asking again may help.
func transient(err error) bool {
	x, ok := err.(*exitError) //nolint:errorlint // made by this package
	return ok && x.status == exitUnknown
}

func verdict(j jobs.Job) error {
	if !j.State.Final() || j.State == jobs.Done {
		return nil
	}
	return exit(exitFailed, fmt.Errorf("job %s is %s: %s", j.ID, j.State, strings.TrimSpace(j.Reason)))
}

type cancelRun struct {
	target
	Args struct {
		ID string `positional-arg-name:"JOB"`
	} `positional-args:"yes" required:"yes"`
}

func cancelCommand() command {
	return command{
		name:  "cancel",
		short: "Cancel a job",
		long:  cancelHelp,
		run:   &cancelRun{},
	}
}

// Execute implements flags.Commander.
func (r *cancelRun) Execute([]string) error {
	p, err := r.do(http.MethodDelete, "/v1/jobs/"+url.PathEscape(r.Args.ID), nil, nil)
	if err != nil {
		return err
	}
	show(p.body)
	return nil
}
