package sidecar_test

import (
	"bytes"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/sidecar"
	"wisteriafold/standin/endpoint"
	"wisteriafold/standin/rowstore"
	"wisteriafold/trace"
)

// traceLines returns the log lines of all daemons about a request.
func (d *deployment) traceLines(id string) []trace.Line {
	time.Sleep(200 * time.Millisecond) // lines are written in batches
	var logs []io.Reader
	for _, n := range d.nodes {
		n.logs.mu.Lock()
		logs = append(logs, bytes.NewReader(bytes.Clone(n.logs.b.Bytes())))
		n.logs.mu.Unlock()
	}
	lines, err := trace.Collect(id, logs...)
	require.NoError(d.t, err)
	return lines
}

// cause returns the log line that shows why a request failed.
func (d *deployment) cause(id string) trace.Line {
	lines := d.traceLines(id)
	require.NotEmpty(d.t, lines)
	cause, ok := trace.Cause(lines)
	require.True(d.t, ok)
	return cause
}

func TestTraceOfRequestOverRateShowsOrganisation(t *testing.T) {
	d := deploy(t, archive(), archive())
	d.store.Put("op", "config", document(2, routes(), tenant{Name: "o1", APIKeys: []string{"key-1"}, RatePerS: 1, Burst: 1}))
	require.Eventually(t, func() bool { return d.nodes[0].daemon.Generation() == 2 }, 5*time.Second, 20*time.Millisecond)
	for i := 0; ; i++ {
		id := fmt.Sprint("id", i)
		if d.nodes[0].send(t, "GET", "/view/1", id, "", "X-Credential", "key-1").status != 429 {
			continue
		}
		c := d.cause(id)
		require.Equal(t, "over-rate", c.Reason)
		require.Equal(t, "o1", c.Organisation)
		require.Equal(t, uint64(2), c.Generation)
		return
	}
}

// Failure: the trace of a request that fails because of a call to another service
// does not show that call as the cause.
func TestTraceOfFailedCallShowsCalledService(t *testing.T) {
	top, full := archive(), ledger()
	top.Call = endpoint.Call{Host: "h.example", Path: "/pay/1"}
	d := deploy(t, top, full)
	d.nodes[1].backend.SetGrey(true)
	require.Equal(t, 500, d.nodes[0].send(t, "POST", "/order/1", "id1", "b", "X-Credential", "key-1").status)
	c := d.cause("id1")
	require.Equal(t, "id1.1", c.Request)
	require.Equal(t, "ledger", c.Service)
	require.Equal(t, 500, c.Status)
	var endpoints []string
	for _, l := range d.traceLines("id1") {
		if l.Request == "id1.1" && l.Step == "choice" {
			endpoints = append(endpoints, l.Endpoint)
		}
	}
	require.Equal(t, []string{d.nodes[1].settings.Listen.Peers}, endpoints)
}

func TestTraceOfUnconfirmedKeyShowsConfigurationAge(t *testing.T) {
	d := deploy(t, archive(), ledger())
	d.store.SetFaults(rowstore.Faults{Reset: true})
	id := ""
	require.Eventually(t, func() bool {
		id = fmt.Sprint("id", time.Now().UnixNano())
		return d.nodes[0].send(t, "GET", "/view/1", id, "", "X-Credential", "key-1").status == 503
	}, 8*time.Second, 100*time.Millisecond)
	c := d.cause(id)
	require.Equal(t, "cut-off", c.Reason)
	require.Greater(t, c.AgeMillis, int64(3000))
	lost := false
	for _, l := range d.nodes[0].logs.lines(t) {
		lost = lost || l["msg"] == "store lost"
	}
	lost2 := false
	for _, l := range d.nodes[1].logs.lines(t) {
		lost2 = lost2 || l["msg"] == "store lost"
	}
	require.True(t, lost || lost2)
}

// Failure: at five times the usual load, the log exceeds its limit of lines per
// second, or requests wait for a log that nobody reads.
func TestLogIsLimitedAndNeverBlocks(t *testing.T) {
	blocked := make(chan struct{})
	w := sidecar.NewLineWriterForTest(writerFunc(func(p []byte) (int, error) { <-blocked; return len(p), nil }))
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 100_000 {
			_, _ = w.Write([]byte("line\n"))
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("writing lines blocked on the log output")
	}
	require.Positive(t, sidecar.DroppedForTest(w))
	close(blocked)

	lines := 0
	a := sidecar.LineLimiterForTest(300)
	now := time.Unix(1_700_000_000, 0)
	for i := range 5000 { // one second
		if a(now.Add(time.Duration(i) * 100 * time.Microsecond)) {
			lines++
		}
	}
	require.Equal(t, 300, lines)
	require.True(t, a(now.Add(time.Second)))
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
