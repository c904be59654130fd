package service

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/request"
)

// explainedPicker returns a picker whose decisions depend on load, speed, losses, pace,
// exclusions and localities, and the time of its last observation.
func explainedPicker(t *testing.T) (*Picker, time.Time) {
	t.Helper()
	near, mid, far := endpoints("f1", "fukuoka", 5), endpoints("f2", "fukuoka", 3), endpoints("k1", "kurume", 2)
	near[3].SlowStart = 3 * time.Second
	near[4].Draining = true
	p := newPicker(DefaultConfig(), near, mid, far)
	now := start
	for i := range 400 {
		now = now.Add(time.Millisecond)
		for j, e := range append(near[:4:4], mid...) {
			r := &Load{InFlight: uint32(6 + j), Queued: uint32(2 * (j % 3)), Limit: 10, ServiceTime: 20 * time.Millisecond, WorkPercent: uint32(100 + 20*j)}
			if j == 0 {
				r.Level = request.ClassWidth / 2
			}
			if j == 3 {
				r.Limit = 4
			}
			o := Observation{Duration: time.Duration(20+3*j) * time.Millisecond, Bytes: 2000, Report: r}
			if j == 2 && i%5 == 0 {
				o.Result = Failed
			}
			p.Begin(e.Peer)
			p.Observe(now, e.Peer, o)
		}
	}
	p.Begin(near[1].Peer)
	for range 10 { // ejected
		p.Begin(mid[2].Peer)
		p.Observe(now, mid[2].Peer, Observation{Result: Failed, Duration: time.Millisecond})
	}
	return p, now
}

// Failure: the explained probabilities are not those of real decisions.
func TestExplainedProbabilitiesAreThoseOfRealDecisions(t *testing.T) {
	const draws, decisions = 2000, 1000
	p, now := explainedPicker(t)
	for _, tried := range [][]string{nil, {"f1:0", "f1:2"}} {
		x := p.Explain(now, rng(), call, tried, draws)
		counts, r := map[string]int{}, rand.New(rand.NewPCG(3, 4))
		for range decisions {
			e, _, err := p.Pick(now, r, call, tried)
			require.NoError(t, err)
			counts[e.Peer]++
		}
		requireChances(t, x, counts, draws, decisions)
		total, uneven := x.Refused, 0
		for _, e := range x.Endpoints {
			total += e.Probability
			if e.Probability > 0 {
				uneven++
			}
		}
		require.InDelta(t, 1, total, 1e-6)
		require.Greater(t, uneven, 2, "the case must be one with several possible choices")
	}
	x := p.Explain(now, rng(), call, nil, draws)
	for _, e := range x.Endpoints {
		switch e.Endpoint.Peer {
		case "f1:4":
			require.InDelta(t, 1, e.PassedOver["draining"], 1e-6)
		case "f2:2":
			require.InDelta(t, 1, e.PassedOver["ejected"], 1e-6)
			require.Positive(t, e.ExcludedFor)
		case "f1:3":
			require.Positive(t, e.PassedOver["paced"])
			require.Less(t, e.PaceWeight, 1.0)
		}
	}
}

func chances(x Explanation) string {
	var b strings.Builder
	for _, e := range x.Endpoints {
		fmt.Fprintf(&b, "%s:%.3f ", e.Endpoint.Peer, e.Probability)
	}
	return strings.TrimSpace(b.String())
}

// Failure: explaining changes later decisions: a token of a cold share, the phase of a
// share, the start of a pace or a measurement.
func TestExplainingChangesNoPicker(t *testing.T) {
	p, now := explainedPicker(t)
	cold := endpoints("f1", "fukuoka", 6)
	for i := range cold {
		cold[i].ColdShare, cold[i].ColdUntil = 2, now.Add(10*time.Second)
	}
	cold[5].SlowStart = time.Second
	p.SetEndpoints(cold)
	before := stateText(p)
	for _, c := range []*request.Call{call, {Importance: request.High, Regions: []string{"fukuoka"}, BodyBytes: 1 << 20}} {
		x := p.Explain(now, rng(), c, []string{"f1:0"}, 500)
		require.Len(t, x.Endpoints, 6)
		require.Positive(t, x.Endpoints[1].Probability)
		require.True(t, x.Endpoints[1].Cold)
	}
	require.Equal(t, before, stateText(p))

	// Each real decision may take a token, so that each is made on its own copy.
	const draws, decisions = 2000, 1000
	p.Begin("f1:1")
	for _, later := range []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond} {
		at := now.Add(later)
		x, r, counts := p.Explain(at, rng(), call, nil, draws), rand.New(rand.NewPCG(7, 8)), map[string]int{}
		for range decisions {
			e, _, err := p.Clone().Pick(at, r, call, nil)
			require.NoError(t, err)
			counts[e.Peer]++
		}
		requireChances(t, x, counts, draws, decisions)
		_, _, err := p.Pick(at, r, call, nil) // draws the phases and takes a token
		require.NoError(t, err)
	}
}

// requireChances compares explained probabilities with the numbers of real decisions:
// four standard deviations of the difference of two samples.
func requireChances(t *testing.T, x Explanation, counts map[string]int, draws, decisions float64) {
	t.Helper()
	for _, e := range x.Endpoints {
		q := min(max(e.Probability, 1/draws), 1-1/draws)
		bound := 4 * math.Sqrt(q*(1-q)*(1/draws+1/decisions))
		require.InDelta(t, e.Probability, float64(counts[e.Endpoint.Peer])/decisions, bound, e.Endpoint.Peer)
	}
	t.Logf("explained %v, real decisions %v", chances(x), counts)
}

// stateText returns all state of a picker that decisions use or change.
func stateText(p *Picker) string {
	var b strings.Builder
	v := p.view.Load()
	fmt.Fprintf(&b, "%p %v %d %d %v %v\n", v, p.homes, p.reports.Load(), p.answerSize.Load(), p.typical.load(), p.gateTime.load())
	for _, states := range v.byLocality {
		for _, s := range states {
			s.cold.mu.Lock()
			fmt.Fprintf(&b, "%+v\n", s) //nolint:govet // no other goroutine uses it
			s.cold.mu.Unlock()
		}
	}
	return b.String()
}

// Failure: explaining races with concurrent decisions and observations.
func TestExplainBesideDecisions(t *testing.T) {
	p, now := explainedPicker(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r := rng()
		for range 2000 {
			e, _, err := p.Pick(now, r, call, nil)
			if err != nil {
				return
			}
			p.Begin(e.Peer)
			p.Observe(now, e.Peer, Observation{Duration: time.Millisecond, Report: &Load{Limit: 10}})
		}
	}()
	for range 5 {
		require.NotEmpty(t, p.Explain(now, rand.New(rand.NewPCG(5, 6)), call, nil, 100).Endpoints)
	}
	<-done
}
