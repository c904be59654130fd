// Command lab plays the cases of this review: it starts the project's daemons as
// separate processes, with stand-ins for the store, the endpoints and the clients.
//
// It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case
// could not run. With TROUBLE=0 it plays the case without its disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime limits the time of one case.
const maxTime = 115 * time.Second

func main() {
	if len(os.Args) != 3 {
		cannotRun("usage: lab CASE RECORD")
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		cannotRun("no case %q", os.Args[1])
	}
	w := newWorld(os.Args[2])
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case s := <-signals:
			cannotRun("it was ended by %v", s)
		case <-time.After(maxTime):
			cannotRun("it takes more than %v", maxTime)
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	w.log("case %s, trouble %v", os.Args[1], trouble)
	broken := play(w, trouble)
	w.close()
	if broken != "" {
		w.log("broken: %s", broken)
		fmt.Println("broken:", broken)
		os.Exit(1)
	}
	w.log("held")
	fmt.Println("held")
}

// cases returns what was seen of a broken rule, or an empty text if the rule held.
var cases = map[string]func(w *world, trouble bool) string{
	"public-sigterm":   publicStop,
	"slow-reader":      slowRead,
	"late-heartbeat":   lateBeat,
	"foreign-report":   foreignBeat,
	"returning-holder": returningHolder,
	"held-answers":     heldAnswers,
}
