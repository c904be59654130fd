package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/request"
)

// coldCore returns a core that takes its backend server for cold until it says
// otherwise, one second after its start.
func coldCore(rate float64) (*Core, time.Time) {
	c := NewCore(Config{Slots: 64, InitialLimit: 64})
	c.ConfigureCold(epoch, ColdConfig{Rate: rate})
	return c, epoch.Add(1100 * time.Millisecond)
}

func coldTicket(now time.Time, left time.Duration, i request.Importance) *Ticket {
	return &Ticket{Weight: 1, Call: &request.Call{Importance: i, Deadline: now.Add(left)}}
}

func TestCallsBeyondTheRateOfColdBackendWaitOrAreRefusedAsCold(t *testing.T) {
	c, now := coldCore(4)
	offer := func(left time.Duration, i request.Importance) *Ticket {
		k := coldTicket(now, left, i)
		c.Offer(now, k)
		return k
	}
	for range 4 {
		require.Equal(t, running, offer(time.Second, request.Normal).state)
		now = now.Add(200 * time.Millisecond)
	}
	require.Equal(t, ended, offer(100*time.Millisecond, request.Normal).state, "waits although its deadline passes before")
	first := offer(time.Second, request.Normal)
	require.Equal(t, queued, first.state, "refused although an allowance is near")
	next, late := offer(time.Second, request.Normal), offer(time.Second, request.Normal)
	require.Equal(t, queued, next.state)
	require.Equal(t, ended, late.state, "waits longer than another endpoint takes")
	important := offer(time.Second, request.Critical)
	require.Equal(t, queued, important.state)
	require.Equal(t, uint64(2), c.Counts().Cold)
	now = now.Add(205 * time.Millisecond)
	c.Tick(now)
	require.Equal(t, running, important.state, "not in the order of the queue")
	require.Equal(t, queued, first.state)
	c.HearCold(now, ColdWord{Source: ColdHeartbeat})
	require.Equal(t, running, first.state, "waits although the backend server is not cold any more")
	require.Zero(t, c.Level(), "refusals by a cold endpoint close the entries for all")
}

func TestQueueIsCutWhenBackendTurnsCold(t *testing.T) {
	c, now := coldCore(4)
	c.HearCold(now, ColdWord{Source: ColdHeartbeat})
	refused := 0
	for range 128 {
		c.Offer(now, coldTicket(now, time.Second, request.Normal))
	}
	for _, e := range c.SuspectCold(now, ColdRefused) {
		require.Equal(t, request.ReasonCold, e.Refusal.Reason)
		require.Equal(t, request.NotRun, e.Refusal.Outcome)
		refused++
	}
	require.Equal(t, 4, c.Waiting())
	require.Equal(t, 60, refused)
}

func TestChangedRateKeepsTheStartsOfTheLastSecond(t *testing.T) {
	c, now := coldCore(8)
	for range 8 {
		c.Offer(now, coldTicket(now, time.Second, request.Normal))
	}
	require.Equal(t, 8, c.Running())
	now = now.Add(500 * time.Millisecond)
	for _, rate := range []float64{14, 4, 20} {
		c.ConfigureCold(now, ColdConfig{Rate: rate})
		c.Offer(now, coldTicket(now, 100*time.Millisecond, request.Normal))
		require.Equal(t, 8, c.Running(), "rate %v", rate)
	}
	c.ConfigureCold(now, ColdConfig{})
	c.Offer(now, coldTicket(now, time.Second, request.Normal))
	require.Equal(t, 9, c.Running(), "bounded although the configuration sets no rate")
}

func TestHugeRemainingTimeDoesNotKeepBackendColdForLong(t *testing.T) {
	c, now := coldCore(4)
	c.HearCold(now, ColdWord{Source: ColdAnswer, Remaining: 50 * time.Minute, AskedAt: now})
	require.True(t, c.ColdState(now).Cold)
	c.Tick(now.Add(maxColdRemaining + time.Second))
	require.False(t, c.ColdState(now).Cold)
}

func TestOnlyFailuresOfTheBackendItselfBeginAPace(t *testing.T) {
	for _, below := range []bool{true, false} {
		c := NewCore(Config{Slots: 16, InitialLimit: 16})
		c.ConfigureCold(epoch, ColdConfig{Pace: 3 * time.Second})
		for range 2 * paceFailures {
			k := coldTicket(epoch, time.Second, request.Normal)
			c.Offer(epoch, k)
			c.Finish(epoch, k, Result{Failed: true, Below: below, Latency: time.Millisecond})
		}
		require.Equal(t, !below, c.IsPaced())
		c.Tick(epoch.Add(5 * time.Second))
		require.False(t, c.IsPaced(), "held back for long")
	}
}
