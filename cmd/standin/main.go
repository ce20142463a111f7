// Command standin runs small stand-ins for what surrounds the system, each as
// a process of its own: the platform's key-value service and a worker. They
// are for development and tests; their faults are set under /switches.
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
	_, err := p.AddCommand("platform", "Run the key-value service", platformHelp, &platformRun{})
	if err == nil {
		_, err = p.AddCommand("worker", "Run a worker", workerHelp, &workerRun{})
	}
	if err == nil {
		_, err = p.AddCommand("users-store", "Run the store of the users' platform", usersStoreHelp, &usersStoreRun{})
	}
	if err == nil {
		_, err = p.AddCommand("users-worker", "Run a worker of the users' platform", usersWorkerHelp, &usersWorkerRun{})
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

const platformHelp = `Runs the platform's key-value service in memory: compare-and-swap, leases,
watches. /calls counts calls; PUT /switches sets faults, for instance
{"out": true, "slow_ms": 500, "lose_answers": 1, "calls_per_second": 300}.`

type platformRun struct {
	Listen string  `long:"listen" required:"true" description:"IP:port"`
	Rate   float64 `long:"rate" description:"calls a second that are allowed; 0 means no limit"`
}

// Execute implements flags.Commander.
func (r *platformRun) Execute([]string) error {
	s := fakes.NewStore()
	s.SetRateLimit(r.Rate)
	return serve(r.Listen, s.Handler())
}

const workerHelp = `Runs a worker: requests into slots under /run, tasks under /v1/tasks. PUT
/switches sets faults, for instance {"fail_all": true, "slow_ms": 500}.`

type workerRun struct {
	Listen string `long:"listen" required:"true" description:"IP:port"`
	ID     string `long:"id" required:"true" description:"name in answers"`
}

// Execute implements flags.Commander.
func (r *workerRun) Execute([]string) error {
	return serve(r.Listen, fakes.NewWorker(r.ID).Handler())
}

// serve answers on an address until SIGTERM.
func serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr) //nolint:noctx // lives as long as the process
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
