package link

import (
	"context"
	"errors"
	"fmt"
)

// Causes that NotSentError and BrokenError wrap.
var (
	// ErrClosed reports that this daemon's links are shut down or shutting down.
	ErrClosed = errors.New("links are shutting down")

	// ErrSilent reports a connection that stopped delivering without an error.
	ErrSilent = errors.New("connection went silent")

	// ErrBusy reports that too many streams are open on the session.
	ErrBusy = errors.New("too many streams to this peer")

	// ErrCut reports a stream that ended before its last frame.
	ErrCut = errors.New("stream ended before its last frame")
)

// NotSentError reports that nothing of the call has left this process: it has
// certainly not run and can be sent elsewhere.
type NotSentError struct {
	Peer  string
	Cause error
}

// Error names the peer and the remedy.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("nothing was sent to %s: choose another endpoint: %v", e.Peer, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// Transport reports whether the way to the peer is at fault, rather than the
// caller's own deadline or cancellation.
func (e *NotSentError) Transport() bool { return !byCaller(e.Cause) }

// BrokenError reports that the stream broke after something may have been
// sent: the peer may have run the call.
type BrokenError struct {
	Peer  string
	Cause error
}

// Error names the peer and the remedy.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("stream with %s broke, its call may have run: send it again only when it is idempotent: %v", e.Peer, e.Cause)
}

// Unwrap returns the cause. errors.Is with ErrSilent tells a connection that
// went silent, with a context error a deadline or cancellation of the caller.
func (e *BrokenError) Unwrap() error { return e.Cause }

// Transport reports whether the way to the peer is at fault, rather than the
// caller's own deadline or cancellation: no backend server is to blame for it.
func (e *BrokenError) Transport() bool {
	return errors.Is(e.Cause, ErrSilent) || !byCaller(e.Cause)
}

// IsTransport reports whether err is a fault of the way to the peer, for which
// no backend server is to be blamed.
func IsTransport(err error) bool {
	var t interface{ Transport() bool }
	return errors.As(err, &t) && t.Transport()
}

func byCaller(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// HandshakeError reports a process that was refused, or that refused us.
type HandshakeError struct {
	Peer   string
	Remedy string
	Cause  error
}

// Error names the peer and the remedy.
func (e *HandshakeError) Error() string {
	s := fmt.Sprintf("session with %s refused: %s", e.Peer, e.Remedy)
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *HandshakeError) Unwrap() error { return e.Cause }
