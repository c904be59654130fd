package ingress_test

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/ingress"
)

// Failure: bytes stay counted for a connection that was cut while a handler had yet to
// read a body that had arrived, until all requests are refused.
func TestNothingIsHeldAfterACutBeforeTheBodyIsRead(t *testing.T) {
	started, read := make(chan struct{}), make(chan struct{})
	f := start(t, func(o *ingress.Options) {
		o.Handler = func(r *ingress.Request) {
			close(started)
			<-read
			_, _ = io.Copy(io.Discard, r.Body)
		}
	})
	c := f.connect()
	c.send(request("POST", "/body", "Content-Length: 5") + "12345" + request("GET", "/behind"))
	<-started
	require.Positive(t, f.s.Stats().HeldBytes)
	f.s.Close()
	close(read)
	require.Eventually(t, func() bool { return f.s.Stats().HeldBytes == 0 }, wait, time.Millisecond)
}
