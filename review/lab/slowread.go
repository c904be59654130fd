package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// slowRead stops a daemon while clients still read their answers. The clients read
// slowly, but well within their deadline and the route's timeout.
func slowRead(w *world, trouble bool) string {
	const (
		answerBytes = 20 << 20
		clients     = 2
		readFor     = 5200 * time.Millisecond // in which a client reads its answer
		timeoutMs   = 8000
	)
	a := w.add("fuk-a", "fukuoka", "archive")
	b := w.add("kum-a", "kumamoto", "archive")
	w.configure(1, []route{
		{"view", "h.example", "/view/", "idempotent", timeoutMs, 1500, 2, "archive", 2, false},
	}, tenant{"t1", []string{"key-1"}, 1, 1000, 1000})
	body := strings.Repeat("0123456789abcdef", answerBytes/16)
	for i, n := range []*node{a, b} {
		n.startDaemon()
		e := n.startEndpoint(fmt.Sprintf("i-%d", i))
		e.answer = func(c net.Conn, r *http.Request, _ []byte) {
			time.Sleep(100 * time.Millisecond)
			id := r.Header.Get("X-Attempt-Id")
			e.reply(c, id, body)
			w.log("endpoint %s has handed out its whole answer to %s", e.id, id)
		}
		e.beats()
	}
	w.awaitReady()
	time.Sleep(4 * time.Second) // all machines are in touch

	var wg sync.WaitGroup
	cut := make([]string, clients)
	stopAt := time.Now().Add(400 * time.Millisecond)
	for i := range clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("slow-%d", i)
			got, want, err := readSlowly(w, a.outbound(), id, readFor, timeoutMs)
			w.log("client %s got %d of %d bytes, %.1f s after the SIGTERM, error %v", id, got, want, time.Since(stopAt).Seconds(), err)
			if got < want || want == 0 {
				cut[i] = fmt.Sprintf("LOST: %s got %d of %d bytes %.1f s after the SIGTERM", id, got, want, time.Since(stopAt).Seconds())
			}
		}()
	}
	time.Sleep(time.Until(stopAt)) // both requests have been run and answered
	if trouble {
		a.signal(syscall.SIGTERM)
	}
	wg.Wait()
	for _, c := range cut {
		if c != "" {
			return c
		}
	}
	return ""
}

// readSlowly sends a request and reads its answer evenly in the given time.
func readSlowly(w *world, address, id string, readFor time.Duration, deadlineMs int) (got, want int, err error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 32<<10)
		})
	}}
	c, err := d.Dial("tcp", address)
	if err != nil {
		return 0, 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(time.Duration(deadlineMs) * time.Millisecond))
	if _, err := io.WriteString(c, head("GET", "/view/x", id, "key-1", deadlineMs)+"\r\n"); err != nil {
		return 0, 0, err
	}
	w.log("client %s has sent its request", id)
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 4096), nil)
	if err != nil {
		return 0, 0, err
	}
	want, _ = strconv.Atoi(resp.Header.Get("Content-Length"))
	w.log("client %s reads: status %d, length %d", id, resp.StatusCode, want)
	const steps = 100
	buf := make([]byte, want/steps+1)
	for got < want {
		n, err := io.ReadFull(resp.Body, buf[:min(len(buf), want-got)])
		got += n
		if err != nil {
			return got, want, err
		}
		time.Sleep(readFor / steps)
	}
	return got, want, nil
}
