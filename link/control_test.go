package link

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/wire"
)

// recorder records the organisation of each token request that it receives.
type recorder struct {
	echo
	mu  sync.Mutex
	got []string
}

func (r *recorder) ReceiveControl(_ string, m *wire.Control) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.got = append(r.got, m.GetFleet().GetTokenRequest().GetOrganisation())
}

func tokenRequest(name string) *wire.Control {
	return &wire.Control{Kind: &wire.Control_Fleet{Fleet: &wire.Fleet{Kind: &wire.Fleet_TokenRequest{TokenRequest: &wire.TokenRequest{Organisation: name}}}}}
}

// TestControlMessagesArriveIntactAfterWriteTimeout blocks one direction of a
// connection for longer than WriteTimeout and then releases it. yamux still
// completes the write that timed out, which must not corrupt the messages sent
// after it.
func TestControlMessagesArriveIntactAfterWriteTimeout(t *testing.T) {
	bubble(t, func(t *testing.T) {
		n := newNetwork()
		r := &recorder{}
		// Shorter than the time after which a silent session is replaced.
		const writeTimeout = 300 * time.Millisecond
		a := n.add(t, "a:1", &echo{}, func(c *Config) { c.WriteTimeout = writeTimeout })
		b := n.add(t, "b:1", r, nil)
		a.SendControl("b:1", tokenRequest("first"))
		time.Sleep(100 * time.Millisecond)
		p, err := a.peer("b:1")
		require.NoError(t, err)
		old := p.current.Load()
		require.NotNil(t, old)

		release := n.stall()
		a.SendControl("b:1", tokenRequest("late"))
		time.Sleep(2 * writeTimeout)
		require.False(t, old.usable(), "a session must not be used after a failed write")
		release()
		want := map[string]bool{"first": true, "late": true}
		for i := range 50 {
			name := fmt.Sprintf("after-%02d", i)
			want[name] = true
			a.SendControl("b:1", tokenRequest(name))
		}
		time.Sleep(5 * time.Second)
		r.mu.Lock()
		seen := map[string]int{}
		for _, name := range r.got {
			require.True(t, want[name], "received %q, which was never sent", name)
			seen[name]++
		}
		r.mu.Unlock()
		for i := range 50 {
			require.Equal(t, 1, seen[fmt.Sprintf("after-%02d", i)], "message %d", i)
		}
		body, _, err := call(context.Background(), a, "b:1", "still served")
		require.NoError(t, err)
		require.NotNil(t, body)
		closeAll(t, a, b)
	})
}
