package ingress_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/ingress"
)

// Failure: the last answer of a connection is cut by a reset, because the caller has
// sent requests ahead that are not read any more.
func TestLastAnswerIsWholeWhenRequestsWaitUnread(t *testing.T) {
	for name, last := range map[string]func(*ingress.Request){
		"closing answer": (*ingress.Request).SetConnectionClose,
		"stop":           (*ingress.Request).SetConnectionCloseIfLast,
		"asked for":      func(*ingress.Request) {},
	} {
		t.Run(name, func(t *testing.T) {
			body := bytes.Repeat([]byte("x"), 1<<20)
			f := start(t, nil)
			c := f.connect()
			require.NoError(t, c.Conn.(*net.TCPConn).SetReadBuffer(16<<10))
			if name == "asked for" {
				c.send(held("/one", "Connection: close"))
			} else {
				c.send(held("/one"))
			}
			s := f.next("/one")
			for range 8 {
				c.send(request("GET", "/two"))
			}
			s.end <- func(r *ingress.Request) {
				last(r)
				r.Response.SetBodyRaw(body)
			}
			time.Sleep(300 * time.Millisecond) // the answer is in the socket's buffers
			resp, err := http.ReadResponse(c.br, nil)
			require.NoError(t, err)
			b, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Len(t, b, len(body))
			c.expectEnd()
		})
	}
}
