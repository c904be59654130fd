// Package instance combines packages of this module into one daemon that runs
// next to one backend server.
//
// # Request path
//
// A caller can send a request to any daemon, which becomes the entry daemon of
// the request. The entry daemon finds the route, resolves the key to an
// organisation and removes the key, takes one token of the organisation's
// contract, and sets the tree, importance, deadline and retry allowance. It
// chooses an endpoint and sends the call to the daemon of that endpoint, whose
// gate is the only way to the backend server. The backend server calls other
// services through the egress listener of its own daemon and sends along the
// call token that it received. The daemon finds the running call by that token,
// so that a backend server can neither choose an organisation nor make calls
// that outlive the call that it is serving.
//
// # Goroutines
//
// One control goroutine owns the configuration, the members, the contract
// shares and the budgets of the links. It publishes immutable snapshots through
// atomic pointers. Request handlers read snapshots and atomics, and post events
// to the control goroutine through a bounded mailbox. Request handlers and the
// control goroutine share no lock.
//
// # Outcomes
//
// Every error that reaches a caller is a *request.Error. Its outcome is NotRun
// only where no backend server can have started the work. Any other request
// without a complete answer is Unknown.
package instance
