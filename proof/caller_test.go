package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hemlockhinge/entry"
	"hemlockhinge/fakes"
	"hemlockhinge/jobs"
	"hemlockhinge/refuse"
)

// exchange is one try of a caller's request and its result. bodyMatches says
// that the response body was the one that belongs to the request.
type exchange struct {
	ledgerID    string
	key         string
	entry       string
	idempotent  bool
	sentAt      time.Time
	endedAt     time.Time
	status      int
	outcome     string
	bodyMatches bool
	err         error
}

// requestBody returns the body of a request, which workers echo in their
// response.
func requestBody(ledger string) []byte { return []byte("body of " + ledger) }

// newRequest returns a request whose runs the workers count under the ledger id.
func newRequest(w *simSite, ledger string) *http.Request {
	r, err := http.NewRequest(http.MethodPost, "http://worker/s/raspored/signs/1", bytes.NewReader(requestBody(ledger)))
	if err != nil {
		w.t.Fatal(err)
	}
	r.Header.Set(fakes.HeaderLedger, ledger)
	return r
}

// client returns an HTTP client on a host outside the site.
func (w *simSite) client() *http.Client {
	h := w.net.Host("client")
	return &http.Client{
		Timeout: 40 * time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
			DialContext: func(c context.Context, _, addr string) (net.Conn, error) {
				return h.Dial(c, addr)
			},
		},
	}
}

// call sends one request through an entry and records the exchange.
func (w *simSite) call(entry, ledger, key string, idempotent bool, delay time.Duration) *exchange {
	x := &exchange{
		ledgerID:   ledger,
		key:        key,
		entry:      entry,
		idempotent: idempotent,
		sentAt:     time.Now(),
	}
	w.mu.Lock()
	w.exchanges = append(w.exchanges, x)
	w.mu.Unlock()
	b := requestBody(ledger)
	r := newRequest(w, ledger)
	r.URL.Host = entry + ":8080"
	r.Header.Set(fakes.HeaderDelay, delay.String())
	if w.forcedBodySize != "" {
		r.Header.Set(fakes.HeaderBytes, w.forcedBodySize)
	}
	r.Header.Set("Idempotent", fmt.Sprint(idempotent))
	if key != "" {
		r.Header.Set("Idempotency-Key", key)
	}
	p, err := w.client().Do(r)
	if err == nil {
		x.status = p.StatusCode
		var a []byte
		a, err = io.ReadAll(p.Body)
		_ = p.Body.Close()
		x.bodyMatches = bytes.Equal(a, b)
		x.outcome = outcome(p, a)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	x.err = err
	x.endedAt = time.Now()
	return x
}

// outcome returns the outcome in a problem response, or "" for any other
// response.
func outcome(p *http.Response, b []byte) string {
	if !strings.HasPrefix(p.Header.Get("Content-Type"), "application/problem+json") {
		return ""
	}
	var v refuse.Problem
	if err := json.Unmarshal(b, &v); err != nil {
		return "unreadable"
	}
	return v.Outcome
}

// callAPI calls the HTTP API for operators and jobs through an entry.
func (w *simSite) callAPI(method, entry, path, match string, in, out any) (int, error) {
	b, err := json.Marshal(in)
	if err != nil {
		return 0, err
	}
	r, err := http.NewRequest(method, "http://"+entry+":8080"+path, bytes.NewReader(b))
	if err != nil {
		return 0, err
	}
	if match != "" {
		r.Header.Set("If-Match", match)
	}
	p, err := w.client().Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = p.Body.Close() }()
	b, err = io.ReadAll(p.Body)
	if err != nil {
		return 0, err
	}
	if p.StatusCode >= http.StatusBadRequest {
		return p.StatusCode, fmt.Errorf("status %d: %s", p.StatusCode, b)
	}
	return p.StatusCode, json.Unmarshal(b, out)
}

// publish publishes the site's configuration through the first entry that
// accepts it.
func (w *simSite) publish() error {
	var last error
	for i := range 10 {
		id := fmt.Sprintf("entry-%d", i%entryCount+1)
		var v entry.PublishResult
		n, err := w.callAPI(http.MethodPut, id, "/v1/config", fmt.Sprintf("%d", w.configVersion), w.objects, &v)
		if err == nil {
			w.recordPublication(v.Version)
			return nil
		}
		last = err
		if n == http.StatusPreconditionFailed && w.adoptInForce(id) {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return last
}

// adoptInForce reports whether the configuration in force at an entry is the
// site's, which means that an earlier try to publish it took effect. If not,
// the version in force becomes the base of the next try.
func (w *simSite) adoptInForce(id string) bool {
	r, err := http.NewRequest(http.MethodGet, "http://"+id+":8080/v1/config", nil)
	if err != nil {
		return false
	}
	p, err := w.client().Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return false
	}
	v, err := strconv.ParseUint(strings.Trim(p.Header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return false
	}
	own, err := json.Marshal(w.objects)
	if err == nil && bytes.Equal(b, own) {
		w.recordPublication(v)
		return true
	}
	w.configVersion = v
	return false
}

// recordPublication records that the site's configuration was accepted under this
// version.
func (w *simSite) recordPublication(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.configVersion = version
	p := publication{
		version:    version,
		acceptedAt: time.Now(),
	}
	for _, d := range w.objects.FailureDomains {
		if d.OutOfService {
			p.outOfService = append(p.outOfService, d.Name)
		} else {
			p.inService = append(p.inService, d.Name)
		}
	}
	w.publications = append(w.publications, p)
}

func (w *simSite) mustPublish() {
	w.t.Helper()
	if err := w.publish(); err != nil {
		w.t.Fatalf("publish: %v", err)
	}
}

// setOutOfService takes a failure domain out of service or puts it back. A
// domain counts as back in service from the first try on, since that try may
// take effect before its answer arrives.
func (w *simSite) setOutOfService(domain string, out bool) error {
	if !out {
		w.backInServiceAt[domain] = time.Now()
	}
	for i := range w.objects.FailureDomains {
		if w.objects.FailureDomains[i].Name == domain {
			w.objects.FailureDomains[i].OutOfService = out
		}
	}
	return w.publish()
}

// submit submits a job, with retries until an entry accepts it, and returns the
// job's id.
func (w *simSite) submit(r jobs.Request) string {
	w.t.Helper()
	for i := range 120 {
		var j jobs.Job
		_, err := w.callAPI(http.MethodPost, fmt.Sprintf("entry-%d", i%entryCount+1), "/v1/jobs", "", r, &j)
		if err == nil {
			w.mu.Lock()
			w.jobIDs = append(w.jobIDs, j.ID)
			w.mu.Unlock()
			return j.ID
		}
		if i == 119 {
			w.t.Fatalf("submit: %v", err)
		}
		time.Sleep(time.Second)
	}
	return ""
}

func (w *simSite) job(id string) (jobs.Job, error) {
	err := errors.New("no entry was asked")
	for i := range entryCount {
		var j jobs.Job
		if _, err = w.callAPI(http.MethodGet, fmt.Sprintf("entry-%d", i+1), "/v1/jobs/"+id, "", nil, &j); err == nil {
			return j, nil
		}
	}
	return jobs.Job{}, err
}

// awaitEnd waits until a job has ended, at most for d, and returns its last known
// state.
func (w *simSite) awaitEnd(id string, d time.Duration) jobs.Job {
	e := time.Now().Add(d)
	var last jobs.Job
	for time.Now().Before(e) {
		j, err := w.job(id)
		if err == nil {
			last = j
			if j.State.Final() {
				break
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return last
}
