package untrusted_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/standin/endpoint"
	"wisteriafold/standin/rowstore"
)

const (
	longAnswerBytes = 4 << 20
	heartbeat       = 100 * time.Millisecond
	slots           = 64 // of each backend server
)

// pair is a deployment of two daemons: one beside a backend server with long answers,
// and one beside a backend server with short ones.
type pair struct {
	long, short *process
}

// Paths of the routes.
const (
	longPath  = "/long/1"
	shortPath = "/short/1"
)

func document() []byte {
	type route map[string]any
	r := func(name string) route {
		return route{
			"name": name, "host": "h.example", "pathPrefix": "/" + name + "/", "kind": "idempotent", "timeoutMs": 5000,
			"targetLatencyMs": 1000, "service": name, "maxAttempts": 2, "public": true,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "healthPath": "/health", "maxConnections": 100}
	}
	b, err := json.Marshal(map[string]any{
		"version": "r1", "routes": []route{r("long"), r("short")}, "services": []any{service("long"), service("short")},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 1000, "idleTimeoutMs": 4000},
		"tenants": []any{map[string]any{"name": "o1", "apiKeys": []string{"key-1"}, "ratePerS": 1000, "burst": 1000}},
	})
	if err != nil {
		panic(err)
	}
	return b
}

// options vary a deployment.
type options struct {
	longBackend      string // address that the requests of route "long" go to; empty for a backend server with long answers
	longAnswerBytes  int    // size of the long answers; 0 for the usual one
	limitDescriptors bool
}

func deploy(t *testing.T, o options) *pair {
	store := rowstore.New()
	t.Cleanup(store.Close)
	store.Put("op", "config", document())
	if o.longAnswerBytes == 0 {
		o.longAnswerBytes = longAnswerBytes
	}
	var out [2]*process
	for i, cfg := range []endpoint.Config{
		{ID: "i-long", Service: "long", Body: strings.Repeat("x", o.longAnswerBytes)},
		{ID: "i-short", Service: "short"},
	} {
		cfg.Slots, cfg.Heartbeat = slots, heartbeat
		b, err := endpoint.New(cfg)
		require.NoError(t, err)
		address := b.Address()
		if i == 0 && o.longBackend != "" {
			address = o.longBackend
		}
		out[i] = start(t, i, store.Address(), cfg.Service, address, o.limitDescriptors)
		b.Start(out[i].heartbeats, out[i].callers)
		t.Cleanup(b.Close)
	}
	d := &pair{long: out[0], short: out[1]}
	for _, p := range out {
		p.awaitReady(t, shortPath)
		if o.longBackend == "" {
			p.awaitReady(t, longPath)
		}
	}
	return d
}

// check checks both daemons, and that each answers an ordinary request.
func (d *pair) check(t *testing.T) {
	t.Helper()
	for _, p := range []*process{d.long, d.short} {
		p.checkOrdinaryRequest(t, shortPath)
	}
	for _, p := range []*process{d.long, d.short} {
		p.check(t)
	}
}

// play is what one caller does with one connection, until ctx ends or the connection
// breaks.
type play func(ctx context.Context, conn *net.TCPConn)

// ending is how a caller ends its part of a connection.
type ending int

const (
	closes ending = iota // when the time of the crowd is over
	resets               // resets shortly after it began, and begins again
	halves               // closes the sending side shortly after it began, and stays
)

// shortly is the time after which callers reset or half-close their connections.
const shortly = 150 * time.Millisecond

// crowd lets n callers play on connections to address for some time. A caller whose
// connection is closed opens another one.
func crowd(address string, n int, lasting time.Duration, how ending, f play) {
	ctx, cancel := context.WithTimeout(context.Background(), lasting)
	defer cancel()
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			for ctx.Err() == nil {
				playOnce(ctx, address, how, f)
				select {
				case <-ctx.Done():
				case <-time.After(20 * time.Millisecond): // a process that has ended refuses at once
				}
			}
		})
	}
	wg.Wait()
}

// receiveBufferBytes makes the kernel take little of an answer that is not read.
const receiveBufferBytes = 8 << 10

func playOnce(ctx context.Context, address string, how ending, f play) {
	c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	conn := c.(*net.TCPConn)
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadBuffer(receiveBufferBytes)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	switch how {
	case resets:
		_ = conn.SetLinger(0)
		defer time.AfterFunc(shortly, func() { _ = conn.Close() }).Stop()
	case halves:
		defer time.AfterFunc(shortly, func() { _ = conn.CloseWrite() }).Stop()
	}
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	f(ctx, conn)
	if how == halves {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// get returns a request for an answer.
func get(path string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: crowd-%d\r\nX-Deadline-Ms: 4000\r\n\r\n", path, requests.Add(1))
}

// post returns the head of a request with a body.
func post(fields string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: crowd-%d\r\nX-Deadline-Ms: 4000\r\n%s\r\n", shortPath, requests.Add(1), fields)
}

// readsNever asks for a long answer and reads its first bytes only. An answer that is
// a refusal is read, and the request sent again on a new connection.
func readsNever(ctx context.Context, conn *net.TCPConn) {
	if answered(conn) {
		<-ctx.Done()
	}
}

// readsSlowly asks for a long answer and reads it at 80 KB/s.
func readsSlowly(_ context.Context, conn *net.TCPConn) {
	if !answered(conn) {
		return
	}
	for b := make([]byte, 4<<10); ; time.Sleep(50 * time.Millisecond) {
		if _, err := conn.Read(b); err != nil {
			return
		}
	}
}

// answered asks for a long answer and reports whether its first bytes say that it is one.
func answered(conn *net.TCPConn) bool {
	b := make([]byte, len("HTTP/1.1 200"))
	_, err := io.WriteString(conn, get(longPath))
	if err == nil {
		_, err = io.ReadFull(conn, b)
	}
	return err == nil && strings.HasSuffix(string(b), "200")
}

// sends returns a play that sends start once, and then repeat until the connection ends.
// With a pause, it waits that long after each repeat. Answers are not read.
func sends(start func() string, repeat string, pause time.Duration) play {
	block := repeat
	if pause == 0 && repeat != "" {
		block = strings.Repeat(repeat, 1+(8<<10)/len(repeat))
	}
	return func(ctx context.Context, conn *net.TCPConn) {
		_, err := io.WriteString(conn, start())
		if repeat == "" {
			waitForEnd(ctx, conn)
			return
		}
		for err == nil {
			_, err = io.WriteString(conn, block)
			time.Sleep(max(pause, time.Millisecond)) // leaves processors to the daemons
		}
	}
}

// waitForEnd waits until the other side closes the connection or ctx ends.
func waitForEnd(ctx context.Context, conn *net.TCPConn) {
	if _, err := io.Copy(io.Discard, conn); err == nil {
		return
	}
	<-ctx.Done()
}

func text(s string) func() string { return func() string { return s } }

// sendsAhead sends many requests on one connection and reads no answer.
func sendsAhead(path string, n int) play {
	return func(ctx context.Context, conn *net.TCPConn) {
		for range n {
			if _, err := io.WriteString(conn, get(path)); err != nil {
				return
			}
		}
		<-ctx.Done()
	}
}
