package ingress

import (
	"bufio"
	"errors"
	"io"
	"math"
	"net"
	"time"
)

const (
	// prefetchBytes is the part of a body of known length that must arrive before the
	// handler runs.
	prefetchBytes = 8 << 10

	// maxUnreadBody is the number of bytes of a body that are read and dropped after
	// the handler has returned. The connection ends when more are left.
	maxUnreadBody = 256 << 10

	// bodyTimeout limits the time for reading a whole body.
	bodyTimeout = 30 * time.Second

	// bodyStallTimeout is the time after which a body without progress is given up, or
	// the time for a head if that is longer. Callers on slow links pause for seconds
	// when packets are lost.
	bodyStallTimeout = 10 * time.Second

	chunked = -1 // content length of a chunked body
)

var (
	errChunk      = errors.New("malformed chunk, send sizes and ends of chunks as RFC 9112 says")
	errExtensions = errors.New("chunk extensions over the limit of the head, send less of them")
)

// body reads the body of one request. It belongs to the goroutine of the request until
// it has ended.
type body struct {
	c          *conn
	r          *Request
	left       int64 // bytes to the end of the body, or of the chunk
	extensions int   // bytes of chunk extensions so far
	isChunked  bool
	ended      bool // the whole body has been read
	failed     bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	if b.failed {
		return 0, io.ErrUnexpectedEOF
	}
	n, err := b.read(p)
	if err != nil && !b.ended {
		b.failed = true
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
	}
	return n, err
}

func (b *body) read(p []byte) (int, error) {
	if b.isChunked && b.left == 0 {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
	}
	if b.left > 0 {
		if int64(len(p)) > b.left {
			p = p[:b.left]
		}
		n, err := b.c.br.Read(p)
		b.left -= int64(n)
		if err != nil {
			return n, err
		}
		if !b.isChunked && b.left == 0 {
			b.end()
			return n, io.EOF
		}
		if b.isChunked && b.left == 0 {
			err = readLineEnd(b.c.br)
		}
		return n, err
	}
	b.end()
	return 0, io.EOF
}

// nextChunk reads the size of the next chunk, or the trailer behind the last one.
func (b *body) nextChunk() error {
	size, err := b.readChunkSize()
	if err != nil {
		return err
	}
	b.left = size
	if size == 0 {
		return b.r.Header.ReadTrailer(b.c.br) // bounded by the size of the reader
	}
	return nil
}

// readChunkSize reads the line before a chunk. It accepts the same lines as fasthttp.
func (b *body) readChunkSize() (size int64, err error) {
	const maxDigits = 15
	for i := 0; ; i++ {
		c, err := b.c.br.ReadByte()
		if err != nil {
			return 0, err
		}
		d, ok := hexDigit(c)
		if !ok {
			if i == 0 {
				return 0, errChunk
			}
			_ = b.c.br.UnreadByte() // cannot fail after ReadByte
			break
		}
		if i == maxDigits || size > math.MaxInt64>>4 {
			return 0, errChunk
		}
		size = size<<4 | int64(d)
	}
	inExtension, space := false, false
	for {
		c, err := b.c.br.ReadByte()
		switch {
		case err != nil:
			return 0, err
		case c == '\r':
			_ = b.c.br.UnreadByte()
			return size, readLineEnd(b.c.br)
		case c == '\n':
			return 0, errChunk
		}
		if b.extensions++; b.extensions > b.c.headLimit {
			return 0, errExtensions
		}
		switch {
		case inExtension:
		case c == ' ' || c == '\t':
			space = true
		case c == ';' && !space:
			inExtension = true
		default:
			return 0, errChunk
		}
	}
}

func hexDigit(c byte) (d byte, ok bool) {
	switch {
	case '0' <= c && c <= '9':
		return c - '0', true
	case 'a' <= c && c <= 'f':
		return c - 'a' + 10, true
	case 'A' <= c && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}

func readLineEnd(br *bufio.Reader) error {
	for _, want := range []byte("\r\n") {
		c, err := br.ReadByte()
		if err != nil {
			return err
		}
		if c != want {
			return errChunk
		}
	}
	return nil
}

// end marks the body as read and lets the reader of the connection look for a caller
// that leaves.
func (b *body) end() {
	b.ended = true
	b.c.bodyEnded()
}

// overflows reports whether the rest of the body is too long to be read and dropped.
func (b *body) overflows() bool { return !b.isChunked && b.left > maxUnreadBody }

// discard reads the rest of the body and reports whether it has ended.
func (b *body) discard() bool {
	if b.ended {
		return true
	}
	_, err := io.CopyN(io.Discard, b, maxUnreadBody+1)
	return errors.Is(err, io.EOF) && b.ended
}

// prefetch waits until the first part of a body of known length has arrived.
func (b *body) prefetch() error {
	if b.isChunked {
		return nil
	}
	_, err := b.c.br.Peek(int(min(b.left, prefetchBytes, int64(b.c.br.Size()))))
	return err
}

// isTimeout reports whether a read ended at its deadline.
func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}
