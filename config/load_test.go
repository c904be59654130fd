package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/request"
)

const digestA = "sha256:aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

const validConfig = `data_centres:
  - name: east-1
    region: east
  - name: west-1
    region: west
links:
  - regions: [east, west]
    bytes_per_second: 3750000
organisations:
  - name: museum
    rate: 20
    split: {east-1: 75, west-1: 25}
keys:
  - digest: ` + digestA + `
    organisation: museum
services:
  - name: archive
    deadline: 800ms
    max_body: 2MiB
routes:
  - name: browse
    prefix: /
    methods: [GET]
    service: archive
    open: true
  - name: deposit
    prefix: /records/deposit
    methods: [POST]
    service: archive
    importance: critical
    retry_allowance: 0
    when_cut_off: refuse
settings:
  keys:
    refuse_after: 1m
`

func parse(t testing.TB, text string) *Configuration {
	t.Helper()
	c, err := Parse(map[string][]byte{"a.yaml": []byte(text)})
	require.NoError(t, err)
	return c
}

func TestDefaultsAreFilledIn(t *testing.T) {
	c := parse(t, validConfig)
	o := c.Organisations[0]
	require.Equal(t, 20.0, o.Burst)
	require.Equal(t, 1.0, o.Weight)
	require.Equal(t, 0.75, c.Share(&o, "east-1"))
	require.Equal(t, 0.5, c.Share(&Organisation{}, "west-1"))
	require.Equal(t, CutOffServe, c.Settings.Keys.WhenCutOff)
	require.Equal(t, time.Minute, c.Settings.Keys.RefuseAfter)
	require.Equal(t, 0.1, c.Services[0].RetryBudget)
}

// Each case is one edit of a valid file, the line that must be named, and words
// of the fault and the remedy.
func TestEachFaultIsNamedWithLineAndRemedy(t *testing.T) {
	for _, c := range []struct {
		name, old, fresh string
		line             int
		what, remedy     string
	}{
		{"unknown field", "    rate: 20\n", "    rate: 20\n    colour: red\n", 12, "field colour is not known", "use one of burst"},
		{"unknown section", "links:\n", "linkz:\n", 6, `section "linkz" is not known`, "use organisations"},
		{"missing field", "    rate: 20\n", "", 10, "field rate is missing", "add rate"},
		{"rate 0", "rate: 20", "rate: 0", 11, "field rate: 0 is not allowed", "above 0"},
		{"rate not finite", "rate: 20", "rate: .nan", 11, "field rate: NaN is not allowed", "above 0"},
		{"rate a word", "rate: 20", "rate: many", 11, "field rate", "a number"},
		{"shares over 100", "west-1: 25", "west-1: 26", 12, "add up to 101%", "lower them to 100"},
		{"negative share", "west-1: 25", "west-1: -1", 12, "split[west-1]: -1 is not allowed", "at least 0"},
		{"split names nobody", "west-1: 25", "west-2: 25", 12, `data centre "west-2"`, "east-1, west-1"},
		{"key of nobody", "organisation: museum", "organisation: musem", 15, `organisation "musem"`, "use one of: museum"},
		{"bad digest", digestA, "sha256:aa", 14, "digest", "key new"},
		{"key twice", "services:\n", "  - digest: " + digestA + "\n    organisation: museum\nservices:\n", 16, "given twice", "a.yaml:14"},
		{"service of nobody", "    service: archive\n    open", "    service: archiv\n    open", 24, `service "archiv"`, "use one of: archive"},
		{"route name twice", "name: deposit", "name: browse", 26, "route browse is given twice", "a.yaml:21"},
		{"same path and method", "prefix: /records/deposit\n    methods: [POST]", "prefix: /\n    methods: [POST, GET]", 27, "both take GET /", "change the prefix"},
		{"method", "[POST]", "[post]", 28, "methods[0]: post", "one of GET"},
		{"method twice", "[POST]", "[POST, POST]", 28, "methods", "each value once"},
		{"prefix too long", "/records/deposit", "/" + strings.Repeat("x", 1024), 27, "prefix", "at most 1024 bytes"},
		{"importance", "critical", "urgent", 30, "urgent", "sheddable, normal, high or critical"},
		{"duration", "800ms", "0ms", 18, "field deadline", "at least 1ms"},
		{"no unit", "800ms", "800", 18, "field deadline", "as in 250ms"},
		{"size", "2MiB", "2 elephants", 19, "not a size", "KiB"},
		{"link to nowhere", "[east, west]", "[east, north]", 7, `region "north"`, "east, west"},
		{"route to nowhere", "    methods: [POST]", "    home_regions: [west, north]\n    methods: [POST]", 28, `region "north" of route deposit`, "east, west"},
		{"organisation to nowhere", "    rate: 20\n", "    rate: 20\n    home_regions: [north]\n", 12, `region "north" of organisation museum`, "east, west"},
		{"region twice", "    methods: [POST]", "    home_regions: [west, west]\n    methods: [POST]", 28, "home_regions", "each value once"},
		{"link to itself", "[east, west]", "[east, east]", 7, "joins a region with itself", "two different"},
		{"refuse too early", "1m", "1s", 35, "keys.refuse_after", "at least 30s"},
		{"broken syntax", "links:\n", "links: [\n", 6, "not valid YAML", "correct the syntax"},
		{"field twice", "    rate: 20\n", "    rate: 20\n    rate: 30\n", 12, "field rate is given twice", "line 11"},
		{"no value", "rate: 20", "rate:", 11, "field rate has no value", "give a value"},
		{"not a list", "links:\n  - regions: [east, west]\n    bytes_per_second: 3750000", "links: 5", 6, "links is not a list", "dash"},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(validConfig, c.old, c.fresh, 1)
			require.NotEqual(t, validConfig, text)
			_, err := Parse(map[string][]byte{"a.yaml": []byte(text)})
			var ps Problems
			require.True(t, errors.As(err, &ps), "%v", err)
			found := false
			for _, p := range ps {
				require.NotEmpty(t, p.Remedy)
				found = found || p.File == "a.yaml" && p.Line == c.line && strings.Contains(p.What, c.what) && strings.Contains(p.Remedy, c.remedy)
			}
			require.True(t, found, "line %d: %s: %s\ngot:\n%v", c.line, c.what, c.remedy, err)
		})
	}
}

func TestAllFaultsOfAllFilesAreReportedAtOnce(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "a.yaml"), []byte("organisations:\n  - {name: a, rate: 0}\n"), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "b.yml"), []byte("organisations:\n  - {name: a, rate: -1, x: 1}\n"), 0o600))
	require.NoError(t, os.WriteFile(filepath.Join(dir, "notes.txt"), []byte("not read"), 0o600))
	_, err := LoadDirectory(dir)
	var ps Problems
	require.True(t, errors.As(err, &ps))
	require.Len(t, ps, 3) // rate 0, unknown field, name twice
	_, err = LoadDirectory(t.TempDir())
	require.ErrorContains(t, err, "no .yaml or .yml file")
}

func TestRouteTakesTheLongestPrefixOfWholeSegments(t *testing.T) {
	s := NewSnapshot(1, 1, 0, parse(t, validConfig))
	for _, c := range []struct{ method, path, want string }{
		{"GET", "/", "browse"},
		{"GET", "/records/deposit", "browse"}, // deposit takes no GET
		{"POST", "/records/deposit", "deposit"},
		{"POST", "/records/deposit/7/", "deposit"},
		{"POST", "/records/deposits", ""},
		{"POST", "/", ""},
		{"BREW", "/", ""},
	} {
		m, ok := s.Route([]byte(c.method), []byte(c.path))
		require.Equal(t, c.want != "", ok, "%s %s", c.method, c.path)
		if ok {
			require.Equal(t, c.want, m.Route)
		}
	}
	m, _ := s.Route([]byte("POST"), []byte("/records/deposit"))
	require.Equal(t, &Match{Route: "deposit", Service: "archive", Importance: request.Critical, Deadline: 800 * time.Millisecond, MaxBody: 2 << 20, StoreDown: StoreDownRefuse, RefuseAge: time.Minute}, m)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validConfig))
	f.Add([]byte("organisations: [{name: &a [*a]}]"))
	f.Add([]byte("keys:\n- <<: {digest: x}"))
	f.Add([]byte("settings: {keys: {keys: 1}}\n---\nsettings: 3"))
	f.Add([]byte("links: [{regions: [], bytes_per_second: 99999999999999999999}]"))
	f.Fuzz(func(t *testing.T, in []byte) {
		c, err := Parse(map[string][]byte{"f.yaml": in})
		if err != nil {
			var ps Problems
			require.True(t, errors.As(err, &ps), "%v", err)
			return
		}
		for i := range c.Organisations {
			require.Positive(t, c.Organisations[i].Rate)
			sum := 0.0
			for j := range c.DataCentres {
				sum += c.Share(&c.Organisations[i], c.DataCentres[j].Name)
			}
			require.LessOrEqual(t, sum, 1+2*shareTolerance)
		}
		NewSnapshot(1, 1, 0, c)
	})
}

func BenchmarkRoute(b *testing.B) {
	s := NewSnapshot(1, 1, 0, parse(b, validConfig))
	method, path := []byte("POST"), []byte("/records/deposit/1234/photographs/12")
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := s.Route(method, path); !ok {
			b.Fatal("route not found")
		}
	}
}
