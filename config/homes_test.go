package config

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Failure: the home regions of a route or an organisation are not applied, at the entry
// or at the gate.
func TestHomeRegionsOfRouteAndOrganisationBothBind(t *testing.T) {
	text := strings.Replace(validConfig, "    methods: [POST]", "    home_regions: [west]\n    methods: [POST]", 1)
	text = strings.Replace(text, "    rate: 20\n", "    rate: 20\n    home_regions: [east]\n", 1)
	s := NewSnapshot(1, 1, 0, parse(t, text))
	deposit, ok := s.Route([]byte("POST"), []byte("/records/deposit"))
	require.True(t, ok)
	browse, ok := s.Route([]byte("GET"), []byte("/"))
	require.True(t, ok)

	regions, ok := s.Homes(deposit, "")
	require.True(t, ok)
	require.Equal(t, []string{"west"}, regions)
	regions, ok = s.Homes(browse, "museum")
	require.True(t, ok)
	require.Equal(t, []string{"east"}, regions)
	regions, ok = s.Homes(browse, "")
	require.True(t, ok)
	require.Nil(t, regions)
	_, ok = s.Homes(deposit, "museum")
	require.False(t, ok)

	require.True(t, s.Allows("west", "deposit", ""))
	require.False(t, s.Allows("east", "deposit", ""))
	require.False(t, s.Allows("west", "deposit", "museum"))
	require.False(t, s.Allows("west", "unknown", "museum"))
	require.True(t, s.Allows("west", "unknown", "nobody"))
}
