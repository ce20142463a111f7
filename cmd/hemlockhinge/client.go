package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
)

// clientTimeout bounds one call to an entry, from connecting to reading the whole
// response.
const clientTimeout = 2 * time.Minute

// entryClient calls the HTTP interface of an entry. Commands embed it for the flags
// that name the entry and the API key.
type entryClient struct {
	Entry  string `long:"entry" env:"HEMLOCKHINGE_ENTRY" default:"127.0.0.1:8080" description:"HTTP address of an entry"`
	APIKey string `long:"api-key" env:"HEMLOCKHINGE_API_KEY" description:"the customer's key, where queues need one"`
}

// problem holds the fields of an RFC 9457 problem document that the commands use.
type problem struct {
	Status   int    `json:"status"`
	Title    string `json:"title"`
	Detail   string `json:"detail"`
	Outcome  string `json:"outcome"`
	JobID    string `json:"job_id"`
	ChangeID string `json:"change_id"`
}

// response is an HTTP response with its whole body.
type response struct {
	status int
	header http.Header
	body   []byte
}

// do sends a request and reads the whole response. A problem document is returned
// as an error with the exit status that corresponds to its outcome.
func (t *entryClient) do(method, path string, body []byte, header http.Header) (response, error) {
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+t.Entry+path, bytes.NewReader(body))
	if err != nil {
		return response{}, withExitStatus(exitUsage, err)
	}
	for n, l := range header {
		r.Header[n] = l
	}
	if t.APIKey != "" {
		r.Header.Set("Authorization", "Bearer "+t.APIKey)
	}
	c := &http.Client{
		Timeout:   clientTimeout,
		Transport: newTransport(),
	}
	p, err := c.Do(r)
	if err != nil {
		return response{}, withExitStatus(exitUnknown, fmt.Errorf("call entry %s: %w", t.Entry, err))
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return response{}, withExitStatus(exitUnknown, fmt.Errorf("read response of entry %s: %w", t.Entry, err))
	}
	v := response{
		status: p.StatusCode,
		header: p.Header,
		body:   b,
	}
	if strings.HasPrefix(p.Header.Get("Content-Type"), "application/problem+json") {
		return v, problemError(b)
	}
	return v, nil
}

func problemError(b []byte) error {
	var f problem
	if err := json.Unmarshal(b, &f); err != nil {
		return withExitStatus(exitUnknown, fmt.Errorf("malformed problem document: %s", b))
	}
	s := exitFailed
	switch {
	case f.Outcome == "unknown":
		s = exitUnknown
	case f.Status == http.StatusUnprocessableEntity:
		s = exitUsage
	}
	m := fmt.Sprintf("%d %s: %s (outcome %s)", f.Status, f.Title, f.Detail, f.Outcome)
	if f.JobID != "" {
		m += "; job " + f.JobID
	}
	if f.ChangeID != "" {
		m += "; change " + f.ChangeID
	}
	return withExitStatus(s, errors.New(m))
}

// printBody prints a response body, and a newline if the body does not end in one.
func printBody(b []byte) {
	fmt.Print(string(b))
	if n := len(b); n > 0 && b[n-1] != '\n' {
		fmt.Println()
	}
}

// readInput reads the named file, or standard input if the name is "-".
func readInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path) //nolint:gosec // the path comes from the command line
}
