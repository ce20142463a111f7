package runner

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hemlockhinge/wire"
)

// ForeignHeartbeatError says that a heartbeat is not from the worker: the worker has another
// identity than the one in the heartbeat. Born is the start time in the worker's answer, 0 if
// it has another id.
type ForeignHeartbeatError struct {
	ID   string
	Born int64
}

func (e *ForeignHeartbeatError) Error() string {
	return fmt.Sprintf("the worker at this address is not incarnation %q; its start time is %d", e.ID, e.Born)
}

// UnconfirmedHeartbeatError says that a heartbeat names another incarnation than the known worker,
// and that the worker did not answer when it was asked. The heartbeat may be sent again.
type UnconfirmedHeartbeatError struct {
	ID   string
	Born int64
}

func (e *UnconfirmedHeartbeatError) Error() string {
	return fmt.Sprintf("the worker did not confirm that it is incarnation %q, started at %d", e.ID, e.Born)
}

// unconfirmed returns the error for a heartbeat whose sender could not be confirmed.
func unconfirmed(f wire.WorkerInfo) error {
	return &UnconfirmedHeartbeatError{
		ID:   f.ID,
		Born: f.Born,
	}
}

// identity says what is known of the sender of a heartbeat.
type identity int

const (
	// unknown means that the worker did not answer, and that no other one is known.
	unknown identity = iota
	// same means that the heartbeat is of the incarnation that is known already.
	same
	// confirmed means that the worker has answered as the incarnation in the heartbeat.
	confirmed
)

// identify finds out whether a heartbeat is from the worker. One that names another
// incarnation than the known one, later or earlier, is believed if the worker itself answers as
// that incarnation: the known one may only be busy. The same goes for one of a worker that is
// gone, which may have been sent before it ended.
func (r *Runner) identify(f wire.WorkerInfo) (identity, error) {
	r.mu.Lock()
	old := r.worker
	token := r.ledger.Token()
	r.mu.Unlock()
	if f.ID == old.ID && f.Born == old.Born && !old.Gone {
		return same, nil
	}
	c, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	begun := time.Now()
	a, err := r.ports.Worker.RenewAndList(c, RenewOrder{
		Worker: f.ID,
		Token:  token,
	})
	r.ports.Meter.WorkerCall("identify", err, time.Since(begun))
	var j *RejectedError
	switch {
	case err == nil && a.Listing.Incarnation == f.Born:
		return confirmed, nil
	case err == nil || errors.As(err, &j) && j.Reason == ReasonOtherIncarnation:
		r.ports.Meter.HeartbeatRefused()
		return unknown, &ForeignHeartbeatError{
			ID:   f.ID,
			Born: a.Listing.Incarnation,
		}
	case old.ID != "" && (!old.Gone || f.Born <= old.Born):
		r.ports.Meter.HeartbeatRefused()
		return unknown, unconfirmed(f)
	}
	return unknown, nil
}
