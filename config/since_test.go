package config

import (
	"testing"

	"github.com/stretchr/testify/require"
)

const twoOrganisations = validConfig + `---
organisations:
  - name: school
    rate: 5
`

func TestContractVersionChangesOnlyWithItsContract(t *testing.T) {
	first := stampSince(&Configuration{}, parse(t, twoOrganisations), 1)
	again := stampSince(first, parse(t, twoOrganisations), 2)
	require.Equal(t, first, again)

	next := parse(t, twoOrganisations)
	next.Organisations[0].Rate *= 2
	next.Keys = next.Keys[1:]
	changed := stampSince(first, next, 3)
	require.EqualValues(t, 3, changed.ContractVersion(&changed.Organisations[0]))
	require.EqualValues(t, 1, changed.ContractVersion(&changed.Organisations[1]))

	fewer := parse(t, twoOrganisations)
	fewer.DataCentres = fewer.DataCentres[1:]
	moved := stampSince(first, fewer, 4)
	require.EqualValues(t, 4, moved.ContractVersion(&moved.Organisations[1]))
}

func TestFilesCannotSetSince(t *testing.T) {
	_, err := Parse(map[string][]byte{"a.yaml": []byte("organisations:\n- name: a\n  rate: 1\n  \"-\": 7\n")})
	require.ErrorContains(t, err, "a.yaml:4")
}

// asWritten returns c without the Since fields that Apply sets, for comparison
// with the files.
func asWritten(c *Configuration) *Configuration {
	out := *c
	out.Organisations = append([]Organisation(nil), c.Organisations...)
	for i := range out.Organisations {
		out.Organisations[i].Since = 0
	}
	out.Links = append([]Link(nil), c.Links...)
	for i := range out.Links {
		out.Links[i].Since = 0
	}
	out.Settings.DataCentresSince = 0
	return &out
}
