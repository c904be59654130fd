package backend

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Failure: a pause of the reaction to sheds is extended although they have become
// others, and the limit of a backend server that is really full is never cut.
func TestExtendedPauseEndsWhenTheShedRatioChanges(t *testing.T) {
	const seen = 0.4
	ended := func(ratio float64) time.Duration {
		r := rand.New(rand.NewPCG(1, 2))
		s := shedTrial{ratio: seen, floorRatio: seen, ignoreUntil: epoch.Add(firstShedPause), ignoreLimit: epoch.Add(maxShedPause)}
		l := &Limiter{cfg: Config{Slots: 10}.withDefaults(), limit: 10, shedTrial: s}
		var now time.Time
		for now = epoch; now.Before(epoch.Add(2 * maxShedPause)); now = now.Add(5 * time.Millisecond) {
			p := seen
			if now.After(epoch.Add(firstShedPause)) {
				p = ratio
			}
			l.evaluateShedTrial(now, now, r.Float64() < p)
			if !l.shedTrial.ignores(now) {
				break
			}
		}
		return now.Sub(epoch)
	}
	require.Equal(t, maxShedPause, ended(seen), "the sheds go on")
	require.Less(t, ended(0.9), firstShedPause+time.Second, "more sheds")
	require.Less(t, ended(0), firstShedPause+time.Second, "no sheds")
}
