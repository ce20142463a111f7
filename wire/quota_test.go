package wire

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// testQuota is a quota of a number of bytes.
type testQuota struct {
	mu   sync.Mutex
	free int
}

func (q *testQuota) Reserve(n int) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if n > q.free {
		return false
	}
	q.free -= n
	return true
}

func (q *testQuota) Release(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.free += n
}

func (q *testQuota) StallTime() time.Duration { return time.Second }

func (q *testQuota) left() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.free
}

// TestClaimedLength guards against a frame that reserves memory by its claimed length, and
// against one that stands still and keeps what it has reserved.
func TestClaimedLength(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := net.Pipe()
		q := &testQuota{
			free: MaxFrame,
		}
		c := NewConn(b)
		c.SetQuota(q)
		read := make(chan error, 1)
		go func() {
			_, err := c.Read()
			read <- err
		}()
		_ = binary.Write(a, binary.BigEndian, uint32(MaxFrame))
		_, _ = a.Write(make([]byte, 10))
		synctest.Wait()
		if n := MaxFrame - q.left(); n > 2*firstFrameBytes {
			t.Errorf("%d bytes are reserved for 10", n)
		}
		if err := <-read; !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("frame that stands still: %v", err)
		}
		if q.left() != MaxFrame {
			t.Errorf("%d bytes are still reserved", MaxFrame-q.left())
		}
	})
}

// TestQuota guards against frames that are handled beyond the quota, for their bytes or for their
// decoded values, and against a quota that is not given back.
func TestQuota(t *testing.T) {
	small := &GetJobState{
		Job: "x",
	}
	cases := []struct {
		name string
		m    Message
		free int
		ok   bool
	}{
		{"small", small, 1 << 20, true},
		{"no room", small, 2, false},
		{"large", &GetJobState{Job: string(make([]byte, 1<<19))}, 1 << 20, true},
		{"too large", &GetJobState{Job: string(make([]byte, 1<<21))}, 1 << 20, false},
		{"values", &AgentStatus{Runs: make([]RunState, 1000)}, 1 << 20, true},
		{"too many values", &AgentStatus{Runs: make([]RunState, 20_000)}, 1 << 20, false},
	}
	for _, v := range cases {
		t.Run(v.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, b := net.Pipe()
				q := &testQuota{
					free: v.free,
				}
				c := NewConn(b)
				c.SetQuota(q)
				held := 0
				server := NewPeerFromConn(c, HandlerFunc(func(context.Context, *Peer, Message) (Message, error) {
					held = v.free - q.left()
					return nil, nil
				}))
				go func() { _ = server.Run(t.Context()) }()
				client := NewPeer(a, RefuseCalls)
				go func() { _ = client.Run(t.Context()) }()
				_, err := CallFor[*Ack](t.Context(), client, v.m, time.Second)
				if (err == nil) != v.ok {
					t.Errorf("error %v", err)
				}
				if v.ok && held == 0 {
					t.Error("nothing was reserved while the message was handled")
				}
				client.Close()
				server.Close()
				synctest.Wait()
				if q.left() != v.free {
					t.Errorf("%d bytes are still reserved", v.free-q.left())
				}
			})
		})
	}
}
