package instance

import (
	"context"
	"net"
	"sync"
	"time"

	"wisteriafold/backend"
)

// watchEvery is the time between two looks at the connections of callers.
const watchEvery = 50 * time.Millisecond

// callerWatch cancels calls whose caller has closed its connection. fasthttp
// does not read while a handler runs, so one goroutine looks at the sockets of
// all calls in progress.
type callerWatch struct {
	mu    sync.Mutex
	calls map[*watched]struct{}
}

type watched struct {
	conn   net.Conn
	cancel context.CancelFunc
}

func newCallerWatch() *callerWatch {
	return &callerWatch{calls: make(map[*watched]struct{})}
}

// add starts watching and returns what ends it.
func (w *callerWatch) add(conn net.Conn, cancel context.CancelFunc) func() {
	x := &watched{conn: conn, cancel: cancel}
	w.mu.Lock()
	w.calls[x] = struct{}{}
	w.mu.Unlock()
	return func() {
		w.mu.Lock()
		delete(w.calls, x)
		w.mu.Unlock()
	}
}

func (w *callerWatch) run(ctx context.Context) {
	t := time.NewTicker(watchEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			w.look()
		}
	}
}

func (w *callerWatch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for x := range w.calls {
		if !backend.Alive(x.conn) {
			x.cancel()
			delete(w.calls, x)
		}
	}
}
