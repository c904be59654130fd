package standin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/config"
)

// admission is one step of a test case.
type admission struct {
	at   time.Duration // since Excess.started
	n    int           // number of admissions, or of tokens given back if negative
	over int           // expected overshoot after this step
}

func TestExcess(t *testing.T) {
	const ms = time.Millisecond
	scripts := map[string][]admission{ // rate 10, burst 5
		"exact fill":             {{0, 5, 0}, {100 * ms, 1, 0}, {300 * ms, 2, 0}, {1300 * ms, 5, 0}, {1400 * ms, 1, 0}},
		"one over the burst":     {{0, 6, 1}},
		"one over the rate":      {{0, 5, 0}, {100 * ms, 2, 1}, {time.Minute, 0, 1}},
		"a window after a pause": {{0, 1, 0}, {time.Hour, 5, 0}, {time.Hour + 100*ms, 3, 2}},
		"given back in time":     {{0, 5, 0}, {10 * ms, -1, 0}, {20 * ms, 1, 0}},
		"given back too late":    {{0, 5, 0}, {10 * ms, 1, 0}, {10 * ms, 1, 1}, {20 * ms, -1, 1}},
	}
	for name, script := range scripts {
		e := NewExcess(&config.Configuration{Organisations: []config.Organisation{{Name: "museum", Rate: 10, Burst: 5}, {Name: "idle", Rate: 1, Burst: 1}}})
		for _, step := range script {
			for range step.n {
				e.Admitted("museum", e.started.Add(step.at))
			}
			for range -step.n {
				e.GivenBack("museum", e.started.Add(step.at))
			}
			require.Equal(t, step.over, e.Overshoot(), "%s at %s", name, step.at)
		}
	}
}

// Guards against a false overshoot on a busy machine, where decisions within the
// contract are recorded late and out of order.
func TestExcessUsesTheTimeOfTheDecision(t *testing.T) {
	e := NewExcess(&config.Configuration{Organisations: []config.Organisation{{Name: "museum", Rate: 10, Burst: 1}}})
	for i := range 50 {
		late := 49 - i
		e.Admitted("museum", e.started.Add(time.Duration(late)*100*time.Millisecond))
	}
	require.Zero(t, e.Overshoot())
	e.Admitted("museum", e.started.Add(2*time.Second))
	require.Equal(t, 1, e.Overshoot())
}
