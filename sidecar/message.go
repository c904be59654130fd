package sidecar

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"wisteriafold/wire"
)

// hopByHop are the header fields that concern one connection only. Both length
// fields are among them: bodies travel whole and are framed anew.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "te": true, "trailer": true,
	"transfer-encoding": true, "upgrade": true, "content-length": true, "expect": true,
}

// connectionFields returns the fields that a Connection field names.
func connectionFields(value []byte) map[string]bool {
	if len(value) == 0 || bytes.EqualFold(value, []byte("close")) || bytes.EqualFold(value, []byte("keep-alive")) {
		return nil
	}
	named := make(map[string]bool)
	for _, f := range strings.Split(string(value), ",") {
		named[strings.ToLower(strings.TrimSpace(f))] = true
	}
	return named
}

// requestFields returns the fields that travel to the backend server: all but
// those of the connection, the key, those that the system sets itself, and the
// request id, which the head of a call has already.
func (d *Daemon) requestFields(h *fasthttp.RequestHeader) []*wire.Header {
	own := connectionFields(h.Peek(fasthttp.HeaderConnection))
	var fields []*wire.Header
	for k, v := range h.All() {
		name := strings.ToLower(string(k))
		if hopByHop[name] || own[name] || d.names.isSystem(name) || name == "host" || isCode(name) {
			continue
		}
		fields = append(fields, &wire.Header{Name: d.names.pack(k), Value: string(v)})
	}
	return fields
}

// responseFields returns the fields of a response that travel to the caller. The
// request id is left out: the entry knows it.
func (d *Daemon) responseFields(h *fasthttp.ResponseHeader) []*wire.Header {
	own := connectionFields(h.Peek(fasthttp.HeaderConnection))
	var fields []*wire.Header
	for k, v := range h.All() {
		name := strings.ToLower(string(k))
		if hopByHop[name] || own[name] || name == d.names.attempt || isCode(name) {
			continue
		}
		fields = append(fields, &wire.Header{Name: d.names.pack(k), Value: string(v)})
	}
	return fields
}

// fieldNames are the platform's header names, a set of those that the system sets
// or takes off, and one-byte codes that stand for usual names between daemons:
// names are a good part of what a small call moves.
type fieldNames struct {
	HeaderNames
	attempt string // lower case
	system  map[string]bool
	code    map[string]string // name -> code
	name    []string          // by code
}

func newFieldNames(n HeaderNames) fieldNames {
	f := fieldNames{HeaderNames: n, attempt: strings.ToLower(n.Attempt), system: make(map[string]bool), code: make(map[string]string)}
	for _, name := range []string{n.Attempt, n.Deadline, n.Key, n.Organisation, n.CallerService, n.Expect} {
		f.system[strings.ToLower(name)] = true
	}
	f.name = []string{ // no name is at 0; the order is a part of the protocol
		"", "Host", "User-Agent", "Accept", "Accept-Encoding", "Content-Type", "Cache-Control", "Date", "Server", n.Signature, n.Load, n.BackendID,
	}
	for i, name := range f.name[1:] {
		f.code[name] = string(rune(i + 1))
	}
	return f
}

// isCode reports whether a name that came from outside could be taken for a code;
// it is no name that HTTP allows.
func isCode(name string) bool { return len(name) == 1 && name[0] < ' ' }

// pack returns the code of a name, or the name when it has none.
func (f *fieldNames) pack(name []byte) string {
	if code, ok := f.code[string(name)]; ok {
		return code
	}
	return string(name)
}

// unpack returns the name that pack was given.
func (f *fieldNames) unpack(packed string) string {
	if isCode(packed) && int(packed[0]) < len(f.name) {
		return f.name[packed[0]]
	}
	return packed
}

func (f fieldNames) isSystem(lower string) bool { return f.system[lower] }

// requestHead returns the request line and the fields for the backend server.
func (d *Daemon) requestHead(h *wire.CallHead, expect string, leftMillis int64, bodySize int) []byte {
	b := make([]byte, 0, 512)
	b = append(b, h.Method...)
	b = append(b, ' ')
	b = append(b, h.Path...)
	b = append(b, " HTTP/1.1\r\n"...)
	add := func(name, value string) {
		b = append(b, name...)
		b = append(b, ": "...)
		b = append(b, value...)
		b = append(b, "\r\n"...)
	}
	for _, f := range h.Headers {
		add(d.names.unpack(f.Name), f.Value)
	}
	if h.RequestId != "" {
		add(d.names.Attempt, h.RequestId)
	}
	add(d.names.CallerService, h.CallerService)
	if h.Organisation != "" {
		add(d.names.Organisation, h.Organisation)
	}
	if expect != "" {
		add(d.names.Expect, expect)
	}
	add(d.names.Deadline, strconv.FormatInt(leftMillis, 10))
	if bodySize > 0 || (h.Method != fasthttp.MethodGet && h.Method != fasthttp.MethodHead) {
		add(fasthttp.HeaderContentLength, strconv.Itoa(bodySize))
	}
	return append(b, "\r\n"...)
}
