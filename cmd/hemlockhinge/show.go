package main

import (
	"fmt"
	"net/http"
	"os"
)

const (
	statusHelp = `Prints the status of the system as one entry knows it: failure domains,
schedulers, agents and queues.`
	dumpHelp = `Prints the internal state of one process, for debugging. --entry gives the HTTP
address of the process, which may also be an agent.`
)

func printVersion(v string) { fmt.Fprintln(os.Stderr, "version", v) }

type statusOptions struct {
	entryClient
}

func statusCommand() command {
	return command{
		name:    "status",
		short:   "Print the status of the system",
		long:    statusHelp,
		options: &statusOptions{},
	}
}

// Execute implements flags.Commander.
func (r *statusOptions) Execute([]string) error { return r.printResource("/v1/status") }

type dumpOptions struct {
	entryClient
}

func dumpCommand() command {
	return command{
		name:    "dump",
		short:   "Print the internal state of one process",
		long:    dumpHelp,
		options: &dumpOptions{},
	}
}

// Execute implements flags.Commander.
func (r *dumpOptions) Execute([]string) error { return r.printResource("/v1/state") }

// printResource gets a path and prints the response.
func (t *entryClient) printResource(path string) error {
	p, err := t.do(http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	printBody(p.body)
	return nil
}
