package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// heldAnswers lets clients read their answers slowly. The platform ends a daemon whose
// memory exceeds memoryMb, and starts it again.
func heldAnswers(w *world, trouble bool) string {
	const (
		answerBytes = 8 << 20
		clients     = 50 // of one machine
		rounds      = 3
		readFor     = 7 * time.Second
		deadlineMs  = 10000
	)
	a := w.add("fuk-a", "fukuoka", "commissions")
	b := w.add("kum-a", "kumamoto", "commissions")
	c := w.add("kag-a", "fukuoka", "archive")
	d := w.add("fuk-b", "kumamoto", "archive")
	w.configure(1, []route{
		{"view", "h.example", "/view/", "idempotent", 8000, 2000, 2, "archive", 2, false},
	}, tenant{"t1", []string{"key-1"}, 1, 1000, 1000})
	body := strings.Repeat("0123456789abcdef", answerBytes/16)
	for i, n := range []*node{a, b, c, d} {
		n.startDaemon()
		e := n.startEndpoint(fmt.Sprintf("i-%d", i))
		e.answer = func(conn net.Conn, r *http.Request, _ []byte) { e.reply(conn, r.Header.Get("X-Attempt-Id"), body) }
		e.beats()
	}
	w.awaitReady()
	time.Sleep(4 * time.Second)

	var mu sync.Mutex
	ends := map[*node]int{}
	cut := 0
	for round := range rounds {
		var wg sync.WaitGroup
		stop := make(chan struct{})
		for _, n := range []*node{a, b} {
			wg.Add(1)
			go func() { // the platform
				defer wg.Done()
				peak := 0
				for {
					select {
					case <-stop:
						w.log("round %d: daemon %s had at most %d MB", round, n.name, peak)
						return
					case <-time.After(20 * time.Millisecond):
					}
					m := n.memoryMB("VmRSS")
					peak = max(peak, m)
					if m > n.memory {
						w.log("round %d: daemon %s has %d MB, more than its memoryMb of %d: the platform kills it", round, n.name, m, n.memory)
						n.kill()
						mu.Lock()
						ends[n]++
						mu.Unlock()
						time.Sleep(500 * time.Millisecond)
						n.startDaemon()
						return
					}
				}
			}()
		}
		var readers sync.WaitGroup
		for i := range clients {
			for _, n := range []*node{a, b} {
				readers.Add(1)
				go func() {
					defer readers.Done()
					id := fmt.Sprintf("r%d-%s-%d", round, n.zone, i)
					got, want, err := readPaced(n.outbound(), id, trouble, readFor, deadlineMs)
					if err != nil {
						w.log("client %s got %d of %d bytes: %v", id, got, want, err)
						mu.Lock()
						cut++
						mu.Unlock()
					}
				}()
			}
			time.Sleep(80 * time.Millisecond)
		}
		readers.Wait()
		close(stop)
		wg.Wait()
		w.awaitReady()
		time.Sleep(4 * time.Second)
	}
	w.log("ends: %s %d, %s %d; %d clients got no whole answer", a.name, ends[a], b.name, ends[b], cut)
	if ends[a] >= rounds && ends[b] >= rounds {
		return fmt.Sprintf("FAULT: two of four daemons exceeded their memory %d times each; %d clients got no whole answer", rounds, cut)
	}
	return ""
}

// readPaced sends a request and reads its answer, slowly or at once.
func readPaced(address, id string, slow bool, readFor time.Duration, deadlineMs int) (got, want int, err error) {
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
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0, err
	}
	want = int(resp.ContentLength)
	if resp.StatusCode != http.StatusOK {
		return 0, want, fmt.Errorf("status %d", resp.StatusCode)
	}
	const steps = 100
	buf := make([]byte, want/steps+1)
	for got < want {
		n, err := io.ReadFull(resp.Body, buf[:min(len(buf), want-got)])
		got += n
		if err != nil {
			return got, want, err
		}
		if slow {
			time.Sleep(readFor / steps)
		}
	}
	return got, want, nil
}
