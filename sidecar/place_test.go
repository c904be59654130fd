package sidecar

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/backend"
	"wisteriafold/fleet"
	"wisteriafold/membership"
	"wisteriafold/request"
	"wisteriafold/service"
	"wisteriafold/wire"
)

// busyGate returns a daemon in region r0 and data centre dc0 whose gate runs one call,
// and the permit of that call. Calls may wait for ten seconds.
func busyGate(t *testing.T) (*Daemon, *backend.Permit) {
	d, err := New(Settings{Listen: Listen{Peers: "10.0.0.1:1"}, DataCentre: "dc0", Region: "r0", Service: "s", Evacuation: 5 * time.Second}, Options{Dialect: unusedDialect{}, Store: unusedStore{}})
	require.NoError(t, err)
	t.Cleanup(d.lines.close)
	d.gate = backend.NewGate(backend.Config{Slots: 1, MaxConnections: 1, InitialLimit: 1, MaxWait: 10 * time.Second, Interval: 10 * time.Second}, d.now)
	d.backendSnapshot.Store(&backendState{id: "i", state: membership.Ready})
	d.table.Store(regionTable(1, []string{"r0"}, nil))
	readEvacuated(d, 1)
	running, err := d.gate.Enter(t.Context(), waitingCall(), 1)
	require.NoError(t, err)
	return d, running
}

func waitingCall() *request.Call {
	return &request.Call{Service: "s", Route: "view", Importance: request.Normal, Deadline: time.Now().Add(time.Minute)}
}

// readEvacuated gives the result of a read of the store to the control state.
func readEvacuated(d *Daemon, version uint64, dataCentres ...string) {
	d.control.fleet.HandleStoreRead(sinceBoot(), fleet.Reading{Evacuated: dataCentres, StoreVersion: version}, true)
	d.control.publishEvacuations()
}

// enqueue sends a call to the busy gate and returns its answer to come once it waits.
func enqueue(t *testing.T, d *Daemon) chan *wire.AnswerHead {
	answer := make(chan *wire.AnswerHead, 1)
	go func() {
		answer <- d.runLocally(t.Context(), waitingCall(), &wire.CallHead{Service: "s", Route: "view", Generation: 1, Regions: []string{"r0"}}, nil, d.answers.gate.Hold())
	}()
	require.Eventually(t, func() bool { return d.gate.Report().Queued == 1 }, 5*time.Second, time.Millisecond)
	return answer
}

// Failure: a call that waits at a gate runs although a configuration that came into
// force meanwhile no longer allows the region.
func TestWaitingCallIsRefusedWhenItsRegionIsWithdrawn(t *testing.T) {
	d, running := busyGate(t)
	answer := enqueue(t, d)
	d.table.Store(regionTable(2, []string{"r1"}, nil))
	running.Done(backend.Result{})
	a := <-answer
	require.Equal(t, wire.Outcome_OUTCOME_NOT_RUN, a.Outcome)
	require.Equal(t, string(request.ReasonHomeRegion), a.Reason)
	require.Positive(t, a.RetryAfterMs)
}

// Failure: calls that wait at a gate when its data centre is evacuated keep waiting for
// running ones, or run; or the gate does not report the evacuation.
func TestEvacuationTakesWaitingCallsOutOfTheQueue(t *testing.T) {
	d, running := busyGate(t)
	answer := enqueue(t, d)
	readEvacuated(d, 2, "dc1")
	require.EqualValues(t, 1, d.gate.Report().Queued, "another data centre is evacuated")
	readEvacuated(d, 3, "dc0", "dc1")
	a := <-answer
	require.Equal(t, wire.Outcome_OUTCOME_NOT_RUN, a.Outcome)
	require.Equal(t, string(request.ReasonEvacuated), a.Reason)
	require.True(t, a.Evacuated)
	require.Positive(t, a.RetryAfterMs)
	require.EqualValues(t, 1, d.gate.Report().InFlight, "running calls finish")

	head := &wire.CallHead{Service: "s", Route: "view", Generation: 1}
	require.Equal(t, request.ReasonEvacuated, d.checkRunnable(waitingCall(), head).Reason)
	readEvacuated(d, 4, "dc1")
	require.Nil(t, d.checkRunnable(waitingCall(), head))
	running.Done(backend.Result{})
}

// Failure: a gate that does not know the set yet keeps all daemons away from its whole
// data centre, or is chosen over and over.
func TestGateWithoutTheSetSpeaksForItselfOnly(t *testing.T) {
	d, running := busyGate(t)
	defer running.Done(backend.Result{})
	d.evacuation.Store(nil)
	a := d.runLocally(t.Context(), waitingCall(), &wire.CallHead{Service: "s", Route: "view", Generation: 1}, nil, d.answers.gate.Hold())
	require.Equal(t, string(request.ReasonEvacuated), a.Reason)
	require.False(t, a.Evacuated)
	require.Equal(t, service.Refused, observation(t.Context(), 0, a, nil).Result)
	readEvacuated(d, 2, "dc0")
	a = d.runLocally(t.Context(), waitingCall(), &wire.CallHead{Service: "s", Route: "view", Generation: 1}, nil, d.answers.gate.Hold())
	require.True(t, a.Evacuated)
	require.Equal(t, service.Abandoned, observation(t.Context(), 0, a, nil).Result)
}
