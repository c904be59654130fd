// Package soak runs daemons of the users' platform as processes on loopback addresses,
// injects faults from outside them in series and overlapping, and checks the promises of the
// platform's pages from what callers and backend servers have seen.
//
// The store, the backend servers and the callers are stand-ins in the process of the soak,
// so that all times are readings of one clock. A seed determines the schedule: which fault
// comes when, with which parameters. How the processes interleave with it is not
// determined, so a seed that has failed once may need several runs to fail again.
//
// A run ends with a verdict: it passes, it lists what broke a promise, or it says that the
// machine was too slow for it to tell anything (Verdict.TooSlow), which is no pass.
//
// Files: history.go is what was seen, check.go the promises, schedule.go and faults.go the
// faults, daemon.go, server.go and callers.go the parties, run.go puts them together.
package soak
