package main

import (
	"fmt"
	"net/http"
	"strings"
)

const callHelp = `Sends one request to a service and prints the response body. Exit status 1 when
the request was not executed or the response has a status of 400 or above, 3
when it is unknown whether the request was executed.`

type callOptions struct {
	entryClient
	Method         string `long:"method" short:"X" default:"GET" description:"HTTP method"`
	Body           string `long:"body" description:"file with the body; - for standard input"`
	Class          string `long:"class" description:"request class"`
	IdempotencyKey string `long:"key" description:"idempotency key"`
	Idempotent     string `long:"idempotent" choice:"true" choice:"false" description:"whether it may run twice; default: as the service or the method says"`
	Args           struct {
		Service string `positional-arg-name:"SERVICE"`
		Path    string `positional-arg-name:"PATH"`
	} `positional-args:"yes" required:"yes"`
}

func callCommand() command {
	return command{
		name:    "call",
		short:   "Send a request to a service",
		long:    callHelp,
		options: &callOptions{},
	}
}

// Execute implements flags.Commander.
func (r *callOptions) Execute([]string) error {
	var b []byte
	if r.Body != "" {
		v, err := readInput(r.Body)
		if err != nil {
			return withExitStatus(exitUsage, err)
		}
		b = v
	}
	h := http.Header{}
	setHeader(h, "Request-Class", r.Class)
	setHeader(h, "Idempotency-Key", r.IdempotencyKey)
	setHeader(h, "Idempotent", r.Idempotent)
	p, err := r.do(r.Method, "/s/"+r.Args.Service+"/"+strings.TrimPrefix(r.Args.Path, "/"), b, h)
	if err != nil {
		return err
	}
	printBody(p.body)
	if p.status >= http.StatusBadRequest {
		return withExitStatus(exitFailed, fmt.Errorf("service responded with status %d", p.status))
	}
	return nil
}

func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}
