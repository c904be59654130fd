package instance_test

import (
	"context"
	"crypto/rand"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/config"
	"wisteriafold/instance"
)

// gates returns the decisions of gates about the request of an answer.
func (f *fleet) gates(a answer) []instance.Decision {
	var out []instance.Decision
	for _, d := range f.daemons {
		for _, x := range d.Explain(a.header.Get(instance.HeaderRequestID)) {
			if x.Step == "gate" {
				out = append(out, x)
			}
		}
	}
	return out
}

// Failure: a backend server in an evacuated data centre receives requests, or none after
// the end of the evacuation. The daemons are all in the data centre east-1.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	f := shared
	evacuate := func(on bool) {
		base, err := config.Read(context.Background(), f.store)
		require.NoError(t, err)
		id, err := config.NewApplyID(base, rand.Reader)
		require.NoError(t, err)
		_, err = config.Evacuate(context.Background(), f.store, base, "east-1", on, id)
		require.NoError(t, err)
	}
	t.Cleanup(func() { evacuate(false) })
	var runs atomic.Int32
	f.handle(t, "front", func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	get := func() answer { return f.send(t, 0, "GET", "/open", nil) }
	a := get()
	require.Equal(t, 200, a.status)
	require.NotEmpty(t, f.gates(a))
	evacuate(true)
	require.Eventually(t, func() bool {
		for _, d := range f.daemons {
			if st, err := d.Status(waitLimit); err != nil || !st.Gate.Evacuated {
				return false
			}
		}
		return get().status == 503
	}, waitLimit, 10*time.Millisecond)
	ran := runs.Load()
	for range 5 {
		a := get()
		require.Equal(t, "evacuated", a.header.Get(instance.HeaderReason))
		require.Equal(t, "not-run", a.header.Get(instance.HeaderOutcome))
		require.NotEmpty(t, a.header.Get("Retry-After"))
		require.Contains(t, a.body, "no endpoint outside the evacuated data centres")
	}
	time.Sleep(1100 * time.Millisecond) // until what the gates reported before is too old
	require.Empty(t, f.gates(get()), "the entry sends it to no gate")
	require.Equal(t, ran, runs.Load())
	evacuate(false)
	require.Eventually(t, func() bool { return get().status == 200 }, waitLimit, 10*time.Millisecond)
}
