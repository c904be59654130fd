package routing

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func valid() *Configuration {
	return &Configuration{
		Generation: 7,
		Services:   []Service{{Name: "a"}, {Name: "b"}},
		Routes: []Route{
			{Name: "short", Host: "h.example", Prefix: "/x/", Timeout: time.Second, Parts: []Part{{"a", 1}}},
			{Name: "long", Host: "h.example", Prefix: "/x/y/", Timeout: time.Second, Parts: []Part{{"b", 1}}},
		},
		Organisations: []Organisation{{Name: "o", Keys: []string{"k1", "k2"}, Rate: 5, Burst: 5}},
	}
}

func TestLongestPrefixOnWholeSegments(t *testing.T) {
	table := NewTable(valid(), seeded(1))
	for path, want := range map[string]string{
		"/x/1": "short", "/x/": "short", "/x/y/1": "long", "/x/y": "short", "/x/yy/1": "short",
		"/x/y/../1": "long", "/x%2Fy/": "", "/xx/1": "", "/x": "", "": "", "/": "",
	} {
		m, ok := table.Match("h.example", path)
		require.Equal(t, want != "", ok, path)
		if ok {
			require.Equal(t, want, m.Name, path)
		}
	}
	_, ok := table.Match("other.example", "/x/1")
	require.False(t, ok)
	m, ok := table.Match("H.example:8080", "/x/1")
	require.True(t, ok)
	require.Equal(t, "short", m.Name)
}

func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// Each of many daemons sees only a few requests between configuration changes.
// A small part of a split must still get its share.
func TestSmallPartOfSplitGetsItsShareAcrossDaemonsAndChanges(t *testing.T) {
	const daemons, changes, requests = 16, 20, 5
	c := valid()
	c.Services = append(c.Services, Service{Name: "large"}, Service{Name: "small"})
	c.Routes[0].Parts = []Part{{"large", 9}, {"small", 1}}
	require.NoError(t, c.Prepare())
	small, total := 0, daemons*changes*requests
	for seed := range uint64(daemons * changes) {
		m, _ := NewTable(c, seeded(seed)).Match("h.example", "/x/1")
		for range requests {
			if m.Service() == "small" {
				small++
			}
		}
	}
	require.InDelta(t, 0.1, float64(small)/float64(total), 0.02)
}

func TestSplitIsNearlyExactForFewRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(0, 100), 1, 5).Draw(t, "weights")
		c := valid()
		total := 0
		var parts []Part
		for i, w := range weights {
			c.Services = append(c.Services, Service{Name: string(rune('p' + i))})
			parts = append(parts, Part{string(rune('p' + i)), float64(w)})
			total += w
		}
		if total == 0 {
			return
		}
		c.Routes[0].Parts = parts
		require.NoError(t, c.Prepare())
		m, _ := NewTable(c, seeded(rapid.Uint64().Draw(t, "seed"))).Match("h.example", "/x/1")
		n := rapid.IntRange(1, 300).Draw(t, "requests")
		got := map[string]int{}
		for range n {
			got[m.Service()]++
		}
		for _, p := range parts {
			want := p.Weight / float64(total) * float64(n)
			require.InDelta(t, want, got[p.Service], float64(len(parts)), p.Service)
		}
	})
}

func TestInvalidDocumentsAreRejected(t *testing.T) {
	for name, invalidate := range map[string]func(*Configuration){
		"unknown service":       func(c *Configuration) { c.Routes[0].Parts[0].Service = "nobody" },
		"no host":               func(c *Configuration) { c.Routes[0].Host = "" },
		"no timeout":            func(c *Configuration) { c.Routes[0].Timeout = 0 },
		"prefix":                func(c *Configuration) { c.Routes[0].Prefix = "/x" },
		"no weight":             func(c *Configuration) { c.Routes[0].Parts[0].Weight = 0 },
		"negative weight":       func(c *Configuration) { c.Routes[0].Parts[0].Weight = -1 },
		"nameless service":      func(c *Configuration) { c.Services[0].Name = "" },
		"nameless organisation": func(c *Configuration) { c.Organisations[0].Name = "" },
		"negative rate":         func(c *Configuration) { c.Organisations[0].Rate = -1 },
	} {
		c := valid()
		require.NoError(t, c.Prepare())
		invalidate(c)
		var fault *ConfigurationError
		require.True(t, errors.As(c.Prepare(), &fault), name)
		require.NotEmpty(t, fault.Remedy, name)
	}
}

func TestKeysAreFoundByDigest(t *testing.T) {
	table := NewTable(valid(), seeded(1))
	require.Equal(t, "o", table.Owner(DigestOf([]byte("k2"))).Name)
	require.Nil(t, table.Owner(DigestOf([]byte("k3"))))
	require.Nil(t, table.Service("c"))
	require.Equal(t, "a", table.Service("a").Name)
}
