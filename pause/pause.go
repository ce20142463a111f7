// Package pause provides waits that end with a context, and wake-up signals.
//
// # Usage
//
//	for pause.For(ctx, time.Second) {
//		... // once a second, until ctx is done
//	}
package pause

import (
	"context"
	"time"
)

// Wake signals the only goroutine that receives from c, a channel of capacity one.
// If it is not waiting, the signal is kept until it does; further signals are
// dropped meanwhile.
func Wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// For waits for d. It returns false if c is done before that.
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
