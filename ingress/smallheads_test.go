package ingress_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"wisteriafold/ingress"
)

// Failure: a configuration with small heads makes every body of some KiB fail.
func TestBodiesAreReadWithSmallHeads(t *testing.T) {
	f := start(t, nil)
	f.limit(func(l *ingress.Limits) { l.HeaderBytes = 1 << 10 })
	c := f.connect()
	c.send(request("POST", "/body", "Content-Length: 10000") + strings.Repeat("x", 10000))
	require.Equal(t, 200, c.status())
}
