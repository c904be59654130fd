package link

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"wisteriafold/wire"
)

// readAhead is the number of frames of a served stream that are read before its
// handler asks for them. Reading ahead detects a cancellation by the opener while
// the handler does not read.
const readAhead = 8

// Stream carries one call and its answer as frames. Each direction ends with its
// head frame when no body follows, and with an End frame otherwise. One goroutine
// may read while another one writes.
type Stream struct {
	session  *session
	mux      *yamux.Stream
	ctx      context.Context
	cancel   context.CancelCauseFunc // nil on the opener's side
	stop     func() bool             // stops watching the opener's context; nil on the server's side
	openedAt int64                   // nanoseconds since links.base
	ended    bool                    // the last frame of the other side has been read
	frames   chan *wire.Frame        // frames read ahead; nil on the opener's side
	readErr  error                   // error after which frames was closed
	once     sync.Once
	broken   atomic.Bool // a write failed; session.writeControl explains why no other may follow
}

// newOutgoing wraps a stream that this side has opened.
func newOutgoing(ctx context.Context, s *session, y *yamux.Stream) *Stream {
	st := &Stream{session: s, mux: y, ctx: ctx, openedAt: s.links.since()}
	s.addStream(st)
	st.stop = context.AfterFunc(ctx, st.abort)
	return st
}

// newIncoming wraps a stream that the peer has opened.
func newIncoming(s *session, y *yamux.Stream) *Stream {
	st := &Stream{session: s, mux: y, openedAt: s.links.since(), frames: make(chan *wire.Frame, readAhead)}
	st.ctx, st.cancel = context.WithCancelCause(s.ctx)
	s.addStream(st)
	return st
}

// Peer returns the peer address of the other side.
func (st *Stream) Peer() string { return st.session.peer }

// Context returns the context of the stream. On the opener's side it is the one
// passed to OpenStream; on the server's side it ends when the stream does.
func (st *Stream) Context() context.Context { return st.ctx }

// abort ends a stream when its opener's context has ended. When the deadline
// passed and the session has not received a byte since the stream was opened, the
// peer has not acknowledged the stream, and the session becomes suspect.
func (st *Stream) abort() {
	if errors.Is(st.ctx.Err(), context.DeadlineExceeded) && st.receivedNothing() {
		st.session.suspect()
	}
	st.interrupt()
	st.close()
}

func (st *Stream) receivedNothing() bool { return !st.session.receivedSince(st.openedAt) }

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// interrupt unblocks pending reads and writes.
func (st *Stream) interrupt() { _ = st.mux.SetDeadline(past) }

// setReadDeadline sets the deadline of reads unless the session has interrupted its
// streams.
func (st *Stream) setReadDeadline(t time.Time) {
	st.session.openStreamsMu.Lock()
	defer st.session.openStreamsMu.Unlock()
	if !st.session.interrupted {
		_ = st.mux.SetReadDeadline(t)
	}
}

// Write sends the frames in a single write. It returns FrameTooLargeError before
// anything is sent, and StreamError for every other failure. After a StreamError
// every further write fails as well.
func (st *Stream) Write(frames ...*wire.Frame) error {
	if err := st.ctx.Err(); err != nil {
		return st.streamError(err)
	}
	if st.broken.Load() {
		return st.streamError(ErrStreamTruncated)
	}
	err := writeFrames(st.mux, frames)
	var large *wire.FrameTooLargeError
	if err == nil || errors.As(err, &large) {
		return err
	}
	st.broken.Store(true)
	return st.streamError(err)
}

// writeFrames marshals the frames and writes them in a single write.
func writeFrames(w io.Writer, frames []*wire.Frame) error {
	if len(frames) == 1 {
		return wire.Write(w, frames[0])
	}
	b := writeBuffers.Get().(*bytes.Buffer)
	defer writeBuffers.Put(b)
	b.Reset()
	for _, f := range frames {
		if err := wire.Write(b, f); err != nil {
			return err
		}
	}
	_, err := w.Write(b.Bytes())
	return err
}

var writeBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// isLast reports whether f is the last frame of its direction.
func isLast(f *wire.Frame) bool {
	switch k := f.Kind.(type) {
	case *wire.Frame_End:
		return true
	case *wire.Frame_Call:
		return !k.Call.BodyFollows
	case *wire.Frame_Answer:
		return !k.Answer.BodyFollows
	default:
		return false
	}
}

// Read returns the next frame. It returns io.EOF after the last frame, and
// StreamError when the stream ends before the last frame.
func (st *Stream) Read() (*wire.Frame, error) {
	if st.ended {
		return nil, io.EOF
	}
	f, err := st.next()
	if err != nil {
		return nil, st.streamError(err)
	}
	st.ended = isLast(f)
	return f, nil
}

func (st *Stream) next() (*wire.Frame, error) {
	if st.frames == nil {
		return wire.Read(st.mux)
	}
	f, ok := <-st.frames
	if !ok {
		return nil, st.readErr
	}
	return f, nil
}

// readAheadLoop reads the opener's frames up to the last one, and then waits until
// the opener closes the stream. ended says that the last frame has been read.
func (st *Stream) readAheadLoop(ended bool) {
	defer st.session.links.wg.Done()
	for {
		f, err := wire.Read(st.mux)
		if err == nil && ended {
			err = errAfterEnd
		}
		if err != nil {
			st.stopReading(err)
			return
		}
		select {
		case st.frames <- f:
		case <-st.ctx.Done():
			st.stopReading(st.ctx.Err())
			return
		}
		ended = isLast(f)
	}
}

var errAfterEnd = errors.New("peer sent a frame after End")

// stopReading ends reading and cancels the handler's context.
func (st *Stream) stopReading(err error) {
	st.readErr = err
	close(st.frames)
	st.cancel(context.Canceled)
	st.interrupt()
}

// streamError wraps the error of a read or write in a StreamError. The end of the session
// or of the stream's context takes precedence over err as the cause.
func (st *Stream) streamError(err error) error {
	cause := err
	switch broken, ended := st.session.cause(), st.ctx.Err(); {
	case broken != nil:
		cause = broken
	case ended != nil && st.cancel == nil && errors.Is(ended, context.DeadlineExceeded) && st.receivedNothing():
		cause = errors.Join(ErrSilent, ended)
	case ended != nil:
		cause = ended
	case errors.Is(err, io.EOF):
		cause = ErrStreamTruncated
	}
	return &StreamError{Peer: st.session.peer, Cause: cause}
}

// Close ends the stream in both directions. When the opener closes it before the
// answer's last frame, the call is cancelled: the context of ServeCall ends.
func (st *Stream) Close() error {
	if st.stop != nil {
		st.stop()
	}
	st.close()
	return nil
}

func (st *Stream) close() {
	st.once.Do(func() {
		if st.cancel != nil {
			st.cancel(context.Canceled)
		}
		_ = st.mux.Close()
		if st.cancel != nil {
			_ = st.mux.SetReadDeadline(past)
		}
		st.session.markUsed()
		st.session.removeStream(st)
	})
}
