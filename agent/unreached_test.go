package agent

import (
	"errors"
	"fmt"
	"net"
	"testing"

	"hemlockhinge/worker"
)

// TestUnreached guards against the agent reporting that a request may have run
// although the worker client could not connect. The method that tells is found
// by its name through an interface, so that the compiler does not notice when
// it is renamed on one side only.
func TestUnreached(t *testing.T) {
	dial := &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	read := &net.OpError{Op: "read", Err: errors.New("connection reset")}
	if err := fmt.Errorf("serve: %w", &worker.CallError{Op: "serve", Err: dial}); !unreached(err) {
		t.Errorf("unreached(%v) is false, want true", err)
	}
	if err := fmt.Errorf("serve: %w", &worker.CallError{Op: "serve", Err: read}); unreached(err) {
		t.Errorf("unreached(%v) is true, want false", err)
	}
}
