package sidecar

import (
	"errors"
	"io"

	"wisteriafold/request"
)

const (
	// heldBodyFraction is the fraction of the memory limit of the process that the
	// request bodies held at the same time may take.
	heldBodyFraction = 1.0 / 8

	// defaultHeldBodyBytes is the limit of a daemon without a memory limit.
	defaultHeldBodyBytes = 32 << 20
)

// heldBodyLimit returns the maximum number of bytes of request bodies that a daemon
// holds at the same time, those of callers and those of other daemons together.
func (s *Settings) heldBodyLimit() int64 {
	if s.MemoryBytes <= 0 {
		return defaultHeldBodyBytes
	}
	return int64(heldBodyFraction * float64(s.MemoryBytes))
}

// readBody reads the whole request body.
func (e *entry) readBody() *request.Error {
	size := int64(e.http.Header.ContentLength())
	limit := e.table.MaxBodyBytes
	if limit <= 0 {
		limit = e.d.settings.heldBodyLimit()
	}
	if size > limit {
		e.http.SetConnectionClose()
		return request.NewNotRunError(request.ReasonTooLarge, "the body is over the configuration's limit, send a smaller one")
	}
	if size > 0 && e.held.reserve(size) != nil {
		return e.tooManyBodies()
	}
	stream := e.http.Body
	if stream == nil {
		return nil
	}
	b, err := io.ReadAll(&heldReader{held: &e.held, src: io.LimitReader(stream, limit+1)})
	if errors.Is(err, errHeldLimit) {
		return e.tooManyBodies()
	}
	if err != nil || size >= 0 && int64(len(b)) != size {
		e.http.SetConnectionClose()
		return request.NewNotRunError(request.ReasonBadRequest, "the body is shorter than announced, send it whole")
	}
	if int64(len(b)) > limit {
		e.http.SetConnectionClose()
		return request.NewNotRunError(request.ReasonTooLarge, "the body is over the configuration's limit, send a smaller one")
	}
	e.body = b
	e.call.BodyBytes = int64(len(b))
	return nil
}

// tooManyBodies returns the refusal of a request whose body there is no room for. The
// body has not been read, so the connection cannot be used further.
func (e *entry) tooManyBodies() *request.Error {
	e.http.SetConnectionClose()
	return bodiesHeldError()
}

func bodiesHeldError() *request.Error {
	err := request.NewNotRunError(request.ReasonBusy, "this daemon holds too many request bodies, try again later")
	err.RetryAfter = shedRetryAfter
	return err
}

// heldBytes counts the bytes of one request body towards the limit of the daemon.
type heldBytes struct {
	d       *Daemon
	read    int64 // bytes read so far
	counted int64 // bytes that count towards the limit: those reserved or read
}

// reserve counts a body of an announced size before it is read, so that a body for
// which there is no room is refused early and those being read can be finished. It
// returns errHeldLimit when there is no room, and counts nothing then.
func (h *heldBytes) reserve(size int64) error {
	if size <= h.counted {
		return nil
	}
	if size > h.d.settings.heldBodyLimit() {
		return errHeldLimit
	}
	more := size - h.counted
	if h.d.heldBodyBytes.Add(more) > h.d.settings.heldBodyLimit() {
		h.d.heldBodyBytes.Add(-more)
		return errHeldLimit
	}
	h.counted = size
	return nil
}

// add counts n more bytes that were read. It returns errHeldLimit when they are more
// than was reserved and there is no room for them.
func (h *heldBytes) add(n int) error {
	h.read += int64(n)
	return h.reserve(h.read)
}

// release gives back what was counted.
func (h *heldBytes) release() {
	h.d.heldBodyBytes.Add(-h.counted)
	h.counted = 0
}

// heldReader counts the bytes that it reads towards the limit on request bodies
// that the daemon holds.
type heldReader struct {
	held *heldBytes
	src  io.Reader
}

var errHeldLimit = errors.New("request bodies held by this daemon exceed the limit; retry later")

// Read implements io.Reader. It fails with errHeldLimit when the daemon holds more
// than its limit.
func (r *heldReader) Read(p []byte) (int, error) {
	n, err := r.src.Read(p)
	if held := r.held.add(n); held != nil {
		return 0, held
	}
	return n, err
}
