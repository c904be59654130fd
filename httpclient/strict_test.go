package httpclient

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"wisteriafold/request"
)

// doStreamed is do for Client.Do.
func doStreamed(t *testing.T, c *Client, body io.Reader, size int) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod("POST")
	req.SetRequestURI("/p")
	req.Header.SetHost("h")
	if body != nil {
		req.SetBodyStream(body, size)
	}
	x, err := c.Do(ctx, req)
	if err != nil {
		return "", err
	}
	defer x.Close()
	if x.Response.BodyStream() == nil {
		return "", nil
	}
	b, err := io.ReadAll(x.Response.BodyStream())
	return string(b), err
}

// Failure: bytes of a backend server in trouble that are no response reach the caller as
// one, or the connection serves the next request.
func TestBytesThatAreNoResponseAreUnknownOutcomes(t *testing.T) {
	const rest = "Id: 1\r\nContent-Length: 2\r\n\r\nok"
	for name, script := range map[string]string{
		"status 000":                "HTTP/1.1 000 Error\r\n" + rest,
		"status 999":                "HTTP/1.1 999 Error\r\n" + rest,
		"upgrade not asked for":     "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n" + rest,
		"blank in a name":           "HTTP/1.1 200 OK\r\nX Y: z\r\n" + rest,
		"blank behind a name":       "HTTP/1.1 200 OK\r\nX : z\r\n" + rest,
		"blank in the length":       "HTTP/1.1 200 OK\r\nId: 1\r\nContent Length: 2\r\nConnection: close\r\n\r\nok",
		"control byte in a name":    "HTTP/1.1 200 OK\r\nX\x01Y: z\r\n" + rest,
		"control byte in the id":    "HTTP/1.1 200 OK\r\nId: 1\r\nCon\x02tent-Length: 9\r\nConnection: close\r\n\r\nok",
		"folded line":               "HTTP/1.1 200 OK\r\nX: y\r\n Y: z\r\n" + rest,
		"length and chunks":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + rest,
		"line feeds alone":          "HTTP/1.1 200 OK\nId: 1\nContent-Length: 2\n\nok",
		"head without end":          "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close\r\n",
		"head without end, one end": "HTTP/1.1 200 OK\r\nId: 1\r\nConnection: close",
		"status line alone":         "HTTP/1.1 200 OK\r\n",
		"interim response alone":    "HTTP/1.1 100 Continue\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c, opened := scripted(t, script, ok("2", "two"))
			_, err := do(t, c, rawCall("1", 3))
			require.Error(t, err)
			require.Equal(t, request.Unknown, request.AsError(err).Outcome)
			require.Equal(t, request.ReasonBroken, request.AsError(err).Reason)
			got, err := do(t, c, rawCall("2", 3))
			require.NoError(t, err)
			require.Equal(t, "two", got)
			require.Equal(t, 2, opened(), "the connection is not used again")

			c, _ = scripted(t, script)
			_, err = doStreamed(t, c, nil, 0)
			require.Error(t, err, "streamed")
			require.Equal(t, request.Unknown, request.AsError(err).Outcome)
			require.Empty(t, c.idle)
		})
	}
}
