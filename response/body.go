package response

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math"
)

// maxChunkDigits is the maximum number of digits of the size of a chunk.
const maxChunkDigits = 15

// Body reads the body of one response. Read returns io.EOF only when the body is complete
// by its framing. It is not safe for concurrent use.
type Body struct {
	br       *bufio.Reader
	framing  Framing
	left     int64 // bytes to the end of the body or of the chunk
	began    bool  // a chunk has been read
	complete bool
	err      error
}

// NewBody returns the body of the response whose head has just been read from br.
func NewBody(br *bufio.Reader, h Head) *Body {
	return &Body{
		br:       br,
		framing:  h.Framing,
		left:     h.Length,
		complete: h.Framing == FramingNone || h.Framing == FramingLength && h.Length == 0,
	}
}

// Complete reports whether the whole body has been read.
func (b *Body) Complete() bool { return b.complete }

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.complete {
		return 0, io.EOF
	}
	if b.err != nil {
		return 0, b.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	n, err := b.read(p)
	if b.complete {
		return n, io.EOF
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	b.err = err
	return n, err
}

func (b *Body) read(p []byte) (int, error) {
	if b.framing == FramingClose {
		n, err := b.br.Read(p)
		b.complete = errors.Is(err, io.EOF)
		return n, err
	}
	if b.framing == FramingChunked && b.left == 0 {
		if err := b.nextChunk(); err != nil || b.complete {
			return 0, err
		}
	}
	n, err := b.br.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	b.complete = b.framing == FramingLength && b.left == 0
	return n, err
}

// nextChunk reads the end of the chunk before and the size of the next one. Behind the
// last chunk it reads the trailer and completes the body.
func (b *Body) nextChunk() error {
	if b.began {
		line, err := b.readLine()
		if err != nil {
			return err
		}
		if len(line) > 0 {
			return malformed("bytes behind a chunk", line)
		}
	}
	b.began = true
	line, err := b.readLine()
	if err != nil {
		return err
	}
	if b.left, err = parseChunkSize(line); err != nil || b.left > 0 {
		return err
	}
	for {
		line, err := b.readLine()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			b.complete = true
			return nil
		}
		if _, _, err := parseField(line); err != nil {
			return err
		}
	}
}

// readLine returns the next line without its end. It is valid until the next read.
func (b *Body) readLine() ([]byte, error) {
	line, err := b.br.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return nil, malformed("line of the chunked coding too long", line)
	}
	if err != nil {
		return nil, err
	}
	text, ended := bytes.CutSuffix(line, headEnd[:2])
	if !ended || bytes.ContainsRune(text, '\r') {
		return nil, malformed("line end of the chunked coding", line)
	}
	return text, nil
}

// parseChunkSize parses size [BWS ";" extensions].
func parseChunkSize(line []byte) (int64, error) {
	digits := 0
	size := int64(0)
	for _, c := range line {
		d, ok := hexDigit(c)
		if !ok {
			break
		}
		if digits++; digits > maxChunkDigits || size > math.MaxInt64>>4 {
			return 0, malformed("size of a chunk out of range", line)
		}
		size = size<<4 | int64(d)
	}
	rest := bytes.TrimLeft(line[digits:], " \t")
	if digits == 0 || len(rest) > 0 && rest[0] != ';' || len(rest) == 0 && digits < len(line) || !validText(rest) {
		return 0, malformed("size of a chunk", line)
	}
	return size, nil
}

func hexDigit(c byte) (d byte, ok bool) {
	switch {
	case isDigit(c):
		return c - '0', true
	case 'a' <= c && c <= 'f':
		return c - 'a' + 10, true
	case 'A' <= c && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}
