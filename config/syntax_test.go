package config

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSyntaxLineFollowsTheLongestValidPrefix(t *testing.T) {
	for text, want := range map[string]int{
		"a: 1\nb: [1,\n 2]\n":                                            0,
		"instance: a\nregion: [east\nrest: 1\n":                          2,
		"organisations:\n  - name: museum\n\trate: 20\n":                 3,
		"a: [1,\n 2]\nb: {\n":                                            3,
		"organisations:\n  - name: m\n    rate: 20\n   burst: 3\nx: 1\n": 4,
		"a: 1\n---\nb: ]\n":                                              3,
	} {
		require.Equal(t, want, SyntaxLine([]byte(text)), text)
	}
	_, err := Parse(map[string][]byte{"a.yaml": []byte("organisations:\n  - name: museum\n\trate: 20\n")})
	require.ErrorContains(t, err, "a.yaml:3")
}
