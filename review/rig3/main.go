// Command rig3 plays the scripts of the third review: the product's own programs as processes beside
// stand-ins for the platform's store, workers and clients.
//
// # Usage
//
//	target/rig3 CASE FOLDER
//
// It writes FOLDER/record.txt, and ends with 1 if the rule of the case was broken, 0 if it held, and 2 if
// the case could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	reason string
}

// cases are the cases of review/11 to review/15, and below them further faults that the report names.
var cases = map[string]func(s *site, trouble bool) (verdict, error){
	"takeover": takeover,
	"cancel":   cancelUnknown,
	"foreign":  foreignHeartbeat,
	"reserve":  reserve,
	"reclaim":  reclaim,

	"affinity": affinity,
	"losses":   losses,
	"longhold": longHold,
	"fills":    fills,
	"route":    routeRemoved,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		return exitFailed
	}
	s, err := newSite(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig3:", err)
		return exitFailed
	}
	defer s.end()
	go func() {
		c := make(chan os.Signal, 1)
		signal.Notify(c, syscall.SIGTERM, os.Interrupt)
		<-c
		s.end()
		os.Exit(exitFailed)
	}()
	v, err := cases[os.Args[1]](s, os.Getenv("TROUBLE") != "0")
	if err != nil {
		s.rec.printf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	}
	word, status := "held", exitHeld
	if v.broken {
		word, status = "broken", exitBroken
	}
	s.rec.printf("the rule is %s: %s", word, v.reason)
	fmt.Printf("%s: %s\n", word, v.reason)
	return status
}
