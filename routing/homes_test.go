package routing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Failure: a request whose route and organisation have no region in common, or whose
// route names an undeclared region, is served somewhere; or others are refused with it.
func TestRegionsOfRouteAndOrganisationBothBind(t *testing.T) {
	for _, x := range []struct{ route, organisation, want []string }{
		{nil, nil, nil},
		{[]string{}, []string{}, nil},
		{[]string{"a", "b"}, nil, []string{"a", "b"}},
		{[]string{}, []string{"a"}, []string{"a"}},
		{[]string{"a", "b"}, []string{"c", "b"}, []string{"b"}},
	} {
		got, ok := Homes(x.route, x.organisation)
		require.True(t, ok)
		require.Equal(t, x.want, got)
	}
	_, ok := Homes([]string{"a"}, []string{"b"})
	require.False(t, ok)

	c := valid()
	o := &c.Organisations[0]
	require.NoError(t, c.Prepare())
	table := NewTable(c, seeded(1))
	regions, ok := table.Homes(&c.Routes[0], o)
	require.True(t, ok)
	require.Nil(t, regions, "without regions nothing is restricted")

	c.Routes[0].Regions, c.Routes[1].Regions, o.Regions = []string{"a", "mistyped"}, []string{"a"}, []string{"b"}
	c.LockOutUndeclared([]string{"a", "b"})
	require.Len(t, c.Notices, 1)
	require.Equal(t, "mistyped", c.Notices[0].Value)
	table = NewTable(c, seeded(1))
	one, two := c.Routes[0].Name, c.Routes[1].Name
	require.NotEqual(t, one, two)
	require.False(t, table.Allows("a", one, nil), "a route with an undeclared region is locked out")
	require.True(t, table.Allows("a", two, nil))
	require.False(t, table.Allows("b", two, nil))
	require.False(t, table.Allows("a", two, o))
	require.False(t, table.Allows("b", two, o))
	require.True(t, table.Allows("b", "unknown", o))
	require.False(t, table.Allows("a", "unknown", o))
}

func TestUndeclaredRegionsOfAnOrganisationLockOutThatOneOnly(t *testing.T) {
	c := valid()
	c.Organisations[0].Regions = []string{"b", "mistyped"}
	c.LockOutUndeclared([]string{"a", "b"})
	table := NewTable(c, seeded(1))
	_, ok := table.Homes(&c.Routes[0], &c.Organisations[0])
	require.False(t, ok)
	regions, ok := table.Homes(&c.Routes[0], nil)
	require.True(t, ok)
	require.Nil(t, regions)

	c.Notices = nil
	c.LockOutUndeclared(nil)
	require.False(t, c.Organisations[0].LockedOut, "without declared data centres no name can be checked")
	require.Len(t, c.Notices, 1)
}
