package sidecar

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/membership"
	"wisteriafold/request"
)

// withPeer makes a daemon know one endpoint, beside the daemon of the given incarnation,
// and returns the endpoints of its service.
func withPeer(d *Daemon, incarnation int64) *endpoints {
	d.members.Store(&[]*membership.Entry{{
		Peer: "10.0.0.2:7000", DataCentre: "a", Region: "r", Service: "s", Backend: "b", Born: 100,
		Incarnation: incarnation, Sequence: 1, Slots: 8, State: uint32(membership.Ready),
	}})
	d.refreshAllEndpoints()
	return d.endpointsOf("s")
}

// Failure: one connection that the backend server refused, or one call that came before
// the heartbeat to a daemon that had just restarted, keeps other daemons away from the
// endpoint for good: nothing but a report from the endpoint ends a drain.
func TestEndpointWithoutBackendIsTriedAgain(t *testing.T) {
	d := coldDaemon(t, 0)
	eps := withPeer(d, 1)
	call := &request.Call{Service: "s", Importance: request.Normal}
	refused := failureHead(request.NewNotRunError(request.ReasonNoEndpoint, "not heard of"))
	d.report(refused, 0)
	for range 3 {
		eps.picker.Begin("10.0.0.2:7000")
		eps.picker.Observe(d.now(), "10.0.0.2:7000", observation(t.Context(), time.Millisecond, refused, nil))
	}
	later := d.now().Add(5 * time.Second)
	call.Deadline = later.Add(time.Second)
	ep, why, err := eps.picker.Pick(later, rand.New(rand.NewPCG(1, 2)), call, nil)
	require.NoError(t, err, "passed over: %v", why.PassedOver())
	require.Equal(t, "10.0.0.2:7000", ep.Peer)
}

// Failure: after the restart of a daemon whose backend server runs on, daemons that
// missed the announcements in between take the endpoint for one that stops.
func TestRestartedDaemonIsNotTakenForItsPredecessor(t *testing.T) {
	d := coldDaemon(t, 0)
	eps := withPeer(d, 1)
	call := &request.Call{Service: "s", Importance: request.Normal, Deadline: d.now().Add(time.Second)}
	stopping := failureHead(shutdownError())
	eps.picker.Begin("10.0.0.2:7000")
	eps.picker.Observe(d.now(), "10.0.0.2:7000", observation(t.Context(), time.Millisecond, stopping, nil))
	rng := rand.New(rand.NewPCG(1, 2))
	_, _, err := eps.picker.Pick(d.now(), rng, call, nil)
	require.Error(t, err)
	withPeer(d, 2)
	_, why, err := eps.picker.Pick(d.now(), rng, call, nil)
	require.NoError(t, err, "passed over: %v", why.PassedOver())
}
