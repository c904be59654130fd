package sidecar_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Failure: bytes of an answer count as held for good after its caller has read it, has
// gone away or has never read it, so that the daemon refuses all requests in the end.
// While a caller does not read, they count.
func TestHeldAnswersAreGivenBack(t *testing.T) {
	long := archive()
	long.Body = strings.Repeat("x", 6<<20) // more than the kernel takes for a caller that does not read
	d := deploy(t, long, ledger())
	n, other := d.nodes[0], d.nodes[1]
	held := func(n *node) string { return metric(t, n, "answer_bytes_held") }
	for _, entry := range d.nodes {
		require.Equal(t, 200, entry.send(t, "GET", "/view/1", "whole", "", "X-Credential", "key-1").status)
		conn, err := net.Dial("tcp", entry.settings.Listen.Callers)
		require.NoError(t, err)
		require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(4096))
		_, err = fmt.Fprintf(conn, "GET /view/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: unread\r\nX-Deadline-Ms: 2000\r\nX-Credential: key-1\r\n\r\n")
		require.NoError(t, err)
		_, err = io.ReadFull(conn, make([]byte, 1))
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint(len(long.Body)), held(entry), "while the caller does not read")
		require.NoError(t, conn.Close())
		for _, x := range []*node{n, other} {
			require.Eventually(t, func() bool { return held(x) == "0" }, 5*time.Second, 20*time.Millisecond)
		}
	}
}
