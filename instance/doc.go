// Package instance wires the objects of the world into one daemon that runs
// beside one backend server.
//
// # The way of a request
//
// A caller reaches any daemon. That entry daemon finds the route, turns the key
// into an organisation and takes the key off, takes one token of the
// organisation's contract, and fixes the tree, importance, deadline and retry
// allowance. It chooses an endpoint and sends the call to the daemon beside it,
// whose gate is the only way to that backend server. The backend server calls
// further services through the egress listener of its own daemon and gives back
// the call token that it received; the daemon finds the running call by that
// token, so that a backend server can neither name an organisation nor outlive
// its parent.
//
// # Goroutines
//
// One control goroutine owns configuration, members, shares and links' budgets.
// It publishes immutable snapshots through atomic pointers. Traffic reads
// snapshots and atomics, and posts events to the control goroutine through a
// bounded mailbox. Traffic and control share no lock.
//
// # Outcomes
//
// Every error that reaches a caller is a *request.Error. NotRun is returned
// only where no backend server can have started the work; everything else that
// is not a whole answer is Unknown.
package instance
