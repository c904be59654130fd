package sidecar

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"

	"wisteriafold/wire"
)

// hopByHop holds the header fields that apply to one connection only and are not
// forwarded. Content-Length and Transfer-Encoding are among them, as bodies are
// forwarded whole and framed again.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "te": true, "trailer": true,
	"transfer-encoding": true, "upgrade": true, "content-length": true, "expect": true,
}

// connectionFields returns the field names listed in the value of a Connection
// field, in lower case.
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

// requestFields returns the request header fields that are forwarded to the backend
// server. It omits hop-by-hop fields, the key, the fields that the daemons set
// themselves, and Host and the request id, which are sent separately.
func (d *Daemon) requestFields(h *fasthttp.RequestHeader) []*wire.Header {
	connectionOnly := connectionFields(h.Peek(fasthttp.HeaderConnection))
	var fields []*wire.Header
	for k, v := range h.All() {
		name := strings.ToLower(string(k))
		if hopByHop[name] || connectionOnly[name] || d.names.isSystem(name) || name == "host" || isCode(name) {
			continue
		}
		fields = append(fields, &wire.Header{Name: d.names.pack(k), Value: string(v)})
	}
	return fields
}

// responseFields returns the response header fields that are forwarded to the
// caller. It omits hop-by-hop fields and the request id, which the entry knows.
func (d *Daemon) responseFields(h *fasthttp.ResponseHeader) []*wire.Header {
	connectionOnly := connectionFields(h.Peek(fasthttp.HeaderConnection))
	var fields []*wire.Header
	for k, v := range h.All() {
		name := strings.ToLower(string(k))
		if hopByHop[name] || connectionOnly[name] || name == d.names.attempt || isCode(name) {
			continue
		}
		fields = append(fields, &wire.Header{Name: d.names.pack(k), Value: string(v)})
	}
	return fields
}

// fieldNames holds the platform's header names, the set of those that the daemons
// set or remove, and one-byte codes that replace common names between daemons. Names
// make up a large part of the bytes of a small call.
type fieldNames struct {
	HeaderNames
	attempt    string // lower case
	system     map[string]bool
	codeByName map[string]string // name -> code
	nameByCode []string          // by code
}

func newFieldNames(n HeaderNames) fieldNames {
	f := fieldNames{HeaderNames: n, attempt: strings.ToLower(n.AttemptID), system: make(map[string]bool), codeByName: make(map[string]string)}
	for _, name := range []string{n.AttemptID, n.Deadline, n.Key, n.Organisation, n.CallerService, n.ExpectedBackendID} {
		f.system[strings.ToLower(name)] = true
	}
	f.nameByCode = []string{ // index 0 is not used; the order is part of the protocol between daemons
		"", "Host", "User-Agent", "Accept", "Accept-Encoding", "Content-Type", "Cache-Control", "Date", "Server", n.Signature, n.Load, n.BackendID,
	}
	for i, name := range f.nameByCode[1:] {
		f.codeByName[name] = string(rune(i + 1))
	}
	return f
}

// isCode reports whether a name has the form of a code. HTTP does not allow such
// names, so a field from outside that has one is not forwarded.
func isCode(name string) bool { return len(name) == 1 && name[0] < ' ' }

// pack returns the code of a name, or the name itself when it has no code.
func (f *fieldNames) pack(name []byte) string {
	if code, ok := f.codeByName[string(name)]; ok {
		return code
	}
	return string(name)
}

// unpack reverses pack.
func (f *fieldNames) unpack(packed string) string {
	if isCode(packed) && int(packed[0]) < len(f.nameByCode) {
		return f.nameByCode[packed[0]]
	}
	return packed
}

func (f fieldNames) isSystem(lower string) bool { return f.system[lower] }

// requestHead returns the request line and the header for the backend server.
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
		add(d.names.AttemptID, h.RequestId)
	}
	add(d.names.CallerService, h.CallerService)
	if h.Organisation != "" {
		add(d.names.Organisation, h.Organisation)
	}
	if expect != "" {
		add(d.names.ExpectedBackendID, expect)
	}
	add(d.names.Deadline, strconv.FormatInt(leftMillis, 10))
	if bodySize > 0 || (h.Method != fasthttp.MethodGet && h.Method != fasthttp.MethodHead) {
		add(fasthttp.HeaderContentLength, strconv.Itoa(bodySize))
	}
	return append(b, "\r\n"...)
}
