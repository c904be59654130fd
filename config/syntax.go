package config

import (
	"bytes"
	"errors"
	"io"

	"go.yaml.in/yaml/v3"
)

// maxSyntaxLines is the largest number of lines in which SyntaxLine searches.
const maxSyntaxLines = 5000

// SyntaxLine returns the line at which text stops being valid YAML: the one
// after the longest run of lines from the start that is valid. The line number
// in the YAML library's error is often that of the enclosing block. SyntaxLine
// returns 0 for valid text, and for text that is too long to search.
func SyntaxLine(text []byte) int {
	lines := bytes.SplitAfter(text, []byte("\n"))
	if isYAML(text) || len(lines) > maxSyntaxLines {
		return 0
	}
	end := len(text)
	for n := len(lines); n > 0; n-- {
		end -= len(lines[n-1])
		if isYAML(text[:end]) {
			return n
		}
	}
	return 1
}

// isYAML reports whether all documents of text can be parsed.
func isYAML(text []byte) bool {
	dec := yaml.NewDecoder(bytes.NewReader(text))
	for {
		var doc yaml.Node
		err := dec.Decode(&doc)
		if errors.Is(err, io.EOF) {
			return true
		}
		if err != nil {
			return false
		}
	}
}
