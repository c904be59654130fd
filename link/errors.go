package link

import (
	"context"
	"errors"
	"fmt"
)

// Causes that NotSentError and StreamError wrap.
var (
	// ErrClosed reports that Close has been called on this daemon's links.
	ErrClosed = errors.New("links are shutting down")

	// ErrSilent reports a connection that stopped delivering data without an error.
	ErrSilent = errors.New("connection stopped delivering data")

	// ErrTooManyStreams reports that the session has reached its limit of open streams.
	ErrTooManyStreams = errors.New("too many open streams on the session")

	// ErrStreamTruncated reports a stream that ended before its last frame, or on which an
	// earlier write failed.
	ErrStreamTruncated = errors.New("stream ended before its last frame")
)

// NotSentError reports that nothing of the call has left this process: the call
// has certainly not run and can be sent to another endpoint.
type NotSentError struct {
	Peer  string
	Cause error
}

// Error names the peer and the remedy.
func (e *NotSentError) Error() string {
	return fmt.Sprintf("call was not sent to %s: choose another endpoint: %v", e.Peer, e.Cause)
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// Transport reports whether the connection to the peer is at fault, rather than
// the caller's own deadline or cancellation.
func (e *NotSentError) Transport() bool { return !isContextError(e.Cause) }

// StreamError reports that the stream broke after something may have been
// sent: the peer may have run the call.
type StreamError struct {
	Peer  string
	Cause error
}

// Error names the peer and the remedy.
func (e *StreamError) Error() string {
	return fmt.Sprintf("stream to %s failed and its call may have run: retry it only if it is idempotent: %v", e.Peer, e.Cause)
}

// Unwrap returns the cause. It matches ErrSilent when the connection stopped
// delivering data, and a context error when the caller's deadline passed or the
// caller cancelled. It can match both.
func (e *StreamError) Unwrap() error { return e.Cause }

// Transport reports whether the connection to the peer is at fault, rather than
// the caller's own deadline or cancellation. A transport fault must not count as
// a failure of a backend server.
func (e *StreamError) Transport() bool {
	return errors.Is(e.Cause, ErrSilent) || !isContextError(e.Cause)
}

// IsTransportError reports whether err is a fault of the connection to the peer, which
// must not count as a failure of a backend server.
func IsTransportError(err error) bool {
	var t interface{ Transport() bool }
	return errors.As(err, &t) && t.Transport()
}

func isContextError(err error) bool {
	return errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// HandshakeError reports that a handshake failed or that the peer was refused.
type HandshakeError struct {
	Peer   string
	Remedy string
	Cause  error
}

// Error names the peer and the remedy.
func (e *HandshakeError) Error() string {
	s := fmt.Sprintf("handshake with %s failed: %s", e.Peer, e.Remedy)
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *HandshakeError) Unwrap() error { return e.Cause }
