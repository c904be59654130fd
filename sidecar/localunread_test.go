package sidecar_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/standin/rowstore"
)

// localUnread returns a daemon whose room for answers of the local backend server is
// taken by callers. read starts what a caller does with its answer.
func localUnread(t *testing.T, read func(*rawConnection)) *node {
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
		c := n.connectSmall(t)
		c.write(view(fmt.Sprint("x", i)))
		read(c)
	}
	require.Eventually(t, func() bool { return metric(t, n, "caller_requests_waiting") == "5" }, 5*time.Second, 10*time.Millisecond)
	return n
}

// Failure: callers that do not read the answers of the local backend server fill the
// part of the memory that its answers may take, and no other caller gets an answer of
// it for as long as they stay.
func TestLocalAnswersThatAreNotReadMakeRoomForOthers(t *testing.T) {
	n := localUnread(t, func(*rawConnection) {})
	require.Eventually(t, func() bool {
		return n.send(t, "GET", "/view/1", "y", "", "X-Credential", "key-1").status == 200
	}, 8*time.Second, 20*time.Millisecond) // a caller that takes nothing is cut after 15 s in any case
}

// Failure: callers that read answers of the local backend server slowly keep all others
// from getting one for as long as they take a byte now and then.
func TestLocalAnswersThatAreReadSlowlyMakeRoomForOthers(t *testing.T) {
	n := localUnread(t, func(c *rawConnection) {
		go func() {
			b := make([]byte, 4096)
			for _, err := c.conn.Read(b); err == nil; _, err = c.conn.Read(b) {
				time.Sleep(200 * time.Millisecond)
			}
		}()
	})
	require.Eventually(t, func() bool {
		return n.send(t, "GET", "/view/1", "y", "", "X-Credential", "key-1").status == 200
	}, 14*time.Second, 20*time.Millisecond)
}
