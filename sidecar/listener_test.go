package sidecar_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Failure: an idempotent request waits for the answer to an earlier one of its
// connection, or both go on after their caller has left.
func TestIdempotentRequestsOfAConnectionRunTogether(t *testing.T) {
	cfg := archive()
	cfg.Work = 5 * time.Second
	d := deployLong(t, cfg, ledger())
	c := d.nodes[1].connect(t)
	for i := range 2 {
		c.write(fmt.Sprintf("GET /view/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a%d\r\nX-Credential: key-1\r\n\r\n", i))
	}
	require.Eventually(t, func() bool { return len(d.nodes[0].backend.Runs()) == 2 }, 3*time.Second, 10*time.Millisecond)
	require.Equal(t, "1", metric(t, d.nodes[1], "caller_requests_read_ahead_total"))
	require.NoError(t, c.conn.Close())
	require.Eventually(t, func() bool { return d.nodes[0].backend.Left() == 2 }, 3*time.Second, 10*time.Millisecond)
}
