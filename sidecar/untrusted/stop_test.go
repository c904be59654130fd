package untrusted_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	grace           = 6 * time.Second // graceS of the settings
	stopAnswerBytes = 10 << 20        // more than the kernel sends for a process that has ended

	// stopReceiveBytes is the receive buffer of the caller. With a few KiB, reading at full
	// speed takes a minute, as the window is too small for the loopback interface.
	stopReceiveBytes = 256 << 10
)

// askWithoutReading asks for a long answer and waits for its first byte.
func askWithoutReading(t *testing.T, p *process) *bufio.Reader {
	conn, err := net.Dial("tcp", p.callers)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.(*net.TCPConn).SetReadBuffer(stopReceiveBytes))
	_, err = io.WriteString(conn, get(longPath))
	require.NoError(t, err)
	br := bufio.NewReader(conn)
	_, err = br.Peek(1)
	require.NoError(t, err)
	return br
}

// requireEnd requires the process to end within the grace period.
func (p *process) requireEnd(t *testing.T, signalled time.Time) {
	select {
	case <-p.ended:
	case <-time.After(time.Until(signalled.Add(grace))):
		t.Fatal("the process has not ended within the grace period")
	}
}

// Failure: a planned stop ends the process while a caller is still reading its answer.
func TestPlannedStopWaitsForAnswersBeingWritten(t *testing.T) {
	const startReading = 3200 * time.Millisecond // after the signal: an idle daemon ends after 2.7 s
	d := deploy(t, options{longAnswerBytes: stopAnswerBytes})
	answer := askWithoutReading(t, d.long)
	require.NoError(t, d.long.cmd.Process.Signal(syscall.SIGTERM))
	signalled := time.Now()
	time.Sleep(startReading)
	resp, err := http.ReadResponse(answer, nil)
	require.NoError(t, err)
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err, "read %d bytes", len(b))
	require.Len(t, b, stopAnswerBytes)
	_ = resp.Body.Close()
	d.long.requireEnd(t, signalled)
}

// Failure: a caller that never reads its answer keeps a stopping process running beyond
// the grace period.
func TestPlannedStopDoesNotWaitForCallersThatNeverRead(t *testing.T) {
	d := deploy(t, options{longAnswerBytes: stopAnswerBytes})
	askWithoutReading(t, d.long)
	require.NoError(t, d.long.cmd.Process.Signal(syscall.SIGTERM))
	d.long.requireEnd(t, time.Now())
}
