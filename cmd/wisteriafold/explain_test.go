package main

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"wisteriafold/sidecar"
)

// Failure: the command asks another question than given, hides a refusal or a candidate,
// or takes wrong arguments for a failure of the daemon.
func TestExplainWhereARequestWouldGo(t *testing.T) {
	want := sidecar.Explanation{
		Instance: "node-1", Route: &sidecar.ExplainedRoute{Name: "view"}, Homes: []string{"g1"},
		Admission: sidecar.ExplainedAdmission{AdmittedTrees: 0.5, Token: sidecar.TokenHere, Tokens: 7},
		Services: []sidecar.ExplainedService{{Service: "archive", Share: 1, Choice: sidecar.ExplainedChoice{Endpoints: []sidecar.ExplainedEndpoint{
			{Peer: "10.0.0.1:7000", Probability: 0.75, MeasuredAgeMs: -1, PassedOver: map[string]float64{"paced": 0.25}},
		}}}},
	}
	var asked string
	address := serve(t, &fasthttp.Server{CloseOnShutdown: true, Handler: func(hc *fasthttp.RequestCtx) {
		asked = hc.QueryArgs().String()
		if hc.QueryArgs().Has("importance") {
			hc.Error("importance: use another", fasthttp.StatusBadRequest)
			return
		}
		_ = json.NewEncoder(hc).Encode(want)
	}})
	ask := []string{"explain", "--metrics", address, "--host", "h.example", "--path", "/view/1?a=b", "--organisation", "o1", "--size", "9"}
	out, code, err := command(ask...)
	require.NoError(t, err)
	require.Equal(t, exitOK, code)
	require.Equal(t, "host=h.example&organisation=o1&path=%2Fview%2F1%3Fa%3Db&size=9", asked)
	for _, part := range []string{"node-1", "view", "home regions   g1", "admitted 50.0%", "7 here", "archive", "10.0.0.1:7000", "75.0%", "paced 25.0%", "never"} {
		require.Contains(t, out, part)
	}
	for _, flag := range [][]string{{"--json"}, {"--output", "json"}} {
		out, _, err = command(append(ask, flag...)...)
		require.NoError(t, err)
		var got sidecar.Explanation
		require.NoError(t, json.Unmarshal([]byte(out), &got), out)
		require.Equal(t, want, got)
	}
	_, code, err = command(append(ask, "--importance", "odd")...)
	require.ErrorContains(t, err, "importance: use another")
	require.Equal(t, exitUsage, code)

	for _, args := range [][]string{
		{"explain"},
		{"explain", "--host", "h.example", "5f0c"},
		{"explain", "--metrics", address},
		{"explain", "--metrics", address, "--host", "h.example", "--path", "view"},
		{"explain", "--metrics", address, "--host", "h.example", "--path", "/", "5f0c"},
		{"explain", "--metrics", address, "--host", "h.example", "--path", "/", "--output", "yaml"},
	} {
		_, code, err := command(args...)
		require.Error(t, err, args)
		require.Equal(t, exitUsage, code, args)
	}
	_, code, err = command("explain", "--metrics", "127.0.0.1:1", "--host", "h.example", "--path", "/")
	require.ErrorContains(t, err, "start the daemon or correct the address")
	require.Equal(t, exitFailed, code)
}
