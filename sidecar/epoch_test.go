package sidecar_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/membership"
	"wisteriafold/platform/memory"
	"wisteriafold/standin/endpoint"
	"wisteriafold/standin/rowstore"
)

// comeBack makes the store unreachable for a moment and lets it come back from a copy.
func (d *deployment) comeBack(c *memory.Copy) {
	d.store.SetFaults(rowstore.Faults{Reset: true})
	time.Sleep(300 * time.Millisecond)
	d.store.Restore(c)
	d.store.SetFaults(rowstore.Faults{})
}

// awaitChecked waits until all daemons have checked their rows in the store's epoch.
func (d *deployment) awaitChecked(epoch int) {
	for _, n := range d.nodes {
		require.Eventually(d.t, func() bool {
			for _, l := range n.logs.lines(d.t) {
				if l["msg"] == "row checked after the store came back" && l["epoch"] == float64(epoch) {
					return true
				}
			}
			return false
		}, 10*time.Second, 20*time.Millisecond)
	}
}

// Failure: the store comes back from a copy that is older than an acknowledged leaving, the
// daemon does not write its row again, and all daemons end: a late heartbeat reopens the
// backend server. Or daemons that the copy lacks are missing in the store from then on.
func TestRowsThatACopyLacksAreWrittenAgain(t *testing.T) {
	d := deploy(t, archive(), archive(), ledger())
	n := d.nodes[0]
	for _, m := range d.nodes {
		require.Eventually(t, func() bool { return d.stateInStore(m) == membership.Ready }, 5*time.Second, 10*time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond) // no daemon has anything left to write that the copy would lack
	before := d.store.Copy()
	require.True(t, n.backend.Deregister())
	late := d.add(3, ledger())
	d.awaitReady(late, 3)
	require.Eventually(t, func() bool { return d.stateInStore(late) == membership.Ready }, 5*time.Second, 10*time.Millisecond)
	time.Sleep(300 * time.Millisecond) // no daemon has anything left to write
	writes := d.store.Calls()["/wisteriafold/rows-tx"]

	d.comeBack(before)
	d.awaitChecked(1)
	require.Equal(t, membership.Gone, d.stateInStore(n))
	require.Len(t, d.store.Keys("daemons"), 4)
	require.Equal(t, 2, d.store.Calls()["/wisteriafold/rows-tx"]-writes, "only what the copy lacks is written")
	require.Equal(t, "1", metric(t, n, "rows_rewritten_total"))
	require.Equal(t, "0", metric(t, d.nodes[1], "rows_rewritten_total"))
	require.Equal(t, "1", metric(t, d.nodes[1], "store_epoch_changes_total"))

	d.endAll()
	for _, m := range d.nodes {
		d.awaitReady(m, 3)
	}
	d.requireUnused(n)
}

// Failure: the rows of the operator have lower versions after the store came back, and no
// daemon takes a read of them for a confirmation again: all requests with a key are
// refused. Or the withdrawal of a key that the copy lacks is undone.
func TestConfigurationIsConfirmedAfterTheStoreCameBack(t *testing.T) {
	d := deploy(t, archive(), ledger())
	withdrawn := document(2, routes(), tenant{Name: "o1", APIKeys: []string{"key-2"}})
	before := d.store.Copy()
	for range 50 { // the version of the row will be far below this one
		d.store.Put("op", "other", []byte("x"))
	}
	d.store.Put("op", "config", withdrawn)
	for _, n := range d.nodes {
		require.Eventually(t, func() bool { return n.daemon.Generation() == 2 }, 5*time.Second, 20*time.Millisecond)
	}
	began := time.Now()
	d.comeBack(before)
	rewritten := false
	for i := 0; time.Since(began) < 8*time.Second; i++ {
		if !rewritten && time.Since(began) > 1500*time.Millisecond {
			d.store.Put("op", "config", withdrawn)
			rewritten = true
		}
		for _, n := range d.nodes {
			require.NotEqual(t, 200, n.send(t, "GET", "/view/1", fmt.Sprint("old", i), "", "X-Credential", "key-1").status)
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, n := range d.nodes {
		require.Equal(t, uint64(2), n.daemon.Generation())
		require.Equal(t, 200, n.send(t, "GET", "/view/1", "new", "", "X-Credential", "key-2").status, "confirmed again")
	}
}

// Failure: all rows are missing in a copy, and some are not written again, or members vanish
// until they are.
func TestAllRowsAreWrittenAgain(t *testing.T) {
	const daemons = 16
	backends := make([]endpoint.Config, daemons)
	for i := range backends {
		backends[i] = archive()
	}
	d := &deployment{t: t, store: rowstore.New()}
	t.Cleanup(d.close)
	d.store.Put("op", "config", document(1, routes()))
	empty := d.store.Copy()
	for i, cfg := range backends {
		d.add(i, cfg)
	}
	for _, n := range d.nodes {
		d.awaitReady(n, daemons)
	}
	d.comeBack(empty)
	began := time.Now()
	require.Eventually(t, func() bool { return len(d.store.Keys("daemons")) == daemons }, 10*time.Second, 10*time.Millisecond)
	t.Logf("%d rows were written again after %s", daemons, time.Since(began).Round(10*time.Millisecond))
	for _, n := range d.nodes {
		require.Equal(t, daemons, n.daemon.ReadyEndpoints(), "no member vanishes meanwhile")
	}
}

// Failure: a leaving is acknowledged on the strength of a row that the store has lost.
func TestLeavingDuringADrillIsAcknowledgedByTheNewEpoch(t *testing.T) {
	d := deploy(t, archive(), archive())
	n := d.nodes[0]
	before := d.store.Copy()
	require.True(t, n.backend.Drain())
	d.comeBack(before)
	require.Eventually(t, func() bool { return n.backend.Deregister() && d.stateInStore(n) >= membership.Draining }, 5*time.Second, 20*time.Millisecond)
	d.awaitChecked(1)
	require.Equal(t, membership.Gone, d.stateInStore(n))

	again := d.store.Copy() // a second drill
	d.comeBack(again)
	d.awaitChecked(2)
	require.Equal(t, membership.Gone, d.stateInStore(n))
}
