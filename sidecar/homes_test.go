package sidecar_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/sidecar"
	"wisteriafold/standin/endpoint"
	"wisteriafold/standin/rowstore"
)

// withRegions returns a configuration document in which the routes and tenants of the
// given names are restricted to regions.
func withRegions(version int, regions map[string][]string, tenants ...tenant) []byte {
	var d map[string]any
	if err := json.Unmarshal(document(version, routes(), tenants...), &d); err != nil {
		panic(err)
	}
	for _, list := range []string{"routes", "tenants"} {
		for _, x := range d[list].([]any) {
			if r := regions[x.(map[string]any)["name"].(string)]; r != nil {
				x.(map[string]any)["allowedRegions"] = r
			}
		}
	}
	b, err := json.Marshal(d)
	if err != nil {
		panic(err)
	}
	return b
}

// deployTwoRegions starts daemons with one data centre in each of two regions: dc0 in
// g1 and dc1 in g2. Each has two of the backends, in order.
func deployTwoRegions(t *testing.T, doc []byte, adjust func(*sidecar.Settings), backends ...endpoint.Config) *deployment {
	d := &deployment{t: t, store: rowstore.New()}
	d.adjust = func(i int, s *sidecar.Settings) {
		s.Region = fmt.Sprintf("g%d", 1+i/2)
		s.Regions = map[string]string{"dc0": "g1", "dc1": "g2"}
		if adjust != nil {
			adjust(s)
		}
	}
	d.store.Put("op", "config", doc)
	for i, cfg := range backends {
		d.add(i, cfg)
	}
	t.Cleanup(d.close)
	for _, n := range d.nodes {
		d.awaitReady(n, len(backends))
	}
	return d
}

// runsOf returns the number of requests that the backend servers of some nodes have run.
func runsOf(nodes ...*node) int {
	n := 0
	for _, x := range nodes {
		n += len(x.backend.Runs())
	}
	return n
}

// requireRefused checks that a request was refused as not run with a reason.
func requireRefused(t *testing.T, reason string, a answer) {
	t.Helper()
	require.Equal(t, 503, a.status, a.body)
	require.True(t, strings.HasPrefix(a.body, reason+":"), a.body)
	require.NotEmpty(t, a.header.Get("Retry-After"))
}

// Failure: a request is served outside the regions of its route or organisation, also
// when no endpoint there can be used, or an undeclared region takes other routes along.
func TestRequestsAreServedInTheirHomeRegionsOnly(t *testing.T) {
	doc := withRegions(1, map[string][]string{"view": {"g2"}, "pay": {"g1", "mistyped"}, "o2": {"g1"}},
		tenant{Name: "o1", APIKeys: []string{"key-1"}}, tenant{Name: "o2", APIKeys: []string{"key-2"}})
	d := deployTwoRegions(t, doc, nil, archive(), ledger(), archive(), archive())
	near, far := d.nodes[0], d.nodes[2:]
	for i := range 20 {
		a := near.send(t, "GET", "/view/1", fmt.Sprint("v", i), "", "X-Credential", "key-1")
		require.Equal(t, 200, a.status, a.body)
	}
	require.Zero(t, runsOf(near))
	require.Equal(t, 20, runsOf(far...))
	requireRefused(t, "home-region", near.send(t, "GET", "/view/1", "w", "", "X-Credential", "key-2"))
	requireRefused(t, "home-region", near.send(t, "GET", "/pay/1", "p", ""))
	require.Equal(t, 200, far[0].send(t, "POST", "/order/1", "o", "x", "X-Credential", "key-2").status)
	require.Equal(t, 1, runsOf(near), "the organisation's region binds on a route without regions")

	for _, n := range far {
		require.True(t, n.backend.Drain())
	}
	require.Eventually(t, func() bool { return near.daemon.ReadyEndpoints() == 2 }, 5*time.Second, 10*time.Millisecond)
	for i := range 5 {
		requireRefused(t, "home-region", near.send(t, "GET", "/view/1", fmt.Sprint("x", i), "", "X-Credential", "key-1"))
	}
	require.Equal(t, 1, runsOf(near))
	require.Equal(t, 20, runsOf(far...))
	noticed := 0
	for _, l := range near.logs.lines(t) {
		if l["msg"] == "unknown value in the configuration" && l["value"] == "mistyped" {
			noticed++
		}
	}
	require.Equal(t, 1, noticed)
}
