package wire

import (
	"encoding/binary"
	"io"
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
)

const (
	// MaxFrameBytes is the largest marshalled Frame, in bytes, without its length.
	MaxFrameBytes = 256 << 10

	// ChunkBytes is the largest part of a body that a sender puts into one frame, in
	// bytes. Read does not enforce it.
	ChunkBytes = 32 << 10

	// ProtocolVersion is the protocol version that Hello carries. A daemon refuses peers
	// with another version.
	ProtocolVersion = 1

	lengthBytes = 4
)

// FrameTooLargeError reports a frame over MaxFrameBytes. When Read returns it, the frame
// has not been read from the stream, which cannot be decoded any further and must
// be closed.
type FrameTooLargeError struct{ Bytes uint32 }

// Error names the size and the remedy.
func (e *FrameTooLargeError) Error() string {
	return eris.Errorf("frame of %d bytes is over the limit of %d: close the stream, the peer does not speak this protocol", e.Bytes, MaxFrameBytes).Error()
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, ChunkBytes+1024); return &b }}

// Write marshals f and writes it to w as one frame in a single write. It returns
// FrameTooLargeError before anything is written, or the error of marshalling or of w.
func Write(w io.Writer, f *Frame) error {
	bp := buffers.Get().(*[]byte)
	defer buffers.Put(bp)
	b := append((*bp)[:0], 0, 0, 0, 0)
	b, err := proto.MarshalOptions{}.MarshalAppend(b, f)
	if err != nil {
		return eris.Wrap(err, "marshal frame")
	}
	*bp = b
	n := len(b) - lengthBytes
	if n > MaxFrameBytes {
		return &FrameTooLargeError{Bytes: uint32(n)}
	}
	binary.BigEndian.PutUint32(b, uint32(n))
	_, err = w.Write(b)
	return err
}

// Read reads one frame from r. It returns io.EOF, unwrapped, when the stream ends
// between two frames, io.ErrUnexpectedEOF when it ends inside one, and
// FrameTooLargeError for a length over MaxFrameBytes. The result does not share memory
// with the read buffer.
func Read(r io.Reader) (*Frame, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > MaxFrameBytes {
		return nil, &FrameTooLargeError{Bytes: n}
	}
	bp := buffers.Get().(*[]byte)
	defer buffers.Put(bp)
	if cap(*bp) < int(n) {
		*bp = make([]byte, n)
	}
	b := (*bp)[:n]
	if _, err := io.ReadFull(r, b); err != nil {
		if eris.Is(err, io.EOF) {
			return nil, io.ErrUnexpectedEOF
		}
		return nil, err
	}
	f := new(Frame)
	if err := proto.Unmarshal(b, f); err != nil {
		return nil, eris.Wrap(err, "unmarshal frame: close the stream, the peer does not speak this protocol")
	}
	return f, nil
}
