// Package wire holds the protobuf messages that daemons exchange over yamux
// streams, and the framing that carries them.
//
// A stream carries frames. A frame is a four-byte big-endian length followed
// by one marshalled Frame message. A frame longer than MaxFrame is refused
// before its bytes are read.
package wire
