// Package link carries calls and control messages between daemons: yamux
// sessions over TCP, with mutual TLS when certificates are set.
//
// # Sessions
//
// A session is dialled when its peer is first needed, is shared by all streams
// to that peer in both directions, and is retired when nobody has used it for
// IdleTimeout. Simultaneous needs share one dial. The dialler opens the control
// stream first; the first frame in both directions is Hello. A process whose
// Hello has another protocol version, or whose certificate does not name the
// instance that it says it is, is refused.
//
// # Truth about calls
//
// Open fails only with NotSentError: nothing of the call has left this process.
// Everything after that fails with BrokenError: the peer may have run the call.
// A caller maps the first to "not run" and the second to "unknown". Both say
// whether the transport was at fault, so that no backend server is ejected for
// a broken connection.
//
// A session is never closed under a stream that its peer has just opened.
// Retiring is agreed on: each side sends End on the control stream, which
// promises that it opens no more streams, and the session closes when both
// have promised and no stream is left.
//
// # Silent connections
//
// A connection can stop delivering without an error. A session with open
// streams that has received nothing for PingInterval sends a ping. Without an
// answer within PingTimeout it is suspect: new streams go through a fresh dial,
// and when that dial succeeds the old session is closed, which ends its streams
// with BrokenError. When the fresh dial fails too, the peer is paused or gone,
// and the old session is kept until DeadTimeout in case it comes back. A call
// whose deadline passes before its session has received a single byte makes the
// session suspect at once, since a live peer acknowledges each stream.
package link
