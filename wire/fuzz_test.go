package wire

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

// FuzzDecode guards against a malformed frame that takes a process down.
func FuzzDecode(f *testing.F) {
	for k, c := range constructors {
		if c == nil {
			continue
		}
		b, err := encode(Frame{
			ID:      uint64(k),
			Message: c(),
		})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b[headerBytes:])
		f.Add(b[headerBytes : len(b)-1])
	}
	f.Add([]byte{0xff, 0x00})
	f.Fuzz(func(t *testing.T, b []byte) {
		v, err := decode(b)
		if err != nil {
			var e *FrameError
			if !errors.As(err, &e) {
				t.Errorf("error %v, not *FrameError", err)
			}
			return
		}
		if _, err := encode(v); err != nil {
			t.Errorf("decoded frame cannot be encoded: %v", err)
		}
	})
}

// TestHandlerPanicClosesConnection guards against a message whose handling panics and takes
// the whole process down, and every process in turn to which it is sent again.
func TestHandlerPanicClosesConnection(t *testing.T) {
	a, b := net.Pipe()
	h := HandlerFunc(func(context.Context, *Peer, Message) (Message, error) { panic("out of range") })
	c, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan error)
	go func() { done <- NewPeer(a, h).Run(c) }()
	p := NewPeer(b, RefuseCalls)
	go func() { _ = p.Run(c) }()
	_, err := CallFor[*Ack](c, p, &Ping{}, time.Second)
	var r *RefusedError
	if !errors.As(err, &r) || r.Code != CodeInternal {
		t.Errorf("call ended with %v, want a refusal with CodeInternal", err)
	}
	var e *PanicError
	if err := <-done; !errors.As(err, &e) {
		t.Errorf("Run returned %v, want *PanicError", err)
	}
}
