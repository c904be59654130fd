package sidecar_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/sidecar"
	"wisteriafold/standin/endpoint"
	"wisteriafold/standin/rowstore"
)

func withEvacuations(s *sidecar.Settings) { s.Evacuation = 5 * time.Second }

// awaitEvacuated waits until all daemons know how many data centres are evacuated. It
// fails after the time within which an evacuation must be in force.
func (d *deployment) awaitEvacuated(count string) {
	d.t.Helper()
	for _, n := range d.nodes {
		require.Eventually(d.t, func() bool { return metric(d.t, n, "evacuated_data_centres") == count }, 5*time.Second, 5*time.Millisecond)
	}
}

// Failure: a backend server in an evacuated data centre gets requests; running ones are cut; the daemons there stop serving their callers; or the
// end of an evacuation is not noticed.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	slow := endpoint.Config{Service: "archive", Slots: 1, Work: 1700 * time.Millisecond}
	d := deployTwoRegions(t, document(1, routes()), withEvacuations, slow, ledger(), archive(), archive())
	inside, outside := d.nodes[0], d.nodes[2:]
	get := func(n *node, id string) answer {
		return n.send(t, "GET", "/view/1", id, "", "X-Credential", "key-1")
	}
	running := make(chan answer, 1)
	go func() { running <- get(inside, "running") }()
	require.Eventually(t, func() bool { return runsOf(inside) == 1 }, time.Second, time.Millisecond)

	d.store.Put("op", "evacuate/dc0", []byte("{}"))
	d.awaitEvacuated("1")
	require.Equal(t, "answer to running", (<-running).body)
	for i := range 20 {
		require.Equal(t, 200, get(inside, fmt.Sprint("a", i)).status)
		require.Equal(t, 200, get(outside[0], fmt.Sprint("b", i)).status)
	}
	require.Equal(t, 1, runsOf(inside), "only the one that ran before")
	require.Equal(t, 40, runsOf(outside...))
	require.Equal(t, 200, status(inside.settings.Listen.Readiness, "/wisteriafold/ready"))
	require.Equal(t, "1", metric(t, inside, "evacuated_here"))
	require.Equal(t, "1", metric(t, outside[0], `evacuated{data_centre="dc0"}`))
	requireRefused(t, "evacuated", inside.send(t, "GET", "/pay/1", "p", ""))

	d.store.Put("op", "evacuate/dc1", []byte("{}"))
	d.awaitEvacuated("2")
	for _, n := range d.nodes {
		requireRefused(t, "evacuated", get(n, "all"))
	}
	d.store.Delete("op", "evacuate/dc0")
	d.awaitEvacuated("1")
	require.Equal(t, 200, get(outside[0], "back").status)
	require.Equal(t, 2, runsOf(inside))
	sets := ""
	for _, l := range inside.logs.lines(t) {
		if l["msg"] == "evacuated data centres" {
			sets += fmt.Sprint(l["data_centres"])
		}
	}
	require.Equal(t, "[][dc0][dc0 dc1][dc1]", sets)
}

// Failure: a call that is restricted to a region whose data centre is evacuated is
// served elsewhere; or the gates lose the set when the store is lost.
func TestEvacuatedHomeIsNotLeftAndHoldsDuringAnOutage(t *testing.T) {
	d := deployTwoRegions(t, withRegions(1, map[string][]string{"pay": {"g1"}}), withEvacuations, archive(), ledger(), ledger(), ledger())
	require.Equal(t, 200, d.nodes[2].send(t, "GET", "/pay/1", "a", "").status)
	d.store.Put("op", "evacuate/dc0", []byte("{}"))
	d.awaitEvacuated("1")
	d.store.SetFaults(rowstore.Faults{Reset: true})
	time.Sleep(2 * time.Second) // longer than a daemon waits before it reads the store itself
	for _, n := range d.nodes {
		requireRefused(t, "home-region", n.send(t, "GET", "/pay/1", "b", ""))
	}
	require.Equal(t, 1, runsOf(d.nodes...))
}

// Failure: a daemon that has not been told which data centres are evacuated takes none
// for evacuated, and serves.
func TestDaemonIsNotReadyBeforeEvacuationsAreKnown(t *testing.T) {
	d := deployTwoRegions(t, document(1, routes()), nil, archive())
	n := d.nodes[0]
	n.daemon.Close()
	d.store.SetFaults(rowstore.Faults{Reset: true})
	withEvacuations(&n.settings)
	d.start(n)
	n.daemon.AdoptForTest(document(1, routes()))
	n.daemon.ConfirmForTest()
	n.daemon.MarkDirectoryCompleteForTest()
	require.False(t, n.daemon.ReadyForTest())
	a := n.send(t, "GET", "/view/1", "a", "", "X-Credential", "key-1")
	require.Equal(t, 503, a.status)
	require.True(t, strings.HasPrefix(a.body, "cut-off:"), a.body)
	d.store.SetFaults(rowstore.Faults{})
	d.awaitReady(n, 1)
}
