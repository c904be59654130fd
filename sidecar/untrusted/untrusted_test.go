package untrusted_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	crowdSize = 48
	crowdTime = 2 * time.Second
)

// plays are the callers of which each can be reset or half-closed as well.
var plays = map[string]play{
	"head over the limit":     sends(func() string { return "GET / HTTP/1.1\r\nX-Long: " + strings.Repeat("x", 64<<10) }, "", 0),
	"head byte by byte":       sends(text("GET / HTTP/1.1\r\nX-Long: "), "x", 20*time.Millisecond),
	"head of one line":        sends(text("GET / HTTP/1.1\r\nX-Long: "), "x", 0),
	"fields without end":      sends(text("GET / HTTP/1.1\r\n"), "X-More: and more\r\n", 0),
	"empty lines":             sends(text(""), "\r\n", 0),
	"body never sent":         sends(func() string { return post("Content-Length: 1000000\r\n") }, "", 0),
	"chunks of one byte":      sends(func() string { return post("Transfer-Encoding: chunked\r\n") }, "1\r\nx\r\n", 0),
	"chunk extension":         sends(func() string { return post("Transfer-Encoding: chunked\r\n") + "1;x=" }, "extension", 0),
	"trailers":                sends(func() string { return post("Transfer-Encoding: chunked\r\n") + "1\r\nx\r\n0\r\n" }, "X-More: and more\r\n", 0),
	"answers read slowly":     readsSlowly,
	"answers never read":      readsNever,
	"requests sent ahead":     sendsAhead(shortPath, 2000),
	"long answers sent ahead": sendsAhead(longPath, 50),
}

// Failure: callers that nobody controls fill the memory of a daemon, take all its
// descriptors or end its process.
func TestUntrustedCallers(t *testing.T) {
	for name, f := range plays {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, options{})
			crowd(d.long.callers, crowdSize, crowdTime, closes, f)
			d.check(t)
		})
	}
}

// Failure: an answer from another daemon is held without a limit while its caller does
// not read it. Both daemons are checked: the one that asks and the one that serves.
func TestAnswersOfOtherDaemons(t *testing.T) {
	for name, f := range map[string]play{"read slowly": readsSlowly, "never read": readsNever} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, options{})
			crowd(d.short.callers, crowdSize, crowdTime, closes, f)
			d.check(t)
		})
	}
}

// Failure: what a connection holds is not given back when it ends in the middle.
func TestUntrustedCallersThatEndInTheMiddle(t *testing.T) {
	for name, how := range map[string]ending{"resets": resets, "half-closed": halves} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, options{})
			var wg sync.WaitGroup
			for _, f := range plays {
				wg.Go(func() { crowd(d.long.callers, crowdSize/len(plays)+1, crowdTime, how, f) })
			}
			wg.Wait()
			d.check(t)
		})
	}
}

// Failure: connections that are opened and left take all descriptors of a daemon, so
// that ordinary callers are not accepted, or a failed accept ends the process. The
// connections stay open while the ordinary request is sent.
func TestConnectionsOpenedAndLeft(t *testing.T) {
	for name, o := range map[string]options{"limit of the settings": {}, "limit of the system": {limitDescriptors: true}} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, o)
			defer open(d.long.callers, 2*maxDescriptors)()
			d.check(t)
		})
	}
}

// open opens connections and leaves them until the returned function is called.
func open(address string, n int) (closeAll func()) {
	var conns []net.Conn
	for range n {
		if c, err := net.DialTimeout("tcp", address, time.Second); err == nil {
			conns = append(conns, c)
		}
	}
	time.Sleep(crowdTime / 4)
	return func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

// Failure: the listeners beside the callers' one are open to the same. A daemon that
// cannot answer readiness checks or heartbeats is taken out of service.
func TestOtherListeners(t *testing.T) {
	for name, address := range map[string]func(*process) string{
		"readiness":  func(p *process) string { return p.readiness },
		"heartbeats": func(p *process) string { return p.heartbeats },
		"metrics":    func(p *process) string { return p.metrics },
		"peers":      func(p *process) string { return p.peers },
	} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, options{limitDescriptors: true})
			a := address(d.long)
			var wg sync.WaitGroup
			for _, f := range []play{
				plays["head byte by byte"],
				plays["fields without end"],
				plays["empty lines"],
				sends(text("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4000000\r\n\r\n"), "x", 0),
			} {
				wg.Go(func() { crowd(a, crowdSize, crowdTime, closes, f) })
			}
			wg.Wait()
			defer open(a, 2*maxDescriptors)()
			d.check(t)
		})
	}
}

// Failure: a faulty backend server sends bytes without end, in heads or in bodies. The
// daemon beside it keeps them all and runs out of memory, or spends its processor time
// on them while requests of others wait.
func TestBytesWithoutEnd(t *testing.T) {
	const (
		callers       = 32
		othersCallers = 8
	)
	for name, script := range map[string][2]string{
		"head":        {"HTTP/1.1 200 OK\r\n", "X-More: and more\r\n"},
		"body":        {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "body"},
		"signed body": {"HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Signature: s\r\nConnection: close\r\n\r\n", "body"},
	} {
		t.Run(name, func(t *testing.T) {
			d := deploy(t, options{longBackend: endless(t, script[0], script[1])})
			var wg sync.WaitGroup
			wg.Go(func() { crowd(d.long.callers, callers, crowdTime, closes, asks(longPath)) })
			wg.Go(func() { crowd(d.long.callers, othersCallers, crowdTime, closes, asks(shortPath)) })
			wg.Wait()
			d.check(t)
		})
	}
}

// asks returns a play that sends one request and reads until the answer has come or the
// connection is closed.
func asks(path string) play {
	return func(_ context.Context, conn *net.TCPConn) {
		if _, err := io.WriteString(conn, strings.Replace(get(path), "\r\n\r\n", "\r\nConnection: close\r\n\r\n", 1)); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, conn)
	}
}

// endless accepts connections and answers every request with head, followed by repeat
// until the connection is closed. ID in the head stands for the id of the request.
func endless(t *testing.T, head, repeat string) (address string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var wg sync.WaitGroup
	block := strings.Repeat(repeat, (64<<10)/len(repeat))
	wg.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer func() { _ = conn.Close() }()
				b := make([]byte, 4096)
				n, _ := conn.Read(b)
				_, id, _ := strings.Cut(string(b[:n]), "X-Attempt-Id: ")
				id, _, _ = strings.Cut(id, "\r\n")
				for _, err := io.WriteString(conn, strings.Replace(head, "ID", id, 1)); err == nil; _, err = io.WriteString(conn, block) {
				}
			})
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		wg.Wait()
	})
	return ln.Addr().String()
}
