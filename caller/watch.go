// Package caller detects callers that close their connection while their request
// is in progress.
package caller

import (
	"context"
	"net"
	"sync"
	"time"

	"wisteriafold/httpclient"
)

// Watcher cancels requests whose caller has closed its connection. fasthttp does
// not read from a connection while its handler runs and so does not notice the
// close. One goroutine polls the sockets of all requests in progress instead.
// Watcher is safe for concurrent use.
type Watcher struct {
	interval time.Duration

	mu       sync.Mutex
	requests map[*watchedRequest]struct{}
}

// watchedRequest is a request in progress.
type watchedRequest struct {
	conn   net.Conn
	cancel context.CancelFunc
}

// NewWatcher returns a Watcher that polls the connections at the given interval.
func NewWatcher(interval time.Duration) *Watcher {
	return &Watcher{interval: interval, requests: make(map[*watchedRequest]struct{})}
}

// Add starts watching conn and returns a function that stops it. When the peer
// closes conn before that, cancel is called once.
func (w *Watcher) Add(conn net.Conn, cancel context.CancelFunc) func() {
	r := &watchedRequest{conn: conn, cancel: cancel}
	w.mu.Lock()
	w.requests[r] = struct{}{}
	w.mu.Unlock()
	return func() {
		w.mu.Lock()
		delete(w.requests, r)
		w.mu.Unlock()
	}
}

// Run polls the connections until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	t := time.NewTicker(w.interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			w.poll()
		}
	}
}

// poll cancels the requests whose connection is closed and stops watching them.
func (w *Watcher) poll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for r := range w.requests {
		if !httpclient.Alive(r.conn) {
			r.cancel()
			delete(w.requests, r)
		}
	}
}
