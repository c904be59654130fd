package sidecar

import (
	"testing"

	"github.com/stretchr/testify/require"

	"wisteriafold/membership"
	"wisteriafold/routing"
)

// Failure: the gate starts more calls than there are connections. The others wait for a
// connection, where no importance, evacuation or bound for a cold backend server holds.
func TestGateStartsNoMoreCallsThanThereAreConnections(t *testing.T) {
	for descriptors, want := range map[int]int{0: defaultBackendConnections, 256: 32} {
		s := Settings{Listen: Listen{Peers: "10.0.0.1:7000"}, Service: "s", MaxDescriptors: descriptors}
		d, err := New(s, Options{Dialect: coldDialect{}, Store: unusedStore{}})
		require.NoError(t, err)
		require.Equal(t, want, s.backendConnections())
		require.LessOrEqual(t, int(d.gate.Report().Limit), want)
		d.table.Store(coldDaemon(t, 0).table.Load())
		d.table.Load().Service("s").MaxConnections = 1000
		d.control.handleHeartbeat(membership.Heartbeat{ID: "b", StartMs: 100, Sequence: 1, State: membership.Ready, Service: "s", Slots: 500})
		require.Equal(t, want, int(d.gate.Report().Limit), "maxFds %d", descriptors)
	}
}

// Failure: a heartbeat that arrives before the configuration, as after a restart of the
// daemon, makes the gate use more connections than the backend server accepts until the
// backend server changes.
func TestConnectionsOfTheConfigurationHoldAfterAHeartbeat(t *testing.T) {
	d, err := New(Settings{Listen: Listen{Peers: "10.0.0.1:7000"}, Service: "s"}, Options{Dialect: oneServiceDialect{}, Store: unusedStore{}})
	require.NoError(t, err)
	d.control.handleHeartbeat(membership.Heartbeat{ID: "b", StartMs: 100, Sequence: 1, State: membership.Ready, Service: "s", Slots: 50})
	require.Equal(t, 50, int(d.gate.Report().Limit))
	require.EqualValues(t, 1, d.control.Adopt(nil))
	require.Equal(t, 10, int(d.gate.Report().Limit))
}

type oneServiceDialect struct{ coldDialect }

func (oneServiceDialect) DecodeConfiguration([]byte) (*routing.Configuration, error) {
	return &routing.Configuration{Generation: 1, Services: []routing.Service{{Name: "s", MaxConnections: 10}}}, nil
}
