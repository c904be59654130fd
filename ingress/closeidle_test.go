package ingress_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/ingress"
)

// Failure: closing an idle connection at the moment at which its caller sends something
// blocks for good, and with it the check of time-outs or the acceptance of connections.
func TestIdleConnectionsEndWhileCallersSend(t *testing.T) {
	f := start(t, nil)
	f.limit(func(l *ingress.Limits) { l.IdleTimeout = time.Minute })
	for range 300 {
		var conns []net.Conn
		for range 32 {
			c, err := net.Dial("tcp", f.address)
			require.NoError(t, err)
			conns = append(conns, c)
		}
		f.eventually(func() bool { return f.s.Stats().Open == len(conns) })
		var wg sync.WaitGroup
		for _, c := range conns {
			wg.Go(func() {
				_, _ = c.Write([]byte(request("GET", "/safe/1")))
				_ = c.Close()
			})
		}
		ended := make(chan struct{})
		go func() {
			f.s.SweepForTest(2 * time.Minute)
			close(ended)
		}()
		wg.Wait()
		select {
		case <-ended:
		case <-time.After(wait):
			require.Fail(t, "the check of time-outs hangs")
		}
		f.eventually(func() bool { return f.s.Stats().Open == 0 })
	}
}
