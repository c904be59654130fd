package instance_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/config"
	"wisteriafold/instance"
)

// Failure: a request, or a call made for it, runs outside the home regions of its route.
// The daemons are all in the region east.
func TestRequestsAreServedInTheirHomeRegionsOnly(t *testing.T) {
	f := shared
	before := slices.Clone(f.conf.Routes)
	restrict := func(regions ...string) {
		f.conf.Routes = append(slices.Clone(before), config.Route{
			Name: "home", Prefix: "/home", Methods: []string{"GET"}, Service: "front", Open: true, RetryAllowance: 2, HomeRegions: regions,
		})
		require.NoError(t, f.apply())
	}
	t.Cleanup(func() {
		f.conf.Routes = before
		require.NoError(t, f.apply())
	})
	var runs, calls atomic.Int32
	for n := range 2 {
		f.handle(t, fmt.Sprintf("front-%d", n), func(w http.ResponseWriter, r *http.Request) {
			runs.Add(1)
			a, err := f.callDeep(r, n, "/x")
			fmt.Fprint(w, a.status, err)
		})
	}
	f.handle(t, "deep", func(http.ResponseWriter, *http.Request) { calls.Add(1) })
	get := func() answer { return f.send(t, 0, "GET", "/home", nil) }
	restrict("west", "east")
	require.Eventually(t, func() bool { return get().body == "200 <nil>" }, waitLimit, 10*time.Millisecond)
	require.Positive(t, calls.Load())
	restrict("west")
	require.Eventually(t, func() bool { return get().header.Get(instance.HeaderReason) == "home-region" }, waitLimit, 10*time.Millisecond)
	ran := runs.Load()
	for range 5 {
		a := get()
		require.Equal(t, 503, a.status)
		require.Equal(t, "not-run", a.header.Get(instance.HeaderOutcome))
		require.NotEmpty(t, a.header.Get("Retry-After"))
		require.Contains(t, a.body, "no endpoint in the allowed regions", "the entry sends it to no gate")
	}
	require.Equal(t, ran, runs.Load())
}
