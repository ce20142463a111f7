// Package pause waits in a way that a context can end.
//
// # Usage
//
//	for pause.For(ctx, time.Second) {
//		... // once a second, until ctx ends
//	}
package pause

import (
	"context"
	"time"
)

// Wake wakes the one goroutine that waits on c, a channel of capacity one, now or
// when it next waits.
func Wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// For waits for d and reports whether c is still alive.
func For(c context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c.Done():
		return false
	case <-t.C:
		return true
	}
}
