// Package link is the transport between daemons. It carries calls and control
// messages in yamux sessions over TCP, with mutual TLS when certificates are
// configured.
//
// # Sessions
//
// A session is dialled when a stream or a control message first needs it, and
// concurrent requests for a session share one dial. All streams between the two
// daemons share the session, in both directions. It is retired after IdleTimeout
// without streams and control messages. The dialler opens the control stream
// first, and the first frame in each direction is Hello. The handshake fails when
// the Hello carries another protocol version, or an instance address that the
// peer's certificate does not name.
//
// # Delivery guarantees
//
// OpenStream fails only with NotSentError: nothing of the call has left this process.
// When the stream fails later, the error is StreamError: the peer may have run
// the call. A caller maps the first to "not run" and the second to "unknown".
// Both report whether the transport was at fault, so that no backend server is
// ejected because of a broken connection.
//
// Retiring a session does not close it while its peer may be opening a stream on
// it. Each side sends End on the control stream, after which it opens no more
// streams, and the session is closed once both sides have sent End and no stream
// is left.
//
// # Silent connections
//
// A connection can stop delivering data without an error. A session with open
// streams that has received nothing for PingInterval sends a ping. When nothing
// arrives within PingTimeout, the session is suspect: new streams use a new
// connection, and once that connection is established the old session is closed
// and its streams fail with StreamError. When the peer cannot be dialled either,
// it is paused or down, and the old session is kept for up to DeadTimeout in case
// the peer recovers. When the deadline of a call passes before its session has
// received a single byte since the stream was opened, the session is suspect at
// once, because a live peer acknowledges each stream.
package link
