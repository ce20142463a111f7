// Package worker is the interface to the worker that runs on the same machine as an agent.
//
// A worker serves requests in slots and runs tasks under leases: it stops a task whose lease
// is not renewed in time. Port is the interface that the agent uses, and Client implements
// it over HTTP.
//
// # Usage
//
//	w := worker.NewClient("10.0.0.7:9000", &http.Transport{})
//	err := w.Start(ctx, worker.Task{ID: "j1-1-0", LeaseUntil: until})
package worker

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"hemlockhinge/pack"
)

// Task describes a task to run. The worker refuses to start it after StartBefore, and stops
// it at LeaseUntil unless the lease is renewed. Both are times of the clock that agent and
// worker share.
type Task struct {
	ID          string    `json:"id"`
	Size        pack.Size `json:"size"`
	Command     []string  `json:"command,omitempty"`
	StartBefore time.Time `json:"start_before"`
	LeaseUntil  time.Time `json:"lease_until"`
	Restore     bool      `json:"restore,omitempty"`
}

// State is the state of a task.
type State string

// The states of a task.
const (
	StateRunning State = "running"
	StateDone    State = "done"
	StateFailed  State = "failed"
	StateStopped State = "stopped"
)

// Status is the status of one task as its worker reports it. Usage is measured with a delay.
type Status struct {
	ID     string    `json:"id"`
	State  State     `json:"state"`
	Output string    `json:"output,omitempty"`
	Usage  pack.Size `json:"usage"`
}

// Port is the interface of the worker.
type Port interface {
	// Start starts a task. *RefusedError means that the task does not run; after any
	// other error it may be running.
	Start(c context.Context, t Task) error
	// Renew extends the leases of tasks to until.
	Renew(c context.Context, ids []string, until time.Time) error
	// Checkpoint makes a task save its state, and returns when the state is saved.
	Checkpoint(c context.Context, id string) error
	// Throttle limits a task to a percentage of its cores.
	Throttle(c context.Context, id string, percent int) error
	// Stop stops a task. The task has ended when Stop returns nil.
	Stop(c context.Context, id string) error
	// Tasks lists the tasks that the worker knows, including those that have ended but
	// that it has not discarded.
	Tasks(c context.Context) ([]Status, error)
	// Serve sends a request to a slot of the service. A request that is not idempotent
	// is sent at most once, regardless of its method and headers.
	Serve(r *http.Request, service string, idempotent bool) (*http.Response, error)
}

// RefusedError says that the worker did not start a task.
type RefusedError struct {
	Task   string
	Detail string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker refused task %q: %s", e.Task, e.Detail)
}

// CallError says that a call to the worker failed. Whether it took effect is unknown.
type CallError struct {
	Op  string
	Err error
}

func (e *CallError) Error() string { return fmt.Sprintf("worker %s: %v", e.Op, e.Err) }

// NotSent reports whether the call failed before a connection was established, so that
// the worker cannot have received it.
func (e *CallError) NotSent() bool {
	var o *net.OpError
	return errors.As(e.Err, &o) && o.Op == "dial"
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }
