package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"wisteriafold/config"
	"wisteriafold/instance"
	"wisteriafold/organisation"
	"wisteriafold/platform"
	"wisteriafold/platform/memory"
	"wisteriafold/request"
	"wisteriafold/service"
	"wisteriafold/standin/rowstore"
)

// configurationText is a valid configuration with one organisation at a rate of
// 20 requests per second.
const configurationText = `data_centres:
  - name: east-1
    region: east
organisations:
  - name: museum
    rate: 20
    split: {east-1: 100}
services:
  - name: archive
routes:
  - name: browse
    prefix: /
    methods: [GET]
    service: archive
    open: true
`

// directory writes text as the only file of a new configuration directory and
// returns the directory.
func directory(t *testing.T, text string) string {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "all.yaml"), []byte(text), 0o600))
	return dir
}

// changed returns a directory with configurationText at the given rate.
func changed(t *testing.T, rate string) string {
	t.Helper()
	text := bytes.Replace([]byte(configurationText), []byte("rate: 20"), []byte("rate: "+rate), 1)
	return directory(t, string(text))
}

// serve runs a server on loopback until the test ends and returns its address.
func serve(t *testing.T, srv *fasthttp.Server) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() { defer close(done); _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Shutdown(); <-done })
	return ln.Addr().String()
}

// table starts a stand-in for the platform's store and returns it with its
// address.
func table(t *testing.T) (*memory.Store, string) {
	t.Helper()
	store := memory.New()
	srv := httptest.NewServer(rowstore.NewHandler(store))
	t.Cleanup(srv.Close)
	return store, strings.TrimPrefix(srv.URL, "http://")
}

// operator starts an operator listener that answers each path with a fixed page
// and returns its address.
func operator(t *testing.T, pages map[string]any) string {
	t.Helper()
	return serve(t, &fasthttp.Server{CloseOnShutdown: true, Handler: func(hc *fasthttp.RequestCtx) {
		page, known := pages[string(hc.Path())]
		if !known {
			hc.SetStatusCode(fasthttp.StatusNotFound)
			return
		}
		_ = json.NewEncoder(hc).Encode(page)
	}})
}

// command runs the tool with arguments and returns its output, exit code and error.
func command(args ...string) (string, int, error) {
	var out bytes.Buffer
	c := rootCommand()
	c.SetArgs(args)
	c.SetOut(&out)
	c.SetErr(&out)
	err := c.Execute()
	return out.String(), codeOf(err), err
}

// succeed runs the tool, which must succeed, and decodes its JSON into v.
func succeed(t *testing.T, v any, args ...string) {
	t.Helper()
	out, code, err := command(append(args, "--json")...)
	require.NoError(t, err)
	require.Equal(t, exitOK, code)
	require.NoError(t, json.Unmarshal([]byte(out), v), out)
}

func TestWrongArguments(t *testing.T) {
	dir := directory(t, configurationText)
	for _, args := range [][]string{
		{"check"},
		{"show", "extra"},
		{"no-such-command"},
		{"status"},
		{"apply", "--no-such-flag"},
		{"apply"},
		{"apply", dir, "--outcome", "0000000000000000-00"},
		{"apply", "--outcome", "0000000000000000-00", "--base", "0"},
		{"apply", filepath.Join(dir, "missing")},
		{"apply", dir, "--base", "one"},
	} {
		_, code, err := command(args...)
		require.Error(t, err, args)
		require.Equal(t, exitUsage, code, args)
	}
}

func TestCheckNamesFileAndLine(t *testing.T) {
	var sum checked
	succeed(t, &sum, "check", directory(t, configurationText))
	require.Equal(t, checked{Organisations: 1, Services: 1, Routes: 1, DataCentres: 1}, sum)

	broken := map[string]string{ // configuration text -> pattern of the reported place
		"organisations:\n  - name: museum\n\trate: 20\n":  `all\.yaml:\d+: not valid YAML`,
		"organisations:\n  - name: museum\n    rat: 20\n": `all\.yaml:3: `,
		"organisations:\n  - name: museum\n    rate: 0\n": `all\.yaml:3: `,
	}
	for text, place := range broken {
		_, code, err := command("check", directory(t, text))
		require.Regexp(t, place, err.Error())
		require.Equal(t, exitUsage, code)
	}
}

func TestApplyWithBaseIsRejectedAfterAnotherApply(t *testing.T) {
	_, address := table(t)
	var first config.Result
	succeed(t, &first, "apply", directory(t, configurationText), "--base", "0", "--platform", address)
	require.Equal(t, config.Accepted, first.Outcome)
	require.EqualValues(t, 1, first.Generation)

	next := changed(t, "30")
	var d difference
	succeed(t, &d, "diff", next, "--platform", address)
	require.EqualValues(t, 1, d.Generation)
	require.Contains(t, d.Changes[0].Fields, config.FieldChange{Field: "rate", Old: "20", New: "30"})
	text, _, _ := command("diff", next, "--platform", address)
	require.Contains(t, text, "compared with generation 1:")

	// Another apply commits first: the reviewed change must be rejected.
	succeed(t, &first, "apply", changed(t, "25"), "--platform", address)
	pinned := []string{"apply", next, "--platform", address, "--base", strconv.FormatUint(d.Generation, 10)}
	out, code, err := command(append(pinned, "--json")...)
	require.ErrorContains(t, err, "generation 1, on which this is based, is no longer in force (now 2)")
	require.Equal(t, exitConflict, code)
	var lost config.Result
	require.NoError(t, json.Unmarshal([]byte(out), &lost), out)
	require.Equal(t, config.Rejected, lost.Outcome)

	succeed(t, &d, "diff", next, "--platform", address)
	require.EqualValues(t, 2, d.Generation)
	require.Contains(t, d.Changes[0].Fields, config.FieldChange{Field: "rate", Old: "25", New: "30"})
}

func TestApplyIsRejectedWhenAnotherCommitsFirst(t *testing.T) {
	store, address := table(t)
	raced := false
	store.SetFate(func(platform.Tx) memory.Fate {
		if !raced { // commit another apply between the read and the write of this one
			raced = true
			_, code, _ := command("apply", directory(t, configurationText), "--platform", address)
			require.Equal(t, exitOK, code)
		}
		return memory.Take
	})
	_, code, err := command("apply", changed(t, "30"), "--platform", address)
	var race *config.RaceError
	require.ErrorAs(t, err, &race)
	require.Equal(t, exitConflict, code)
	text, _, _ := command("show", "--platform", address)
	require.Contains(t, text, "# generation 1\n")
	require.Contains(t, text, "rate: 20\n")
}

func TestOutcomeIsResolvedAfterALostAnswer(t *testing.T) {
	for fate, want := range map[memory.Fate]int{memory.LoseAnswer: exitOK, memory.LoseRequest: exitConflict} {
		store, address := table(t)
		store.SetFate(func(platform.Tx) memory.Fate {
			store.SetFaults(memory.Faults{Down: true}) // so that apply can't read the outcome back
			return fate
		})
		out, code, err := command("apply", directory(t, configurationText), "--platform", address, "--json")
		require.Equal(t, exitUnknown, code)
		var res config.Result
		require.NoError(t, json.Unmarshal([]byte(out), &res), out)
		require.Equal(t, config.Unknown, res.Outcome)
		require.ErrorContains(t, err, "wisteriafold apply --outcome "+res.ID)
		_, code, _ = command("apply", "--outcome", res.ID, "--platform", address)
		require.Equal(t, exitUnknown, code)

		store.SetFaults(memory.Faults{})
		store.SetFate(nil)
		out, code, _ = command("apply", "--outcome", res.ID, "--platform", address, "--json")
		require.Equal(t, want, code)
		require.NoError(t, json.Unmarshal([]byte(out), &res), out)
		require.Equal(t, want == exitOK, res.Outcome == config.Accepted)
		now, err := config.Read(context.Background(), store)
		require.NoError(t, err)
		require.Equal(t, want == exitOK, now.Snapshot.Generation == 1)
	}
}

func TestStoreDown(t *testing.T) {
	store, address := table(t)
	store.SetFaults(memory.Faults{Down: true})
	for _, args := range [][]string{{"show"}, {"diff", changed(t, "30")}, {"apply", changed(t, "30")}} {
		_, code, err := command(append(args, "--platform", address)...)
		require.Error(t, err)
		require.Equal(t, exitFailed, code, args)
	}
}

func TestWaitNamesLaggards(t *testing.T) {
	_, address := table(t)
	behind := operator(t, map[string]any{instance.PathConfirmed: []config.DataCentreStatus{
		{DataCentre: "east-1", Roster: 2, Members: 2, Lowest: 1},
		{DataCentre: "west-1", Roster: 2, Members: 1, Missing: 1, Laggards: []config.Laggard{{Instance: "10.0.0.9:7301"}}},
	}})
	wait := []string{"--wait", "--timeout", "1s", "--platform", address, "--operator"}
	_, code, err := command(append([]string{"apply", directory(t, configurationText)}, append(wait, behind)...)...)
	require.Equal(t, exitPartial, code)
	require.ErrorContains(t, err, "data centre west-1: 1 of 2 report, 10.0.0.9:7301 has 0")
	require.NotContains(t, err.Error(), "east-1")

	done := operator(t, map[string]any{instance.PathConfirmed: []config.DataCentreStatus{{DataCentre: "east-1", Roster: 2, Members: 2, Lowest: 2}}})
	out, code, err := command(append([]string{"apply", changed(t, "30")}, append(wait, done)...)...)
	require.NoError(t, err)
	require.Equal(t, exitOK, code)
	require.Contains(t, out, "generation 2 is in force at all instances")

	// Without a daemon to query, apply --wait writes nothing.
	_, code, _ = command("apply", changed(t, "35"), "--wait", "--platform", address)
	require.Equal(t, exitUsage, code)
	out, _, _ = command("show", "--platform", address)
	require.Contains(t, out, "# generation 2\n")
}

func TestStatusColumnsFitLongNames(t *testing.T) {
	long := instance.Status{Instance: "kumamoto-2-commissions-replacement-0042", DataCentre: "kumamoto-2"}
	long.Gate.Level = request.ClassWidth + request.ClassWidth/4
	long.Members.Announced = &service.Endpoint{Service: "commissions"}
	long.Members.Acknowledged = []string{"10.0.0.1:7301", "10.0.0.2:7301"}
	long.Backend = instance.BackendStatus{Service: "commissions", Announced: true}
	short := instance.Status{Instance: "a", DataCentre: "east-1", Stopping: true}
	short.Gate.Level = request.LevelShut
	args := []string{"status", "--operator", operator(t, map[string]any{instance.PathStatus: long}) + "," + operator(t, map[string]any{instance.PathStatus: short})}
	out, _, err := command(args...)
	require.NoError(t, err)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	require.Len(t, lines, 3)
	for column, cells := range map[string][2]string{
		"DATA CENTRE": {"kumamoto-2 ", "east-1 "},
		"AGE":         {"never ", "never "},
		"LEVEL":       {request.Importance(1).String() + " 25% ", "shut "},
		"ANNOUNCED":   {"to 2 ", "no "},
		"STATE":       {"serving", "shutting down"},
	} {
		at := strings.Index(lines[0], column)
		require.True(t, strings.HasPrefix(lines[1][at:], cells[0]), lines[1])
		require.True(t, strings.HasPrefix(lines[2][at:], cells[1]), lines[2])
	}
	var all []instance.Status
	succeed(t, &all, args...)
	require.Equal(t, long.Members.Acknowledged, all[0].Members.Acknowledged)

	// The error names a daemon that fails, and the others are still shown.
	out, code, err := command("status", "--operator", args[2]+","+operator(t, nil))
	require.ErrorContains(t, err, "it answered 404")
	require.Equal(t, exitFailed, code)
	require.Contains(t, out, long.Instance)
}

func TestExplain(t *testing.T) {
	_, code, err := command("explain", "5f0c", "--operator", operator(t, map[string]any{instance.PathExplain: []instance.Decision{}}))
	require.ErrorContains(t, err, "5f0c")
	require.Equal(t, exitFailed, code)

	known := operator(t, map[string]any{instance.PathExplain: []instance.Decision{{Step: "gate", Service: "archive", Instance: "east-1-a", Why: "admitted"}}})
	out, _, err := command("explain", "5f0c", "--operator", known)
	require.NoError(t, err)
	require.Contains(t, out, "gate archive at east-1-a: admitted")
}

func TestKeyNewPrintsTheDigestOfItsKey(t *testing.T) {
	var made struct{ Key, Digest string }
	succeed(t, &made, "key", "new")
	require.Equal(t, organisation.IDOf([]byte(made.Key)).String(), made.Digest)
}
