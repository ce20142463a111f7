package main

import (
	"errors"
	"net/http"
	"net/url"
	"strings"

	"github.com/pmezard/go-difflib/difflib"
)

const (
	getHelp = `Prints the current configuration objects, and their version on standard error,
for use with "apply --on". With --change, prints instead whether that change
took effect, for use after an apply with an unknown outcome. Only the latest
six changes are known.`
	applyHelp = `Replaces all configuration objects by those of a file. Nothing is changed when
the file has a fault, or when the objects have changed since the version given
by --on.`
	diffHelp = `Prints how a file of configuration objects differs from the current ones.
Exit status 1 when it does.`
)

type fileArg struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"objects, JSON with comments; - for standard input"`
	} `positional-args:"yes" required:"yes"`
}

func (f *fileArg) read() ([]byte, error) {
	b, err := readInput(f.Args.File)
	if err != nil {
		return nil, withExitStatus(exitUsage, err)
	}
	return b, nil
}

type getOptions struct {
	entryClient
	ChangeID string `long:"change" description:"tell whether the change with this id took effect, instead"`
}

func getCommand() command {
	return command{
		name:    "get",
		short:   "Print the current configuration objects",
		long:    getHelp,
		options: &getOptions{},
	}
}

// Execute implements flags.Commander.
func (r *getOptions) Execute([]string) error {
	if r.ChangeID != "" {
		return r.printResource("/v1/config?change=" + url.QueryEscape(r.ChangeID))
	}
	b, v, err := r.getConfig()
	if err != nil {
		return err
	}
	printVersion(v)
	printBody(b)
	return nil
}

// getConfig returns the current configuration objects and their version.
func (t *entryClient) getConfig() ([]byte, string, error) {
	p, err := t.do(http.MethodGet, "/v1/config", nil, nil)
	return p.body, strings.Trim(p.header.Get("ETag"), `"`), err
}

type applyOptions struct {
	entryClient
	fileArg
	BaseVersion string `long:"on" description:"version that the change was made on; default: the one in force now"`
}

func applyCommand() command {
	return command{
		name:    "apply",
		short:   "Publish a file of configuration objects",
		long:    applyHelp,
		options: &applyOptions{},
	}
}

// Execute implements flags.Commander.
func (r *applyOptions) Execute([]string) error {
	b, err := r.read()
	if err != nil {
		return err
	}
	if r.BaseVersion == "" {
		if _, r.BaseVersion, err = r.getConfig(); err != nil {
			return err
		}
	}
	p, err := r.do(http.MethodPut, "/v1/config", b, http.Header{"If-Match": {`"` + r.BaseVersion + `"`}})
	if err != nil {
		return err
	}
	printBody(p.body)
	return nil
}

type diffOptions struct {
	entryClient
	fileArg
}

func diffCommand() command {
	return command{
		name:    "diff",
		short:   "Compare a file of configuration objects with the current ones",
		long:    diffHelp,
		options: &diffOptions{},
	}
}

// Execute implements flags.Commander.
func (r *diffOptions) Execute([]string) error {
	b, err := r.read()
	if err != nil {
		return err
	}
	o, v, err := r.getConfig()
	if err != nil {
		return err
	}
	s, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        difflib.SplitLines(string(o)),
		B:        difflib.SplitLines(string(b)),
		FromFile: "version " + v,
		ToFile:   r.Args.File,
		Context:  3,
	})
	if err != nil {
		return err
	}
	if s == "" {
		return nil
	}
	printBody([]byte(s))
	return withExitStatus(exitFailed, errors.New("configuration objects differ"))
}
