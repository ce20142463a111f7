package wire

import (
	"errors"
	"fmt"
	"time"
)

// Code says why a call was refused. A refused call had no effect.
type Code uint8

// The codes of refusals; codeNames has the name under which each is reported.
const (
	CodeInternal Code = iota
	CodeBusy
	CodeLeaving
	CodeOutOfService
	CodeStaleEpoch
	CodeExpired
	CodeUnknown
	CodeTooManyConnections
	CodeNoSuchService
	CodeClaimMoved
	CodeAlreadyDone
	CodeLost
	CodeFailed
	CodeNoTicket
)

var codeNames = map[Code]string{
	CodeInternal:           "internal",
	CodeBusy:               "busy",
	CodeLeaving:            "leaving",
	CodeOutOfService:       "failure_domain_out",
	CodeStaleEpoch:         "stale_epoch",
	CodeExpired:            "expired",
	CodeUnknown:            "unknown_object",
	CodeTooManyConnections: "too_many_connections",
	CodeNoSuchService:      "no_such_service",
	CodeClaimMoved:         "claim_moved",
	CodeAlreadyDone:        "done_already",
	CodeLost:               "incarnation_lost",
	CodeFailed:             "failed",
	CodeNoTicket:           "no_ticket",
}

// String returns the name of the code.
func (c Code) String() string { return codeNames[c] }

// RefusedError says that the other side refused a call. RetryAfter is the time after which
// to retry, zero if none was given.
type RefusedError struct {
	Code       Code
	Detail     string
	RetryAfter time.Duration
	Epoch      uint64
}

func (e *RefusedError) Error() string { return fmt.Sprintf("refused (%s): %s", e.Code, e.Detail) }

// Refuse returns a *RefusedError.
func Refuse(c Code, format string, a ...any) error {
	return &RefusedError{
		Code:   c,
		Detail: fmt.Sprintf(format, a...),
	}
}

// Refused returns the *RefusedError in the chain of err, if there is one.
func Refused(err error) (*RefusedError, bool) {
	var r *RefusedError
	ok := errors.As(err, &r)
	return r, ok
}

// error converts the message to a *RefusedError.
func (r *Refusal) error() error {
	return &RefusedError{
		Code:       r.Code,
		Detail:     r.Detail,
		RetryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond,
		Epoch:      r.Epoch,
	}
}
