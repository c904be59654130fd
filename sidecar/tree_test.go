package sidecar

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/request"
	"wisteriafold/wire"
)

// Pattern: a narrow service at the end of a chain is overloaded. Gates refuse the calls
// of the trees with the lowest priority; when each call of a tree has a priority of its
// own, most trees lose one of their calls.
func TestCallsOfOneTreeHaveTheSamePriorityAtEveryGate(t *testing.T) {
	root := &request.Call{ID: "a", Tree: treeOf("a"), Importance: request.Normal}
	d := &Daemon{runs: runs{byID: make(map[string]*run)}}
	d.runs.add(root.ID, &run{tree: root.Tree})
	for _, id := range []string{"a.1", "a.2", "a.1.7"} {
		parent := d.runs.parentOf(id)
		require.NotNil(t, parent, id)
		call := &request.Call{ID: id, Tree: parent.tree, Importance: request.Normal}
		received := treeFromWire(&wire.CallHead{RequestId: id, Tree: treeToWire(call)})
		require.Equal(t, root.Priority(), request.PriorityOf(request.Normal, received), id)
	}
	require.Zero(t, treeToWire(root), "a request that the receiver can derive the tree of costs no bytes")
	require.Equal(t, root.Tree, treeFromWire(&wire.CallHead{RequestId: "a"}))
	require.Nil(t, d.runs.parentOf("b.1"), "an id that names no running request gives no tree")
}

// Failure: during a stop, a caller's request on an open route is taken for a call of a
// running request, or such a call for a caller's request.
func TestOnlyCallsAreTakenLateInAStop(t *testing.T) {
	const grace = 6 * time.Second
	d := &Daemon{runs: runs{byID: make(map[string]*run)}}
	start := time.Unix(0, 0)
	taken := func(id, organisation string, after time.Duration) bool {
		call := &request.Call{ID: id, Organisation: organisation, WorkSpent: organisation == ""}
		e := &entry{d: d, call: call, parent: d.runs.parentOf(id)}
		return e.refuseWhileStopping(start.Add(after)) == nil
	}
	require.True(t, taken("x", "o1", time.Hour), "no stop is in progress")
	d.stopTimes.Store(newStopTimes(start, grace))
	require.True(t, taken("x", "o1", 2*time.Second))
	require.False(t, taken("x", "", 3*time.Second), "no request is running that could have made it")
	d.runs.add("a", &run{})
	require.False(t, taken("x", "o1", 3*time.Second), "calls have no key")
	require.True(t, taken("x", "", 3*time.Second), "ids need not name the running request")
	require.False(t, taken("x", "", 5*time.Second), "too late for a request that may be a caller's")
	require.True(t, taken("a.1", "", 5*time.Second))
	require.False(t, taken("x", "", 3*time.Second), "ids of calls name the running request here")
	require.True(t, taken("a.2", "", 5*time.Second))
}

// Failure: with a short grace period, endpoints are told to end their work before the last
// sixth of it, or requests are refused only after they could be finished.
func TestTimesOfAStopFitTheGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{4 * time.Second, 6 * time.Second, 10 * time.Second, time.Minute} {
		times := newStopTimes(time.Unix(0, 0), grace)
		require.True(t, times.refuseFrom.Before(times.unsureFrom), grace)
		require.True(t, times.unsureFrom.Before(times.finishBy), grace)
		require.True(t, times.finishBy.Before(times.abortAt), grace)
		require.GreaterOrEqual(t, times.finishBy.Sub(times.start), grace*5/6, grace)
	}
}

// Failure: gates order a tree whose route is below its class otherwise than its entry.
func TestTreeMovedByItsRouteReachesOtherDaemons(t *testing.T) {
	for _, route := range []request.Importance{request.Sheddable, request.Normal, request.Critical} {
		for i := range 3000 {
			call := &request.Call{ID: fmt.Sprint(i), Importance: request.Normal}
			call.Tree = treeOf(call.ID).WithRouteImportance(route, call.Importance)
			received := treeFromWire(&wire.CallHead{RequestId: call.ID, Tree: treeToWire(call)})
			require.Equal(t, call.Priority(), request.PriorityOf(request.Normal, received))
		}
	}
}
