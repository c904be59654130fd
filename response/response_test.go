package response

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// read reads one response that arrives byte by byte, and returns the number of bytes that
// it left unread.
func read(text, method string) (status int, body string, h Head, left int, err error) {
	src := strings.NewReader(text)
	br := bufio.NewReader(iotest.OneByteReader(src))
	var header fasthttp.ResponseHeader
	h, err = ReadHead(br, method, &header)
	if err != nil {
		return 0, "", h, 0, err
	}
	b, err := io.ReadAll(NewBody(br, h))
	return header.StatusCode(), string(b), h, src.Len() + br.Buffered(), err
}

func TestWholeResponsesAreRead(t *testing.T) {
	for name, c := range map[string]struct {
		text, method, body string
		status, left       int
		persistent         bool
	}{
		"length":                  {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcrest", "GET", "abc", 200, 4, true},
		"length 0":                {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "GET", "", 200, 0, true},
		"no reason":               {"HTTP/1.1 404 \r\ncontent-length:\t1 \r\n\r\nx", "GET", "x", 404, 0, true},
		"reason with other bytes": {"HTTP/1.1 200 tr\xe8s bien\t!\r\nContent-Length: 0\r\n\r\n", "GET", "", 200, 0, true},
		"chunks":                  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\nA ;x=\"y\"\r\n0123456789\r\n0\r\n\r\n", "GET", "abc0123456789", 200, 0, true},
		"chunks and trailer":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n00\r\nX: y\r\n\r\nrest", "GET", "a", 200, 4, true},
		"until close":             {"HTTP/1.1 200 OK\r\n\r\nall", "GET", "all", 200, 0, false},
		"empty until close":       {"HTTP/1.1 500 Oops\r\n\r\n", "GET", "", 500, 0, false},
		"interim responses":       {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", "GET", "x", 200, 0, true},
		"HEAD":                    {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n", "HEAD", "", 200, 0, true},
		"no content":              {"HTTP/1.1 204 No Content\r\n\r\n", "GET", "", 204, 0, true},
		"not modified":            {"HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n", "GET", "", 304, 0, true},
		"close":                   {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: x, Close\r\n\r\nx", "GET", "x", 200, 0, false},
		"HTTP/1.0":                {"HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nx", "GET", "x", 200, 0, false},
		"HTTP/1.0 kept":           {"HTTP/1.0 200 OK\r\nContent-Length: 1\r\nConnection: keep-alive\r\n\r\nx", "GET", "x", 200, 0, true},
		"highest status":          {"HTTP/1.1 599 x\r\nContent-Length: 0\r\n\r\n", "GET", "", 599, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			status, body, h, left, err := read(c.text, c.method)
			require.NoError(t, err)
			require.Equal(t, c.status, status)
			require.Equal(t, c.body, body)
			require.Equal(t, c.persistent, h.Persistent)
			require.Equal(t, c.left, left)
		})
	}
}

const length0 = "Content-Length: 0\r\n\r\n"

// Failure: bytes of a server in trouble that only resemble a response are taken for one.
func TestWhatIsNoResponseIsRejected(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":                  "HTTP/1.1 000 OK\r\n" + length0,
		"status 099":                  "HTTP/1.1 099 OK\r\n" + length0,
		"status 600":                  "HTTP/1.1 600 OK\r\n" + length0,
		"two digits":                  "HTTP/1.1 20 OK\r\n" + length0,
		"four digits":                 "HTTP/1.1 2000 OK\r\n" + length0,
		"signed status":               "HTTP/1.1 +20 OK\r\n" + length0,
		"no status":                   "HTTP/1.1 OK\r\n" + length0,
		"no space behind the status":  "HTTP/1.1 200\r\n" + length0,
		"two spaces":                  "HTTP/1.1  200 OK\r\n" + length0,
		"control byte in the reason":  "HTTP/1.1 200 O\x01K\r\n" + length0,
		"HTTP/2":                      "HTTP/2.0 200 OK\r\n" + length0,
		"other protocol":              "ICY 200 OK\r\n" + length0,
		"lower case":                  "http/1.1 200 OK\r\n" + length0,
		"empty line first":            "\r\nHTTP/1.1 200 OK\r\n" + length0,
		"garbage":                     "\x00\x01garbage\r\n\r\n",
		"blank in a name":             "HTTP/1.1 200 OK\r\nX Y: z\r\n" + length0,
		"blank behind a name":         "HTTP/1.1 200 OK\r\nX : z\r\n" + length0,
		"blank behind length":         "HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n",
		"tab in a name":               "HTTP/1.1 200 OK\r\nX\tY: z\r\n" + length0,
		"control byte in a name":      "HTTP/1.1 200 OK\r\nX\x01: z\r\n" + length0,
		"NUL in a name":               "HTTP/1.1 200 OK\r\nContent\x00-Length: 0\r\n\r\n",
		"byte over 127 in a name":     "HTTP/1.1 200 OK\r\nX\xe9: z\r\n" + length0,
		"separator in a name":         "HTTP/1.1 200 OK\r\n(X): z\r\n" + length0,
		"empty name":                  "HTTP/1.1 200 OK\r\n: z\r\n" + length0,
		"no colon":                    "HTTP/1.1 200 OK\r\nX\r\n" + length0,
		"folded line":                 "HTTP/1.1 200 OK\r\nX: y\r\n z\r\n" + length0,
		"line that begins with blank": "HTTP/1.1 200 OK\r\n X: y\r\n" + length0,
		"control byte in a value":     "HTTP/1.1 200 OK\r\nX: \x02\r\n" + length0,
		"DEL in a value":              "HTTP/1.1 200 OK\r\nX: \x7f\r\n" + length0,
		"CR in a value":               "HTTP/1.1 200 OK\r\nX: a\rb\r\n" + length0,
		"LF in a value":               "HTTP/1.1 200 OK\r\nX: a\nY: b\r\n" + length0,
		"LF as line end":              "HTTP/1.1 200 OK\nContent-Length: 0\n\n",
		"upgrade":                     "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
		"length twice":                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + length0,
		"length with a list":          "HTTP/1.1 200 OK\r\nContent-Length: 1, 1\r\n\r\nx",
		"signed length":               "HTTP/1.1 200 OK\r\nContent-Length: +1\r\n\r\nx",
		"negative length":             "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nx",
		"hexadecimal length":          "HTTP/1.1 200 OK\r\nContent-Length: 0x1\r\n\r\nx",
		"empty length":                "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n",
		"length out of range":         "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\nx",
		"length and chunks":           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n1\r\na\r\n0\r\n\r\n",
		"chunked twice":               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"other coding":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
		"chunks in HTTP/1.0":          "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"interim without end":         strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100),
		"head too long":               "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("y", 5000) + "\r\n" + length0,
		"no digits in a chunk":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nx\r\na\r\n0\r\n\r\n",
		"chunk without line end":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n",
		"LF behind a chunk size":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\na\r\n0\r\n\r\n",
		"blank behind a chunk size":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1 \r\na\r\n0\r\n\r\n",
		"chunk size out of range":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("0", 16) + "\r\n\r\n",
		"trailer that is no field":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Y: z\r\n\r\n",
		"control byte in extension":   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;\x01\r\na\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, _, _, _, err := read(text, "GET")
			var m *MalformedError
			require.ErrorAs(t, err, &m)
			require.Contains(t, m.Error(), "look up the log")
		})
	}
}

// Failure: a response that the server broke off, at whatever byte, looks complete.
func TestNoPartOfAResponseIsComplete(t *testing.T) {
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nX: y\r\n\r\n",
	} {
		_, _, _, _, err := read(whole, "GET")
		require.NoError(t, err)
		for n := range len(whole) {
			_, _, _, _, err := read(whole[:n], "GET")
			require.Error(t, err, "%q", whole[:n])
			if n > 0 && !strings.HasSuffix(whole[:n], "\r\n\r\n") {
				require.ErrorIs(t, err, io.ErrUnexpectedEOF, "%q", whole[:n])
			}
		}
	}
}

var errReset = errors.New("connection reset")

// Failure: a body without a length whose connection was reset looks complete.
func TestBodyUntilCloseNeedsAnEnd(t *testing.T) {
	src := io.MultiReader(strings.NewReader("HTTP/1.1 200 OK\r\n\r\npart"), iotest.ErrReader(errReset))
	br := bufio.NewReader(src)
	var header fasthttp.ResponseHeader
	h, err := ReadHead(br, "GET", &header)
	require.NoError(t, err)
	body := NewBody(br, h)
	_, err = io.ReadAll(body)
	require.ErrorIs(t, err, errReset)
	require.False(t, body.Complete())
	_, err = body.Read(make([]byte, 1))
	require.ErrorIs(t, err, errReset)
}

// Failure: this reader and another one that follows the RFCs differ on where a response
// ends, or on what it says. The other one accepts more.
func FuzzResponsesAreReadAsOthersReadThem(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x\r\nabc\r\n0\r\nX: y\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 599 \r\nX:\t\x80 \r\n\r\nall"))
	f.Add([]byte("HTTP/1.1 204 No\r\nContent-Length: 1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		status, body, _, left, err := read(string(text), "GET")
		if err != nil || status < 200 || bytes.HasPrefix(text, []byte("HTTP/1.1 1")) || bytes.HasPrefix(text, []byte("HTTP/1.0 1")) {
			return // net/http.ReadResponse returns interim responses
		}
		src := bytes.NewReader(text)
		br := bufio.NewReader(src)
		resp, err := http.ReadResponse(br, nil)
		if err != nil && strings.Contains(err.Error(), "HTTP version") {
			return // net/http knows no later minor versions
		}
		require.NoError(t, err)
		want, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, resp.StatusCode, status)
		require.Equal(t, string(want), body)
		require.Equal(t, src.Len()+br.Buffered(), left)
	})
}
