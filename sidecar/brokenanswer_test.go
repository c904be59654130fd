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

// Failure: a backend server in trouble writes bytes that are no answer, or a part of one.
// The caller gets them as an answer, or is told that its request has not run, or the
// request is sent a second time.
func TestCallersGetNoAnswerThatIsNone(t *testing.T) {
	const signed = "X-Attempt-Id: {id}\r\nX-Server-Signature: signed\r\n"
	for name, script := range map[string]string{
		"status 000":             "HTTP/1.1 000 Error\r\n" + signed + "Content-Length: 2\r\n\r\nno",
		"status 600":             "HTTP/1.1 600 Error\r\n" + signed + "Content-Length: 2\r\n\r\nno",
		"blank in a name":        "HTTP/1.1 200 OK\r\n" + signed + "X Y: z\r\nContent-Length: 2\r\n\r\nno",
		"blank in the length":    "HTTP/1.1 200 OK\r\n" + signed + "Content Length: 2\r\n\r\nno",
		"control byte in a name": "HTTP/1.1 200 OK\r\n" + signed + "X\x03Y: z\r\nContent-Length: 2\r\n\r\nno",
		"name of a control byte": "HTTP/1.1 200 OK\r\n" + signed + "\x01: other.example\r\nContent-Length: 2\r\n\r\nno",
		"upgrade":                "HTTP/1.1 101 Switching Protocols\r\n" + signed + "Connection: upgrade\r\nUpgrade: x\r\n\r\n",
		"refusal with status 000": "HTTP/1.1 000 Error\r\n" + signed +
			"X-Not-Executed: 1\r\nContent-Length: 2\r\n\r\nno",
		"refusal, broken off":     "HTTP/1.1 503 Full\r\n" + signed + "X-Not-Executed: 1\r\n",
		"refusal, body too short": "HTTP/1.1 503 Full\r\n" + signed + "X-Not-Executed: 1\r\nContent-Length: 9\r\n\r\nno",
		"head broken off":         "HTTP/1.1 200 OK\r\n" + signed,
		"head broken off in a name": "HTTP/1.1 200 OK\r\n" + signed +
			"Content-Le",
	} {
		t.Run(name, func(t *testing.T) {
			b := startRaw(t, func(conn net.Conn, id string) bool {
				_, _ = io.WriteString(conn, strings.ReplaceAll(script, "{id}", id))
				return false
			})
			d := deployRaw(t, b, 2)
			for i, n := range d.nodes {
				id := fmt.Sprint("x", i)
				require.Equal(t, 502, n.send(t, "POST", "/order/1", id, "b", "X-Credential", "key-1").status)
				require.Equal(t, 1, b.arrived(id))
			}
		})
	}
}

// Failure: operators cannot tell from log and metrics why answers of a backend server are
// rejected, or the log repeats values of fields, which may be secret.
func TestCauseOfARejectedAnswerIsLogged(t *testing.T) {
	b := startRaw(t, func(conn net.Conn, id string) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Attempt-Id: "+id+"\r\nSet Cookie: secret\r\nContent-Length: 0\r\n\r\n")
		return false
	})
	d := deployRaw(t, b, 1)
	n := d.nodes[0]
	require.Equal(t, 502, n.send(t, "POST", "/order/1", "x", "b", "X-Credential", "key-1").status)
	cause := func() string {
		for _, l := range n.logs.lines(t) {
			if l["msg"] == "backend server broke its answer" && l["request"] == "x" {
				return l["cause"].(string)
			}
		}
		return ""
	}
	require.Eventually(t, func() bool { return cause() != "" }, 5*time.Second, 10*time.Millisecond)
	require.Contains(t, cause(), `malformed response: field name ("Set Cookie")`)
	require.NotContains(t, cause(), "secret")
	require.Equal(t, "1", metric(t, n, "malformed_responses_total"))
}
