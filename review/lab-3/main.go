package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

// cases maps the number of a case to the function that plays it. It returns the number of
// requests for which the rule was broken.
var cases = map[string]func(w *world, r *recorder, trouble bool) (int, error){
	"11": answerManyAtOnce,
	"13": closeWithUnreadRequests,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab-3 CASE DAEMON RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, program, file string) int {
	r, err := newRecorder(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer r.close()
	w, err := newWorld(program)
	if err != nil {
		r.line("cannot run: %v", err)
		return exitFailed
	}
	defer w.close()
	endOnSignal(w)
	broken, err := cases[name](w, r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.line("cannot run: %v", err)
		return exitFailed
	case broken > 0:
		r.line("BROKEN for %d requests", broken)
		return exitBroken
	}
	r.line("HELD")
	return exitHeld
}

// endOnSignal ends the processes of w when this one is asked to end.
func endOnSignal(w *world) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		w.close()
		os.Exit(exitFailed)
	}()
}
