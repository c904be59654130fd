package sidecar_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"wisteriafold/standin/rowstore"
)

// rawBackend accepts connections and lets answer write to them for each request. It counts
// the requests by id.
type rawBackend struct {
	address string
	answer  func(conn net.Conn, id string) (goOn bool)

	mu       sync.Mutex
	arrivals map[string]int
}

// startRaw starts a rawBackend. answer is called before the body of a request is read.
func startRaw(t *testing.T, answer func(conn net.Conn, id string) (goOn bool)) *rawBackend {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := &rawBackend{address: ln.Addr().String(), answer: answer, arrivals: map[string]int{}}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { b.serve(conn) })
		}
	})
	t.Cleanup(func() {
		_ = ln.Close()
		wg.Wait()
	})
	return b
}

func (b *rawBackend) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Attempt-Id")
		b.mu.Lock()
		b.arrivals[id]++
		b.mu.Unlock()
		if !b.answer(conn, id) {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// arrived returns how often a request with this id has arrived.
func (b *rawBackend) arrived(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.arrivals[id]
}

// deployRaw starts daemons with b as the backend server of all.
func deployRaw(t *testing.T, b *rawBackend, daemons int) *deployment {
	d := &deployment{t: t, store: rowstore.New()}
	t.Cleanup(d.close)
	d.store.Put("op", "config", document(1, routes()))
	for i := range daemons {
		d.addWithBackend(i, archive(), b.address)
	}
	for _, n := range d.nodes {
		d.awaitReady(n, daemons)
	}
	return d
}
