package guard

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
)

// pipes is a listener whose connections are pipes.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	close(p.done)
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

// dial opens a connection.
func (p *pipes) dial() net.Conn {
	a, b := net.Pipe()
	p.conns <- b
	return a
}

// server is a guarded server that answers each request with the length of its body.
type server struct {
	pipes
	guard    *Guard
	listener *Listener
	http     http.Server
	heads    Heads
}

func quiet() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

func serve(s Settings, heads Heads) *server {
	v := &server{
		pipes: pipes{
			conns: make(chan net.Conn),
			done:  make(chan struct{}),
		},
		guard: New(s.WithDefaults(64<<20, 1000), nil, quiet()),
		heads: heads,
	}
	v.listener = v.guard.HTTP(&v.pipes, Callers, func() Heads { return v.heads })
	v.http.Handler = v.guard.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(r.Body)
		var e *RefusedError
		switch {
		case errors.As(err, &e):
			SetHeaders(w.Header())
			w.WriteHeader(http.StatusServiceUnavailable)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		default:
			_, _ = fmt.Fprintf(w, "%d", len(b))
		}
	}))
	v.http.ReadHeaderTimeout = time.Hour
	v.http.IdleTimeout = time.Hour
	v.listener.Attach(&v.http)
	go func() { _ = v.http.Serve(v.listener) }()
	return v
}

func (s *server) close() {
	_ = s.http.Shutdown(context.Background())
	_ = s.http.Close()
}

// answer reads an answer, and returns its status or 0 if the connection was closed.
func answer(c net.Conn) int {
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return r.StatusCode
}

// write writes in the background, since a pipe has no buffer.
func write(c net.Conn, s string) {
	go func() { _, _ = io.WriteString(c, s) }()
	synctest.Wait()
}

func post(length int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, body)
}

var testHeads = Heads{
	MaxBytes: 8 << 10,
	Timeout:  3 * time.Second,
	Idle:     15 * time.Second,
}

// TestHeadTimes guards against heads and idle connections that last longer than the
// configuration in force allows, also when it changes while connections are open.
func TestHeadTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(Settings{}, testHeads)
		defer s.close()
		for _, heads := range []Heads{testHeads, {Timeout: time.Second, Idle: 5 * time.Second}} {
			s.heads = heads
			begun := time.Now()
			c := s.dial()
			write(c, "GET / HTTP/1.1\r\nX: ")
			answer(c)
			if d := time.Since(begun); d != heads.Timeout {
				t.Errorf("a head that does not end was closed after %s, want %s", d, heads.Timeout)
			}
			c = s.dial()
			for range 3 {
				write(c, post(2, "{}"))
				if n := answer(c); n != http.StatusOK {
					t.Fatalf("status %d", n)
				}
				time.Sleep(heads.Idle - time.Second)
			}
			time.Sleep(2 * time.Second)
			write(c, post(2, "{}"))
			if n := answer(c); n != 0 {
				t.Errorf("status %d on a connection that was idle too long", n)
			}
		}
	})
}

// TestHeadBytes guards against heads over the limit, and against a limit that a head of legal
// size or a body meets.
func TestHeadBytes(t *testing.T) {
	cases := []struct {
		name   string
		header int
		body   int
		want   int
	}{
		{"short", 100, 0, http.StatusOK},
		{"largest", testHeads.MaxBytes - 200, 0, http.StatusOK},
		{"largest with a body", testHeads.MaxBytes - 200, 100_000, http.StatusOK},
		{"too long", testHeads.MaxBytes + 2*readBuffer, 0, http.StatusRequestHeaderFieldsTooLarge},
		{"far too long", 100 * testHeads.MaxBytes, 0, http.StatusRequestHeaderFieldsTooLarge},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := serve(Settings{}, testHeads)
				defer s.close()
				c := s.dial()
				write(c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nX-Long: %s\r\nContent-Length: %d\r\n\r\n%s", strings.Repeat("x", v.header), v.body, strings.Repeat("x", v.body)))
				if n := answer(c); n != v.want {
					t.Errorf("status %d, want %d", n, v.want)
				}
				_ = c.Close()
				synctest.Wait()
				if n := s.guard.bodies.Held(); n != 0 {
					t.Errorf("%d bytes are still held", n)
				}
			})
		})
	}
}

// TestBodyProgress guards against a body that stops short and holds its connection, and against
// a slow one that is cut off although it makes progress.
func TestBodyProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := serve(Settings{}, testHeads)
		defer s.close()
		c := s.dial()
		write(c, post(10, ""))
		for range 10 {
			time.Sleep(defaultStallTime - time.Second)
			write(c, "x")
		}
		if n := answer(c); n != http.StatusOK {
			t.Errorf("status %d for a slow body", n)
		}
		begun := time.Now()
		write(c, post(10, "xxxxx"))
		if n := answer(c); n != http.StatusServiceUnavailable || time.Since(begun) != defaultStallTime {
			t.Errorf("status %d after %s for a body that stops short", n, time.Since(begun))
		}
		synctest.Wait()
		if n := s.guard.bodies.Held(); n != 0 {
			t.Errorf("%d bytes are still held", n)
		}
	})
}

// TestBodiesShareBytes guards against bodies that use up the budget and keep all others out.
func TestBodiesShareBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const length = 100_000
		s := serve(Settings{
			BodyBytes: 4 * bodyCopies * length,
		}, testHeads)
		defer s.close()
		var stuck []net.Conn
		for range 10 {
			c := s.dial()
			write(c, post(length, strings.Repeat("x", length-1)))
			stuck = append(stuck, c)
		}
		if n := s.guard.bodies.Held(); n > 4*bodyCopies*length {
			t.Errorf("%d bytes are held", n)
		}
		c := s.dial()
		write(c, post(length/10, strings.Repeat("x", length/10)))
		if n := answer(c); n != http.StatusOK {
			t.Errorf("status %d for a small body beside large ones", n)
		}
		time.Sleep(2 * defaultYieldTime)
		write(c, post(length, strings.Repeat("x", length)))
		if n := answer(c); n != http.StatusOK {
			t.Errorf("status %d for a large body beside stalled ones", n)
		}
		for _, c := range stuck {
			_ = c.Close()
		}
	})
}

// TestCustomersShareBytes guards against one customer whose bodies keep those of another out.
func TestCustomersShareBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := budget{
			limit:     100,
			yieldTime: defaultYieldTime,
		}
		var large []*claim
		for range 10 {
			c := b.claim(&net.TCPConn{})
			c.attribute("large")
			if !c.grow(10) {
				t.Fatal("no room in an empty budget")
			}
			large = append(large, c)
		}
		c := b.claim(&net.TCPConn{})
		c.attribute("large")
		if c.grow(10) {
			t.Error("a customer displaced an equal body of its own")
		}
		c.attribute("small")
		if !c.grow(50) {
			t.Error("a customer got no half of the budget")
		}
		if c.grow(10) {
			t.Error("a customer got more than half of the budget")
		}
		c.release()
		for _, v := range large {
			v.release()
		}
		if b.Held() != 0 || len(b.claims) != 0 || len(b.customers) != 0 {
			t.Errorf("%d bytes, %d claims, %d customers are left", b.held, len(b.claims), len(b.customers))
		}
	})
}

// TestSettledBodyKeepsClaim guards against a request that is refused as not run while it is
// being handled.
func TestSettledBodyKeepsClaim(t *testing.T) {
	b := budget{
		limit:     10,
		yieldTime: defaultYieldTime,
	}
	c := b.claim(&net.TCPConn{})
	if !c.grow(10) || !c.settle() {
		t.Fatal("no room in an empty budget")
	}
	v := b.claim(&net.TCPConn{})
	v.attribute("other")
	if v.grow(1) {
		t.Error("a body that is being handled lost its claim")
	}
}

// TestConnectionsGiveWay guards against connections that keep all others out, and against one
// whose request is being handled or has just begun that gives way.
func TestConnectionsGiveWay(t *testing.T) {
	ok := post(2, "{}")
	cases := []struct {
		name string
		sent string
		// served is set if the connection has had an answer.
		served bool
		wait   time.Duration
		want   int
	}{
		{"silent", "", false, 2 * defaultYieldTime, http.StatusOK},
		{"silent, just opened", "", false, 0, http.StatusServiceUnavailable},
		{"idle", ok, true, 0, http.StatusOK},
		{"head that stands still", "GET / HT", false, 2 * defaultYieldTime, http.StatusOK},
		{"body that stands still", post(9, "x"), false, 2 * defaultYieldTime, http.StatusOK},
		{"body that has begun", post(9, "x"), false, 0, http.StatusServiceUnavailable},
		{"answer that nobody reads", ok, false, 2 * defaultYieldTime, http.StatusOK},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := serve(Settings{
					MaxCallers: 2,
				}, testHeads)
				defer s.close()
				for range 2 {
					c := s.dial()
					defer func() { _ = c.Close() }()
					write(c, v.sent)
					if v.served {
						answer(c)
					}
				}
				time.Sleep(v.wait)
				synctest.Wait()
				c := s.dial()
				defer func() { _ = c.Close() }()
				write(c, ok)
				if n := answer(c); n != v.want {
					t.Errorf("status %d for a new connection, want %d", n, v.want)
				}
				if n := s.listener.Len(); n > 2 {
					t.Errorf("%d connections", n)
				}
			})
		})
	}
}

// TestDefaults guards against limits that clients of an ordinary size meet, and against
// budgets that exceed the memory and the descriptors of the smallest machines together.
func TestDefaults(t *testing.T) {
	const goMemoryShare = 0.7
	machines := []struct {
		memory      int64
		descriptors int
	}{{144 << 20, 3075}, {152 << 20, 4096}, {536 << 20, 10250}, {0, 0}}
	for _, m := range machines {
		s := Settings{}.WithDefaults(m.memory, m.descriptors)
		if s.MaxCallers < 1200 || s.BodyBytes < 800*bodyCopies*10<<10 || s.MaxPeers < 300 {
			t.Errorf("%+v: too little for ordinary clients: %+v", m, s)
		}
		if m.memory == 0 {
			continue
		}
		conns := s.MaxCallers + s.MaxPeers + s.MaxProbes + s.MaxOperators
		if n := int64(conns)*connectionBytes + s.BodyBytes + s.FrameBytes; n > int64(goMemoryShare*float64(m.memory)) {
			t.Errorf("%+v: budgets of %d bytes in all", m, n)
		}
		if n := conns + 2*s.MaxOutgoing; n > m.descriptors-fileDescriptors {
			t.Errorf("%+v: %d connections in all", m, n)
		}
	}
	if s := (Settings{MaxCallers: 7}).WithDefaults(0, 0); s.MaxCallers != 7 {
		t.Errorf("setting was replaced: %+v", s)
	}
}

// FuzzRequests guards against bytes of a caller that take a process down, or that leave bytes
// or connections held after the connection has ended.
func FuzzRequests(f *testing.F) {
	f.Add([]byte(post(2, "{}") + post(4, "{")))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;x=y\r\n{\r\n0\r\nT: v\r\n\r\n"))
	f.Add([]byte("\r\n\r\nGET / HTTP/1.1\r\nX: " + strings.Repeat("x", 30<<10)))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 50_000)))
	f.Fuzz(func(t *testing.T, b []byte) {
		s := serve(Settings{
			BodyBytes: 256 << 10,
			StallTime: 50 * time.Millisecond,
		}, testHeads)
		c := s.dial()
		read := make(chan struct{})
		go func() {
			defer close(read)
			_, _ = io.Copy(io.Discard, c)
		}()
		_ = c.SetWriteDeadline(time.Now().Add(time.Second))
		_, _ = c.Write(b)
		_ = c.Close()
		<-read
		for end := time.Now().Add(5 * time.Second); s.listener.Len() > 0 || s.guard.bodies.Held() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%d connections and %d bytes are still held", s.listener.Len(), s.guard.bodies.Held())
			}
		}
		s.close()
	})
}
