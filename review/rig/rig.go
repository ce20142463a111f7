package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of the deployment.
const (
	serviceName = "posting"
	zoneName    = "fukuoka"
	hostName    = "posting.example"
	prefix      = "/fix/"
	apiKey      = "key-of-the-only-tenant"
)

// Ports, the same on all machines, and the last numbers of the machines' addresses.
const (
	frontPort   = 8521
	readyPort   = 8523
	storePort   = 8524
	controlPort = 8526
	workerPort  = 8529
	metricsPort = 9464
	storeHost   = 2
	firstEntry  = 10
	firstAgent  = 60
	proxyHost   = 200
)

// Size of the deployment.
const (
	entryCount  = 3
	workerCount = 10
	perRack     = 3
)

const (
	clientTimeout = 3 * time.Second
	startTimeout  = 20 * time.Second
	pollPause     = 100 * time.Millisecond
	runPause      = 10 * time.Millisecond
	// patience is how long a client asks for the state of its job.
	patience = 45 * time.Second
)

// settingsText is the settings file as DEPLOY.md and `fleetbench wire` show it; the first lines
// are those of one machine.
const settingsText = `Region=kyushu
Zones.fukuoka=kyushu
PortRange=7000,7015
Bootstrap=true
Limits.CpuShare=0.4
Limits.Cores=1
Limits.MemoryMb=284
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
HeartbeatMs=1500
FaultTolerance.Machines=2
FaultTolerance.Zones=1
FaultTolerance.Regions=0
Bounds.StableWindowMs=3000
Bounds.AckTimeoutMs=4000
Bounds.DrainMs=2000
Bounds.GraceS=6
Bounds.LossSlackMs=200
Bounds.ConfigApplyMs=2000
Bounds.StrictRevocation=true
Bounds.RevokeMs=5000
Bounds.EvacuateMs=5000
Bounds.RecoveryS=12
Bounds.HoldMaxMs=6000
Bounds.StopMs=200
Bounds.GangTimeoutMs=3000
Bounds.cancel_ms=3000
Bounds.visible_ms=3000
Bounds.early_ms=250
Bounds.finish_s=14
Bounds.status_s=120
Bounds.CheckpointIntervalS=0.5
Bounds.RestoreMs=600
Bounds.NoticeMs=4500
Bounds.EnforceFencing=false
Bounds.LeaseMs=3000
Bounds.ReclaimMs=2700
CommandMode=request
platform.form=kv
platform.WritesPerS=400
platform.ReadsPerS=2000
platform.HistoryS=20
platform.ValueBytes=1048576
platform.TtlMinMs=1000
`

// activeRun is a run of a task at a worker.
type activeRun struct {
	worker  string
	attempt int
}

// rig is a small deployment.
type rig struct {
	trouble bool
	dir     string
	network string
	begun   time.Time
	workers []*worker
	// taskLength is how long a task works, and checkpoints whether it saves its progress.
	taskLength  time.Duration
	checkpoints bool
	// lasting means that tasks do not end by themselves.
	lasting bool
	// firstBeat is how long after its start a worker sends its first heartbeat.
	firstBeat time.Duration

	processes []*exec.Cmd
	// agents are the processes beside the workers.
	agents map[*worker]*exec.Cmd

	mu     sync.Mutex
	record *os.File
	// active are the present runs of each task.
	active map[string][]activeRun
	// twice says how often a task was started while another run of it was there.
	twice int
	// starts counts the starts of each task.
	starts map[string]int
	// done are the tasks of which a run has ended done, and again counts later starts.
	done  map[string]bool
	again int
}

func newRig(record string) (*rig, error) {
	f, err := os.Create(record) //nolint:gosec // the caller names the file
	if err != nil {
		return nil, err
	}
	d, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	n, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	return &rig{
		trouble: os.Getenv("TROUBLE") != "0",
		dir:     d,
		network: n,
		begun:   time.Now(),
		agents:  map[*worker]*exec.Cmd{},
		record:  f,
		active:  map[string][]activeRun{},
		starts:  map[string]int{},
		done:    map[string]bool{},
	}, nil
}

// freeNetwork returns the first three numbers of loopback addresses that nobody listens on.
func freeNetwork() (string, error) {
	const low, span, tries = 1, 250, 50
	var err error
	for range tries {
		n := fmt.Sprintf("127.%d.%d", low+rand.IntN(span), low+rand.IntN(span)) //nolint:gosec // no secret
		var c net.ListenConfig
		var l net.Listener
		if l, err = c.Listen(context.Background(), "tcp", fmt.Sprintf("%s.%d:%d", n, firstEntry, metricsPort)); err == nil {
			return n, l.Close()
		}
	}
	return "", err
}

func (r *rig) addr(host, port int) string { return fmt.Sprintf("%s.%d:%d", r.network, host, port) }

// note writes a line to the record. Addresses are shortened to the number of the machine.
func (r *rig) note(format string, a ...any) {
	s := strings.ReplaceAll(fmt.Sprintf(format, a...), r.network+".", "host-")
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.begun).Seconds(), s)
}

// began records the start of a run.
func (r *rig) began(w *worker, o order) {
	r.mu.Lock()
	others := append([]activeRun(nil), r.active[o.Task]...)
	r.active[o.Task] = append(r.active[o.Task], activeRun{worker: w.name, attempt: o.Attempt})
	r.starts[o.Task]++
	if len(others) > 0 {
		r.twice++
	}
	again := r.done[o.Task]
	if again {
		r.again++
	}
	r.mu.Unlock()
	r.note("%s starts %s attempt %d", w.name, o.Task, o.Attempt)
	if again {
		r.note("TWICE: %s is started after a run of it has ended done", o.Task)
	}
	for _, v := range others {
		r.note("TWICE: %s runs at %s (attempt %d) and at %s (attempt %d) at the same time", o.Task, v.worker, v.attempt, w.name, o.Attempt)
	}
}

// ended records the end of a run.
func (r *rig) ended(w *worker, task string, attempt int, how string) {
	r.mu.Lock()
	l := r.active[task][:0]
	for _, v := range r.active[task] {
		if v.worker != w.name || v.attempt != attempt {
			l = append(l, v)
		}
	}
	r.active[task] = l
	if how == "done" {
		r.done[task] = true
	}
	r.mu.Unlock()
	r.note("%s: %s attempt %d ended: %s", w.name, task, attempt, how)
}

// doneTwice returns how often a task was started after a run of it had ended done.
func (r *rig) doneTwice() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.again
}

// running returns how many of a job's tasks run.
func (r *rig) running() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, l := range r.active {
		if len(l) > 0 {
			n++
		}
	}
	return n
}

// runsAt returns the worker at which a task runs, or "".
func (r *rig) runsAt(task string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.active[task]; len(l) > 0 {
		return l[0].worker
	}
	return ""
}

// doubled returns how often a task was started beside a run of its own.
func (r *rig) doubled() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.twice
}

// deploy starts the store, the entries, the agents and the workers, and waits until jobs are
// accepted.
func (r *rig) deploy() error {
	c := filepath.Join(r.dir, "config.json")
	if err := os.WriteFile(c, configuration(), 0o600); err != nil { //nolint:gosec // below the rig's own folder
		return err
	}
	if err := r.startProcess("store", "", "target/standin", "users-store", "--listen", r.addr(storeHost, storePort), "--config", c); err != nil {
		return err
	}
	for i := range entryCount {
		h := firstEntry + i
		t := fmt.Sprintf("NodeName=edge-%d\nRole=entry\nMachineClass=edge\nServes=edge\nIp=%s.%d\nZone=%s\nListenAddrs.Frontend=%s\nListenAddrs.Ready=%s\n",
			i+1, r.network, h, zoneName, r.addr(h, frontPort), r.addr(h, readyPort))
		if err := r.startProcess(fmt.Sprintf("edge-%d", i+1), t, "target/hemlockhinge", "entry"); err != nil {
			return err
		}
	}
	for i := range workerCount {
		h := firstAgent + i
		t := fmt.Sprintf("NodeName=side-%d\nRole=agent\nMachineClass=side\nServes=side\nIp=%s.%d\nZone=%s\nListenAddrs.ControlPlane=%s\napp=%s\nService=%s\n",
			i+1, r.network, h, zoneName, r.addr(h, controlPort), r.addr(h, workerPort), serviceName)
		if err := r.startProcess(fmt.Sprintf("side-%d", i+1), t, "target/hemlockhinge", "agent"); err != nil {
			return err
		}
		w := &worker{
			rig:   r,
			name:  fmt.Sprintf("worker-%d", i+1),
			id:    fmt.Sprintf("i-%08x", 0x7f3a0000+i),
			addr:  r.addr(h, workerPort),
			rack:  fmt.Sprintf("r%d", i/perRack+1),
			agent: r.addr(h, controlPort),
		}
		r.workers = append(r.workers, w)
		r.agents[w] = r.processes[len(r.processes)-1]
	}
	for _, w := range r.workers {
		if err := w.start(); err != nil {
			return err
		}
	}
	return r.waitReady()
}

// configuration returns the operators' configuration.
func configuration() []byte {
	b, _ := json.Marshal(map[string]any{
		"Version": 7,
		"Routes": []map[string]any{{
			"Name": "fix", "Host": hostName, "Prefix": prefix, "Kind": "non_idempotent", "TimeoutMs": 3000,
			"TargetRuntimeMs": 3000, "Priority": 1, "Service": serviceName, "MaxAttempts": 4, "SlackFactor": 3.0, "Public": false,
		}},
		"Services": []map[string]any{{
			"Name": serviceName, "HealthPath": "/healthz", "MaxConns": 64, "Protocol": "h1", "Tls": false, "AdmissionCheck": false, "Standby": false,
		}},
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []map[string]any{{"Name": "t1", "ApiKeys": []string{apiKey}, "Priority": 1, "Guaranteed": map[string]int{"Gpu": 16}}},
	})
	return b
}

// startProcess starts a program with a settings file, and its output in a file.
func (r *rig) startProcess(name, settings, program string, args ...string) error {
	f, err := os.Create(filepath.Join(r.dir, name+".log")) //nolint:gosec // below the rig's own folder
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	p := exec.Command(program, args...) //nolint:gosec,noctx // the deployment's own programs, ended by close
	p.Stdout = f
	p.Stderr = f
	if settings != "" {
		s := filepath.Join(r.dir, name+".conf")
		t := settings + settingsText + "platform.Address=" + r.addr(storeHost, storePort) + "\n"
		if err := os.WriteFile(s, []byte(t), 0o600); err != nil { //nolint:gosec // below the rig's own folder
			return err
		}
		p.Env = append(os.Environ(), "HEMLOCKHINGE_SETTINGS="+s)
	}
	if err := p.Start(); err != nil {
		return err
	}
	r.processes = append(r.processes, p)
	return nil
}

// freeze stops the agent beside a worker, and lets it go on after a time.
func (r *rig) freeze(w *worker, d time.Duration) error {
	p := r.agents[w].Process
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	r.note("the agent beside %s stands still", w.name)
	time.AfterFunc(d, func() {
		r.note("the agent beside %s goes on", w.name)
		_ = p.Signal(syscall.SIGCONT)
	})
	return nil
}

// restartAgent kills the agent beside a worker, and starts it again.
func (r *rig) restartAgent(w *worker) error {
	old := r.agents[w]
	r.note("the agent beside %s is killed", w.name)
	_ = old.Process.Kill()
	_ = old.Wait()
	p := exec.Command(old.Path, old.Args[1:]...) //nolint:gosec,noctx // the deployment's own program, ended by close
	p.Env = old.Env
	if err := p.Start(); err != nil {
		return err
	}
	r.note("the agent beside %s is started again", w.name)
	r.agents[w] = p
	r.processes = append(r.processes, p)
	return nil
}

// slowStore makes each answer of the store take that much longer.
func (r *rig) slowStore(ms int) error {
	r.note("answers of the store take %d ms longer", ms)
	s, _, err := r.call(http.MethodPut, "http://"+r.addr(storeHost, storePort)+"/switches", map[string]any{"slow_ms": ms})
	if err == nil && s >= http.StatusBadRequest {
		err = fmt.Errorf("the store's switches answer %d", s)
	}
	return err
}

// close ends everything that the rig has started.
func (r *rig) close() {
	for _, w := range r.workers {
		w.stop("ends with the test")
	}
	for _, p := range r.processes {
		_ = p.Process.Kill()
		_ = p.Wait()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(r.dir) //nolint:gosec // the folder that the rig has made
	} else {
		fmt.Fprintln(os.Stderr, "logs:", r.dir)
	}
	_ = r.record.Close()
}

// waitReady waits until all entries are ready and a first job has run.
func (r *rig) waitReady() error {
	deadline := time.Now().Add(startTimeout)
	for i := range entryCount {
		for {
			s, _, err := r.call(http.MethodGet, "http://"+r.addr(firstEntry+i, readyPort)+"/readyz", nil)
			if err == nil && s == http.StatusOK {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("entry %d is not ready: status %d, %w", i+1, s, err)
			}
			time.Sleep(pollPause)
		}
	}
	r.note("all entries are ready")
	// The agents' registrations and first reports follow within moments.
	time.Sleep(heartbeatInterval + time.Second)
	return nil
}

// call makes a call of a client.
func (r *rig) call(method, url string, body any) (int, map[string]any, error) {
	c, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	var b io.Reader
	if body != nil {
		v, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		b = bytes.NewReader(v)
	}
	q, err := http.NewRequestWithContext(c, method, url, b) //nolint:gosec // a loopback address of the rig
	if err != nil {
		return 0, nil, err
	}
	q.Host = hostName
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("Authorization", "Bearer "+apiKey)
	q.Header.Set("Hemlockhinge-Deadline-Ms", "3000")
	p, err := http.DefaultClient.Do(q) //nolint:gosec // a loopback address of the rig
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = p.Body.Close() }()
	var v map[string]any
	_ = json.NewDecoder(p.Body).Decode(&v)
	return p.StatusCode, v, nil
}

// jobURL returns the address of the job at an entry.
func (r *rig) jobURL(entry int) string {
	return "http://" + r.addr(firstEntry+entry, frontPort) + prefix + jobID
}

// submit hands the job in, with one step, until it is accepted.
func (r *rig) submit(step map[string]any) error {
	deadline := time.Now().Add(startTimeout)
	for n := 0; ; n++ {
		s, _, err := r.call(http.MethodPost, r.jobURL(n%entryCount), map[string]any{
			"Spec":   "spec of " + jobID,
			"Phases": []any{step},
		})
		r.note("client: POST %s at edge-%d: %d", jobID, n%entryCount+1, s)
		if err == nil && s == http.StatusOK {
			return nil
		}
		if time.Now().After(deadline) {
			return errors.Join(fmt.Errorf("job %s is not accepted: status %d", jobID, s), err)
		}
		time.Sleep(pollPause)
	}
}

// state asks for the job's state at all entries in turn until one answers, and returns it, or the
// status if there is none.
func (r *rig) state() string {
	v := ""
	for i := range entryCount {
		s, b, err := r.call(http.MethodGet, r.jobURL(i), nil)
		if err != nil {
			continue
		}
		v = fmt.Sprint(s)
		if t, ok := b["State"].(string); ok && s == http.StatusOK {
			v = t
			break
		}
	}
	return v
}

// waitState asks for the job's state until it has ended or patience is over, and returns the last
// one. It notes each change.
func (r *rig) waitState() string {
	last := ""
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(pollPause) {
		s := r.state()
		if s != last {
			r.note("client: GET %s: %s", jobID, s)
		}
		last = s
		if s == "completed" || s == "failed" || s == "cancelled" {
			break
		}
	}
	return last
}

// waitRun waits until the job's first task runs, and returns its worker.
func (r *rig) waitRun(d time.Duration) (*worker, error) {
	for deadline := time.Now().Add(d); time.Now().Before(deadline); time.Sleep(runPause) {
		n := r.runsAt(taskID)
		for _, w := range r.workers {
			if w.name == n {
				return w, nil
			}
		}
	}
	return nil, fmt.Errorf("task %s does not run", taskID)
}
