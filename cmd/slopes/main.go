// Command slopes measures how the load of entries, agents and the store grows with
// the size of a site. It runs the daemons in one process over loopback, with stand-ins
// for the store and the workers, at several sizes, and prints the results as tables
// with linear fits. The figures of docs/CAPACITY.md are derived from its output:
//
//	go run ./cmd/slopes
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
)

// options holds the command-line flags.
type options struct {
	Seconds int  `long:"seconds" default:"5" description:"how long each size is measured"`
	Quick   bool `long:"quick" description:"small sizes only"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	agents := []int{8, 32, 128, 376}
	gangs := []int{2, 16, 64, 256}
	objects := []int{10, 100, 500, 2000}
	records := []int{100, 1000, 8000}
	if o.Quick {
		agents, gangs, objects, records = agents[:2], gangs[:2], objects[:2], records[:1]
	}
	d := time.Duration(o.Seconds) * time.Second
	for _, f := range []func() error{
		func() error { return measureAgents(agents, d) },
		func() error { return measureGangs(gangs, d) },
		func() error { return measureObjects(objects) },
		func() error { return measureRecords(records) },
		measureJobs,
	} {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}
