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

// clientTimeout bounds a call of the tools, in all.
const clientTimeout = 2 * time.Minute

// target is the flag by which the tools find an entry.
type target struct {
	Entry  string `long:"entry" env:"HEMLOCKHINGE_ENTRY" default:"127.0.0.1:8080" description:"HTTP address of an entry"`
	APIKey string `long:"api-key" env:"HEMLOCKHINGE_API_KEY" description:"the customer's key, where queues need one"`
}

// refusal is what the tools read of a problem document.
type refusal struct {
	Status  int    `json:"status"`
	Title   string `json:"title"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
	JobID   string `json:"job_id"`
	Change  string `json:"change_id"`
}

// result is an answer that was read whole.
type result struct {
	status int
	header http.Header
	body   []byte
}

// do sends a request and reads the whole answer. A refusal is an error with
// the exit status that belongs to its outcome.
func (t *target) do(method, path string, body []byte, header http.Header) (result, error) {
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+t.Entry+path, bytes.NewReader(body))
	if err != nil {
		return result{}, exit(exitUsage, err)
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
		return result{}, exit(exitUnknown, fmt.Errorf("call entry %s: %w", t.Entry, err))
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return result{}, exit(exitUnknown, fmt.Errorf("read the answer of entry %s: %w", t.Entry, err))
	}
	v := result{
		status: p.StatusCode,
		header: p.Header,
		body:   b,
	}
	if strings.HasPrefix(p.Header.Get("Content-Type"), "application/problem+json") {
		return v, refused(b)
	}
	return v, nil
}

func refused(b []byte) error {
	var f refusal
	if err := json.Unmarshal(b, &f); err != nil {
		return exit(exitUnknown, fmt.Errorf("unreadable refusal: %s", b))
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
	if f.Change != "" {
		m += "; change " + f.Change
	}
	return exit(s, errors.New(m))
}

// show prints an answer.
func show(b []byte) {
	fmt.Print(string(b))
	if n := len(b); n > 0 && b[n-1] != '\n' {
		fmt.Println()
	}
}

// readInput reads a file, or standard input for "-".
func readInput(path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(path) //nolint:gosec // the operator names the file
}
