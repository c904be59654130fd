package try

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"wisteriafold/instance"
	"wisteriafold/standin"
)

const (
	testTimeout  = time.Minute // limit on the wait for an expected event; no test asserts how long it took
	pollInterval = 20 * time.Millisecond
)

func TestSummaryRecordsEachBrokenInvariant(t *testing.T) {
	broken := map[string]func(*Summary){ // part of the message -> change that breaks the invariant
		"wrong or cut answers":           func(s *Summary) { s.WrongAnswers = 7 },
		"second runs":                    func(s *Summary) { s.SecondRuns = 7 },
		"told not-run":                   func(s *Summary) { s.FalseNotRun = 7 },
		"a key reached a backend server": func(s *Summary) { s.KeysSeen = 7 },
		"more than its contract":         func(s *Summary) { s.Overshoot = 7 },
		"shutdowns cut a request":        func(s *Summary) { s.CutAtShutdown = 7 },
		"a drained backend server":       func(s *Summary) { s.WorkAfterDrain = 7 },
		"no request completed":           func(s *Summary) { s.Completed = 0 },
		"a withdrawn key":                func(s *Summary) { s.KeyWithdrawn = noticeFailsafe.Seconds() + 0.01 },
		"to drain":                       func(s *Summary) { s.Drained = noticeFailsafe.Seconds() + 0.01 },
		"to be in force":                 func(s *Summary) { s.InForce = noticeFailsafe.Seconds() + 0.01 },
	}
	for text, breakIt := range broken {
		s := Summary{Completed: 1}
		breakIt(&s)
		s.checkInvariants()
		require.Len(t, s.Broken, 1, text)
		require.Contains(t, s.Broken[0], text)
	}
	s := Summary{Completed: 1}
	s.checkInvariants()
	require.Empty(t, s.Broken)
}

// TestRun checks the invariants of a whole run, and no durations: they depend on
// the load of the machine.
func TestRun(t *testing.T) {
	sum, err := Run(Options{Deployment: "kurume", Duration: MinDuration, Seed: 1, Progress: io.Discard, Log: io.Discard})
	require.NoError(t, err)
	require.Empty(t, sum.Broken)
	var out bytes.Buffer
	require.NoError(t, sum.Print(&out))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	var last map[string]any
	require.NoError(t, json.Unmarshal([]byte(lines[len(lines)-1]), &last))
	for _, name := range []string{
		"requests", "completed", "refused_not_run", "unknown", "wrong_answers", "second_runs",
		"keys_seen_by_backends", "contract_overshoot", "refused_within_rate", "added_p99_ms",
	} {
		require.Contains(t, last, name)
	}
	require.NotZero(t, sum.Kinds["once"].Completed)
}

// TestRunReportsInjectedFaults sends the same order with a key to a backend server
// twice, bypassing its daemon, and admits one organisation beyond its contract.
func TestRunReportsInjectedFaults(t *testing.T) {
	d, err := start("kurume", io.Discard)
	require.NoError(t, err)
	require.NoError(t, d.ready())
	s := &script{opt: Options{Progress: io.Discard}, d: d, started: time.Now()}
	s.t = startTraffic([]string{d.nodes[0].caller}, kinds(d.conf, d.keys), 1)
	require.Eventually(t, func() bool { return s.t.callers.Tallies()["read"].Completed > 0 }, testTimeout, pollInterval)
	s.t.stop()

	bypassed := d.nodes[1]
	for range 2 {
		require.Equal(t, fasthttp.StatusOK, order(t, bypassed.direct))
	}
	first := d.conf.Organisations[0]
	for range int(first.Burst + first.Rate*testTimeout.Seconds()) {
		d.excess.Admitted(first.Name, time.Now())
	}
	sum, err := s.finish()
	require.NoError(t, err)
	require.Equal(t, 1, sum.SecondRuns)
	require.Equal(t, 2, sum.KeysSeen)
	require.Positive(t, sum.Overshoot)
	require.Len(t, sum.Broken, 3)
}

// order sends one non-idempotent order with a key to an address and returns the
// status.
func order(t *testing.T, address string) int {
	t.Helper()
	var req fasthttp.Request
	var resp fasthttp.Response
	req.SetRequestURI("http://" + address + "/order")
	req.Header.Set(standin.HeaderOrder, "forged")
	req.Header.Set(instance.HeaderKey, "wfk_forged")
	require.NoError(t, fasthttp.DoTimeout(&req, &resp, testTimeout))
	return resp.StatusCode()
}
