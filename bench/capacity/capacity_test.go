package capacity

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFitLineFindsBaseSlopeAndResidual(t *testing.T) {
	f := FitLine([]Point{{1, 5}, {2, 7}, {4, 11}})
	require.InDelta(t, 3, f.Base, 1e-9)
	require.InDelta(t, 2, f.Slope, 1e-9)
	require.InDelta(t, 0, f.Residual, 1e-9)
	require.Greater(t, FitLine([]Point{{1, 5}, {2, 9}, {4, 11}}).Residual, 0.01)
}

// TestPageAndCodeAgree checks that each row has a cost with a source and a
// mechanism, and that the page has a line for each slope and row.
func TestPageAndCodeAgree(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	require.NoError(t, err)
	text := string(page)
	known := make(map[string]bool)
	for _, s := range Slopes() {
		known[s.Name] = true
		require.Contains(t, text, "| `"+s.Name+"` | "+s.What+" |")
	}
	for _, r := range Rows() {
		require.NotEmpty(t, r.Mechanism)
		require.NotEmpty(t, r.Terms)
		for _, x := range r.Terms {
			require.True(t, x.Slope == "" || known[x.Slope], x.Slope)
			require.Positive(t, x.Size)
		}
		require.True(t, strings.Contains(text, "| "+r.Role+" | "+r.Figure+" |"), "%s: %s", r.Role, r.Figure)
	}
	require.Contains(t, text, "make capacity")
}
