package instance_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/instance"
)

// Failure: callers keep sending to a daemon that is stopping. It takes their requests to
// the end of its time and then cuts them off.
func TestStoppingDaemonCutsNothingWhenCallersKeepSending(t *testing.T) {
	const work, pause, limit = 200 * time.Millisecond, 20 * time.Millisecond, 5 * time.Second
	f, err := newFleet(fleetConfig)
	require.NoError(t, err)
	f.handle(t, "deep", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(work)
		_, _ = io.WriteString(w, "done")
	})
	stopped := make(chan struct{})
	var mu sync.Mutex
	statuses := map[int]int{}
	reasons := map[string]int{}
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for {
				select {
				case <-stopped:
					return
				case <-time.After(pause):
				}
				a, err := f.try(t.Context(), f.sets[0].Listen.Callers, "POST", "/deep", strings.NewReader("x"), f.keyed("Connection", "close")...)
				if err != nil {
					return // the daemon takes no more connections
				}
				mu.Lock()
				statuses[a.status]++
				reasons[a.header.Get(instance.HeaderReason)]++
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	require.NoError(t, f.daemons[0].Shutdown(ctx), "no call is cut off")
	require.NoError(t, ctx.Err(), "the stop ends before its limit")
	close(stopped)
	callers.Wait()
	require.Positive(t, statuses[http.StatusOK])
	require.Positive(t, reasons["shutting-down"], "late requests are refused as not run: %v", reasons)
	delete(statuses, http.StatusOK)
	delete(statuses, http.StatusServiceUnavailable)
	require.Empty(t, statuses)
	f.servers[0].Close()
	f.daemons, f.servers = f.daemons[1:], f.servers[1:]
	require.NoError(t, f.stop())
}

// Failure: callers that send one request after the other all pause at the same moment, and
// the daemon takes that for the end of their requests.
func TestStoppingDaemonWaitsOutAPauseOfItsCallers(t *testing.T) {
	const pause = 60 * time.Millisecond // three polls, within the quiet period
	f, err := newFleet(fleetConfig)
	require.NoError(t, err)
	f.handle(t, "deep", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	stopped := make(chan struct{})
	reasons := map[string]int{}
	var caller sync.WaitGroup
	caller.Go(func() {
		for {
			select {
			case <-stopped:
				return
			case <-time.After(pause):
			}
			a, err := f.try(t.Context(), f.sets[0].Listen.Callers, "POST", "/deep", strings.NewReader("x"), f.keyed("Connection", "close")...)
			if err != nil {
				return // the daemon takes no more connections
			}
			reasons[a.header.Get(instance.HeaderReason)]++
		}
	})
	time.Sleep(200 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	require.NoError(t, f.daemons[0].Shutdown(ctx), "no call is cut off")
	require.NoError(t, ctx.Err(), "the stop ends before its limit")
	close(stopped)
	caller.Wait()
	require.Positive(t, reasons["shutting-down"], "late requests are refused as not run: %v", reasons)
	f.servers[0].Close()
	f.daemons, f.servers = f.daemons[1:], f.servers[1:]
	require.NoError(t, f.stop())
}
