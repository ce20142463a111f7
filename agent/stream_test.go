package agent

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"

	"hemlockhinge/wire"
)

// TestBodyReaderLeavesNextRequest has two readers of one body, as when the
// worker answers before its transport has read the body's end, and checks that
// the next request's head is still there.
func TestBodyReaderLeavesNextRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := net.Pipe()
		s := &stream{
			conn:   wire.NewConn(a),
			frames: make(chan wire.Frame),
		}
		c, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			_ = a.Close()
			_ = b.Close()
			synctest.Wait()
		}()
		go s.read(c)
		r := newReader(c, s)
		var w sync.WaitGroup
		for range 2 {
			w.Go(func() { _, _ = io.Copy(io.Discard, r) })
		}
		synctest.Wait()
		e := wire.NewConn(b)
		for _, m := range []wire.Message{&wire.BodyChunk{Data: []byte("x")}, &wire.BodyEnd{}} {
			if err := e.Send(m); err != nil {
				t.Fatal(err)
			}
		}
		w.Wait()
		go func() { _ = e.Send(&wire.RequestHead{ID: "next"}) }()
		f, ok := s.next(c)
		if h, is := f.Message.(*wire.RequestHead); !ok || !is || h.ID != "next" {
			t.Errorf("got %T, not the head of the next request", f.Message)
		}
	})
}
