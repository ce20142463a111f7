package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/pprof"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/pprof/profile"
	"github.com/sirupsen/logrus"

	"hemlockhinge/agent"
	"hemlockhinge/conf"
	"hemlockhinge/entry"
	"hemlockhinge/fakes"
	"hemlockhinge/pack"
	"hemlockhinge/wire"
)

// countingNetwork is a TCP network that counts the bytes received and sent on all its
// connections.
type countingNetwork struct {
	wire.TCP
	received atomic.Int64
	sent     atomic.Int64
}

type countingConn struct {
	net.Conn
	network *countingNetwork
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.network.received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.network.sent.Add(int64(n))
	return n, err
}

type countingListener struct {
	net.Listener
	network *countingNetwork
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{
		Conn:    c,
		network: l.network,
	}, nil
}

// Dial implements wire.Network.
func (m *countingNetwork) Dial(c context.Context, addr string) (net.Conn, error) {
	n, err := m.TCP.Dial(c, addr)
	if err != nil {
		return nil, err
	}
	return &countingConn{
		Conn:    n,
		network: m,
	}, nil
}

// Listen implements wire.Network.
func (m *countingNetwork) Listen(addr string) (net.Listener, error) {
	l, err := m.TCP.Listen(addr)
	if err != nil {
		return nil, err
	}
	return &countingListener{
		Listener: l,
		network:  m,
	}, nil
}

// site is a failure domain in this process: an entry, which is optional, and agents
// with stand-ins for their workers.
type site struct {
	store          *fakes.Store
	entry          *entry.Entry
	entryNet       *countingNetwork
	httpAddr       string
	wireAddr       string
	agents         []*agent.Agent
	agentNets      []*countingNetwork
	cancel         context.CancelFunc
	group          sync.WaitGroup
	domain         conf.FailureDomain
	extraCustomers int
}

const loopback = "127.0.0.1:0"

// waitTimeout bounds each call of waitFor.
const waitTimeout = time.Minute

func discardLog() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

// newSite starts n agents of one failure domain. If withEntry is set, it also starts an
// entry, and waits until that entry schedules the domain and all agents are ready.
func newSite(n int, withEntry bool) (*site, error) {
	c, cancel := context.WithCancel(context.Background())
	s := &site{
		store:    fakes.NewStore(),
		entryNet: &countingNetwork{},
		cancel:   cancel,
		httpAddr: freeAddress(),
		wireAddr: freeAddress(),
		domain: conf.FailureDomain{
			Name:           "d0",
			Region:         "r0",
			Workers:        max(n, 1),
			WorkersPerRack: 3,
			Worker: pack.Size{
				Accelerators: 2,
				Cores:        64,
				MemoryGiB:    256,
			},
		},
	}
	if withEntry {
		s.startEntry(c)
	}
	for i := range n {
		s.startAgent(c, i)
	}
	if !withEntry {
		return s, nil
	}
	return s, s.waitUntilReady(n)
}

func freeAddress() string {
	l, err := wire.TCP{}.Listen(loopback)
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// goWithRole runs f in a goroutine with a profiler label, by which cpuByRole attributes
// CPU time to a role.
func (s *site) goWithRole(c context.Context, role string, f func(c context.Context)) {
	s.group.Go(func() { pprof.Do(c, pprof.Labels("role", role), f) })
}

func (s *site) startEntry(c context.Context) {
	s.entry = entry.New(entry.Ports{
		Net:   s.entryNet,
		Store: s.store,
		Log:   discardLog(),
	}, conf.EntrySettings{
		ID:            "entry-1",
		FailureDomain: "d0",
		HTTPListen:    s.httpAddr,
		WireListen:    s.wireAddr,
	})
	s.goWithRole(c, "entry", func(c context.Context) { _ = s.entry.Run(c, nil) })
}

func (s *site) startAgent(c context.Context, i int) {
	id := fmt.Sprintf("w%d", i)
	m := &countingNetwork{}
	a := agent.New(agent.Ports{
		Net:    m,
		Worker: fakes.NewWorker(id),
		Log:    discardLog(),
	}, conf.AgentSettings{
		ID:            id,
		FailureDomain: "d0",
		Rack:          fmt.Sprintf("r%d", i/3),
		WireListen:    loopback,
		HTTPListen:    loopback,
		Entries:       []string{s.wireAddr},
		Services:      []string{"raspored"},
		Slots:         8,
		Connections:   64,
		Capacity:      s.domain.Worker,
	})
	s.agents = append(s.agents, a)
	s.agentNets = append(s.agentNets, m)
	s.goWithRole(c, "agent", func(c context.Context) { _ = a.Run(c, nil) })
}

func (s *site) stop() {
	s.cancel()
	s.group.Wait()
}

// objects returns the configuration of the site, with extraCustomers customers
// besides the one that submits jobs.
func (s *site) objects() conf.Objects {
	o := conf.Objects{
		FailureDomains: []conf.FailureDomain{s.domain},
		Customers:      []conf.Customer{{Name: "c"}},
		Services:       []conf.Service{{Name: "raspored"}},
		JobClasses:     []conf.JobClass{{Name: "batch", Priority: 10}},
	}
	for i := range s.extraCustomers {
		o.Customers = append(o.Customers, conf.Customer{
			Name:                   fmt.Sprintf("customer-%d", i),
			Weight:                 1 + i%5,
			MaxRunningAccelerators: 100,
		})
	}
	return o
}

func (s *site) publish(version uint64) error {
	b, err := json.Marshal(s.objects())
	if err != nil {
		return err
	}
	return s.do(http.MethodPut, "/v1/config", fmt.Sprint(version), b, nil)
}

func (s *site) do(method, path, match string, body []byte, out any) error {
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+s.httpAddr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if match != "" {
		r.Header.Set("If-Match", match)
	}
	p, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return err
	}
	if p.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s %s: status %d: %s", method, path, p.StatusCode, b)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(b, out)
}

// waitUntilReady publishes the configuration, and waits until the entry schedules the
// failure domain and all n agents are connected and have the configuration.
func (s *site) waitUntilReady(n int) error {
	if err := waitFor(func() bool { return s.publish(0) == nil }); err != nil {
		return fmt.Errorf("publish configuration: %w", err)
	}
	err := waitFor(func() bool {
		v := s.entry.Status()
		return v.Agents == n && v.FailureDomains[0].Scheduler != "" && s.agentsHaveVersion(1)
	})
	if err != nil {
		return fmt.Errorf("wait for %d agents: %w", n, err)
	}
	return nil
}

// agentsHaveVersion reports whether every agent has at least version v of the
// configuration.
func (s *site) agentsHaveVersion(v uint64) bool {
	for _, a := range s.agents {
		if a.State().ConfigVersion < v {
			return false
		}
	}
	return true
}

func waitFor(f func() bool) error {
	e := time.Now().Add(waitTimeout)
	for !f() {
		if time.Now().After(e) {
			return fmt.Errorf("condition not met within %s", waitTimeout)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

// cpuByRole takes a CPU profile of d and returns how many cores each role used on
// average.
func cpuByRole(d time.Duration) (map[string]float64, error) {
	var b bytes.Buffer
	if err := pprof.StartCPUProfile(&b); err != nil {
		return nil, err
	}
	time.Sleep(d)
	pprof.StopCPUProfile()
	p, err := profile.Parse(&b)
	if err != nil {
		return nil, err
	}
	m := map[string]float64{}
	for _, s := range p.Sample {
		r := "none"
		if l := s.Label["role"]; len(l) > 0 {
			r = l[0]
		}
		m[r] += float64(s.Value[1]) / float64(d.Nanoseconds())
	}
	return m, nil
}

// heapInUse returns the bytes of the heap and of stacks in use after a garbage
// collection.
func heapInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
