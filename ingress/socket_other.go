//go:build !linux

package ingress

import (
	"syscall"
)

// peerState is what the socket tells about the caller without reading.
type peerState struct {
	left   bool // the caller has closed its writing side, or the connection was reset
	unread bool // bytes wait to be read
}

// pollPeer sees that the caller has left only when it has sent nothing before.
func pollPeer(fd uintptr) peerState {
	var b [1]byte
	n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	if err == syscall.EAGAIN || err == syscall.EINTR { //nolint:errorlint // a system call returns the bare number
		return peerState{}
	}
	return peerState{left: n <= 0, unread: n > 0}
}

// bytesTaken is not known here: a write counts as without progress from its start.
func bytesTaken(uintptr) (n uint64, ok bool) { return 0, false }
