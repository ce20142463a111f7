package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	callTimeout = 2 * time.Second
	maxReply    = 8 << 20
)

// Client implements Port over the worker's HTTP interface.
type Client struct {
	// pooled reuses connections; unpooled opens a new one for each request.
	addr     string
	http     *http.Client
	pooled   http.RoundTripper
	unpooled http.RoundTripper
}

// NewClient returns a client for the worker at addr, which has the form IP:port. Each
// request that is not idempotent is sent over a new connection, since http.Transport
// retries a request on its own if a reused connection fails and the method or an
// Idempotency-Key header appears to allow it.
func NewClient(addr string, t *http.Transport) *Client {
	f := t.Clone()
	f.DisableKeepAlives = true
	return &Client{
		addr: addr,
		http: &http.Client{
			Transport: t,
		},
		pooled:   t,
		unpooled: f,
	}
}

// RenewRequest is the body of a request that renews the leases of tasks.
type RenewRequest struct {
	IDs        []string  `json:"ids"`
	LeaseUntil time.Time `json:"lease_until"`
}

// call is callWithoutTimeout with callTimeout.
func (w *Client) call(c context.Context, op, method, path string, in, out any) error {
	c, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	return w.callWithoutTimeout(c, op, method, path, in, out)
}

// callWithoutTimeout sends in as JSON and, unless out is nil, decodes the response into it.
// It sets no timeout of its own, since a checkpoint may take long.
func (w *Client) callWithoutTimeout(c context.Context, op, method, path string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(c, method, "http://"+w.addr+"/v1/"+path, bytes.NewReader(b))
	if err != nil {
		return err
	}
	p, err := w.http.Do(r)
	if err != nil {
		return callError(op, err)
	}
	defer func() { _ = p.Body.Close() }()
	b, err = io.ReadAll(io.LimitReader(p.Body, maxReply))
	if err != nil {
		return callError(op, err)
	}
	switch {
	case p.StatusCode == http.StatusConflict:
		return &RefusedError{
			Task:   path,
			Detail: string(b),
		}
	case p.StatusCode >= http.StatusBadRequest:
		return callError(op, fmt.Errorf("status %d: %s", p.StatusCode, b))
	case out == nil:
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return callError(op, err)
	}
	return nil
}

func callError(op string, err error) error {
	return &CallError{
		Op:  op,
		Err: err,
	}
}

func taskPath(id, verb string) string { return "tasks/" + url.PathEscape(id) + verb }

// Start implements Port.
func (w *Client) Start(c context.Context, t Task) error {
	return w.call(c, "start", http.MethodPut, taskPath(t.ID, ""), t, nil)
}

// Renew implements Port.
func (w *Client) Renew(c context.Context, ids []string, until time.Time) error {
	return w.call(c, "renew", http.MethodPost, "renew", RenewRequest{
		IDs:        ids,
		LeaseUntil: until,
	}, nil)
}

// Checkpoint implements Port.
func (w *Client) Checkpoint(c context.Context, id string) error {
	return w.callWithoutTimeout(c, "checkpoint", http.MethodPost, taskPath(id, "/checkpoint"), nil, nil)
}

// Throttle implements Port.
func (w *Client) Throttle(c context.Context, id string, percent int) error {
	return w.call(c, "throttle", http.MethodPost, taskPath(id, "/throttle?percent="+strconv.Itoa(percent)), nil, nil)
}

// Stop implements Port.
func (w *Client) Stop(c context.Context, id string) error {
	return w.call(c, "stop", http.MethodDelete, taskPath(id, ""), nil, nil)
}

// Tasks implements Port.
func (w *Client) Tasks(c context.Context) ([]Status, error) {
	var l []Status
	err := w.call(c, "list", http.MethodGet, "tasks", nil, &l)
	return l, err
}

// Serve implements Port.
func (w *Client) Serve(r *http.Request, service string, idempotent bool) (*http.Response, error) {
	r.URL.Scheme = "http"
	r.URL.Host = w.addr
	x := "/run/" + service
	if r.URL.RawPath != "" {
		r.URL.RawPath = x + r.URL.RawPath
	}
	r.URL.Path = x + r.URL.Path
	t := w.unpooled
	if idempotent {
		t = w.pooled
	}
	p, err := t.RoundTrip(r)
	if err != nil {
		return nil, callError("serve", err)
	}
	return p, nil
}
