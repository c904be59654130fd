// Package sidecar implements the daemon that runs next to each backend server. It
// is for a platform that provides no list of instances, no control plane machine
// and no disk, but only a row store, a settings file and heartbeats.
//
// # Path of a request
//
// Callers and the backend server send their requests to the daemon on their own
// instance, which is called the entry. The entry matches the route, checks the
// key, takes a token from the organisation's rate limit, sets the deadline and
// picks an endpoint. The daemon next to that endpoint is its gate. All requests to
// a backend server pass through its gate, so draining, the concurrency limit and
// key withdrawal are enforced there even when the entry's view is stale. A request
// that was refused before the gate sent it to the backend server has certainly
// not run and may be sent to another endpoint. After that point only idempotent
// requests are retried.
//
// # Age of the configuration
//
// Each daemon knows the latest time at which its configuration was confirmed to be
// the newest one (see package fleet). Requests with a key are dispatched only
// while that time is recent enough that a withdrawn key would have been noticed.
// This does not apply to requests without a key.
//
// # Concurrency
//
// One control goroutine owns the membership, the configuration and the state of
// the local backend server. It publishes immutable snapshots. Request goroutines
// read the snapshots and post events to the control goroutine.
package sidecar
