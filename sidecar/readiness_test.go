package sidecar_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/platform/host"
	"wisteriafold/sidecar"
)

// Failure: a daemon has a configuration, pushed by a peer or just decoded, and
// reports ready before it knows the age of that configuration. It then refuses
// requests with a key.
func TestDaemonIsNotReadyBeforeConfigurationIsConfirmed(t *testing.T) {
	client := host.NewStore("127.0.0.1:1", time.Second)
	defer client.Close()
	d, err := sidecar.New(sidecar.Settings{Instance: "node-0", Service: "archive", Listen: sidecar.Listen{Peers: "127.0.0.1:2"}}, sidecar.Options{Dialect: host.Dialect{}, Store: client})
	require.NoError(t, err)
	defer d.Close()
	d.MarkDirectoryCompleteForTest()
	require.Positive(t, d.AdoptForTest(document(1, routes())))
	require.False(t, d.ReadyForTest(), "requests with a key would be refused")
	d.ConfirmForTest()
	require.True(t, d.ReadyForTest())
}
