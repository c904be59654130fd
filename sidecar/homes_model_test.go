package sidecar

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"wisteriafold/ingress"
	"wisteriafold/membership"
	"wisteriafold/request"
	"wisteriafold/routing"
	"wisteriafold/service"
	"wisteriafold/wire"
)

// regionTable returns a table with one route and one organisation of key "k" that are
// restricted to regions.
func regionTable(generation uint64, route, organisation []string) *routing.Table {
	return routing.NewTable(&routing.Configuration{
		Generation:    generation,
		Authenticates: true,
		Routes:        []routing.Route{{Name: "view", Host: "h", Prefix: "/v/", Timeout: 1, Regions: route, Parts: []routing.Part{{Service: "s", Weight: 1}}}},
		Organisations: []routing.Organisation{{Name: "o", Keys: []string{"k"}, Regions: organisation}},
	}, nil)
}

// Failure: in some order of configuration changes at the entry and at the gates, retries,
// ejections and refusals, a request runs, or its body is sent, outside its regions.
func TestNoOrderOfEventsTakesARequestOutOfItsRegions(t *testing.T) {
	regions := []string{"r0", "r1", "r2"}
	var gates []*Daemon
	var members []*membership.Entry
	for i := range 6 {
		e := &membership.Entry{Peer: fmt.Sprintf("10.0.0.%d:1", i), Region: regions[i/2], DataCentre: regions[i/2], Service: "s", State: uint32(membership.Ready), Slots: 2}
		d, err := New(Settings{Listen: Listen{Peers: e.Peer}, DataCentre: e.DataCentre, Region: e.Region, Service: "s"}, Options{Dialect: unusedDialect{}, Store: unusedStore{}})
		require.NoError(t, err)
		t.Cleanup(d.lines.close)
		gates, members = append(gates, d), append(members, e)
	}
	digest := routing.DigestOf([]byte("k"))
	draw := func(t *rapid.T, generation uint64) *routing.Table {
		set := rapid.SampledFrom([][]string{nil, {"r0"}, {"r1", "r2"}, {"r2"}, {"r0", "r1", "r2"}})
		return regionTable(generation, set.Draw(t, "route"), set.Draw(t, "organisation"))
	}
	homes := func(x *routing.Table) ([]string, bool) { return x.Homes(&x.Routes[0], &x.Organisations[0]) }
	sent := 0
	one := func(t *rapid.T) {
		entered := gates[0]
		entered.services.Clear()
		entered.members.Store(&members)
		tables := []*routing.Table{draw(t, 1)}
		for g := uint64(2); g <= 4; g++ {
			tables = append(tables, draw(t, g))
		}
		at := 0
		e := &entry{d: entered, http: &ingress.Request{}, table: tables[at], organisation: &tables[at].Organisations[0]}
		e.http.Header.SetHost("h")
		e.http.Header.SetRequestURI("/v/1")
		e.match, _ = e.table.Match("h", "/v/1")
		e.call = &request.Call{Service: "s", Route: "view", Organisation: "o", KeyID: string(digest[:]), Idempotent: true}
		if err := e.checkRegions(); err != nil {
			require.Equal(t, request.ReasonHomeRegion, err.Reason)
			return
		}
		out := &outgoing{call: e.call, head: &wire.CallHead{Route: "view", KeyId: digest[:], Generation: 1, Regions: e.call.Regions}}
		var tried []string
		for range rapid.IntRange(1, 5).Draw(t, "attempts") {
			at = rapid.IntRange(at, len(tables)-1).Draw(t, "generation of the entry")
			entered.table.Store(tables[at])
			eps := entered.endpointsOf("s")
			if err := e.recheckRegions(out); err != nil {
				return
			}
			ep, _, err := entered.pick(eps, out.call, tried)
			if err != nil {
				return
			}
			for _, x := range []*routing.Table{tables[0], tables[at]} {
				allowed, ok := homes(x)
				require.True(t, ok)
				require.True(t, len(allowed) == 0 || slices.Contains(allowed, ep.Region), "sent to %s, allowed %v", ep.Region, allowed)
			}
			gate := gates[slices.IndexFunc(members, func(m *membership.Entry) bool { return m.Peer == ep.Peer })]
			known := tables[rapid.IntRange(0, len(tables)-1).Draw(t, "generation of the gate")]
			gate.table.Store(known)
			refused := gate.checkPlace(out.head)
			if allowed, ok := homes(known); !ok || len(allowed) > 0 && !slices.Contains(allowed, ep.Region) {
				require.NotNil(t, refused, "the gate runs it in %s, allowed %v", ep.Region, allowed)
			}
			require.NotNil(t, gates[(2+2*slices.Index(regions, ep.Region))%6].checkPlace(&wire.CallHead{Generation: 9, Regions: []string{ep.Region}}), "the gate of another region")
			tried = append(tried, ep.Peer)
			eps.picker.Begin(ep.Peer)
			result := rapid.SampledFrom([]service.Result{service.Failed, service.Refused, service.Unreachable, service.Abandoned}).Draw(t, "result")
			for range 6 {
				eps.picker.Observe(entered.now(), ep.Peer, service.Observation{Result: result})
			}
			sent++
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		for range 30 {
			one(t)
		}
	})
	require.Greater(t, sent, 1000, "most requests must get as far as a gate")
}
