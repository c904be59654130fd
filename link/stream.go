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

// readAhead is the number of frames that are read for a served stream before
// its handler asks for them, so that the opener's cancellation is noticed.
const readAhead = 8

// Stream carries one call and its answer as frames. Each direction ends with
// its head when no body follows, and with an End frame otherwise. One goroutine may read and another one write at the same time.
type Stream struct {
	session *session
	mux     *yamux.Stream
	ctx     context.Context
	cancel  context.CancelCauseFunc // nil on the opener's side
	stop    func() bool             // ends the watch on the opener's context
	openAt  int64                   // nanoseconds since links.base
	ended   bool                    // the last frame of the other side has been read
	frames  chan *wire.Frame        // read ahead, on the server's side
	readErr error                   // why frames was closed
	once    sync.Once
	broken  atomic.Bool // a write failed; see session.writeControl for why none may follow
}

// newOutgoing wraps a stream that this side has opened.
func newOutgoing(ctx context.Context, s *session, y *yamux.Stream) *Stream {
	st := &Stream{session: s, mux: y, ctx: ctx, openAt: s.links.since()}
	s.streams.Add(1)
	st.stop = context.AfterFunc(ctx, st.abort)
	return st
}

// newIncoming wraps a stream that the peer has opened.
func newIncoming(s *session, y *yamux.Stream) *Stream {
	st := &Stream{session: s, mux: y, openAt: s.links.since(), frames: make(chan *wire.Frame, readAhead)}
	st.ctx, st.cancel = context.WithCancelCause(s.ctx)
	s.streams.Add(1)
	return st
}

// Peer returns the peer address of the other side.
func (st *Stream) Peer() string { return st.session.peer }

// Context ends with the stream.
func (st *Stream) Context() context.Context { return st.ctx }

// abort ends a stream whose opener's context is over. A session that has not
// received a byte since the stream was opened has not even acknowledged it.
func (st *Stream) abort() {
	if errors.Is(st.ctx.Err(), context.DeadlineExceeded) && st.unheard() {
		st.session.suspect()
	}
	st.interrupt()
	st.close()
}

func (st *Stream) unheard() bool { return !st.session.heardSince(st.openAt) }

// interrupt ends reads and writes that wait.
func (st *Stream) interrupt() { _ = st.mux.SetDeadline(time.Unix(1, 0)) }

// Write sends frames in one piece. It fails with FrameTooLargeError before
// anything is sent, and with BrokenError.
func (st *Stream) Write(frames ...*wire.Frame) error {
	if err := st.ctx.Err(); err != nil {
		return st.fault(err)
	}
	if st.broken.Load() {
		return st.fault(ErrCut)
	}
	err := writeFrames(st.mux, frames)
	var large *wire.FrameTooLargeError
	if err == nil || errors.As(err, &large) {
		return err
	}
	st.broken.Store(true)
	return st.fault(err)
}

// writeFrames marshals frames into one write.
func writeFrames(w io.Writer, frames []*wire.Frame) error {
	if len(frames) == 1 {
		return wire.Write(w, frames[0])
	}
	b := joined.Get().(*bytes.Buffer)
	defer joined.Put(b)
	b.Reset()
	for _, f := range frames {
		if err := wire.Write(b, f); err != nil {
			return err
		}
	}
	_, err := w.Write(b.Bytes())
	return err
}

var joined = sync.Pool{New: func() any { return new(bytes.Buffer) }}

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

// Read returns the next frame. After the last frame it returns io.EOF, and
// BrokenError when the stream ends before it.
func (st *Stream) Read() (*wire.Frame, error) {
	if st.ended {
		return nil, io.EOF
	}
	f, err := st.next()
	if err != nil {
		return nil, st.fault(err)
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

// readAheadLoop reads the opener's frames until the last, and then waits for the
// opener to close the stream.
func (st *Stream) readAheadLoop(ended bool) {
	defer st.session.links.wg.Done()
	for {
		f, err := wire.Read(st.mux)
		if err == nil && ended {
			err = errAfterEnd
		}
		if err != nil {
			st.hangUp(err)
			return
		}
		select {
		case st.frames <- f:
		case <-st.ctx.Done():
			st.hangUp(st.ctx.Err())
			return
		}
		ended = isLast(f)
	}
}

var errAfterEnd = errors.New("peer sent a frame after End")

// hangUp tells the handler that the opener is gone.
func (st *Stream) hangUp(err error) {
	st.readErr = err
	close(st.frames)
	st.cancel(context.Canceled)
	st.interrupt()
}

// fault makes the error of a read or write into a BrokenError with its cause.
func (st *Stream) fault(err error) error {
	cause := err
	switch broken, ended := st.session.cause(), st.ctx.Err(); {
	case broken != nil:
		cause = broken
	case ended != nil && st.cancel == nil && errors.Is(ended, context.DeadlineExceeded) && st.unheard():
		cause = errors.Join(ErrSilent, ended)
	case ended != nil:
		cause = ended
	case errors.Is(err, io.EOF):
		cause = ErrCut
	}
	return &BrokenError{Peer: st.session.peer, Cause: cause}
}

// Close ends the stream in both directions. On the opener's side, before the
// answer's last frame, it cancels the call: the context of ServeCall ends.
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
			_ = st.mux.SetReadDeadline(time.Unix(1, 0))
		}
		st.session.use()
		st.session.streams.Add(-1)
	})
}
