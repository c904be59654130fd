package sidecar_test

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Failure: a backend server refuses a request, gets it again with the same id, and writes
// the refusal once more before it runs the request. The caller is told that it has not
// run, or it runs a second time.
func TestRepeatedRefusalIsNotTakenForAnAnswer(t *testing.T) {
	const refusal = "HTTP/1.1 503 Full\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	var mu sync.Mutex
	refusedOn := map[string]net.Conn{}
	ran := map[string]int{}
	b := startRaw(t, func(conn net.Conn, id string) bool {
		mu.Lock()
		defer mu.Unlock()
		on, again := refusedOn[id]
		if !again {
			refusedOn[id] = conn
			_, err := fmt.Fprintf(conn, refusal, id)
			return err == nil
		}
		if on == conn {
			_, _ = fmt.Fprintf(conn, refusal, id)
		}
		ran[id]++
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: signed\r\nContent-Length: 3\r\n\r\nran", id)
		return err == nil
	})
	d := deployRaw(t, b, 1)
	for i := range 20 {
		id := "x" + strconv.Itoa(i)
		n := d.nodes[0]
		got := n.send(t, "POST", "/order/1", id, "b", "X-Credential", "key-1")
		for tries := 0; got.status == 503 && tries < 3; tries++ {
			mu.Lock()
			require.Zero(t, ran[id], "told as not run")
			mu.Unlock()
			got = n.send(t, "POST", "/order/1", id, "b", "X-Credential", "key-1")
		}
		require.Equal(t, 200, got.status)
		require.Equal(t, "ran", got.body)
		mu.Lock()
		require.Equal(t, 1, ran[id])
		mu.Unlock()
	}
}
