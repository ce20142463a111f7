package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"hemlockhinge/conf"
	"hemlockhinge/lint"
	"hemlockhinge/platform"
)

const checkHelp = `Checks a file of configuration objects offline. Prints every fault with its
object and field. Exit status 2 when there is one.

With --platform, FILE is a configuration of the users' platform. Prints errors,
warnings, and with --against what differs from another version, such as the one
in force, and what that does. Exit status 2 when there are errors, 1 when there
are warnings and --strict is given. Nothing shows an API key.`

type checkOptions struct {
	fileArg
	Platform bool           `long:"platform" description:"FILE is a configuration of the users' platform"`
	Against  string         `long:"against" value-name:"FILE" description:"the version to compare with"`
	JSON     bool           `long:"json" description:"print the report as JSON"`
	Strict   bool           `long:"strict" description:"fail on warnings"`
	Capacity map[string]int `long:"capacity" value-name:"DOMAIN:N" description:"accelerators of a failure domain, to check guarantees against; once for each"`
	StopTime time.Duration  `long:"stop-time" value-name:"DURATION" description:"the longest time that stopping a task takes, to check objectives against"`
}

func checkCommand() command {
	return command{
		name:    "check",
		short:   "Check a file of configuration objects",
		long:    checkHelp,
		options: &checkOptions{},
	}
}

// Execute implements flags.Commander.
func (r *checkOptions) Execute([]string) error {
	if r.Platform {
		return r.checkPlatform(os.Stdout)
	}
	if r.Against != "" || r.JSON || r.Strict || len(r.Capacity) > 0 || r.StopTime != 0 {
		return withExitStatus(exitUsage, errors.New("--against, --json, --strict, --capacity and --stop-time need --platform"))
	}
	b, err := r.read()
	if err != nil {
		return err
	}
	_, err = conf.ParseObjects(b)
	var f *conf.Faults
	if errors.As(err, &f) {
		return withExitStatus(exitUsage, fmt.Errorf("%d faults in %s\n%w", len(f.List()), r.Args.File, f))
	}
	return err
}

// checkPlatform checks a configuration of the users' platform and writes the report to w.
func (r *checkOptions) checkPlatform(w io.Writer) error {
	if r.Args.File == "-" && r.Against == "-" {
		return withExitStatus(exitUsage, errors.New("only one file can be the standard input"))
	}
	for d, n := range r.Capacity {
		if n < 0 {
			return withExitStatus(exitUsage, fmt.Errorf("--capacity of %q must not be negative, is %d", d, n))
		}
	}
	d, err := readPlatformConfig(r.Args.File)
	if err != nil {
		return err
	}
	v := lint.Report{
		Findings: lint.Check(d, lint.Site{
			Accelerators: r.Capacity,
			MaxStopTime:  r.StopTime,
		}),
	}
	if r.Against != "" {
		old, err := readPlatformConfig(r.Against)
		if err != nil {
			return err
		}
		v.Changes = lint.Compare(old, d)
	}
	if err := r.write(w, &v); err != nil {
		return err
	}
	switch n, m := v.Count(lint.Error), v.Count(lint.Warning); {
	case n > 0:
		return withExitStatus(exitUsage, fmt.Errorf("%d errors in %s", n, r.Args.File))
	case m > 0 && r.Strict:
		return withExitStatus(exitFailed, fmt.Errorf("%d warnings in %s", m, r.Args.File))
	}
	return nil
}

func (r *checkOptions) write(w io.Writer, v *lint.Report) error {
	if !r.JSON {
		return v.WriteTable(w)
	}
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// readPlatformConfig reads a configuration of the users' platform. A file that cannot be decoded
// counts as one with errors.
func readPlatformConfig(path string) (*lint.Document, error) {
	b, err := readInput(path)
	if err != nil {
		return nil, withExitStatus(exitUsage, err)
	}
	d, err := platform.DecodeForCheck(b)
	if err != nil {
		return nil, withExitStatus(exitUsage, fmt.Errorf("%s: %w", path, err))
	}
	return d, nil
}
