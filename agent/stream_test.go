package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"

	"hemlockhinge/wire"
	"hemlockhinge/worker"
)

// TestBodyReaderLeavesNextRequest guards against a read of a request's body that
// consumes the head of the next request. This can happen if the worker responds before
// its HTTP transport has read the end of the body: the transport and the stream then
// read the same body at once.
func TestBodyReaderLeavesNextRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b := net.Pipe()
		s := &requestStream{
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
		go s.readFrames(c)
		r := newBodyReader(c, s)
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
		f, ok := s.nextFrame(c)
		if h, is := f.Message.(*wire.RequestHead); !ok || !is || h.ID != "next" {
			t.Errorf("got %T, want the head of the next request", f.Message)
		}
	})
}

// TestWorkerNotReached guards against reporting that a request may have run although
// the worker client could not connect. workerNotReached finds the method NotSent of
// worker.CallError through an interface, so that the compiler does not notice if the
// method is renamed.
func TestWorkerNotReached(t *testing.T) {
	dial := &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	read := &net.OpError{Op: "read", Err: errors.New("connection reset")}
	if err := fmt.Errorf("serve: %w", &worker.CallError{Op: "serve", Err: dial}); !workerNotReached(err) {
		t.Errorf("workerNotReached(%v) is false, want true", err)
	}
	if err := fmt.Errorf("serve: %w", &worker.CallError{Op: "serve", Err: read}); workerNotReached(err) {
		t.Errorf("workerNotReached(%v) is true, want false", err)
	}
}
