package response

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"
)

// Framing says how the end of a body is found.
type Framing uint8

// Values of Framing.
const (
	FramingNone    Framing = iota // there is no body
	FramingLength                 // the body has Head.Length bytes
	FramingChunked                // the body consists of chunks
	FramingClose                  // the body ends with the connection
)

// Head is what the head of a response says about the bytes behind it.
type Head struct {
	Framing    Framing
	Length     int64 // bytes of the body with FramingLength, otherwise 0
	Persistent bool  // the connection can serve another request once the body has been read
}

// maxInterim is the maximum number of interim responses before a final one. There is no
// use for more than a few, and a server that sends them without end keeps the reader busy.
const maxInterim = 16

// MalformedError reports bytes that are no response.
type MalformedError struct {
	Problem string // what is wrong
	Bytes   []byte // part of the bytes in question
}

// Error says what is wrong and the remedy.
func (e *MalformedError) Error() string {
	s := "malformed response: " + e.Problem
	if len(e.Bytes) > 0 {
		s += fmt.Sprintf(" (%.60q)", e.Bytes)
	}
	return s + ": look up the log of the server"
}

func malformed(problem string, b []byte) error {
	const kept = 60
	return &MalformedError{Problem: problem, Bytes: bytes.Clone(b[:min(len(b), kept)])}
}

// ReadHead reads the head of the final response to a request with the given method into h.
// It skips interim responses. The head must fit into the buffer of br. At the end of the
// connection it returns io.EOF if not a single byte was there, otherwise
// io.ErrUnexpectedEOF.
func ReadHead(br *bufio.Reader, method string, h *fasthttp.ResponseHeader) (Head, error) {
	for range maxInterim {
		b, err := peekHead(br)
		if err != nil {
			return Head{}, err
		}
		status, head, err := parse(b, method)
		if err != nil {
			return Head{}, err
		}
		if err := h.Read(br); err != nil { // consumes just b
			return Head{}, malformed("fields", nil)
		}
		switch {
		case status == fasthttp.StatusSwitchingProtocols:
			return Head{}, malformed("upgrade that was not asked for", nil)
		case status >= fasthttp.StatusOK:
			return head, nil
		}
	}
	return Head{}, malformed("too many interim responses", nil)
}

var headEnd = []byte("\r\n\r\n")

// peekHead returns the bytes of the next head, including the empty line that ends it,
// without consuming them. Bytes that cannot begin a head are rejected before its end
// arrives.
func peekHead(br *bufio.Reader) ([]byte, error) {
	for {
		b, _ := br.Peek(br.Buffered()) // cannot fail
		if i := bytes.Index(b, headEnd); i >= 0 {
			return b[:i+len(headEnd)], nil
		}
		if n := min(len(b), len(version)); string(b[:n]) != version[:n] {
			return nil, malformed("no status line", b)
		}
		if i := bareLineFeed(b); i >= 0 {
			return nil, malformed("line that does not end with CR LF", b[:min(i, len(version))])
		}
		if len(b) == br.Size() {
			return nil, malformed("head without end, or too long", b[:len(version)])
		}
		if _, err := br.Peek(len(b) + 1); err != nil {
			if errors.Is(err, io.EOF) && len(b) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
}

// bareLineFeed returns the index of the first line feed without a carriage return before
// it, or -1.
func bareLineFeed(b []byte) int {
	for i, c := range b {
		if c == '\n' && (i == 0 || b[i-1] != '\r') {
			return i
		}
	}
	return -1
}

// parse checks a whole head and returns its status and what it says about the body.
func parse(b []byte, method string) (status int, head Head, err error) {
	line, rest := cutLine(b)
	status, minor, err := parseStatusLine(line)
	if err != nil {
		return 0, Head{}, err
	}
	f := framingFields{minor: minor}
	for {
		line, rest = cutLine(rest)
		if len(line) == 0 {
			break
		}
		name, value, err := parseField(line)
		if err != nil {
			return 0, Head{}, err
		}
		if err := f.add(name, value); err != nil {
			return 0, Head{}, err
		}
	}
	head, err = f.head(status, method)
	return status, head, err
}

// cutLine returns the first line of b without its end, and what follows. b contains a line
// end.
func cutLine(b []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(b, headEnd[:2])
	return line, rest
}

// version is the part of a status line before the minor version.
const version = "HTTP/1."

// parseStatusLine parses HTTP/1.x SP status SP [reason].
func parseStatusLine(line []byte) (status, minor int, err error) {
	const (
		minorAt  = len(version)
		statusAt = minorAt + 2
		reasonAt = statusAt + 4
	)
	if len(line) < reasonAt || !bytes.HasPrefix(line, []byte(version)) || !isDigit(line[minorAt]) || line[statusAt-1] != ' ' || line[reasonAt-1] != ' ' {
		return 0, 0, malformed("status line", line)
	}
	for _, c := range line[statusAt : reasonAt-1] {
		if !isDigit(c) {
			return 0, 0, malformed("status is no number", line)
		}
		status = 10*status + int(c-'0')
	}
	if !ValidStatus(status) {
		return 0, 0, malformed("status out of range", line)
	}
	if !validText(line[reasonAt:]) {
		return 0, 0, malformed("control character in the status line", line)
	}
	return status, int(line[minorAt] - '0'), nil
}

// ValidStatus reports whether a number is a status code: 100 to 599.
func ValidStatus(status int) bool { return status >= 100 && status <= 599 }

// parseField parses name ":" OWS value OWS.
func parseField(line []byte) (name, value []byte, err error) {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || !isToken(name) {
		return nil, nil, malformed("field name", name)
	}
	value = bytes.Trim(value, " \t")
	if !validText(value) {
		return nil, nil, malformed("control character in the value of a field", name) // values may be secret
	}
	return name, value, nil
}

// ValidField reports whether a field can be part of a head.
func ValidField(name, value string) bool {
	return isToken([]byte(name)) && validText([]byte(value))
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// tokenChars marks the bytes of a token, RFC 9110 section 5.6.2.
var tokenChars = func() (t [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		t[c] = true
	}
	return t
}()

func isToken(b []byte) bool {
	for _, c := range b {
		if !tokenChars[c] {
			return false
		}
	}
	return len(b) > 0
}

// validText reports whether b contains no control characters apart from tabs.
func validText(b []byte) bool {
	const del = 0x7f
	for _, c := range b {
		if c < ' ' && c != '\t' || c == del {
			return false
		}
	}
	return true
}

// framingFields are the fields of a head that determine its framing.
type framingFields struct {
	minor     int // minor version of HTTP/1
	length    int64
	hasLength bool
	chunked   bool
	close     bool
	keepAlive bool
}

// add takes a field into account.
func (f *framingFields) add(name, value []byte) error {
	switch {
	case equalFold(name, fasthttp.HeaderContentLength):
		n, err := strconv.ParseUint(string(value), 10, 63)
		if err != nil || !isDigit(value[0]) {
			return malformed("length is no number", value)
		}
		if f.hasLength {
			return malformed("more than one length", value)
		}
		f.length, f.hasLength = int64(n), true
	case equalFold(name, fasthttp.HeaderTransferEncoding):
		if f.chunked || !equalFold(value, "chunked") {
			return malformed("transfer coding other than chunked", value)
		}
		f.chunked = true
	case equalFold(name, fasthttp.HeaderConnection):
		for _, option := range bytes.Split(value, []byte(",")) {
			option = bytes.Trim(option, " \t")
			f.close = f.close || equalFold(option, "close")
			f.keepAlive = f.keepAlive || equalFold(option, "keep-alive")
		}
	}
	return nil
}

func equalFold(b []byte, s string) bool { return bytes.EqualFold(b, []byte(s)) }

// head returns the framing, RFC 9112 section 6.3.
func (f *framingFields) head(status int, method string) (Head, error) {
	if f.chunked && (f.hasLength || f.minor == 0) {
		return Head{}, malformed("transfer coding beside a length, or in HTTP/1.0", nil)
	}
	h := Head{Persistent: !f.close && (f.minor > 0 || f.keepAlive)}
	switch {
	case method == fasthttp.MethodHead || status < fasthttp.StatusOK || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		h.Framing = FramingNone
	case f.chunked:
		h.Framing = FramingChunked
	case f.hasLength:
		h.Framing, h.Length = FramingLength, f.length
	default:
		h.Framing, h.Persistent = FramingClose, false
	}
	return h, nil
}
