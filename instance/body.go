package instance

import (
	"bytes"
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"wisteriafold/request"
	"wisteriafold/wire"
)

// upload is the request body of a call.
type upload struct {
	inline []byte    // the whole body, when it is at most wire.ChunkBytes long
	stream io.Reader // the body, when it is longer or of unknown size
	size   int64     // bytes, -1 when unknown

	consumed bool // the stream was handed to an attempt, so no other attempt can send it
}

// replayable reports whether another attempt can send the same body.
func (u *upload) replayable() bool { return u.stream == nil || !u.consumed }

// reader returns the body from its start. It must be called only once for a
// stream.
func (u *upload) reader() io.Reader {
	if u.stream == nil {
		return bytes.NewReader(u.inline)
	}
	u.consumed = true
	return u.stream
}

// open is reader with the signature of incoming.body.
func (u *upload) open() (io.Reader, error) { return u.reader(), nil }

// limitReader fails with a *request.Error when more than its limit of bytes is
// read.
type limitReader struct {
	r        io.Reader
	left     int64
	exceeded *atomic.Bool
}

func newLimitReader(r io.Reader, limit int64) *limitReader {
	return &limitReader{r: r, left: limit, exceeded: new(atomic.Bool)}
}

// Read implements io.Reader.
func (l *limitReader) Read(p []byte) (int, error) {
	n, err := l.r.Read(p)
	l.left -= int64(n)
	if l.left < 0 {
		l.exceeded.Store(true)
		return 0, request.NewUnknownError(request.ReasonTooLarge, "the body is over the route's max_body_bytes", nil)
	}
	return n, err
}

// frameSource supplies chunk frames, as link.Stream does.
type frameSource interface {
	Read() (*wire.Frame, error)
}

// frameReader reads a body that is sent as chunk frames and an End frame.
type frameReader struct {
	src  frameSource
	rest []byte
	n    uint64
	done bool
}

// errTruncated reports a body that ended before its End frame, or whose End
// frame gives another length.
var errTruncated = eris.New("the body was truncated: the sender stopped before its end")

// Read implements io.Reader. It returns io.EOF only after an End frame that
// gives the number of bytes received.
func (r *frameReader) Read(p []byte) (int, error) {
	for len(r.rest) == 0 {
		if r.done {
			return 0, io.EOF
		}
		if err := r.next(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.rest)
	r.rest = r.rest[n:]
	return n, nil
}

func (r *frameReader) next() error {
	f, err := r.src.Read()
	if err != nil {
		return eris.Wrap(errTruncated, err.Error())
	}
	switch k := f.Kind.(type) {
	case *wire.Frame_Chunk:
		r.rest = k.Chunk
		r.n += uint64(len(k.Chunk))
	case *wire.Frame_End:
		if k.End.Bytes != r.n {
			return errTruncated
		}
		r.done = true
	default:
		return eris.Wrap(errTruncated, "unexpected frame kind inside the body")
	}
	return nil
}

// frameSink accepts chunk frames, as link.Stream does.
type frameSink interface {
	Write(frames ...*wire.Frame) error
}

// copyChunks sends src as chunk frames and an End frame. On a read error it
// omits the End frame, so that the receiver detects the truncation. Only io.EOF
// is the end of src: io.ErrUnexpectedEOF means that src itself was truncated.
func copyChunks(dst frameSink, src io.Reader) error {
	buf := make([]byte, wire.ChunkBytes)
	var total uint64
	for {
		n, err := src.Read(buf)
		if n > 0 {
			total += uint64(n)
			if werr := dst.Write(&wire.Frame{Kind: &wire.Frame_Chunk{Chunk: buf[:n]}}); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return dst.Write(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{Bytes: total}}})
		}
		if err != nil {
			return err
		}
	}
}
