package sidecar_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/standin/rowstore"
)

// Failure: callers that do not read the answers of the local backend server fill the
// part of the memory that its answers may take, and no other caller gets an answer of
// it for as long as they stay.
func TestLocalAnswersThatAreNotReadMakeRoomForOthers(t *testing.T) {
	const callers = 8 // the part has room for five answers
	cfg := archive()
	cfg.Body = strings.Repeat("x", 6<<20)
	d := &deployment{t: t, store: rowstore.New(), memoryBytes: 256 << 20}
	t.Cleanup(d.close)
	d.store.Put("op", "config", document(1, routes()))
	n := d.add(0, cfg)
	d.add(1, ledger())
	for _, n := range d.nodes {
		d.awaitReady(n, 2)
	}
	for i := range callers {
		n.connectSmall(t).write(view(fmt.Sprint("never", i)))
	}
	require.Eventually(t, func() bool { return metric(t, n, "caller_requests_waiting") == "5" }, 5*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool {
		return n.send(t, "GET", "/view/1", "y", "", "X-Credential", "key-1").status == 200
	}, 8*time.Second, 20*time.Millisecond) // a caller that takes nothing is cut after 15 s in any case
}
