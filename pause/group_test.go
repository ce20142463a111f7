package pause_test

import (
	"sync"
	"sync/atomic"
	"testing"

	"hemlockhinge/pause"
)

// TestGroup guards against a process that crashes while it shuts down, because requests in
// progress start goroutines while their end is awaited.
func TestGroup(t *testing.T) {
	var g pause.Group
	var started, ended atomic.Int64
	var w sync.WaitGroup
	for range 8 {
		w.Go(func() {
			for g.Go(func() { ended.Add(1) }) {
				started.Add(1)
			}
		})
	}
	for started.Load() == 0 {
	}
	g.Close()
	w.Wait()
	if started.Load() != ended.Load() {
		t.Errorf("%d goroutines started, %d ended before Close returned", started.Load(), ended.Load())
	}
}
