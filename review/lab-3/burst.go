package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	burstCallers   = 12
	burstBytes     = 6_000_000
	burstRounds    = 6
	burstMemory    = 284 // MB of a daemon
	readChunk      = 64 << 10
	readPause      = 6 * time.Millisecond // between chunks, 10 MB/s: together a link of 1000 Mbit/s
	lostAllowed    = 3                    // requests that the rule lets go
	burstDeadline  = 8 * time.Second
	burstRoundTime = 2500 * time.Millisecond
)

// burstCaller keeps a connection to a daemon and asks for one answer at a time.
type burstCaller struct {
	w    *world
	r    *recorder
	name string
	line string // request line
	conn net.Conn
	br   *bufio.Reader

	whole, refused, lost, failed int
}

// answerManyAtOnce lets callers ask for long answers at the same moment and read them
// without a stop. Each answer must arrive whole, or the request be refused.
func answerManyAtOnce(w *world, r *recorder, trouble bool) (int, error) {
	w.memory = burstMemory
	w.configure()
	for _, x := range [][3]string{{"archive", "fuk-a", "fukuoka"}, {"intake", "fuk-a", "fukuoka"}} {
		if err := w.addNode(x[0], x[1], x[2]); err != nil {
			return 0, err
		}
	}
	if err := w.startAll(); err != nil {
		return 0, err
	}
	var callers []*burstCaller
	for i := range burstCallers {
		c := &burstCaller{w: w, r: r, name: fmt.Sprintf("c%d", i), line: "GET /records/1 HTTP/1.1"}
		if i%2 == 1 {
			c.line = "POST /commissions/1 HTTP/1.1\r\nContent-Length: 0"
		}
		if err := c.connect(); err != nil {
			return 0, err
		}
		defer c.conn.Close()
		c.call("first", 1)
		callers = append(callers, c)
	}
	for round := range burstRounds {
		ended := time.Now().Add(burstRoundTime)
		var wg sync.WaitGroup
		for _, c := range callers {
			play := func() { c.call(fmt.Sprint(round), burstBytes) }
			if trouble {
				wg.Go(play)
			} else {
				play()
			}
		}
		wg.Wait()
		time.Sleep(time.Until(ended))
	}
	whole, refused, lost, failed := 0, 0, 0, 0
	for _, c := range callers {
		whole, refused, lost, failed = whole+c.whole, refused+c.refused, lost+c.lost, failed+c.failed
	}
	r.line("%d answered whole, %d refused, %d answered with a failure, %d lost after they had run", whole, refused, failed, lost)
	return max(0, lost-lostAllowed), nil
}

func (c *burstCaller) connect() error {
	conn, err := net.Dial("tcp", c.w.nodes[0].outbound)
	c.conn, c.br = conn, bufio.NewReader(conn)
	return err
}

// call sends one request on the kept connection and reads its answer.
func (c *burstCaller) call(name string, size int) {
	id := c.name + "-" + name
	sent := c.w.since()
	_ = c.conn.SetDeadline(time.Now().Add(burstDeadline))
	_, err := fmt.Fprintf(c.conn, "%s\r\nHost: h.example\r\nX-Credential: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%s: %d\r\n\r\n",
		c.line, callerKey, id, burstDeadline.Milliseconds(), answerField, size)
	status, got, closes := 0, 0, true
	if err == nil {
		status, got, closes, err = c.readAnswer()
	}
	ran := c.w.runsOf(id)
	c.r.line("%s sent %.3f, status %d, %d of %d bytes, error %v, ended %.3f, runs %v", id, sent.Seconds(), status, got, size, err, c.w.since().Seconds(), ran)
	switch {
	case err != nil && len(ran) > 0:
		c.lost++
		c.r.line("LOST: %s has run, and its connection ended without a whole answer", id)
	case err != nil:
		c.refused++
	case status == http.StatusOK:
		c.whole++
	case status == http.StatusServiceUnavailable:
		c.refused++
	default:
		c.failed++
	}
	if err != nil || closes {
		_ = c.conn.Close()
		if err := c.connect(); err == nil {
			c.call(name+"-again", 1) // makes the next request one on a kept connection
		}
	}
}

// readAnswer reads the answer as fast as its part of the link brings it.
func (c *burstCaller) readAnswer() (status, got int, closes bool, err error) {
	resp, err := http.ReadResponse(c.br, nil)
	if err != nil {
		return 0, 0, true, err
	}
	for {
		n, err := io.CopyN(io.Discard, resp.Body, readChunk)
		got += int(n)
		if errors.Is(err, io.EOF) {
			return resp.StatusCode, got, resp.Close, nil
		}
		if err != nil {
			return resp.StatusCode, got, true, err
		}
		time.Sleep(readPause)
	}
}
