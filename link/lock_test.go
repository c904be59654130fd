package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/wire"
)

// TestSendingToNewPeersDoesNotDeadlock runs the operations that take the lock of
// the links and those of their peers concurrently: sending, adding peers, reading
// statistics and removing unused peers.
func TestSendingToNewPeersDoesNotDeadlock(t *testing.T) {
	cfg := Defaults()
	cfg.Hello = &wire.Hello{Instance: "127.0.0.1:1"}
	cfg.Dial = func(context.Context, string) (net.Conn, error) { return nil, errors.New("connection refused") }
	l, err := New(cfg, &discard{})
	require.NoError(t, err)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range 300 {
				l.SendControl(fmt.Sprintf("127.0.%d.%d:1", i, n%200), &wire.Control{})
				if i < 2 {
					l.Stats()
					l.removeUnusedPeers()
				}
			}
		}()
	}
	done := make(chan struct{})
	go func() {
		wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Minute):
		t.Fatal("deadlock: the goroutines did not finish within a minute")
	}
	require.NoError(t, l.Close(t.Context()))
}

// discard is a handler that ignores what it receives.
type discard struct{}

func (*discard) ServeCall(context.Context, *Stream, *wire.Frame) {}

func (*discard) ReceiveControl(string, *wire.Control) {}
