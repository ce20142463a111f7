package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Timeouts of a call and of a watch. A watch is a long poll, which the service answers
// after WatchWait at the latest.
const (
	callTimeout = 2 * time.Second
	WatchWait   = 20 * time.Second
	watchSlack  = 3 * time.Second
)

// RevisionHeader is the HTTP header that carries a revision in the service's responses.
const RevisionHeader = "Store-Revision"

// Client implements Port over the service's HTTP interface.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the service at addr, which has the form IP:port.
func NewClient(addr string, t http.RoundTripper) *Client {
	return &Client{
		base: "http://" + addr + "/v1",
		http: &http.Client{
			Transport: t,
		},
	}
}

// reply is an HTTP response of the service.
type reply struct {
	status   int
	revision uint64
	body     []byte
}

// call sends a request and reads the whole response. It returns an error unless the status
// says that the call succeeded.
func (s *Client) call(c context.Context, op, key, method, path string, q url.Values, body []byte, d time.Duration) (reply, error) {
	c, cancel := context.WithTimeout(c, d)
	defer cancel()
	r, err := http.NewRequestWithContext(c, method, s.base+path+"?"+q.Encode(), bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	p, err := s.http.Do(r)
	if err != nil {
		return reply{}, NewUnavailableError(op, key, false, err)
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return reply{}, NewUnavailableError(op, key, false, err)
	}
	n, _ := strconv.ParseUint(p.Header.Get(RevisionHeader), 10, 64)
	v := reply{
		status:   p.StatusCode,
		revision: n,
		body:     b,
	}
	return v, v.err(op, key)
}

// NewUnavailableError returns an *UnavailableError for a call that was not answered, or
// that was refused.
func NewUnavailableError(op, key string, refused bool, err error) error {
	return &UnavailableError{
		Op:      op,
		Key:     key,
		Refused: refused,
		Err:     err,
	}
}

// err returns the error that the status of the response stands for, if any.
func (r reply) err(op, key string) error {
	switch r.status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return &NotFoundError{
			Key: key,
		}
	case http.StatusConflict:
		return &ConflictError{
			Key:  key,
			Have: r.revision,
		}
	case http.StatusGone:
		return &CompactedError{
			Revision: r.revision,
		}
	case http.StatusRequestEntityTooLarge:
		return &TooLargeError{
			Key: key,
		}
	case http.StatusTooManyRequests:
		return NewUnavailableError(op, key, true, errors.New("store rate limit exceeded"))
	}
	return NewUnavailableError(op, key, false, fmt.Errorf("status %d: %s", r.status, r.body))
}

// Get implements Port.
func (s *Client) Get(c context.Context, key string) (Item, error) {
	r, err := s.call(c, "get", key, http.MethodGet, "/kv", url.Values{"key": {key}}, nil, callTimeout)
	if err != nil {
		return Item{}, err
	}
	return Item{
		Key:      key,
		Value:    r.body,
		Revision: r.revision,
	}, nil
}

// Put implements Port.
func (s *Client) Put(c context.Context, key string, value []byte, rev uint64, l Lease) (uint64, error) {
	q := url.Values{
		"key":      {key},
		"revision": {strconv.FormatUint(rev, 10)},
		"lease":    {strconv.FormatUint(uint64(l), 10)},
	}
	r, err := s.call(c, "put", key, http.MethodPut, "/kv", q, value, callTimeout)
	var f *ConflictError
	if errors.As(err, &f) {
		f.Want = rev
	}
	return r.revision, err
}

// Delete implements Port.
func (s *Client) Delete(c context.Context, key string, rev uint64) error {
	q := url.Values{
		"key":      {key},
		"revision": {strconv.FormatUint(rev, 10)},
	}
	_, err := s.call(c, "delete", key, http.MethodDelete, "/kv", q, nil, callTimeout)
	return err
}

// List implements Port.
func (s *Client) List(c context.Context, prefix, after string) (Page, error) {
	q := url.Values{
		"prefix": {prefix},
		"after":  {after},
	}
	return s.page(c, "list", prefix, "/list", q, callTimeout)
}

// Watch implements Port.
func (s *Client) Watch(c context.Context, prefix string, rev uint64) (Page, error) {
	q := url.Values{
		"prefix":   {prefix},
		"revision": {strconv.FormatUint(rev, 10)},
	}
	return s.page(c, "watch", prefix, "/watch", q, WatchWait+watchSlack)
}

// page makes a call whose response is a Page.
func (s *Client) page(c context.Context, op, prefix, path string, q url.Values, d time.Duration) (Page, error) {
	var p Page
	r, err := s.call(c, op, prefix, http.MethodGet, path, q, nil, d)
	if err != nil {
		return p, err
	}
	if err := json.Unmarshal(r.body, &p); err != nil {
		return p, NewUnavailableError(op, prefix, false, err)
	}
	return p, nil
}

// Grant implements Port.
func (s *Client) Grant(c context.Context, ttl time.Duration) (Lease, error) {
	q := url.Values{"ttl_ms": {strconv.FormatInt(ttl.Milliseconds(), 10)}}
	r, err := s.call(c, "grant", "", http.MethodPost, "/leases", q, nil, callTimeout)
	return Lease(r.revision), err
}

// Keep implements Port.
func (s *Client) Keep(c context.Context, l Lease) error {
	_, err := s.call(c, "keep", leaseID(l), http.MethodPost, "/leases/"+leaseID(l), nil, nil, callTimeout)
	return err
}

// Revoke implements Port.
func (s *Client) Revoke(c context.Context, l Lease) error {
	_, err := s.call(c, "revoke", leaseID(l), http.MethodDelete, "/leases/"+leaseID(l), nil, nil, callTimeout)
	return err
}

func leaseID(l Lease) string { return strconv.FormatUint(uint64(l), 10) }
