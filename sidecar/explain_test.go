package sidecar_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/sidecar"
)

// explainPage asks a daemon to explain a request and returns status and body.
func explainPage(t *testing.T, n *node, parameters ...string) (int, []byte) {
	t.Helper()
	q := url.Values{}
	for i := 0; i < len(parameters); i += 2 {
		q.Set(parameters[i], parameters[i+1])
	}
	resp, err := http.Get("http://" + n.settings.Listen.Metrics + sidecar.PathExplain + "?" + q.Encode())
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, b
}

func explained(t *testing.T, n *node, parameters ...string) sidecar.Explanation {
	t.Helper()
	status, b := explainPage(t, n, append(parameters, "host", "h.example")...)
	require.Equal(t, 200, status, string(b))
	var x sidecar.Explanation
	require.NoError(t, json.Unmarshal(b, &x))
	return x
}

// requestCounters returns the metrics that count requests and attempts.
func requestCounters(t *testing.T, n *node) []string {
	t.Helper()
	var out []string
	for _, line := range strings.Split(metricsText(t, n), "\n") {
		if strings.HasPrefix(line, "request") || strings.HasPrefix(line, "attempt") {
			out = append(out, line)
		}
	}
	slices.Sort(out)
	return out
}

// Failure: explaining sends a request, takes tokens or moves counters, or tells another
// route, refusal or endpoint than a real request gets.
func TestExplainTellsWhatRequestsGetAndChangesNothing(t *testing.T) {
	d := deploy(t, archive(), archive(), ledger())
	d.store.Put("op", "config", document(2, routes(),
		tenant{Name: "o1", APIKeys: []string{"key-1"}}, tenant{Name: "o2", APIKeys: []string{"key-2"}, RatePerS: 50, Burst: 100}))
	n := d.nodes[0]
	require.Eventually(t, func() bool { return n.daemon.Generation() == 2 }, 5*time.Second, 10*time.Millisecond)
	x := explained(t, n, "path", "/view/1", "organisation", "o1")
	require.False(t, x.Services[0].Used)
	for i := range 20 {
		require.Equal(t, 200, n.send(t, "GET", "/view/1", fmt.Sprint("v", i), "", "X-Credential", "key-1").status)
	}

	require.Eventually(t, func() bool { // the holders have begun to earn tokens
		return explained(t, n, "path", "/view/1", "organisation", "o2").Admission.Refused == "" &&
			n.send(t, "GET", "/view/1", "w", "", "X-Credential", "key-2").status == 200
	}, 5*time.Second, 10*time.Millisecond)

	require.Eventually(t, func() bool { return metric(t, n, "requests_in_flight") == "0" }, 5*time.Second, 10*time.Millisecond)
	runs, counters := runsOf(d.nodes...), requestCounters(t, n)
	for range 20 {
		x = explained(t, n, "path", "/view/1", "organisation", "o2", "size", "100")
	}
	require.Equal(t, runs, runsOf(d.nodes...))
	require.Equal(t, counters, requestCounters(t, n))
	require.Equal(t, "view", x.Route.Name)
	require.EqualValues(t, 2, x.Configuration.Generation)
	require.Equal(t, "o2", x.Organisation)
	require.Len(t, x.Services, 1)
	s := x.Services[0]
	require.True(t, s.Used)
	require.Len(t, s.Choice.Endpoints, 2)
	total := 0.0
	for _, e := range s.Choice.Endpoints {
		total += e.Probability
		require.Positive(t, e.CostMs)
	}
	require.InDelta(t, 1, total, 1e-6)
	require.Len(t, s.Retry.Excluded, 1)
	for _, e := range s.Retry.Choice.Endpoints {
		require.InDelta(t, map[bool]float64{true: 0, false: 1}[e.Peer == s.Retry.Excluded[0]], e.Probability, 1e-6)
	}

	require.Equal(t, "no-route", explained(t, n, "path", "/none/").Admission.Refused)
	require.Equal(t, "no-key", explained(t, n, "path", "/view/1").Admission.Refused)
	require.Equal(t, "bad-key", explained(t, n, "path", "/view/1", "key-digest", strings.Repeat("00", 16)).Admission.Refused)
	require.Empty(t, explained(t, n, "path", "/pay/1").Admission.Refused)
}

// Failure: a key in the URL is accepted, or shown in the answer or the log.
func TestExplainTakesNoKey(t *testing.T) {
	d := deploy(t, archive())
	n := d.nodes[0]
	for _, parameters := range [][]string{
		{"key", "key-1"}, {"key-1", ""}, {"key-digest", "key-1"}, {"size", "key-1"}, {"importance", "key-1"}, {"host", ""}, {"path", "view"},
	} {
		status, b := explainPage(t, n, append([]string{"host", "h.example", "path", "/view/1"}, parameters...)...)
		require.Equal(t, 400, status, parameters)
		require.NotContains(t, string(b), "key-1")
	}
	sum := sha256.Sum256([]byte("key-1"))
	digest := hex.EncodeToString(sum[:])
	status, b := explainPage(t, n, "host", "h.example", "path", "/view/1", "key-digest", digest)
	require.Equal(t, 200, status)
	require.Contains(t, string(b), `"organisation":"o1"`)
	require.NotContains(t, string(b), digest[:32])
	n.logs.mu.Lock()
	defer n.logs.mu.Unlock()
	require.NotContains(t, n.logs.b.String(), "key-1")
}

// Failure: the explanation leaves out the allowed regions, or enables them in the picker.
func TestExplainTellsHomeRegions(t *testing.T) {
	doc := withRegions(1, map[string][]string{"view": {"g2"}, "o2": {"g1"}},
		tenant{Name: "o1", APIKeys: []string{"key-1"}}, tenant{Name: "o2", APIKeys: []string{"key-2"}})
	d := deployTwoRegions(t, doc, nil, archive(), archive(), archive(), archive())
	n := d.nodes[0]
	require.Equal(t, 200, n.send(t, "POST", "/order/1", "v", "x", "X-Credential", "key-2").status)
	x := explained(t, n, "path", "/view/1?next=/order/1", "organisation", "o1")
	require.Equal(t, []string{"g2"}, x.Homes)
	require.Len(t, x.Services[0].Choice.Endpoints, 4)
	for _, e := range x.Services[0].Choice.Endpoints {
		if e.Region == "g1" {
			require.Zero(t, e.Probability)
			require.InDelta(t, 1, e.PassedOver["home-region"], 1e-6)
		} else {
			require.Positive(t, e.Probability)
		}
	}
	x = explained(t, n, "path", "/view/1", "organisation", "o2")
	require.Equal(t, "home-region", x.Admission.Refused)
	require.True(t, x.NoHome)
	require.Empty(t, x.Services)
}
