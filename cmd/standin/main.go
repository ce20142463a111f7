// Command standin runs stand-ins for the services that the system depends on, for
// development and tests. Each runs as a separate process: the platform's key-value
// store, a worker, and the store and a worker of the users' platform. Simulated faults
// are set by PUT /switches.
package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"hemlockhinge/fakes"
)

const readHeaderTimeout = 5 * time.Second

func main() {
	p := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	_, err := p.AddCommand("platform", "Run the platform's key-value store", platformHelp, &platformOptions{})
	if err == nil {
		_, err = p.AddCommand("worker", "Run a worker", workerHelp, &workerOptions{})
	}
	if err == nil {
		_, err = p.AddCommand("users-store", "Run the store of the users' platform", usersStoreHelp, &usersStoreOptions{})
	}
	if err == nil {
		_, err = p.AddCommand("users-worker", "Run a worker of the users' platform", usersWorkerHelp, &usersWorkerOptions{})
	}
	if err == nil {
		_, err = p.Parse()
	}
	var f *flags.Error
	switch {
	case err == nil:
	case errors.As(err, &f) && f.Type == flags.ErrHelp:
		fmt.Println(err)
	default:
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

const platformHelp = `Runs the platform's key-value store in memory, with compare-and-swap, leases
and watches. GET /calls returns the number of calls by operation. PUT /switches
sets faults, for example
{"out": true, "slow_ms": 500, "lose_answers": 1, "calls_per_second": 300}.`

type platformOptions struct {
	Listen    string  `long:"listen" required:"true" description:"IP:port"`
	RateLimit float64 `long:"rate" description:"calls a second that are allowed; 0 means no limit"`
}

// Execute implements flags.Commander.
func (r *platformOptions) Execute([]string) error {
	s := fakes.NewStore()
	s.SetRateLimit(r.RateLimit)
	return serve(r.Listen, s.Handler())
}

const workerHelp = `Runs a worker, which serves requests in slots under /run and runs tasks under
/v1/tasks. PUT /switches sets faults, for example
{"fail_all": true, "slow_ms": 500}.`

type workerOptions struct {
	Listen string `long:"listen" required:"true" description:"IP:port"`
	ID     string `long:"id" required:"true" description:"name in answers"`
}

// Execute implements flags.Commander.
func (r *workerOptions) Execute([]string) error {
	return serve(r.Listen, fakes.NewWorker(r.ID).Handler())
}

// serve serves HTTP on an address until SIGTERM or SIGINT.
func serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr) //nolint:noctx // the listener lives as long as the process
	if err != nil {
		return err
	}
	fmt.Println("listening on", l.Addr())
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
	}
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-c
		_ = s.Close()
	}()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
