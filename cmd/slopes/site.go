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

// meter is a network whose connections count their bytes.
type meter struct {
	wire.TCP
	in  atomic.Int64
	out atomic.Int64
}

type meteredConn struct {
	net.Conn
	m *meter
}

func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.in.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.out.Add(int64(n))
	return n, err
}

type meteredListener struct {
	net.Listener
	m *meter
}

func (l *meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{
		Conn: c,
		m:    l.m,
	}, nil
}

// Dial implements wire.Network.
func (m *meter) Dial(c context.Context, addr string) (net.Conn, error) {
	n, err := m.TCP.Dial(c, addr)
	if err != nil {
		return nil, err
	}
	return &meteredConn{
		Conn: n,
		m:    m,
	}, nil
}

// Listen implements wire.Network.
func (m *meter) Listen(addr string) (net.Listener, error) {
	l, err := m.TCP.Listen(addr)
	if err != nil {
		return nil, err
	}
	return &meteredListener{
		Listener: l,
		m:        m,
	}, nil
}

// site is one entry and some agents in this process.
type site struct {
	store  *fakes.Store
	entry  *entry.Entry
	net    *meter
	http   string
	wire   string
	agents []*agent.Agent
	nets   []*meter
	cancel context.CancelFunc
	group  sync.WaitGroup
	domain conf.FailureDomain
	extra  int
}

const loopback = "127.0.0.1:0"

// readyWait bounds the wait for a step of the set-up.
const readyWait = time.Minute

func quiet() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

// newSite starts an entry, if asked, and n agents of one failure domain.
func newSite(n int, withEntry bool) (*site, error) {
	c, cancel := context.WithCancel(context.Background())
	s := &site{
		store:  fakes.NewStore(),
		net:    &meter{},
		cancel: cancel,
		http:   free(),
		wire:   free(),
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
	return s, s.settle(n)
}

func free() string {
	l, err := wire.TCP{}.Listen(loopback)
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// labelled runs f with a label by which a processor profile tells roles apart.
func (s *site) labelled(c context.Context, role string, f func(c context.Context)) {
	s.group.Go(func() { pprof.Do(c, pprof.Labels("role", role), f) })
}

func (s *site) startEntry(c context.Context) {
	s.entry = entry.New(entry.Ports{
		Net:   s.net,
		Store: s.store,
		Log:   quiet(),
	}, conf.EntrySettings{
		ID:            "entry-1",
		FailureDomain: "d0",
		HTTPListen:    s.http,
		WireListen:    s.wire,
	})
	s.labelled(c, "entry", func(c context.Context) { _ = s.entry.Run(c, nil) })
}

func (s *site) startAgent(c context.Context, i int) {
	id := fmt.Sprintf("w%d", i)
	m := &meter{}
	a := agent.New(agent.Ports{
		Net:    m,
		Worker: fakes.NewWorker(id),
		Log:    quiet(),
	}, conf.AgentSettings{
		ID:            id,
		FailureDomain: "d0",
		Rack:          fmt.Sprintf("r%d", i/3),
		WireListen:    loopback,
		HTTPListen:    loopback,
		Entries:       []string{s.wire},
		Services:      []string{"raspored"},
		Slots:         8,
		Connections:   64,
		Capacity:      s.domain.Worker,
	})
	s.agents = append(s.agents, a)
	s.nets = append(s.nets, m)
	s.labelled(c, "agent", func(c context.Context) { _ = a.Run(c, nil) })
}

func (s *site) stop() {
	s.cancel()
	s.group.Wait()
}

// objects is the site's configuration, with extra customers and guarantees.
func (s *site) objects() conf.Objects {
	o := conf.Objects{
		FailureDomains: []conf.FailureDomain{s.domain},
		Customers:      []conf.Customer{{Name: "c"}},
		Services:       []conf.Service{{Name: "raspored"}},
		JobClasses:     []conf.JobClass{{Name: "batch", Priority: 10}},
	}
	for i := range s.extra {
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
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+s.http+path, bytes.NewReader(body))
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

// settle publishes the objects and waits until every agent is there.
func (s *site) settle(n int) error {
	if err := until(func() bool { return s.publish(0) == nil }); err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	err := until(func() bool {
		v := s.entry.Status()
		return v.Agents == n && v.FailureDomains[0].Scheduler != "" && s.inForce(1)
	})
	if err != nil {
		return fmt.Errorf("%d agents: %w", n, err)
	}
	return nil
}

// inForce reports whether every agent has a version.
func (s *site) inForce(v uint64) bool {
	for _, a := range s.agents {
		if a.State().ConfigVersion < v {
			return false
		}
	}
	return true
}

func until(f func() bool) error {
	e := time.Now().Add(readyWait)
	for !f() {
		if time.Now().After(e) {
			return fmt.Errorf("not within %s", readyWait)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

// cpu profiles the process for d and returns the share of a core that each
// role used.
func cpu(d time.Duration) (map[string]float64, error) {
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

// heap returns the bytes in use after a collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}
