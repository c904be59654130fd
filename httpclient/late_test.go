package httpclient

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// chunked is a whole answer in chunks.
func chunked(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n" + body + "\r\n0\r\n\r\n"
}

// Failure: bytes before or after an answer are taken for the answer, or for that to the
// next request on the connection.
func TestBytesAroundAnAnswerBelongToNoRequest(t *testing.T) {
	const interim = "HTTP/1.1 102 Processing\r\n\r\n"
	for name, script := range map[string]struct{ first, second string }{
		"informational head":                     {interim + ok("1", "one"), ok("2", "two")},
		"bytes after a sized body":               {ok("1", "one") + "more bytes", ok("2", "two")},
		"bytes after a chunked body":             {chunked("1", "one") + "more bytes", ok("2", "two")},
		"second copy after a sized body":         {ok("1", "one") + ok("1", "one"), ok("2", "two")},
		"second copy after a chunked body":       {chunked("1", "one") + chunked("1", "one"), ok("2", "two")},
		"second copy just before the answer":     {ok("1", "one"), ok("1", "one") + ok("2", "two")},
		"second chunked copy before the answer":  {ok("1", "one"), chunked("1", "one") + ok("2", "two")},
		"answer to the next request comes early": {ok("1", "one") + ok("2", "bad"), ok("2", "two")},
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := scripted(t, script.first, script.second, script.second)
			got, err := do(t, c, rawCall("1", 3))
			require.NoError(t, err)
			require.Equal(t, "one", got)
			got, err = do(t, c, rawCall("2", 3))
			require.NoError(t, err)
			require.Equal(t, "two", got)
		})
	}
}

// Failure: an answer that broke off is delivered as a complete one.
func TestAnswersThatBreakOffAreErrors(t *testing.T) {
	for name, script := range map[string]string{
		"in the head":             "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Le",
		"in a sized body":         "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf",
		"reset in a sized body":   "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nhalf!",
		"reset until close":       "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n\r\nhalf!",
		"in a chunk":              "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhalf",
		"between chunks":          "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"before the last chunk":   "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0",
		"reset after last chunk":  "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n!",
		"in a trailer":            "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n4\r\nhalf\r\n0\r\nX: y",
		"bytes that are no chunk": "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhalf\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c, _ := scripted(t, script)
			_, err := do(t, c, rawCall("1", 3))
			require.Error(t, err)
		})
	}
}
