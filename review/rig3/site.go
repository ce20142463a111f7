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

	"hemlockhinge/platform/stand"
)

const (
	frontendPort = 8521
	readyPort    = 8523
	storePort    = 8524
	controlPort  = 8526
	workerPort   = 8529
	serviceName  = "posting-svc"
	hostName     = "jobs.example"
)

// record writes what happens to record.txt.
type record struct {
	mu     sync.Mutex
	file   *os.File
	begun  time.Time
	starts []startRecord
}

type startRecord struct {
	at      time.Time
	worker  string
	task    string
	attempt int
}

func (r *record) printf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, a...))
}

func (r *record) started(w *worker, task string, attempt int) {
	r.printf("start  %s#%d at %s", task, attempt, w.id)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, startRecord{
		at:      time.Now(),
		worker:  w.id,
		task:    task,
		attempt: attempt,
	})
}

// startsOf returns the starts of a job's tasks.
func (r *record) startsOf(job string) []startRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var l []startRecord
	for _, s := range r.starts {
		if strings.HasPrefix(s.task, job+".") {
			l = append(l, s)
		}
	}
	return l
}

// tenant and route are parts of the operators' configuration.
type tenant struct {
	Name       string
	APIKeys    []string `json:"ApiKeys"`
	Guaranteed struct{ Gpu int }
}

type route struct {
	Name            string
	Host            string
	Prefix          string
	Kind            string
	TimeoutMs       int
	TargetRuntimeMs int
	Priority        int
	Service         string
	MaxAttempts     int
	SlackFactor     float64
	Public          bool
	Advice          map[string]int `json:",omitempty"`
}

// site is a small deployment: entries and agents as processes, and stand-ins for the rest.
type site struct {
	rec      *record
	service  string
	folder   string
	network  string
	maxLease time.Duration
	bounds   map[string]string
	version  int
	tenants  []tenant
	routes   []route

	store   *stand.Store
	filter  storeFilter
	entries []*daemon
	agents  []*daemon
	workers []*worker
}

// storeFilter reports whether a transaction is carried out late and not answered, and how late.
type storeFilter func(body []byte) (late time.Duration, lost bool)

// daemon is one process of the product.
type daemon struct {
	site *site
	name string
	role string
	ip   string
	path string
	cmd  *exec.Cmd
	mu   sync.Mutex
}

var zones = []string{"fukuoka", "kumamoto", "kagoshima"}

// newSite prepares a deployment with three queues, urgent, normal and patient.
func newSite(folder string) (*site, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt")) //nolint:gosec // the case's own folder
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "review3")
	if err != nil {
		return nil, err
	}
	s := &site{
		rec: &record{
			file:  f,
			begun: time.Now(),
		},
		service:  serviceName,
		folder:   tmp,
		maxLease: 6 * time.Second,
		bounds:   map[string]string{},
		store:    stand.NewStore(),
	}
	for i, n := range []string{"urgent", "normal", "patient"} {
		s.routes = append(s.routes, route{
			Name:            n,
			Host:            hostName,
			Prefix:          "/" + n + "/",
			Kind:            "non_idempotent",
			TimeoutMs:       3000,
			TargetRuntimeMs: []int{250, 1000, 3000}[i],
			Priority:        i,
			Service:         serviceName,
			MaxAttempts:     4,
			SlackFactor:     3,
		})
	}
	return s, nil
}

// addTenant adds a tenant whose key is its name with "-key".
func (s *site) addTenant(name string, gpus int) {
	t := tenant{
		Name:    name,
		APIKeys: []string{name + "-key"},
	}
	t.Guaranteed.Gpu = gpus
	s.tenants = append(s.tenants, t)
}

// publish writes the configuration.
func (s *site) publish() error {
	s.version += 3
	b, err := json.Marshal(map[string]any{
		"Version": s.version, "Routes": s.routes, "Tenants": s.tenants,
		"Services": []map[string]any{{"Name": s.service, "HealthPath": "/healthz", "MaxConns": 64, "Protocol": "h1", "Tls": false, "ColdStartS": 0, "ColdPerS": 0, "AdmissionCheck": false, "Standby": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		return err
	}
	s.store.Put("op/config", b)
	s.rec.printf("configuration %d is acknowledged", s.version)
	return nil
}

// ip returns an address of the deployment's own loopback network.
func (s *site) ip(n int) string { return fmt.Sprintf("%s.%d", s.network, n) }

// listenStore finds a free loopback network and serves the store there.
func (s *site) listenStore() error {
	for range 20 {
		s.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250)) //nolint:gosec // no secret
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", fmt.Sprintf("%s:%d", s.ip(1), storePort))
		if err != nil {
			continue
		}
		v := &http.Server{
			Handler:           http.HandlerFunc(s.serveStore),
			ReadHeaderTimeout: 5 * time.Second,
		}
		go func() { _ = v.Serve(l) }()
		return nil
	}
	return errors.New("no free loopback network")
}

// serveStore passes requests on to the store, but for those that the filter holds back.
func (s *site) serveStore(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(b))
	if s.filter != nil && r.URL.Path == "/kv-txn" {
		if late, lost := s.filter(b); lost {
			time.Sleep(late)
			x := &lostAnswer{
				header: http.Header{},
			}
			s.store.ServeHTTP(x, r.WithContext(context.Background()))
			s.rec.printf("store carries out a write late, status %d; its answer is lost", x.status)
			<-r.Context().Done()
			return
		}
	}
	s.store.ServeHTTP(w, r)
}

// lostAnswer is an answer that nobody gets.
type lostAnswer struct {
	header http.Header
	status int
}

// Header implements http.ResponseWriter.
func (l *lostAnswer) Header() http.Header { return l.header }

// Write implements http.ResponseWriter.
func (l *lostAnswer) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (l *lostAnswer) WriteHeader(status int) { l.status = status }

// settings returns the settings file of a daemon.
func (s *site) settings(d *daemon, zone, class, serves string) string {
	seeds := []string{}
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.ip(11+i), controlPort))
	}
	l := []string{
		"NodeName=" + d.name, "Role=" + d.role, "MachineClass=" + class, "Serves=" + serves, "Ip=" + d.ip, "Zone=" + zone, "Region=kyushu",
		fmt.Sprintf("ListenAddrs.Frontend=%s:%d", d.ip, frontendPort), fmt.Sprintf("ListenAddrs.Ready=%s:%d", d.ip, readyPort),
		fmt.Sprintf("ListenAddrs.ControlPlane=%s:%d", d.ip, controlPort), "PortRange=7000,7015", "Seeds=" + strings.Join(seeds, ","),
		"Bootstrap=true", "FaultCounted=false", "Limits.CpuShare=0.4", "Limits.Cores=1", "Limits.MemoryMb=284", "Limits.MaxFds=4100",
		"Limits.LinkMbps=1000.0", "Limits.DiskMb=0", "Discovery=local", "Entry=vip", "HeartbeatMs=1500",
		"Contracts=base,drain,config,cost,recover,sched,tenants,places,platform,advice,upkeep,sharing",
		"FaultTolerance.Machines=2", "FaultTolerance.Zones=1", "FaultTolerance.Regions=0", "CommandMode=request",
		fmt.Sprintf("platform.Address=%s:%d", s.ip(1), storePort), "platform.form=kv", "platform.WritesPerS=400", "platform.ReadsPerS=2000",
		"platform.HistoryS=20", "platform.ValueBytes=1048576", "platform.TtlMinMs=1000",
		fmt.Sprintf("Advice=%s:%d", s.ip(2), storePort),
	}
	for _, z := range zones {
		l = append(l, "Zones."+z+"=kyushu")
	}
	b := map[string]string{
		"SeedLagS": "3", "ReuseAfterS": "2", "StableWindowMs": "3000", "AckTimeoutMs": "4000", "CatchUpS": "4", "DrainMs": "2000",
		"GraceS": "6", "LossSlackMs": "200", "ConfigApplyMs": "2000", "RollbackSlackMs": "250", "MaxStretchMs": "5000",
		"StrictRevocation": "true", "RevokeMs": "5000", "ColdOverage": "1.5", "ColdSlack": "5", "EvacuateMs": "5000", "RecoveryS": "12",
		"HoldMaxMs": fmt.Sprint(s.maxLease.Milliseconds()), "StopMs": "200", "GangTimeoutMs": "3000", "cancel_ms": "3000",
		"visible_ms": "3000", "early_ms": "250", "finish_s": "14", "status_s": "120", "RemoteFactor": "3", "CheckpointIntervalS": "0.5",
		"RestoreMs": "600", "NoticeMs": "4500", "MoveS": "1.5", "MaintenanceS": "2", "EnforceFencing": "false", "LeaseMs": "3000",
		"ThawSlackMs": "300", "RateMs": "100", "ImpactMs": "4000", "ReclaimMs": "2700",
	}
	for k, v := range s.bounds {
		b[k] = v
	}
	for k, v := range b {
		l = append(l, "Bounds."+k+"="+v)
	}
	if class == "side" {
		l = append(l, fmt.Sprintf("app=%s:%d", d.ip, workerPort), "Service="+s.service)
	}
	return strings.Join(l, "\n") + "\n"
}

// begin starts three entries, and n agents with their workers, and waits until an entry is ready.
func (s *site) begin(n int) error {
	if err := s.listenStore(); err != nil {
		return err
	}
	if err := s.publish(); err != nil {
		return err
	}
	for i := range 3 {
		d := &daemon{
			site: s,
			name: "edge-" + zones[i] + "-1",
			role: "entry",
			ip:   s.ip(11 + i),
		}
		s.entries = append(s.entries, d)
		if err := d.launch(zones[i], "edge", "edge"); err != nil {
			return err
		}
	}
	for i := range n {
		z := zones[i%len(zones)]
		d := &daemon{
			site: s,
			name: fmt.Sprintf("side-%s-%d", z, i),
			role: "agent",
			ip:   s.ip(21 + i),
		}
		s.agents = append(s.agents, d)
		if err := d.launch(z, "side", "side"); err != nil {
			return err
		}
		w := &worker{
			site:      s,
			id:        fmt.Sprintf("i-%08x", 0xa1000000+i),
			zone:      z,
			rack:      fmt.Sprintf("r1-%d", i/3),
			addr:      fmt.Sprintf("%s:%d", d.ip, workerPort),
			agentAddr: fmt.Sprintf("%s:%d", d.ip, controlPort),
			stopTime:  100 * time.Millisecond,
			capacity: size{
				CPU:   64000,
				MemMb: 262144,
				Gpu:   8,
			},
		}
		s.workers = append(s.workers, w)
		if err := w.start(); err != nil {
			return err
		}
	}
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		ready := 0
		for _, d := range s.entries {
			status, _, err := request(context.Background(), http.MethodGet, fmt.Sprintf("http://%s:%d/readyz", d.ip, readyPort), nil, nil)
			if err == nil && status == http.StatusOK {
				ready++
			}
		}
		if ready == len(s.entries) {
			// Traffic begins ten seconds after the machines do; a few are enough here.
			time.Sleep(3 * time.Second)
			s.rec.printf("all entries are ready")
			return nil
		}
	}
	return errors.New("the entries are not ready in time")
}

// launch writes the settings of a daemon and starts it.
func (d *daemon) launch(zone, class, serves string) error {
	d.path = filepath.Join(d.site.folder, d.name+".conf")
	if err := os.WriteFile(d.path, []byte(d.site.settings(d, zone, class, serves)), 0o600); err != nil {
		return err
	}
	return d.run()
}

// run starts the process of a daemon, as the deploy file does.
func (d *daemon) run() error {
	log, err := os.OpenFile(filepath.Join(d.site.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.CommandContext(context.Background(), "target/hemlockhinge", d.role) //nolint:gosec // the product's own programs
	c.Env = append(os.Environ(), "HEMLOCKHINGE_SETTINGS="+d.path)
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{
		Pdeathsig: syscall.SIGKILL,
	}
	if err := c.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	d.cmd = c
	d.mu.Unlock()
	d.site.rec.printf("%s starts", d.name)
	return nil
}

// signal sends a signal to the process of a daemon.
func (d *daemon) signal(v syscall.Signal) {
	d.mu.Lock()
	c := d.cmd
	d.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Signal(v)
	d.site.rec.printf("%s gets %s", d.name, v)
	if v == syscall.SIGKILL {
		_ = c.Wait()
		d.mu.Lock()
		d.cmd = nil
		d.mu.Unlock()
	}
}

// scheduler returns the entry whose log shows the latest term.
func (s *site) scheduler() *daemon {
	var best *daemon
	latest := ""
	for _, d := range s.entries {
		b, err := os.ReadFile(filepath.Join(s.folder, d.name+".log"))
		if err != nil {
			continue
		}
		for _, l := range strings.Split(string(b), "\n") {
			// Lines begin with their time, in a form that sorts.
			if strings.Contains(l, "event=term_begun") && l > latest {
				best, latest = d, l
			}
		}
	}
	return best
}

// restartDelay is how long after its end the platform starts a process again.
const restartDelay = 300 * time.Millisecond

// killScheduler kills the process of the scheduler, which is started again.
func (s *site) killScheduler() error {
	d := s.scheduler()
	if d == nil {
		return errors.New("no entry is the scheduler")
	}
	d.signal(syscall.SIGKILL)
	time.Sleep(restartDelay)
	return d.run()
}

// end ends all processes and removes the temporary folder.
func (s *site) end() {
	for _, w := range s.workers {
		w.crash()
	}
	for _, d := range append(s.entries, s.agents...) {
		d.signal(syscall.SIGKILL)
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("logs:", s.folder)
	}
	_ = s.rec.file.Close()
}

var client = &http.Client{
	Transport: &http.Transport{
		DisableKeepAlives: true,
	},
}

// request makes an HTTP request with a JSON body, unless in is nil.
func request(c context.Context, method, url string, h http.Header, in any) (int, []byte, error) {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return 0, nil, err
		}
		body = bytes.NewReader(b)
	}
	r, err := http.NewRequestWithContext(c, method, url, body)
	if err != nil {
		return 0, nil, err
	}
	for k, v := range h {
		r.Header[k] = v
	}
	if v := h.Get("Host"); v != "" {
		r.Host = v
	}
	r.Header.Set("Content-Type", "application/json")
	p, err := client.Do(r)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	return p.StatusCode, b, err
}

// call makes a client's call at an entry and records it. wait is how long the client stays.
func (s *site) call(entry int, method, path, tenant string, wait time.Duration, in any) (int, string, error) {
	c, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	h := http.Header{
		"Host":                     {hostName},
		"Authorization":            {"Bearer " + tenant + "-key"},
		"Hemlockhinge-Deadline-Ms": {"3000"},
	}
	d := s.entries[entry%len(s.entries)]
	s.rec.printf("client %s %s to %s", method, path, d.name)
	status, b, err := request(c, method, fmt.Sprintf("http://%s:%d%s", d.ip, frontendPort, path), h, in)
	if err != nil {
		s.rec.printf("client %s %s: no answer", method, path)
		return 0, "", err
	}
	s.rec.printf("client %s %s: %d %s", method, path, status, strings.TrimSpace(string(b)))
	return status, string(b), nil
}

// job and step are a job in the words of the wire.
type job struct {
	Spec   string
	Phases []step
}

type step struct {
	Count        int
	CPU          int `json:"Cpu"`
	MemMb        int
	Gpu          int    `json:",omitempty"`
	EstimateMs   int    `json:",omitempty"`
	LongRunning  bool   `json:",omitempty"`
	Fills        bool   `json:",omitempty"`
	TargetMs     int    `json:",omitempty"`
	MaxPerServer int    `json:",omitempty"`
	Image        string `json:",omitempty"`
	MayMiss      int    `json:",omitempty"`
	Gang         bool   `json:",omitempty"`
	Affinity     string `json:",omitempty"`
	// RequiredLabel is a label that the worker must have.
	RequiredLabel string `json:",omitempty"`
	After         []int  `json:",omitempty"`
}

const deadline = 3 * time.Second

// branch is the tenant whose job a case is about, and serving one that keeps workers busy.
const (
	branch  = "branch"
	serving = "serving"
)

var errNotAccepted = errors.New("a job was not accepted")

// submit hands a job in, again at another entry after no answer, 502 or 504, and returns when it was
// acknowledged.
func (s *site) submit(queue, id, tenant string, j job) (time.Time, error) {
	for i := range 8 {
		status, _, err := s.call(i, http.MethodPost, "/"+queue+"/"+id, tenant, deadline, j)
		if err == nil && status/100 == 2 {
			return time.Now(), nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return time.Time{}, errNotAccepted
}

// state asks for the state of a job of the tenant branch, at one entry after the other until one answers.
func (s *site) state(queue, id string) string {
	for i := range 6 {
		status, b, err := s.call(i, http.MethodGet, "/"+queue+"/"+id, branch, deadline, nil)
		if err == nil && status == http.StatusOK {
			var v struct{ State string }
			_ = json.Unmarshal([]byte(b), &v)
			return v.State
		}
		if err == nil && status == http.StatusGone {
			return "gone"
		}
		time.Sleep(200 * time.Millisecond)
	}
	return ""
}

// isRunning reports whether a worker runs a task of a job.
func (s *site) isRunning(id string) bool {
	for _, w := range s.workers {
		for _, n := range w.running() {
			if strings.HasPrefix(n, id+".") {
				return true
			}
		}
	}
	return false
}

// waitFor waits until f holds, for at most d.
func waitFor(d time.Duration, f func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}
