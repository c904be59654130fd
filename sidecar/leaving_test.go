package sidecar_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/membership"
	"wisteriafold/standin/rowstore"
)

// endAll ends all daemons at once, without a planned stop, and starts them again. The
// backend servers go on.
func (d *deployment) endAll() {
	for _, n := range d.nodes {
		n.daemon.Close()
		n.client.Close()
	}
	for _, n := range d.nodes {
		d.start(n)
	}
}

// requireUnused sends requests through all daemons and requires that none runs on the
// backend server of n.
func (d *deployment) requireUnused(n *node) {
	before := len(n.backend.Runs())
	for i := range 10 {
		for _, m := range d.nodes {
			require.Equal(d.t, 200, m.send(d.t, "POST", "/order/1", fmt.Sprint(m.settings.Instance, i), "b", "X-Credential", "key-1").status)
		}
		time.Sleep(50 * time.Millisecond)
	}
	require.Len(d.t, n.backend.Runs(), before)
}

// Failure: a leaving is acknowledged, all daemons end right after that, a heartbeat of
// before arrives late, and the backend server that has left is in use again.
func TestAcknowledgedLeavingSurvivesTheEndOfAllDaemons(t *testing.T) {
	for name, leave := range map[string]func(*node) bool{
		"deregistration": func(n *node) bool { return n.backend.Deregister() }, // its heartbeats go on, as late ones would
		"draining, then deregistration": func(n *node) bool {
			return n.backend.Drain() && n.backend.Deregister()
		},
	} {
		for weather, faults := range map[string]rowstore.Faults{
			"calm store":              {},
			"slow store":              {Slow: 150 * time.Millisecond},
			"store that is away":      {Status: 503},
			"store that loses writes": {LoseWrites: true},
		} {
			t.Run(name+", "+weather, func(t *testing.T) {
				d := deploy(t, archive(), archive())
				n := d.nodes[0]
				d.store.SetFaults(faults)
				acknowledged := leave(n)
				d.store.SetFaults(rowstore.Faults{})
				if !acknowledged {
					require.Eventually(t, func() bool { return leave(n) }, 5*time.Second, 50*time.Millisecond)
				}
				d.endAll()
				for _, m := range d.nodes {
					d.awaitReady(m, 1)
				}
				d.requireUnused(n)
			})
		}
	}
}

// Failure: a leaving is acknowledged while only this process knows of it, or requests go
// on to the backend server while the store cannot be written.
func TestLeavingIsAcknowledgedOnceTheStoreHasIt(t *testing.T) {
	d := deploy(t, archive(), archive())
	n := d.nodes[0]
	d.store.SetFaults(rowstore.Faults{Status: 503})
	began := time.Now()
	require.False(t, n.backend.Deregister())
	require.Less(t, time.Since(began), time.Second, "the backend server waits no longer for an answer")
	require.NotEqual(t, membership.Gone, d.stateInStore(n))
	require.NotEqual(t, "0", metric(t, n, "leavings_unstored_total"))
	require.Eventually(t, func() bool { return d.nodes[1].daemon.ReadyEndpoints() == 1 }, 5*time.Second, 10*time.Millisecond)
	d.store.SetFaults(rowstore.Faults{})
	require.Eventually(t, n.backend.Deregister, 5*time.Second, 50*time.Millisecond)
	require.Equal(t, membership.Gone, d.stateInStore(n))
	d.requireUnused(n)
}

// Failure: the daemons stop as planned beside a backend server that has left and still
// serves, start again without a trace of the leaving, and take a late heartbeat for a new
// one.
func TestLeavingSurvivesAPlannedRestartOfAllDaemons(t *testing.T) {
	d := deploy(t, archive(), archive())
	n := d.nodes[0]
	require.True(t, n.backend.Deregister())
	var stops sync.WaitGroup
	for _, m := range d.nodes {
		stops.Go(m.daemon.Shutdown)
	}
	stops.Wait()
	for _, m := range d.nodes {
		m.client.Close()
		d.start(m)
	}
	for _, m := range d.nodes {
		d.awaitReady(m, 1)
	}
	d.requireUnused(n)
	require.Equal(t, membership.Gone, d.stateInStore(n))
}
