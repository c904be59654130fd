package link

import (
	"net"
	"syscall"
)

// unread reports whether bytes have arrived on a connection that this process has not
// read yet. It is false for a connection without a socket and for a closed one.
func unread(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	waiting := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, rerr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = rerr == nil && n > 0
	})
	return err == nil && waiting
}
