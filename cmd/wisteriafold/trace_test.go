package main

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// runTool runs a subcommand and returns its standard output.
func runTool(args ...string) (string, error) {
	c := rootCommand()
	var out bytes.Buffer
	c.SetOut(&out)
	c.SetErr(&out)
	c.SetArgs(args)
	err := c.Execute()
	return out.String(), err
}

func TestTraceReportsTheDeepestFailedCallAsCause(t *testing.T) {
	dir := t.TempDir()
	one, other := filepath.Join(dir, "one.json"), filepath.Join(dir, "other.json")
	require.NoError(t, os.WriteFile(one, []byte(`not a line
{"time":"2026-12-04T10:00:00.300Z","instance":"n1","step":"end","request":"a","service":"s","outcome":"answered","status":500}
{"time":"2026-12-04T10:00:00.100Z","instance":"n1","step":"choice","request":"a","service":"s","endpoint":"10.0.0.1:7000"}
{"time":"2026-12-04T10:00:00.100Z","instance":"n1","step":"end","request":"ab","service":"s","status":200}
`), 0o600))
	require.NoError(t, os.WriteFile(other, []byte(`{"time":"2026-12-04T10:00:00.200Z","instance":"n2","step":"gate","request":"a.b","service":"t","outcome":"queue-full","queued":9}
`), 0o600))
	out, err := runTool("trace", "a", one, other)
	require.NoError(t, err)
	require.Contains(t, out, "cause: 10:00:00.200   n2 gate t outcome=queue-full queued=9")
	require.NotContains(t, out, "ab")
	_, err = runTool("trace", "nobody", one)
	require.ErrorContains(t, err, "no line about request nobody")
	_, err = runTool("trace", "a", filepath.Join(dir, "none"))
	require.Error(t, err)
}

func TestSettingsAreChecked(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.yaml")
	require.NoError(t, os.WriteFile(file, []byte("self: {node: n1}\n"), 0o600))
	_, err := runTool("settings", file)
	require.ErrorContains(t, err, "self.zone: missing")
	require.Equal(t, exitUsage, codeOf(err))
}
