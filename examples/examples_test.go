package examples

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExamplesAreValidAndHaveTheExpectedSizes(t *testing.T) {
	for _, name := range Names {
		c, err := Configuration(name)
		require.NoError(t, err)
		require.Len(t, c.Organisations, 8)
		require.Len(t, c.Services, 4)
		require.Len(t, c.DataCentres, 4)
		set, err := Settings(name)
		require.NoError(t, err)
		require.Len(t, set, 16)
	}
	_, err := Configuration("nowhere")
	require.ErrorContains(t, err, "use kurume or linie")
}
