package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const second = time.Second

// promises returns the names of the promises that a history breaks.
func promises(h History) []string {
	var out []string
	for _, v := range Check(&h) {
		out = append(out, v.Promise)
	}
	return out
}

// Each pair of histories breaks a promise by the least amount, and just keeps it.
func TestCheckersFindTheLeastBreach(t *testing.T) {
	order := func(sent time.Duration, status int) Attempt {
		return Attempt{ID: "a", Key: "k", Entry: 1, Sent: sent, Ended: sent + second/10, Status: status}
	}
	run := func(at time.Duration) Execution { return Execution{ID: "a", Server: 0, Life: 1, At: at} }
	left := []Leaving{{Server: 0, Life: 1, Acknowledged: 10 * second}}
	late := 10*second + drainBound + clockMargin + 1
	for name, c := range map[string]struct {
		broken, kept History
		promise      string
	}{
		"once": {
			History{Attempts: []Attempt{order(0, 200)}, Runs: []Execution{run(1), run(2)}},
			History{Attempts: []Attempt{order(0, 200)}, Runs: []Execution{run(1)}},
			"once",
		},
		"twice, idempotent": {
			History{Attempts: []Attempt{order(0, 502)}, Runs: []Execution{run(1), run(2)}},
			History{Attempts: []Attempt{{ID: "a", Idempotent: true, Status: 200}}, Runs: []Execution{run(1), run(2)}},
			"once",
		},
		"refused and ran": {
			History{Attempts: []Attempt{order(5, 503)}, Runs: []Execution{run(5)}},
			History{Attempts: []Attempt{order(5, 502)}, Runs: []Execution{run(5)}},
			"refusal",
		},
		"refused and ran later": {
			History{Attempts: []Attempt{order(5, 429), order(second, 200)}, Runs: []Execution{run(second - 1)}},
			History{Attempts: []Attempt{order(5, 429), order(second, 200)}, Runs: []Execution{run(second)}},
			"refusal",
		},
		"answer": {
			History{Attempts: []Attempt{{ID: "a", Status: 200, Fault: "no signature"}}},
			History{Attempts: []Attempt{{ID: "a", Status: 200}}},
			"answer",
		},
		"drain": {
			History{Attempts: []Attempt{order(0, 200)}, Leavings: left, Runs: []Execution{run(late)}},
			History{Attempts: []Attempt{order(0, 200)}, Leavings: left, Runs: []Execution{run(late - 1)}},
			"drain",
		},
		"drain, next life": {
			History{Attempts: []Attempt{order(0, 200)}, Leavings: left, Runs: []Execution{run(late)}},
			History{Attempts: []Attempt{order(0, 200)}, Leavings: left, Runs: []Execution{{ID: "a", Server: 0, Life: 2, At: late}}},
			"drain",
		},
		"drain, disturbed entry": {
			History{Attempts: []Attempt{order(0, 200)}, Leavings: left, Runs: []Execution{run(late)}, Disturbed: map[int][]Span{1: {{second, late - stableBound - 1}}}},
			History{Attempts: []Attempt{order(0, 200)}, Leavings: left, Runs: []Execution{run(late)}, Disturbed: map[int][]Span{1: {{second, late - stableBound}}}},
			"drain",
		},
		"drain, store away, restarted": {
			History{Attempts: []Attempt{order(0, 200)}, Leavings: left, Runs: []Execution{run(20 * second)}, Store: []Span{{19 * second, 20 * second}}},
			History{Attempts: []Attempt{order(0, 200)}, Leavings: left, Runs: []Execution{run(20 * second)}, Store: []Span{{19 * second, 20 * second}}, Disturbed: map[int][]Span{0: {{11 * second, 12 * second}}}},
			"drain",
		},
		"key": {
			History{Attempts: []Attempt{order(revokeBound+second+1, 200)}, Runs: []Execution{run(9 * second)}, Withdrawals: []Withdrawal{{"k", second}}},
			History{Attempts: []Attempt{order(revokeBound+second, 200)}, Runs: []Execution{run(9 * second)}, Withdrawals: []Withdrawal{{"k", second}}},
			"key",
		},
		"process": {
			History{Ends: []string{"daemon 1: exit status 2"}},
			History{},
			"process",
		},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, []string{c.promise}, promises(c.broken))
			require.Empty(t, promises(c.kept))
		})
	}
}
