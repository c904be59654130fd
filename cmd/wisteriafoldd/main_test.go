package main

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"wisteriafold/instance"
)

func TestInvalidSettingsExitWithTheirOwnCode(t *testing.T) {
	file := filepath.Join(t.TempDir(), "daemon.yaml")
	for text, want := range map[string]string{ // settings text -> part of the error: file, line and cause
		"instance: a\nregoin: east\n":                                                "line 2",
		"instance: a\nregion: [east\n":                                               "yaml: line ",
		"instance: a\nlisten:\n  callers: here\n":                                    file,
		"instance: a\nregion: east\ndata_centre: east-1\nlisten:\n  callers: here\n": file + ":5: listen.callers is here: it must satisfy hostname_port",
		"instance: a\nregion: east\n":                                                "data_centre is missing: add it",
	} {
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		c := command()
		c.SetArgs([]string{"--settings", file})
		err := c.Execute()
		var wrong *instance.SettingsError
		require.ErrorAs(t, err, &wrong, text)
		require.ErrorContains(t, err, want)
		require.Contains(t, err.Error(), file)
		require.NotEmpty(t, wrong.Remedy)
		require.Equal(t, exitSettings, codeOf(err))
	}
}

func TestCodeOf(t *testing.T) {
	_, err := instance.LoadSettings(filepath.Join(t.TempDir(), "missing.yaml"))
	require.Equal(t, exitSettings, codeOf(err))
	require.Equal(t, exitFailed, codeOf(errors.New("a listener failed")))
}
