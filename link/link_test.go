package link

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"wisteriafold/wire"
)

func TestCallsShareOneSession(t *testing.T) {
	bubble(t, func(t *testing.T) {
		n := newNetwork()
		a, b := n.add(t, "a:1", &echo{}, nil), n.add(t, "b:1", &echo{}, nil)
		var wg sync.WaitGroup
		for range 50 {
			wg.Go(func() {
				answer, got, err := call(t.Context(), a, "b:1", "hello")
				if assert.NoError(t, err) {
					assert.Equal(t, wire.Outcome_OUTCOME_ANSWERED, answer.Outcome)
					assert.Equal(t, "hello", got)
				}
			})
		}
		wg.Wait()
		_, got, err := call(t.Context(), b, "a:1", "back")
		require.NoError(t, err)
		assert.Equal(t, "back", got)
		assert.EqualValues(t, 1, a.Stats().Dials)
		assert.EqualValues(t, 0, b.Stats().Dials, "the accepted session is used in both directions")
		closeAll(t, a, b)
	})
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	bubble(t, func(t *testing.T) {
		n := newNetwork()
		held := &echo{hold: make(chan struct{})}
		a, b := n.add(t, "a:1", &echo{}, nil), n.add(t, "b:1", held, nil)
		inFlight := make(chan error, 1)
		go func() {
			_, _, err := call(t.Context(), a, "b:1", "x")
			inFlight <- err
		}()
		synctest.Wait()
		n.dropData()
		from := time.Now()
		err := <-inFlight
		assert.LessOrEqual(t, time.Since(from), 3*time.Second)
		var broken *StreamError
		require.ErrorAs(t, err, &broken, "the call was sent, so it may have run")
		assert.ErrorIs(t, err, ErrSilent)
		assert.True(t, IsTransportError(err))
		close(held.hold)
		_, got, err := call(t.Context(), a, "b:1", "fresh")
		require.NoError(t, err)
		assert.Equal(t, "fresh", got)
		assert.EqualValues(t, 1, a.Stats().Silent)
		closeAll(t, a, b)
	})
}

func TestCallTimeoutOnSilentConnectionIsTransportFault(t *testing.T) {
	bubble(t, func(t *testing.T) {
		n := newNetwork()
		a, b := n.add(t, "a:1", &echo{}, nil), n.add(t, "b:1", &echo{}, nil)
		_, _, err := call(t.Context(), a, "b:1", "x")
		require.NoError(t, err)
		time.Sleep(5 * time.Second)
		n.dropData()
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, _, err = call(ctx, a, "b:1", "x")
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.True(t, IsTransportError(err), "the peer did not acknowledge the stream")
		_, got, err := call(t.Context(), a, "b:1", "next")
		require.NoError(t, err, "the next call must use a new connection at once")
		assert.Equal(t, "next", got)
		closeAll(t, a, b)
	})
}

func TestSlowHandlerIsNotTransportFault(t *testing.T) {
	bubble(t, func(t *testing.T) {
		n := newNetwork()
		held := &echo{hold: make(chan struct{})}
		a, b := n.add(t, "a:1", &echo{}, nil), n.add(t, "b:1", held, nil)
		ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
		defer cancel()
		_, _, err := call(ctx, a, "b:1", "x")
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		assert.False(t, IsTransportError(err), "the handler was slow, not the connection")
		synctest.Wait()
		assert.EqualValues(t, 1, held.cancelled.Load(), "the caller's deadline must cancel the call on the peer")
		assert.Zero(t, a.Stats().Suspected)
		closeAll(t, a, b)
	})
}

func TestUnreachablePeerKeepsSessionUntilDeadTimeout(t *testing.T) {
	bubble(t, func(t *testing.T) {
		n := newNetwork()
		held := &echo{hold: make(chan struct{})}
		a, b := n.add(t, "a:1", &echo{}, nil), n.add(t, "b:1", held, nil)
		inFlight := make(chan error, 1)
		go func() {
			_, _, err := call(t.Context(), a, "b:1", "x")
			inFlight <- err
		}()
		synctest.Wait()
		n.mu.Lock()
		n.unreachable["b:1"], n.unreachable["a:1"] = true, true
		n.mu.Unlock()
		n.dropData()
		time.Sleep(4 * time.Second)
		select {
		case err := <-inFlight:
			t.Fatalf("session closed before DeadTimeout: %v", err)
		default:
		}
		_, _, err := call(t.Context(), a, "b:1", "x")
		var notSent *NotSentError
		assert.ErrorAs(t, err, &notSent)
		assert.True(t, IsTransportError(err))
		assert.ErrorIs(t, <-inFlight, ErrSilent)
		closeAll(t, a, b)
	})
}

func TestCancellationReachesHandlerBeforeItReads(t *testing.T) {
	bubble(t, func(t *testing.T) {
		n := newNetwork()
		held := &echo{hold: make(chan struct{})}
		a, b := n.add(t, "a:1", &echo{}, nil), n.add(t, "b:1", held, nil)
		s, err := a.OpenStream(t.Context(), "b:1")
		require.NoError(t, err)
		require.NoError(t, s.Write(head(), chunk("x")))
		synctest.Wait()
		require.NoError(t, s.Close())
		synctest.Wait()
		assert.EqualValues(t, 1, held.cancelled.Load())
		closeAll(t, a, b)
	})
}

func TestCloseWaitsForRunningStreams(t *testing.T) {
	bubble(t, func(t *testing.T) {
		n := newNetwork()
		held := &echo{hold: make(chan struct{})}
		a, b := n.add(t, "a:1", &echo{}, nil), n.add(t, "b:1", held, nil)
		results := make(chan error, 20)
		for range 20 {
			go func() {
				_, _, err := call(t.Context(), a, "b:1", "x")
				results <- err
			}()
		}
		synctest.Wait()
		closed := make(chan error, 1)
		go func() { closed <- b.Close(t.Context()) }()
		synctest.Wait()
		_, _, err := call(t.Context(), a, "b:1", "late")
		var notSent *NotSentError
		assert.ErrorAs(t, err, &notSent, "a session that is being retired accepts no new call")
		time.Sleep(time.Second)
		close(held.hold)
		for range 20 {
			assert.NoError(t, <-results)
		}
		assert.NoError(t, <-closed)
		closeAll(t, a)
	})
}

func TestCloseReturnsErrorOnlyWhenStreamsAreInterrupted(t *testing.T) {
	bubble(t, func(t *testing.T) {
		n := newNetwork()
		held := &echo{hold: make(chan struct{})}
		a, b := n.add(t, "a:1", &echo{}, nil), n.add(t, "b:1", held, nil)
		c, d := n.add(t, "c:1", &echo{}, nil), n.add(t, "d:1", &echo{}, nil)
		_, _, err := call(t.Context(), c, "d:1", "x")
		require.NoError(t, err)
		inFlight := make(chan error, 1)
		go func() {
			_, _, err := call(t.Context(), a, "b:1", "x")
			inFlight <- err
		}()
		synctest.Wait()
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		assert.NoError(t, c.Close(ended), "closing an idle session interrupts no stream")
		assert.ErrorIs(t, b.Close(ended), context.Canceled)
		var broken *StreamError
		assert.ErrorAs(t, <-inFlight, &broken)
		closeAll(t, a, d)
	})
}

func TestRefusedCallIsAnsweredNotRun(t *testing.T) {
	bubble(t, func(t *testing.T) {
		n := newNetwork()
		held := &echo{hold: make(chan struct{})}
		a, b := n.add(t, "a:1", &echo{}, nil), n.add(t, "b:1", held, func(c *Config) { c.MaxStreams = 1 })
		first := make(chan error, 1)
		go func() {
			_, _, err := call(t.Context(), a, "b:1", "x")
			first <- err
		}()
		synctest.Wait()
		answer, _, err := call(t.Context(), a, "b:1", "x")
		require.NoError(t, err)
		assert.Equal(t, wire.Outcome_OUTCOME_NOT_RUN, answer.Outcome)
		assert.Equal(t, "daemon-busy", answer.Reason)
		b.RefuseStreams()
		answer, _, err = call(t.Context(), a, "b:1", "x")
		require.NoError(t, err)
		assert.Equal(t, "shutting-down", answer.Reason)
		close(held.hold)
		assert.NoError(t, <-first)
		closeAll(t, a, b)
	})
}

func TestDroppedControlMessagesAreCounted(t *testing.T) {
	bubble(t, func(t *testing.T) {
		n := newNetwork()
		got := &echo{}
		a, b := n.add(t, "a:1", &echo{}, func(c *Config) { c.ControlQueue = 4 }), n.add(t, "b:1", got, nil)
		a.SendControl("b:1", &wire.Control{})
		synctest.Wait()
		assert.EqualValues(t, 1, got.control.Load())
		n.mu.Lock()
		n.unreachable["c:1"] = true
		n.mu.Unlock()
		for range 10 {
			a.SendControl("c:1", &wire.Control{})
		}
		time.Sleep(5 * time.Second)
		s := a.Stats()
		assert.EqualValues(t, 1, s.ControlSent)
		assert.EqualValues(t, 10, s.ControlDropped)
		closeAll(t, a, b)
	})
}

func TestIdleSessionsAreRetired(t *testing.T) {
	bubble(t, func(t *testing.T) {
		n := newNetwork()
		a, b := n.add(t, "a:1", &echo{}, nil), n.add(t, "b:1", &echo{}, nil)
		_, _, err := call(t.Context(), a, "b:1", "x")
		require.NoError(t, err)
		time.Sleep(Defaults().IdleTimeout + time.Second)
		assert.Empty(t, a.Stats().Sessions)
		assert.Empty(t, b.Stats().Sessions)
		_, _, err = call(t.Context(), a, "b:1", "x")
		require.NoError(t, err)
		closeAll(t, a, b)
	})
}

func TestLeastRecentlyUsedSessionIsRetiredAboveMaxSessions(t *testing.T) {
	bubble(t, func(t *testing.T) {
		n := newNetwork()
		a := n.add(t, "a:1", &echo{}, func(c *Config) { c.MaxSessions = 2 })
		all := []*Links{a}
		for _, peer := range []string{"b:1", "c:1", "d:1"} {
			all = append(all, n.add(t, peer, &echo{}, nil))
			_, _, err := call(t.Context(), a, peer, "x")
			require.NoError(t, err)
			time.Sleep(time.Second)
		}
		var peers []string
		for _, s := range a.Stats().Sessions {
			peers = append(peers, s.Peer)
		}
		assert.Equal(t, []string{"c:1", "d:1"}, peers, "the least recently used session is retired")
		_, _, err := call(t.Context(), a, "b:1", "again")
		require.NoError(t, err)
		closeAll(t, all...)
	})
}

// TestPauseOfThisProcessIsNotSilence checks that a ping from before a pause of this
// process does not make the session suspect after it.
func TestPauseOfThisProcessIsNotSilence(t *testing.T) {
	bubble(t, func(t *testing.T) {
		n := newNetwork()
		a, b := n.add(t, "a:1", &echo{}, nil), n.add(t, "b:1", &echo{}, nil)
		_, _, err := call(t.Context(), a, "b:1", "x")
		require.NoError(t, err)
		s := a.sessions()[0]
		time.Sleep(5 * time.Second)
		s.pingAt.Store(a.since() - int64(2*time.Second))
		s.resetSilence()
		a.checkHealth(s, a.since())
		assert.Zero(t, s.suspectAt.Load())
		s.pingAt.Store(a.since())
		time.Sleep(Defaults().PingTimeout - Defaults().Tick/2)
		assert.Zero(t, s.suspectAt.Load(), "PingTimeout must start anew after the pause")
		closeAll(t, a, b)
	})
}
