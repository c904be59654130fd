package httpclient

import (
	"bufio"
	"context"
	"io"
	"net"

	"github.com/valyala/fasthttp"

	"wisteriafold/response"
)

// GetRequest is a GET request on a connection of its own.
type GetRequest struct {
	Address  string // host:port of the server
	Host     string // value of the Host field; empty for Address
	Path     string // path and query
	MaxBytes int64  // maximum number of bytes of the response, head included
}

// GetResponse is a completely read response.
type GetResponse struct {
	Header fasthttp.ResponseHeader
	Body   []byte
}

// Get sends a request and reads its complete response. The connection serves no other
// request, so no other response can be taken for this one. A response with more than
// MaxBytes bytes is an error.
func Get(ctx context.Context, req GetRequest) (*GetResponse, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", req.Address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer func() {
		stop()
		_ = conn.Close()
	}()
	resp, err := req.exchange(conn)
	if err != nil && ctx.Err() != nil {
		return nil, ctx.Err() // it has closed the connection
	}
	return resp, err
}

func (req *GetRequest) exchange(conn net.Conn) (*GetResponse, error) {
	host := req.Host
	if host == "" {
		host = req.Address
	}
	if _, err := io.WriteString(conn, "GET "+req.Path+" HTTP/1.1\r\nHost: "+host+"\r\nConnection: close\r\n\r\n"); err != nil {
		return nil, err
	}
	br := bufio.NewReader(&boundedReader{r: conn, left: req.MaxBytes})
	resp := &GetResponse{}
	head, err := response.ReadHead(br, fasthttp.MethodGet, &resp.Header)
	if err != nil {
		return nil, err
	}
	if resp.Body, err = io.ReadAll(response.NewBody(br, head)); err != nil {
		return nil, err
	}
	return resp, nil
}

// boundedReader fails when its source has more bytes than allowed. The end of an
// io.LimitReader would look like the end of a body without a length.
type boundedReader struct {
	r    io.Reader
	left int64 // bytes that may still be read
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return 0, errAnswerTooLong
	}
	return n, err
}
