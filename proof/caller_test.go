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

// exchange is one request of a caller and what came of it.
type exchange struct {
	id         string
	key        string
	entry      string
	idempotent bool
	sent       time.Time
	ended      time.Time
	status     int
	outcome    string
	whole      bool
	err        error
}

func bodyOf(ledger string) []byte { return []byte("body of " + ledger) }

// newRequest makes a request that the workers note in their ledgers.
func newRequest(w *world, ledger string) *http.Request {
	r, err := http.NewRequest(http.MethodPost, "http://worker/s/raspored/signs/1", bytes.NewReader(bodyOf(ledger)))
	if err != nil {
		w.t.Fatal(err)
	}
	r.Header.Set(fakes.HeaderLedger, ledger)
	return r
}

// client returns an HTTP client outside the site.
func (w *world) client() *http.Client {
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
func (w *world) call(entry, ledger, key string, idempotent bool, delay time.Duration) *exchange {
	x := &exchange{
		id:         ledger,
		key:        key,
		entry:      entry,
		idempotent: idempotent,
		sent:       time.Now(),
	}
	w.mu.Lock()
	w.requests = append(w.requests, x)
	w.mu.Unlock()
	b := bodyOf(ledger)
	r := newRequest(w, ledger)
	r.URL.Host = entry + ":8080"
	r.Header.Set(fakes.HeaderDelay, delay.String())
	if w.wrongBytes != "" {
		r.Header.Set(fakes.HeaderBytes, w.wrongBytes)
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
		x.whole = bytes.Equal(a, b)
		x.outcome = outcome(p, a)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	x.err = err
	x.ended = time.Now()
	return x
}

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

// do calls the operators' or jobs' interface.
func (w *world) do(method, entry, path, match string, in, out any) (int, error) {
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

// publish puts the world's objects in force through any entry that answers.
func (w *world) publish() error {
	var last error
	for i := range 10 {
		id := fmt.Sprintf("entry-%d", i%entryCount+1)
		var v entry.Published
		n, err := w.do(http.MethodPut, id, "/v1/config", fmt.Sprintf("%d", w.version), w.objects, &v)
		if err == nil {
			w.accepted(v.Version)
			return nil
		}
		last = err
		if n == http.StatusPreconditionFailed && w.inForce(id) {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return last
}

// inForce reports whether the world's objects are what an entry has in force,
// and otherwise goes on from the version that is.
func (w *world) inForce(id string) bool {
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
	mine, err := json.Marshal(w.objects)
	if err == nil && bytes.Equal(b, mine) {
		w.accepted(v)
		return true
	}
	w.version = v
	return false
}

func (w *world) accepted(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version = version
	p := published{
		version: version,
		at:      time.Now(),
	}
	for _, d := range w.objects.FailureDomains {
		if d.OutOfService {
			p.out = append(p.out, d.Name)
		} else {
			p.in = append(p.in, d.Name)
		}
	}
	w.pubs = append(w.pubs, p)
}

func (w *world) mustPublish() {
	w.t.Helper()
	if err := w.publish(); err != nil {
		w.t.Fatalf("publish: %v", err)
	}
}

// setOut takes a failure domain out or back. A change back may be in force as
// soon as it is first sent, whenever its answer comes.
func (w *world) setOut(domain string, out bool) error {
	if !out {
		w.backFrom[domain] = time.Now()
	}
	for i := range w.objects.FailureDomains {
		if w.objects.FailureDomains[i].Name == domain {
			w.objects.FailureDomains[i].OutOfService = out
		}
	}
	return w.publish()
}

// submit sends a job until some entry has accepted it, and returns its id.
func (w *world) submit(r jobs.Request) string {
	w.t.Helper()
	for i := range 120 {
		var j jobs.Job
		_, err := w.do(http.MethodPost, fmt.Sprintf("entry-%d", i%entryCount+1), "/v1/jobs", "", r, &j)
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

func (w *world) job(id string) (jobs.Job, error) {
	err := errors.New("no entry asked")
	for i := range entryCount {
		var j jobs.Job
		if _, err = w.do(http.MethodGet, fmt.Sprintf("entry-%d", i+1), "/v1/jobs/"+id, "", nil, &j); err == nil {
			return j, nil
		}
	}
	return jobs.Job{}, err
}

// await waits until a job has ended, or for d.
func (w *world) await(id string, d time.Duration) jobs.Job {
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
