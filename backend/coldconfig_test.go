package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wisteriafold/request"
)

// Failure: a change of the rate, the slots or the state of draining, or a bound that is
// turned off and on, gives a cold backend server a second allowance.
func TestChangesWhileColdGiveNoSecondAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now, rate := NewCore(Config{Slots: 64, InitialLimit: 64}), epoch, 0
		var starts []time.Time
		var running []*Ticket
		handle := func(events []Event) {
			for _, e := range events {
				if e.Refusal != nil {
					continue
				}
				starts, running = append(starts, now), append(running, e.Ticket)
				n := 0
				for _, s := range starts {
					if now.Sub(s) <= time.Second {
						n++
					}
				}
				if c.cold.isCold {
					require.LessOrEqual(t, n, rate, "calls in one second")
				}
			}
		}
		actions := map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				for range rapid.IntRange(1, 40).Draw(t, "n") {
					handle(c.Offer(now, coldTicket(now, time.Second, request.Normal)))
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
				handle(c.Tick(now))
			},
			"finish": func(t *rapid.T) {
				for range min(len(running), rapid.IntRange(1, 20).Draw(t, "n")) {
					k := running[0]
					running = running[1:]
					handle(c.Finish(now, k, Result{Latency: time.Millisecond}))
				}
			},
			"rate": func(t *rapid.T) {
				rate = rapid.SampledFrom([]int{0, 1, 4, 14, 30}).Draw(t, "rate")
				handle(c.ConfigureCold(now, ColdConfig{Rate: float64(rate), Pace: 3 * time.Second}))
			},
			"slots": func(t *rapid.T) {
				n := rapid.IntRange(1, 64).Draw(t, "slots")
				c.Resize(Config{Slots: n, MaxConnections: n, InitialLimit: n})
			},
			"restart": func(*rapid.T) { c.Restart() },
			"drain":   func(*rapid.T) { c.Drain() },
			"resume":  func(*rapid.T) { c.Resume() },
			"sign":    func(*rapid.T) { handle(c.SuspectCold(now, ColdRefused)) },
			"word": func(t *rapid.T) {
				left := time.Duration(rapid.IntRange(0, 3).Draw(t, "s")) * time.Second
				handle(c.HearCold(now, ColdWord{Source: ColdHeartbeat, Remaining: left}))
			},
		}
		t.Repeat(actions)
	})
}
