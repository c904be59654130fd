// Package wire defines the protobuf messages that daemons exchange over yamux
// streams, and their framing.
//
// A stream is a sequence of frames. A frame is a four-byte big-endian length
// followed by one marshalled Frame message of that length. A length over MaxFrameBytes
// is refused before the message is read.
package wire
