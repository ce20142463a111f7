// Command hemlockhinge runs the daemons of the scheduler and the command-line tools
// that call them.
//
// The long help of each subcommand is next to its implementation. Exit statuses:
// 0 success; 1 refused or failed; 2 invalid usage, settings or configuration
// objects; 3 the outcome is unknown.
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

// exitError is an error with the exit status of the process.
type exitError struct {
	status int
	err    error
}

func (e *exitError) Error() string { return e.err.Error() }

// Unwrap implements the interface of errors.Is and errors.As.
func (e *exitError) Unwrap() error { return e.err }

func withExitStatus(status int, err error) error {
	return &exitError{
		status: status,
		err:    err,
	}
}

// command describes a subcommand. Its options have the flags of the command as fields
// and an Execute method that runs it.
type command struct {
	name    string
	short   string
	long    string
	options flags.Commander
}

func main() {
	p := flags.NewNamedParser("hemlockhinge", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands() {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.options); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitUsage)
		}
	}
	_, err := p.Parse()
	os.Exit(reportError(err))
}

// reportError prints an error and returns the exit status for it.
func reportError(err error) int {
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
