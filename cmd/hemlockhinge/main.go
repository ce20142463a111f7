// Command hemlockhinge is the scheduler's daemons and tools.
//
// Each subcommand has a file of its own, with its long help beside it. Exit
// statuses: 0 success; 1 refused or failed; 2 bad usage, settings or objects;
// 3 the outcome is unknown.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit statuses.
const (
	exitFailed  = 1
	exitUsage   = 2
	exitUnknown = 3
)

// exitError ends the process with a status.
type exitError struct {
	status int
	err    error
}

func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func exit(status int, err error) error {
	return &exitError{
		status: status,
		err:    err,
	}
}

// command is one subcommand.
type command struct {
	name  string
	short string
	long  string
	run   flags.Commander
}

func main() {
	p := flags.NewNamedParser("hemlockhinge", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands() {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.run); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitUsage)
		}
	}
	_, err := p.Parse()
	os.Exit(status(err))
}

// status prints an error and returns the exit status that belongs to it.
func status(err error) int {
	if err == nil {
		return 0
	}
	var f *flags.Error
	if errors.As(err, &f) && f.Type == flags.ErrHelp {
		fmt.Println(err)
		return 0
	}
	fmt.Fprintln(os.Stderr, "hemlockhinge:", err)
	var x *exitError
	switch {
	case errors.As(err, &x):
		return x.status
	case errors.As(err, &f):
		return exitUsage
	}
	return exitFailed
}

func commands() []command {
	return []command{
		entryCommand(),
		agentCommand(),
		devCommand(),
		demoCommand(),
		checkCommand(),
		getCommand(),
		applyCommand(),
		diffCommand(),
		statusCommand(),
		dumpCommand(),
		callCommand(),
		submitCommand(),
		jobCommand(),
		cancelCommand(),
	}
}
