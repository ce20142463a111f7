package route

import (
	"net/http"
	"time"
)

// RetryBudget limits retries to a share of the requests, plus a burst. The zero value
// is ready to use and allows the whole burst.
type RetryBudget struct {
	spent int
}

// How many requests allow one retry, and how many retries a burst may have.
const (
	requestsPerRetry = 5
	retryBurst       = 10
)

// RecordRequest counts a request, which adds a part of a retry to the budget.
func (b *RetryBudget) RecordRequest() { b.spent = max(0, b.spent-1) }

// TakeRetry takes a retry from the budget, and reports whether there was one.
func (b *RetryBudget) TakeRetry() bool {
	if b.spent+requestsPerRetry > retryBurst*requestsPerRetry {
		return false
	}
	b.spent += requestsPerRetry
	return true
}

// IdempotentMethod reports whether a method is idempotent by RFC 9110, section
// 9.2.2.
func IdempotentMethod(m string) bool {
	switch m {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}

// Idempotent decides whether a request may run twice. The mark that the caller set
// on the request has precedence over the service's setting, and that over the
// method.
func Idempotent(method string, service *bool, mark string) bool {
	switch mark {
	case "true":
		return true
	case "false":
		return false
	}
	if service != nil {
		return *service
	}
	return IdempotentMethod(method)
}

// Failure says what is known of a failed try of a request.
type Failure uint8

// The kinds of failure, by rising uncertainty.
const (
	// NotSent means that no byte of the request was sent.
	NotSent Failure = iota
	// NotRun means that the agent confirmed that the request did not run.
	NotRun
	// MayHaveRun means that the request may have run.
	MayHaveRun
)

// MayRetry decides whether a failed request may be tried again in the time left.
func MayRetry(f Failure, idempotent bool, replayable bool, left time.Duration) bool {
	if left <= 0 {
		return false
	}
	if f == MayHaveRun {
		return idempotent && replayable
	}
	return true
}
