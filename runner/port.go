package runner

import (
	"context"
	"fmt"
	"time"

	"hemlockhinge/fence"
	"hemlockhinge/graph"
)

// Worker is the port to the one worker that an agent stands beside. A call that
// is not answered returns *NoAnswerError and may still take effect; one that is
// rejected returns *RejectedError and had none. Each returns the worker's clock
// when it is known.
type Worker interface {
	Start(c context.Context, o StartOrder) (Answer, error)
	Stop(c context.Context, o StopOrder) (Answer, error)
	Hold(c context.Context, o HoldOrder) (Answer, error)
}

// StartOrder starts a run.
type StartOrder struct {
	Worker  string
	Task    graph.Task
	Attempt int
	Spec    string
	Saved   string
	Ticket  string
	// UntilMS is the end of the lease by the worker's clock.
	UntilMS int64
	Token   fence.Token
}

// StopOrder stops a run.
type StopOrder struct {
	Worker  string
	Task    graph.Task
	Attempt int
	Token   fence.Token
}

// HoldOrder renews the lease of all that runs, forgets ends up to Acked and
// asks for the lists. The worker answers at the next end, or after Wait.
type HoldOrder struct {
	Worker  string
	UntilMS int64
	Token   fence.Token
	Acked   int64
	Wait    time.Duration
}

// Answer is what a worker answered. Listing is set for holds only; its Token
// and Mark are the caller's to fill in.
type Answer struct {
	ClockMS int64
	Listing fence.Listing
}

// Reason says why a worker rejected an order.
type Reason string

// The reasons of rejections.
const (
	ReasonFence     Reason = "fence"
	ReasonOld       Reason = "old"
	ReasonLate      Reason = "late"
	ReasonRoom      Reason = "room"
	ReasonTicket    Reason = "ticket"
	ReasonInvalid   Reason = "invalid"
	ReasonUnhealthy Reason = "unhealthy"
	ReasonOtherLife Reason = "other_life"
	ReasonNotSent   Reason = "not_sent"
)

// RejectedError says that an order had no effect. Status is the HTTP status, 0
// when there was none.
type RejectedError struct {
	Op     string
	Reason Reason
	Status int
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("worker rejected %s: %s (status %d)", e.Op, e.Reason, e.Status)
}

// NoAnswerError says that an order may or may not take effect, now or later.
type NoAnswerError struct {
	Op  string
	Err error
}

func (e *NoAnswerError) Error() string {
	return fmt.Sprintf("worker did not answer %s: %v", e.Op, e.Err)
}

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Err }
