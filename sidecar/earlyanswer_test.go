package sidecar_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Failure: a backend server answers an upload at once without a length, sends a part of
// the answer and resets the connection. The caller gets the part as a whole answer.
func TestEarlyAnswerThatIsResetIsNotPassedOn(t *testing.T) {
	b := startRaw(t, func(conn net.Conn, id string) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: "+id+"\r\nX-Server-Signature: signed\r\n\r\npart")
		time.Sleep(5 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		return false
	})
	d := deployRaw(t, b, 2)
	// More than sockets buffer, so that the upload is still being written.
	const size = 16 << 20
	d.store.Put("op", "config", bytes.Replace(document(2, routes()), []byte(`"maxBodyBytes":1048576`), []byte(`"maxBodyBytes":33554432`), 1))
	for _, n := range d.nodes {
		require.Eventually(t, func() bool { return n.daemon.Generation() == 2 }, 5*time.Second, 20*time.Millisecond)
	}
	body := strings.Repeat("b", size)
	for i := range 10 {
		id := fmt.Sprint("x", i)
		require.Equal(t, 502, d.nodes[i%2].send(t, "POST", "/order/1", id, body, "X-Credential", "key-1").status)
		require.Equal(t, 1, b.arrived(id))
	}
}
