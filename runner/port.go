package runner

import (
	"context"
	"fmt"
	"time"

	"hemlockhinge/fence"
	"hemlockhinge/graph"
)

// Worker is the interface to the single worker that an agent controls. A call that is
// not answered returns *NoAnswerError and may still take effect; a call that is rejected
// returns *RejectedError and had no effect. Each returns the worker's clock when it is
// known.
type Worker interface {
	Start(c context.Context, o StartOrder) (Answer, error)
	Stop(c context.Context, o StopOrder) (Answer, error)
	RenewAndList(c context.Context, o RenewOrder) (Answer, error)
}

// StartOrder starts a run.
type StartOrder struct {
	Worker     string
	Task       graph.Task
	Attempt    int
	Spec       string
	Checkpoint string
	Ticket     string
	// LeaseEndMS is the end of the lease by the worker's clock.
	LeaseEndMS int64
	Token      fence.Token
}

// StopOrder stops a run.
type StopOrder struct {
	Worker  string
	Task    graph.Task
	Attempt int
	Token   fence.Token
}

// RenewOrder renews the lease of all running tasks until LeaseEndMS by the worker's clock,
// acknowledges ends up to number AckedThrough, which the worker may then discard, and asks
// for the lists of running and ended tasks. It is a long poll: the worker answers at the
// next end, or after Wait.
type RenewOrder struct {
	Worker       string
	LeaseEndMS   int64
	Token        fence.Token
	AckedThrough int64
	Wait         time.Duration
}

// Answer is a worker's answer to an order. Listing is set by RenewAndList only; the caller
// fills in its Token and Confirmations.
type Answer struct {
	ClockMS int64
	Listing fence.Listing
}

// Reason says why a worker rejected an order.
type Reason string

// The reasons for rejections. The worker names its reason when it answers with 409 Conflict;
// ReasonInvalid, ReasonUnhealthy and ReasonOtherIncarnation stand for other HTTP statuses.
// ReasonNotSent says that the order was never sent, and ReasonNoListener that it was not because
// no process listens at the worker's address.
const (
	ReasonStaleToken       Reason = "fence"
	ReasonStaleAttempt     Reason = "old"
	ReasonLeaseExpired     Reason = "late"
	ReasonNoCapacity       Reason = "room"
	ReasonTicket           Reason = "ticket"
	ReasonInvalid          Reason = "invalid"
	ReasonUnhealthy        Reason = "unhealthy"
	ReasonOtherIncarnation Reason = "other_life"
	ReasonNotSent          Reason = "not_sent"
	ReasonNoListener       Reason = "no_listener"
)

// RejectedError says that an order had no effect. Status is the HTTP status, 0 if the
// worker sent no HTTP response.
type RejectedError struct {
	Op     string
	Reason Reason
	Status int
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("worker rejected %s: %s (status %d)", e.Op, e.Reason, e.Status)
}

// NoAnswerError says that the worker did not answer an order, which may or may not have
// taken effect, or may do so later.
type NoAnswerError struct {
	Op  string
	Err error
}

func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("worker did not answer %s: %v", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Err }
