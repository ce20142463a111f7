package proof

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"hemlockhinge/entry"
	"hemlockhinge/fakes"
	"hemlockhinge/jobs"
)

// stepTimeout is the timeout of a step with real processes. It allows for a busy
// machine and is not a bound that the product must meet.
const stepTimeout = 2 * time.Minute

// processSite is a site of real processes: one store, two entries, and six agents
// with their workers in three failure domains.
type processSite struct {
	t       *testing.T
	dir     string
	store   string
	http    []string
	wire    []string
	procs   map[string]*exec.Cmd
	workers map[string]string
	// used has the addresses that freePort has returned.
	used map[string]bool
}

func startProcessSite(t *testing.T) *processSite {
	t.Helper()
	s := &processSite{
		t:       t,
		dir:     t.TempDir(),
		procs:   map[string]*exec.Cmd{},
		workers: map[string]string{},
		used:    map[string]bool{},
	}
	s.store = s.freePort()
	s.build()
	s.run("store", "standin", "platform", "--listen", s.store)
	for range entryCount {
		s.http = append(s.http, s.freePort())
		s.wire = append(s.wire, s.freePort())
	}
	for i := range entryCount {
		s.startEntry(i)
	}
	for i, d := range domains {
		for n := range 2 {
			s.startAgent(d, i*2+n)
		}
	}
	s.eventually("publish", s.publish)
	s.eventually("agents", func() bool { return s.status(0).Agents == 6 && s.status(1).Agents == 6 })
	return s
}

// freePort returns an address that no earlier call has returned. The kernel may offer
// a port again as long as the process that it was chosen for has not bound it.
func (s *processSite) freePort() string {
	s.t.Helper()
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.t.Fatal(err)
		}
		a := l.Addr().String()
		_ = l.Close()
		if !s.used[a] {
			s.used[a] = true
			return a
		}
	}
}

func (s *processSite) build() {
	s.t.Helper()
	for _, n := range []string{"hemlockhinge", "standin"} {
		c := exec.Command("go", "build", "-o", filepath.Join(s.dir, n), "../cmd/"+n)
		if b, err := c.CombinedOutput(); err != nil {
			s.t.Fatalf("build %s: %v\n%s", n, err, b)
		}
	}
}

// run starts a process and kills it at the end of the test.
func (s *processSite) run(name, program string, arg ...string) {
	s.t.Helper()
	f, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Fatal(err)
	}
	c := exec.Command(filepath.Join(s.dir, program), arg...)
	c.Stdout = f
	c.Stderr = f
	if err := c.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.procs[name] = c
	s.t.Cleanup(func() {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
		_ = c.Wait()
		_ = f.Close()
	})
}

// write writes v as JSON to a file and returns the file's path.
func (s *processSite) write(name string, v any) string {
	s.t.Helper()
	b, err := json.Marshal(v)
	if err != nil {
		s.t.Fatal(err)
	}
	p := filepath.Join(s.dir, name)
	if err := os.WriteFile(p, b, 0o600); err != nil {
		s.t.Fatal(err)
	}
	return p
}

func (s *processSite) startEntry(i int) {
	n := fmt.Sprintf("entry-%d", i+1)
	s.run(n, "hemlockhinge", "entry", "--settings", s.write(n+".json", map[string]any{
		"id":             n,
		"failure_domain": domains[0],
		"http_listen":    s.http[i],
		"wire_listen":    s.wire[i],
		"store":          s.store,
		"drain_delay":    "1s",
	}))
}

// startAgent starts an agent, and its worker unless that is running already.
func (s *processSite) startAgent(domain string, n int) {
	id := fmt.Sprintf("%s-w%d", domain, n)
	if s.workers[id] == "" {
		s.workers[id] = s.freePort()
		s.run("worker-"+id, "standin", "worker", "--listen", s.workers[id], "--id", id)
	}
	s.run(id, "hemlockhinge", "agent", "--settings", s.write(id+".json", map[string]any{
		"id":             id,
		"failure_domain": domain,
		"rack":           domain + "-r1",
		"wire_listen":    s.freePort(),
		"http_listen":    s.freePort(),
		"worker":         s.workers[id],
		"entries":        s.wire,
		"services":       []string{"raspored"},
		"slots":          slotsPerWorker,
		"connections":    64,
		"capacity":       workerSize,
	}))
}

func (s *processSite) signal(name string, g os.Signal) {
	s.t.Helper()
	if err := s.procs[name].Process.Signal(g); err != nil {
		s.t.Fatalf("signal %s: %v", name, err)
	}
}

// eventually polls f until it returns true, and fails the test after stepTimeout.
func (s *processSite) eventually(what string, f func() bool) {
	s.t.Helper()
	e := time.Now().Add(stepTimeout)
	for !f() {
		if time.Now().After(e) {
			s.printLogs()
			s.t.Fatalf("%s: condition not met within %s", what, stepTimeout)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// printLogs prints the end of each process's log.
func (s *processSite) printLogs() {
	for n := range s.procs {
		b, err := os.ReadFile(filepath.Join(s.dir, n+".log"))
		if err == nil {
			s.t.Logf("%s:\n%s", n, b[max(0, len(b)-2000):])
		}
	}
}

// do sends an HTTP request and returns the status, or 0 if there was no complete
// response.
func (s *processSite) do(method, url string, h http.Header, in, out any) int {
	b, err := json.Marshal(in)
	if err != nil {
		s.t.Fatal(err)
	}
	r, err := http.NewRequest(method, "http://"+url, bytes.NewReader(b))
	if err != nil {
		s.t.Fatal(err)
	}
	for k, v := range h {
		r.Header[k] = v
	}
	p, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer func() { _ = p.Body.Close() }()
	a, err := io.ReadAll(p.Body)
	if err != nil {
		return 0
	}
	if out != nil && p.StatusCode < http.StatusBadRequest {
		if err := json.Unmarshal(a, out); err != nil {
			return 0
		}
	}
	return p.StatusCode
}

func (s *processSite) publish() bool {
	o := objects()
	for i := range o.FailureDomains {
		o.FailureDomains[i].Workers = 2
	}
	return s.do(http.MethodPut, s.http[0]+"/v1/config", http.Header{"If-Match": {"0"}}, o, nil) == http.StatusOK
}

func (s *processSite) status(i int) entry.Status {
	var v entry.Status
	s.do(http.MethodGet, s.http[i]+"/v1/status", nil, nil, &v)
	return v
}

func (s *processSite) submit(r jobs.Request) string {
	s.t.Helper()
	var j jobs.Job
	s.eventually("submit", func() bool {
		return s.do(http.MethodPost, s.http[1]+"/v1/jobs", nil, r, &j) == http.StatusAccepted
	})
	return j.ID
}

func (s *processSite) awaitJob(id string, state jobs.State) jobs.Job {
	s.t.Helper()
	var j jobs.Job
	s.eventually("job "+string(state), func() bool {
		return s.do(http.MethodGet, s.http[1]+"/v1/jobs/"+id, nil, nil, &j) == http.StatusOK && j.State == state
	})
	return j
}

// post sends one non-idempotent request through entry i and returns its status.
func (s *processSite) post(i int, ledger string, delay time.Duration) int {
	return s.do(http.MethodPost, s.http[i]+"/s/raspored/x", http.Header{
		"Idempotent":       {"false"},
		fakes.HeaderLedger: {ledger},
		fakes.HeaderDelay:  {delay.String()},
	}, ledger, nil)
}

// executions returns how often each request ran, summed over all workers.
func (s *processSite) executions() map[string]int {
	m := map[string]int{}
	for _, a := range s.workers {
		var l map[string]int
		s.do(http.MethodGet, a+"/ledger", nil, nil, &l)
		for k, v := range l {
			m[k] += v
		}
	}
	return m
}

// TestProcesses repeats some faults of the matrix with real processes, sockets
// and signals.
func TestProcesses(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	s := startProcessSite(t)
	t.Run("requests and gangs", s.testRequestsAndGangs)
	t.Run("drain of an entry under load", s.testDrainEntryUnderLoad)
	t.Run("SIGKILL of a gang's lead", s.testKillLead)
	t.Run("frozen agent", s.testFreezeAgent)
	t.Run("store stopped", s.testStoreStopped)
	t.Run("each request ran at most once", s.testAtMostOnce)
	t.Run("drain of an agent", s.testDrainAgent)
}

func (s *processSite) testRequestsAndGangs(t *testing.T) {
	id := s.submit(gangRequest(2, time.Second))
	for i := range 40 {
		if n := s.post(i%2, fmt.Sprintf("whole-%d", i), 0); n != http.StatusOK {
			t.Errorf("request %d: status %d", i, n)
		}
	}
	if j := s.awaitJob(id, jobs.Done); len(j.Results) != 2 {
		t.Errorf("%d results of 2 tasks", len(j.Results))
	}
}

func (s *processSite) testDrainEntryUnderLoad(t *testing.T) {
	var w sync.WaitGroup
	var bad, sent atomic.Int64
	stop := make(chan struct{})
	for i := range 16 {
		w.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				if s.do(http.MethodGet, s.http[0]+"/readyz", nil, nil, nil) != http.StatusOK {
					return
				}
				sent.Add(1)
				if s.post(0, fmt.Sprintf("load-%d-%d", i, n), 50*time.Millisecond) != http.StatusOK {
					bad.Add(1)
				}
			}
		})
	}
	time.Sleep(time.Second)
	s.signal("entry-1", syscall.SIGTERM)
	w.Wait()
	close(stop)
	if err := s.procs["entry-1"].Wait(); err != nil {
		t.Errorf("the entry ended with %v", err)
	}
	if bad.Load() != 0 || sent.Load() == 0 {
		t.Errorf("%d of %d requests were not answered", bad.Load(), sent.Load())
	}
	s.startEntry(0)
	s.eventually("entry back", func() bool { return s.status(0).Agents == 6 })
}

func (s *processSite) testKillLead(t *testing.T) {
	id := s.submit(gangRequest(2, 3*time.Second))
	j := s.awaitJob(id, jobs.Running)
	lead := j.Parts[0].Worker
	s.signal(lead, syscall.SIGKILL)
	_ = s.procs[lead].Wait()
	s.restartAgent(lead)
	if j := s.awaitJob(id, jobs.Done); j.Attempt < 2 {
		t.Errorf("the job was done in attempt %d, want at least 2", j.Attempt)
	}
}

func (s *processSite) restartAgent(id string) {
	d, n, _ := strings.Cut(id, "-w")
	var i int
	_, _ = fmt.Sscan(n, &i)
	s.startAgent(d, i)
}

func (s *processSite) testFreezeAgent(*testing.T) {
	id := s.submit(gangRequest(2, 3*time.Second))
	j := s.awaitJob(id, jobs.Running)
	lead := j.Parts[0].Worker
	s.signal(lead, syscall.SIGSTOP)
	time.Sleep(8 * time.Second)
	s.signal(lead, syscall.SIGCONT)
	s.awaitJob(id, jobs.Done)
}

func (s *processSite) testStoreStopped(t *testing.T) {
	id := s.submit(gangRequest(2, 5*time.Second))
	s.awaitJob(id, jobs.Running)
	s.signal("store", syscall.SIGSTOP)
	time.Sleep(9 * time.Second)
	for i := range 20 {
		if n := s.post(i%2, fmt.Sprintf("out-%d", i), 0); n != http.StatusOK {
			t.Errorf("request %d while the store is stopped: status %d", i, n)
		}
	}
	s.signal("store", syscall.SIGCONT)
	if j := s.awaitJob(id, jobs.Done); j.Attempt != 1 {
		t.Errorf("the job ran in %d attempts", j.Attempt)
	}
}

func (s *processSite) testAtMostOnce(t *testing.T) {
	for k, n := range s.executions() {
		if n > 1 {
			t.Errorf("request %s ran %d times", k, n)
		}
	}
}

func (s *processSite) testDrainAgent(t *testing.T) {
	id := s.submit(gangRequest(1, 3*time.Second))
	j := s.awaitJob(id, jobs.Running)
	w := j.Parts[0].Worker
	s.signal(w, syscall.SIGTERM)
	if err := s.procs[w].Wait(); err != nil {
		t.Errorf("the agent ended with %v", err)
	}
	s.awaitJob(id, jobs.Done)
}
