package sidecar_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/ingress"
	"wisteriafold/platform/host"
	"wisteriafold/sidecar"
	"wisteriafold/standin/rowstore"
)

// Failure: callers that keep to the configuration meet a limit, or the limits do not
// follow a new configuration.
func TestLimitsOnCallersFollowConfigurationAndSettings(t *testing.T) {
	for _, x := range []struct {
		settings sidecar.Settings
		limits   string
		want     ingress.Limits
	}{
		{sidecar.Settings{}, "", ingress.Limits{HeaderBytes: 16 << 10, HeaderTimeout: 30 * time.Second, IdleTimeout: 90 * time.Second, HeldBytes: 64 << 20}},
		{
			sidecar.Settings{MemoryBytes: 100 << 20, MaxDescriptors: 1000},
			`{"maxHeaderBytes":8192,"headerTimeoutMs":3000,"idleTimeoutMs":15000}`,
			ingress.Limits{HeaderBytes: 8 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 16 * time.Second, Connections: 1000 - 562, HeldBytes: 100 << 20 * 3 / 16},
		},
		{
			sidecar.Settings{MaxDescriptors: 10000},
			`{"maxHeaderBytes":1e9}`,
			ingress.Limits{HeaderBytes: 1 << 20, HeaderTimeout: 30 * time.Second, IdleTimeout: 90 * time.Second, Connections: 10000 - 1704, HeldBytes: 64 << 20},
		},
	} {
		x.settings.Listen.Peers = "127.0.0.1:1"
		d, err := sidecar.New(x.settings, sidecar.Options{Dialect: host.Dialect{}})
		require.NoError(t, err)
		if x.limits != "" {
			require.EqualValues(t, 1, d.AdoptForTest([]byte(`{"version":"r1","limits":`+x.limits+`}`)))
		}
		require.Equal(t, x.want, d.CallerLimitsForTest())
		d.Close()
	}
}

// connectSmall connects with a small receive buffer, so that a caller that does not read
// keeps the daemon from sending.
func (n *node) connectSmall(t *testing.T) *rawConnection {
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if cerr := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) }); cerr != nil {
			return cerr
		}
		return err
	}}
	conn, err := d.DialContext(context.Background(), "tcp", n.settings.Listen.Callers)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	return &rawConnection{t, conn, bufio.NewReader(conn)}
}

func view(id string) string {
	return fmt.Sprintf("GET /view/1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %s\r\nX-Credential: key-1\r\n\r\n", id)
}

// Failure: an idempotent request waits for the answer to an earlier one of its
// connection, or both go on after their caller has left.
func TestIdempotentRequestsOfAConnectionRunTogether(t *testing.T) {
	cfg := archive()
	cfg.Work = 5 * time.Second
	d := deployLong(t, cfg, ledger())
	c := d.nodes[1].connect(t)
	for i := range 2 {
		c.write(view(fmt.Sprint("a", i)))
	}
	require.Eventually(t, func() bool { return len(d.nodes[0].backend.Runs()) == 2 }, 3*time.Second, 10*time.Millisecond)
	require.Equal(t, "1", metric(t, d.nodes[1], "caller_requests_read_ahead_total"))
	require.NoError(t, c.conn.Close())
	require.Eventually(t, func() bool { return d.nodes[0].backend.Left() == 2 }, 3*time.Second, 10*time.Millisecond)
}

// Failure: a stop ends while an answer is still on its way to a caller that reads it
// slowly, or waits beyond the grace period for one that never reads.
func TestStopWaitsForTheLastByteOfAnswersWithinTheGracePeriod(t *testing.T) {
	cfg := archive()
	cfg.Body = strings.Repeat("x", 8<<20)
	d := deploy(t, cfg, ledger())
	n := d.nodes[1]
	slow, never := n.connectSmall(t), n.connectSmall(t)
	slow.write(view("slow"))
	never.write(view("never"))
	unsent := func(count string) func() bool {
		return func() bool {
			return metric(t, n, "caller_requests_waiting") == count && metric(t, n, "requests_in_flight") == "0"
		}
	}
	require.Eventually(t, unsent("2"), 5*time.Second, 10*time.Millisecond)
	at, ended := n.stop()
	time.Sleep(time.Until(at.Add(3500 * time.Millisecond))) // after the time at which an idle daemon has stopped
	resp, err := http.ReadResponse(slow.br, nil)
	require.NoError(t, err)
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Len(t, b, len(cfg.Body))
	select {
	case <-ended:
	case <-time.After(20 * time.Second):
		t.Fatal("the stop waits for a caller that never reads")
	}
	resp, err = http.ReadResponse(never.br, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	require.Error(t, err, "an answer that was cut must not look whole")
}

// Failure: answers that callers do not read fill the memory of a daemon, which ends, or
// which refuses all others for as long as these callers stay.
func TestAnswersThatAreNotReadMakeRoomForOthers(t *testing.T) {
	const callers = 50
	cfg := archive()
	cfg.Body = strings.Repeat("x", 6<<20)
	d := &deployment{t: t, store: rowstore.New(), memoryBytes: 64 << 20} // a quarter is for answers
	t.Cleanup(d.close)
	d.store.Put("op", "config", document(1, routes()))
	d.add(0, cfg)
	n := d.add(1, ledger())
	for _, n := range d.nodes {
		d.awaitReady(n, 2)
	}
	status := 0
	for i := 0; i < callers && status != 503; i++ {
		n.connectSmall(t).write(view(fmt.Sprint("never", i)))
		require.Eventually(t, func() bool { return metric(t, n, "requests_in_flight") == "0" }, 10*time.Second, 5*time.Millisecond)
		status = n.send(t, "GET", "/pay/1", fmt.Sprint("p", i), "").status
	}
	require.Equal(t, 503, status)
	require.Contains(t, metricsText(t, n), `requests_total{outcome="not-run",reason="daemon-busy"}`)
	require.Eventually(t, func() bool { return n.send(t, "GET", "/pay/1", "y", "").status == 200 }, 10*time.Second, 20*time.Millisecond)
}
