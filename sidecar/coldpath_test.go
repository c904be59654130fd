package sidecar_test

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Failure: a backend server that turns cold in the middle of traffic, and whose daemon is
// replaced meanwhile, gets more than it tolerates; or it is not used any more afterwards.
func TestColdBackendGetsOnlyItsRateAcrossARestartOfItsDaemon(t *testing.T) {
	const rate, bound = 14, 14*1.5 + 8
	cfg := archive()
	cfg.Work = 5 * time.Millisecond
	d := deploy(t, cfg, cfg, ledger())
	d.store.Put("op", "config", bytes.ReplaceAll(document(2, routes()), []byte(`"maxConnections":50`), []byte(`"maxConnections":50,"coldPerS":14,"coldStartS":3`)))
	require.Eventually(t, func() bool { return d.nodes[0].daemon.Generation() == 2 && d.nodes[2].daemon.Generation() == 2 }, 5*time.Second, 20*time.Millisecond)

	ctx, cancel := context.WithCancel(t.Context())
	var failed, answered atomic.Int64
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				switch d.nodes[2].get(ctx, "/view/1", strconv.Itoa(i)+"-"+strconv.Itoa(n)) {
				case http.StatusOK:
					answered.Add(1)
				case 0:
				default:
					failed.Add(1)
				}
			}
		})
	}
	cold := d.nodes[0]
	time.Sleep(500 * time.Millisecond)
	cold.backend.SetCold(3 * time.Second)
	turned := time.Now()
	time.Sleep(1500 * time.Millisecond)
	cold.daemon.Close()
	d.start(cold)
	time.Sleep(3 * time.Second)
	cancel()
	wg.Wait()

	runs := cold.backend.Runs()
	busiest, during, after := 0, 0, 0
	first := 0
	for last, r := range runs {
		for r.At.Sub(runs[first].At) > time.Second || runs[first].At.Before(turned.Add(200*time.Millisecond)) && first < last {
			first++
		}
		switch age := r.At.Sub(turned); {
		case age < 200*time.Millisecond: // until the first answer
		case age < 3*time.Second:
			during++
			busiest = max(busiest, last-first+1)
		case age > 3500*time.Millisecond:
			after++
		}
	}
	t.Logf("answered %d, failed %d; cold backend: %d in its busiest second, %d while cold, %d afterwards", answered.Load(), failed.Load(), busiest, during, after)
	require.LessOrEqual(t, float64(busiest), float64(bound))
	require.Positive(t, during, "left idle while it is cold")
	require.Greater(t, after, 2*rate, "left idle when it is warm again")
	require.Positive(t, answered.Load())
}

// get sends a request and returns the status, 0 if there was none.
func (n *node) get(ctx context.Context, path, id string) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.settings.Listen.Callers+path, nil)
	if err != nil {
		return 0
	}
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "1000")
	req.Header.Set("X-Credential", "key-1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
