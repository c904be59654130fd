package ingress

import (
	"golang.org/x/sys/unix"
)

// peerState is what the socket tells about the caller without reading.
type peerState struct {
	left   bool // the caller has closed its writing side, or the connection was reset
	unread bool // bytes wait to be read
}

func pollPeer(fd uintptr) peerState {
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	if n, err := unix.Poll(p, 0); err != nil || n == 0 {
		return peerState{}
	}
	e := p[0].Revents
	return peerState{
		left:   e&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0,
		unread: e&unix.POLLIN != 0,
	}
}

// bytesTaken returns the number of bytes that the caller has acknowledged so far.
func bytesTaken(fd uintptr) (n uint64, ok bool) {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, false
	}
	return info.Bytes_acked, true
}
