package config

import (
	"bytes"
	"errors"
	"io"

	"go.yaml.in/yaml/v3"
)

// syntaxLines bounds the files whose faulty line is searched for, in lines.
const syntaxLines = 5000

// SyntaxLine returns the line at which text stops being YAML: the first one
// with which every longer beginning of the text is broken too. The YAML
// library's own number is often that of the enclosing block. It returns 0 for
// valid text, and for text that is too long to search.
func SyntaxLine(text []byte) int {
	lines := bytes.SplitAfter(text, []byte("\n"))
	if isYAML(text) || len(lines) > syntaxLines {
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
