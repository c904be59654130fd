package fleet

import (
	"bytes"
	"compress/gzip"
	"io"
)

const (
	// maxPacked is the size limit, in bytes, of a packed document in a message
	// between daemons: a message must fit in one frame. A daemon that needs a
	// larger document reads it from the store.
	maxPacked = 192 << 10

	// maxDocument is the size limit, in bytes, of an unpacked document. unpack
	// drops any bytes beyond it.
	maxDocument = 16 << 20
)

// pack returns a document compressed with gzip for sending to other daemons. It
// returns nil if the document is empty or larger than maxPacked when compressed.
func pack(document []byte) []byte {
	if len(document) == 0 {
		return nil
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(document) // writing to a bytes.Buffer never fails
	_ = w.Close()
	if b.Len() > maxPacked {
		return nil
	}
	return b.Bytes()
}

// unpack returns the document that was compressed by pack.
func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, err
	}
	return io.ReadAll(io.LimitReader(r, maxDocument))
}
