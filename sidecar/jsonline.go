package sidecar

import "strconv"

// jsonLine builds one JSON object in a pooled buffer. It avoids reflection because
// each request produces several lines.
type jsonLine struct{ b *[]byte }

func (w *lineWriter) begin() *jsonLine {
	b := w.bufs.Get().(*[]byte)
	*b = append((*b)[:0], '{')
	return &jsonLine{b}
}

func (l *jsonLine) name(name string) {
	if len(*l.b) > 1 {
		*l.b = append(*l.b, ',')
	}
	*l.b = append(*l.b, '"')
	*l.b = append(*l.b, name...)
	*l.b = append(*l.b, '"', ':')
}

// text adds a string field. It omits fields with an empty value.
func (l *jsonLine) text(name, value string) {
	if value == "" {
		return
	}
	l.name(name)
	*l.b = appendQuoted(*l.b, value)
}

func (l *jsonLine) number(name string, value int64) {
	l.name(name)
	*l.b = strconv.AppendInt(*l.b, value, 10)
}

// raw adds a field with a value that is already JSON.
func (l *jsonLine) raw(name string, value []byte) {
	l.name(name)
	*l.b = append(*l.b, value...)
}

// end closes the object, terminates the line and returns the buffer.
func (l *jsonLine) end() *[]byte {
	*l.b = append(*l.b, '}', '\n')
	return l.b
}

// appendQuoted appends s as a JSON string. It replaces control characters and bytes
// outside printable ASCII by question marks, as values may come from callers.
func appendQuoted(b []byte, s string) []byte {
	b = append(b, '"')
	for i := range len(s) {
		switch c := s[i]; {
		case c == '"' || c == '\\':
			b = append(b, '\\', c)
		case c < ' ' || c > '~':
			b = append(b, '?')
		default:
			b = append(b, c)
		}
	}
	return append(b, '"')
}
