package service

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wisteriafold/request"
)

// Failure: a restricted call leaves its regions, or a call reaches an evacuated data
// centre, by spill, after ejections and refusals, by failing open, or on a retry; or a
// call is refused although an endpoint that it may use is left.
func TestCallsStayInTheirRegionsAndOutOfEvacuatedDataCentres(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPicker(start, DefaultConfig(), here, rapid.Uint64().Draw(t, "seed"))
		p.EnableHomes()
		now, rng := start, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "rng"), 1))
		var all []Endpoint
		results := []Result{Succeeded, Failed, Refused, Unreachable, Expired, ConnectionLost}
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			all = nil
			for _, dc := range []string{"f1", "f2", "k1", "k2", "n1"} {
				n := rapid.IntRange(0, 3).Draw(t, dc)
				evacuated := rapid.IntRange(0, 3).Draw(t, "evacuated") == 0
				for _, e := range endpoints(dc, map[byte]string{'f': "fukuoka", 'k': "kumamoto", 'n': "nagasaki"}[dc[0]], n) {
					e.Evacuated = evacuated
					all = append(all, e)
				}
			}
			p.SetEndpoints(all)
			for range rapid.IntRange(0, 30).Draw(t, "calls") {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
				regions := rapid.SampledFrom([][]string{nil, {"fukuoka"}, {"kumamoto"}, {"kumamoto", "nagasaki"}, {"nagasaki", "fukuoka"}, {"elsewhere"}}).Draw(t, "regions")
				c := &request.Call{Importance: request.Normal, Regions: regions, BodyBytes: rapid.SampledFrom([]int64{0, -1, 1 << 20}).Draw(t, "body")}
				var tried []string
				for range rapid.IntRange(1, 4).Draw(t, "attempts") {
					e, _, err := p.Pick(now, rng, c, tried)
					left := slices.ContainsFunc(all, func(e Endpoint) bool {
						return !e.Evacuated && (regions == nil || slices.Contains(regions, e.Region)) && !slices.Contains(tried, e.Peer)
					})
					if err != nil {
						require.False(t, left, "refused although an endpoint is left: %v", err)
						var fault *request.Error
						require.True(t, errors.As(err, &fault))
						require.Equal(t, request.NotRun, fault.Outcome)
						if regions != nil {
							require.Equal(t, request.ReasonHomeRegion, fault.Reason)
							require.Positive(t, fault.RetryAfter)
						}
						break
					}
					require.False(t, e.Evacuated)
					require.True(t, regions == nil || slices.Contains(regions, e.Region), "%v left %v", e, regions)
					require.NotContains(t, tried, e.Peer)
					p.Begin(e.Peer)
					tried = append(tried, e.Peer)
					p.Observe(now, e.Peer, Observation{Result: rapid.SampledFrom(results).Draw(t, "result"), Duration: time.Millisecond})
				}
			}
		}
	})
}

// Failure: the subset of all other regions together has no endpoint of a small home
// region, so a daemon of another region refuses its requests; or that of this region
// has only endpoints of an evacuated data centre.
func TestSmallHomesAreReachedFromLargeDeployments(t *testing.T) {
	p := newPicker(DefaultConfig(), endpoints("k1", "kumamoto", 300), endpoints("n1", "nagasaki", 1))
	p.EnableHomes()
	home := &request.Call{Regions: []string{"nagasaki"}}
	set := func(more ...Endpoint) {
		p.SetEndpoints(slices.Concat(endpoints("k1", "kumamoto", 300), endpoints("n1", "nagasaki", 1), more))
	}
	set()
	e, d, err := p.Pick(start, rng(), home, nil)
	require.NoError(t, err)
	require.Equal(t, "n1:0", e.Peer)
	require.Equal(t, SkipHomeRegion, d.PassedOver()[0].Skip)

	p.Begin("n1:0")
	for range maxUnreachable {
		p.Observe(start, "n1:0", Observation{Result: Unreachable})
	}
	set()
	_, d, err = p.Pick(start, rng(), home, nil)
	require.NoError(t, err)
	require.Equal(t, WhyFailOpen, d.Why, "measurements are kept when the endpoints change")

	evacuated := endpoints("f2", "fukuoka", 300)
	for i := range evacuated {
		evacuated[i].Evacuated = true
	}
	set(append(evacuated, endpoints("f3", "fukuoka", 1)...)...)
	e, d, err = p.Pick(start, rng(), &request.Call{}, nil)
	require.NoError(t, err)
	require.Equal(t, "f3:0", e.Peer)
	require.Equal(t, SkipEvacuated, d.PassedOver()[0].Skip)
	require.Equal(t, "evacuated", fmt.Sprint(d.PassedOver()[0].Skip))
}

// Failure: while this daemon has not heard of an evacuation, it sends call after call to
// a gate that refuses all; or it keeps away for long after the end of one.
func TestEndpointThatSaysEvacuatedIsAvoidedForAMoment(t *testing.T) {
	p := newPicker(DefaultConfig(), endpoints("f1", "fukuoka", 8), endpoints("f2", "fukuoka", 1))
	p.Observe(start, "f1:0", Observation{Result: Abandoned, Report: &Load{Evacuated: true}})
	e, _, err := p.Pick(start, rng(), call, nil)
	require.NoError(t, err)
	require.Equal(t, "f2:0", e.Peer, "the other gates of the data centre would refuse, too")
	_, _, err = p.Pick(start, rng(), call, []string{"f2:0"})
	require.Equal(t, errEvacuated, err)
	p.Observe(start, "f1:1", Observation{Report: &Load{}})
	e, _, err = p.Pick(start, rng(), call, nil)
	require.NoError(t, err)
	require.Equal(t, "f1:1", e.Peer, "its gate says that the evacuation has ended")
	_, d, err := p.Pick(start.Add(reportedEvacuationTTL), rng(), call, nil)
	require.NoError(t, err)
	require.Equal(t, 9, d.Usable)
}
