package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/request"
)

func TestWorkPercentIsAveragedAndForgotten(t *testing.T) {
	var s speed
	now := epoch
	require.Zero(t, s.get(now))
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		s.observe(now, 100)
		s.observe(now, 0)
	}
	require.InDelta(t, 100, s.get(now), 0.1)
	now = now.Add(10 * time.Millisecond)
	s.observe(now, 100_000)
	require.Less(t, s.get(now), 150.0, "one odd figure among many")
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		s.observe(now, 200)
	}
	require.InDelta(t, 200, s.get(now), 5)
	require.NotZero(t, s.get(now.Add(maxSpeedAge-time.Millisecond)))
	require.Zero(t, s.get(now.Add(maxSpeedAge)))
	s.observe(now.Add(maxSpeedAge), 50)
	require.EqualValues(t, 50, s.get(now.Add(maxSpeedAge)), "old figures do not count")
}

// Failure: a false figure makes the gate refuse calls that the measured times show to
// be feasible, or admit calls that no measured call could have met.
func TestWorkPercentDoesNotOverrideMeasuredTimes(t *testing.T) {
	const took = 100 * time.Millisecond
	for _, c := range []struct {
		percent  uint32        // reported after the times were measured at 200
		left     time.Duration // until the deadline of a call
		feasible bool
	}{
		{200, 90 * time.Millisecond, false},
		{200, 110 * time.Millisecond, true},
		{1000, 110 * time.Millisecond, true},
		{100, 60 * time.Millisecond, true},
		{100, 40 * time.Millisecond, false},
		{10, 40 * time.Millisecond, false},
	} {
		core := NewCore(Config{Slots: 8, InitialLimit: 8})
		now := epoch
		call := func(left time.Duration) *Ticket {
			return &Ticket{Weight: 1, Call: &request.Call{Route: "r", Deadline: now.Add(left)}}
		}
		for i := range 200 {
			x := call(time.Minute)
			core.Offer(now, x)
			latency := took
			if i%5 == 0 {
				latency = took / 2
			}
			now = now.Add(took)
			core.Finish(now, x, Result{Latency: latency, WorkPercent: 200})
		}
		for range 30 {
			now = now.Add(100 * time.Millisecond)
			core.SetWorkPercent(now, c.percent)
		}
		core.Offer(now, call(time.Minute)) // with no running call, any call would be admitted
		events := core.Offer(now, call(c.left))
		require.Equal(t, c.feasible, events[0].Refusal == nil, "work percent %d, %v left", c.percent, c.left)
	}
}

func TestReportHasTheWorkPercentWithItsAge(t *testing.T) {
	now := epoch
	g := NewGate(Config{Slots: 4}, func() time.Time { return now })
	require.Zero(t, g.Report().WorkPercent)
	g.SetWorkPercent(150)
	now = now.Add(700 * time.Millisecond)
	require.EqualValues(t, 150, g.Report().WorkPercent)
	require.Equal(t, 700*time.Millisecond, g.Report().WorkAge)
	now = now.Add(maxSpeedAge)
	require.Zero(t, g.Report().WorkPercent)
	g.SetWorkPercent(150)
	g.Restart()
	require.Zero(t, g.Report().WorkPercent)
}
