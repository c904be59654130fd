package httpclient

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Failure: a server closes a kept connection while a call that changes nothing is on its
// way, and the call fails; or another call is sent twice.
func TestOnlyRepeatableCallsAreSentAgain(t *testing.T) {
	for name, repeatable := range map[string]bool{"repeatable": true, "not repeatable": false} {
		t.Run(name, func(t *testing.T) {
			// The server closes the connection after the first answer. The client does
			// not see that before it sends the second request.
			c, opened := scripted(t, ok("1", "one"), "", ok("2", "two"))
			call := rawCall("1", 0)
			_, err := do(t, c, call)
			require.NoError(t, err)
			call = rawCall("2", 0)
			call.Repeatable = repeatable
			got, err := do(t, c, call)
			if !repeatable {
				require.Error(t, err)
				require.Equal(t, 1, opened())
				return
			}
			require.NoError(t, err)
			require.Equal(t, "two", got)
			require.Equal(t, 2, opened())
		})
	}
}

// Failure: a call that nothing answers on a new connection is sent again and again.
func TestRepeatableCallIsNotRepeatedOnANewConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	accepted := make(chan int, 1)
	go func() {
		n := 0
		for {
			conn, err := ln.Accept()
			if err != nil {
				accepted <- n
				return
			}
			n++
			_, _ = conn.Read(make([]byte, 4096))
			_ = conn.Close()
		}
	}()
	c := New(Config{Address: ln.Addr().String(), MaxConnections: 1, DialTimeout: time.Second, IdleTimeout: time.Minute})
	defer c.Close()
	call := rawCall("1", 0)
	call.Repeatable = true
	_, err = do(t, c, call)
	require.Error(t, err)
	require.NoError(t, ln.Close())
	require.Equal(t, 1, <-accepted)
}
