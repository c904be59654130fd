package instance_test

import (
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"wisteriafold/instance"
)

// Failure: a backend server refuses a call and writes the refusal once more on the kept
// connection. The next call is told that it has not run, and runs.
func TestConnectionOfARefusalIsNotUsedAgain(t *testing.T) {
	var mu sync.Mutex
	refusedOn := map[string]bool{}
	shared.handle(t, "front", func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if refusedOn[r.RemoteAddr] {
			t.Error("the connection of a refusal carries another call")
		}
		refusedOn[r.RemoteAddr] = true
		w.Header().Set(instance.HeaderOutcome, "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	for range 20 {
		require.Equal(t, 503, shared.send(t, 0, "GET", "/read", nil, shared.keyed()...).status)
	}
}

// Failure: a backend server answers an earlier call once more, and the caller of the next
// one gets that answer.
func TestAnswerThatNamesAnotherRequestIsBroken(t *testing.T) {
	shared.handle(t, "front", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(instance.HeaderRequestID, r.URL.Query().Get("name")+r.Header.Get(instance.HeaderRequestID))
	})
	require.Equal(t, 200, shared.send(t, 0, "GET", "/read", nil, shared.keyed()...).status)
	require.Equal(t, 502, shared.send(t, 0, "GET", "/read?name=x", nil, shared.keyed()...).status)
}
