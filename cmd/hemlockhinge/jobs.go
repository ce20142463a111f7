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
	submitHelp = `Submits a job and prints its id. A job names its customer and class or, if the
configuration has queues, its queue. A job of several steps is read from a file
(JSON with comments, - for standard input). With --key, submitting again after
a lost response returns the job of the first submission. Exit status 3 when it
is unknown whether the job was accepted; the error message then has the job's
id, if the entry reported it.`
	jobHelp = `Prints a job. With --wait, waits until the job has ended. Exit status 0 when it
is done or, without --wait, when it has not ended yet; 1 when it failed or was
refused, cancelled or interrupted.`
	cancelHelp   = `Cancels a job, whether it is queued or running.`
	pollInterval = 500 * time.Millisecond
)

type submitOptions struct {
	entryClient
	File           string   `long:"file" description:"the whole job, in place of the flags that describe one"`
	Queue          string   `long:"queue" description:"queue, in place of customer and class"`
	Spec           string   `long:"spec" description:"what the tasks of a queue's job run"`
	Customer       string   `long:"customer" description:"customer"`
	Class          string   `long:"class" description:"job class"`
	Tasks          int      `long:"tasks" default:"1" description:"number of tasks"`
	Accelerators   int      `long:"accelerators" description:"accelerators for each task"`
	Cores          int      `long:"cores" description:"cores for each task"`
	MemoryGiB      int      `long:"memory-gib" description:"memory for each task, in GiB"`
	Adjacency      string   `long:"adjacency" choice:"failure_domain" choice:"rack" choice:"worker" default:"failure_domain" description:"how near the tasks must be"`
	RunTime        string   `long:"run-time" default:"1h" description:"declared run time"`
	NotIdempotent  bool     `long:"not-idempotent" description:"never start the job twice"`
	IdempotencyKey string   `long:"key" description:"idempotency key"`
	FailureDomains []string `long:"failure-domain" description:"where it may run; may be repeated"`
	Wait           bool     `long:"wait" description:"wait until the job has ended"`
	Args           struct {
		Command []string `positional-arg-name:"COMMAND"`
	} `positional-args:"yes"`
}

func submitCommand() command {
	return command{
		name:    "submit",
		short:   "Submit a job",
		long:    submitHelp,
		options: &submitOptions{},
	}
}

// Execute implements flags.Commander.
func (r *submitOptions) Execute([]string) error {
	b, err := r.requestBody()
	if err != nil {
		return withExitStatus(exitUsage, err)
	}
	h := http.Header{"Content-Type": {"application/json"}}
	setHeader(h, "Idempotency-Key", r.IdempotencyKey)
	p, err := r.do(http.MethodPost, "/v1/jobs", b, h)
	if err != nil {
		return err
	}
	j, err := parseJob(p.body)
	if err != nil {
		return err
	}
	fmt.Println(j.ID)
	if r.Wait {
		return r.waitForJob(j.ID)
	}
	return nil
}

// requestBody returns the request body: the contents of --file, or a job made from
// the other flags.
func (r *submitOptions) requestBody() ([]byte, error) {
	if r.File != "" {
		return readInput(r.File)
	}
	if r.Queue == "" && (r.Customer == "" || r.Class == "") {
		return nil, errors.New("specify --customer and --class, or --queue, or --file")
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
		MemoryGiB:      r.MemoryGiB,
		Adjacency:      pack.Adjacency(r.Adjacency),
		RunTime:        conf.Duration(t),
		Command:        r.Args.Command,
		FailureDomains: r.FailureDomains,
	}
	if i := !r.NotIdempotent; r.Queue == "" {
		q.Idempotent = &i
	}
	return json.Marshal(q)
}

func parseJob(b []byte) (jobs.Job, error) {
	var j jobs.Job
	if err := json.Unmarshal(b, &j); err != nil {
		return j, withExitStatus(exitUnknown, fmt.Errorf("malformed job in response: %w", err))
	}
	return j, nil
}

type jobOptions struct {
	entryClient
	Wait bool `long:"wait" description:"wait until the job has ended"`
	Args struct {
		ID string `positional-arg-name:"JOB"`
	} `positional-args:"yes" required:"yes"`
}

func jobCommand() command {
	return command{
		name:    "job",
		short:   "Print a job",
		long:    jobHelp,
		options: &jobOptions{},
	}
}

// Execute implements flags.Commander.
func (r *jobOptions) Execute([]string) error {
	if r.Wait {
		return r.waitForJob(r.Args.ID)
	}
	b, j, err := r.getJob(r.Args.ID)
	if err != nil {
		return err
	}
	printBody(b)
	return jobError(j)
}

func (t *entryClient) getJob(id string) ([]byte, jobs.Job, error) {
	p, err := t.do(http.MethodGet, "/v1/jobs/"+url.PathEscape(id), nil, nil)
	if err != nil {
		return nil, jobs.Job{}, err
	}
	j, err := parseJob(p.body)
	return p.body, j, err
}

// waitForJob polls until the job has ended, and prints it. It polls again after a
// call with an unknown outcome, for example when the entry was not reached.
func (t *entryClient) waitForJob(id string) error {
	for {
		b, j, err := t.getJob(id)
		switch {
		case err != nil && !transient(err):
			return err
		case err == nil && j.State.Final():
			printBody(b)
			return jobError(j)
		}
		time.Sleep(pollInterval)
	}
}

// transient reports whether a call may succeed if it is repeated.
func transient(err error) bool {
	x, ok := err.(*exitError) //nolint:errorlint // errors of getJob are never wrapped
	return ok && x.status == exitUnknown
}

// jobError returns an error with exit status 1 if the job ended without being done.
func jobError(j jobs.Job) error {
	if !j.State.Final() || j.State == jobs.Done {
		return nil
	}
	return withExitStatus(exitFailed, fmt.Errorf("job %s is %s: %s", j.ID, j.State, strings.TrimSpace(j.Reason)))
}

type cancelOptions struct {
	entryClient
	Args struct {
		ID string `positional-arg-name:"JOB"`
	} `positional-args:"yes" required:"yes"`
}

func cancelCommand() command {
	return command{
		name:    "cancel",
		short:   "Cancel a job",
		long:    cancelHelp,
		options: &cancelOptions{},
	}
}

// Execute implements flags.Commander.
func (r *cancelOptions) Execute([]string) error {
	p, err := r.do(http.MethodDelete, "/v1/jobs/"+url.PathEscape(r.Args.ID), nil, nil)
	if err != nil {
		return err
	}
	printBody(p.body)
	return nil
}
