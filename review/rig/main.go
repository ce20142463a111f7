// Command rig plays the scripted cases of the second review: it starts the deployment's own
// daemons and the project's store as separate processes on loopback addresses, and runs
// stand-ins for workers and clients beside them.
//
// # Usage
//
//	rig CASE RECORD
//
// It writes what was sent, answered and run to the file RECORD, and exits with 1 if the case's
// rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment it does the same without the disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

// maxTime is how long a case may take.
const maxTime = 110 * time.Second

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases are the scripted cases by name. Each returns whether its rule was broken.
var cases = map[string]func(*rig) (bool, error){
	"foreign-ack":      foreignAck,
	"forgotten-agent":  forgottenAgent,
	"lasting-crash":    lastingCrash,
	"late-leave":       lateLeave,
	"unanswered-leave": unansweredLeave,
}

func main() { os.Exit(play(os.Args[1:])) }

func play(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return exitFailed
	}
	r, err := newRig(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		return exitFailed
	}
	defer r.close()
	defer time.AfterFunc(maxTime, func() {
		r.note("the case took too long")
		r.close()
		os.Exit(exitFailed)
	}).Stop()
	broken, err := cases[args[0]](r)
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		return exitFailed
	case broken:
		r.note("verdict: the rule was broken")
		return exitBroken
	}
	r.note("verdict: the rule held")
	return exitHeld
}
