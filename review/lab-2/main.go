// Command lab plays the cases of the second review. It starts daemons as processes of
// their own, and holds the platform's store, the backend servers and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	held    = 0 // the rule was kept
	broken  = 1 // the rule was broken
	invalid = 2 // the case could not run
)

// cases are the cases by name. Each gets the daemon's binary, the folder of the record
// and whether the disruption takes place.
var cases = map[string]func(binary, folder string, trouble bool) int{
	"heads":   headsCase,
	"ahead":   aheadCase,
	"drain":   drainCase,
	"foreign": foreignCase,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE DAEMON FOLDER")
		os.Exit(invalid)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		started.killAll()
		os.Exit(invalid)
	}()
	os.Exit(cases[os.Args[1]](os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}
