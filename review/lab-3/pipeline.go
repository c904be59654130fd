package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	pipelineCallers = 12
	downloadBytes   = 300_000
	uploadBytes     = 400_000
	callerDeadline  = 4 * time.Second
	stopAfter       = 3 * time.Second
	playFor         = 11 * time.Second
	reconnectPause  = time.Second // the daemon has refused a request, or has ended
)

// pair is a download and an upload that a caller sends without waiting in between.
type pair struct {
	download, upload string // ids
	sent             time.Duration
	got              int    // bytes of the body of the download's answer
	status           int    // 0 without an answer
	failure          string // why the answer is not complete, empty when it is
	ended            time.Duration
}

// closeWithUnreadRequests stops a daemon while callers pipeline a download and an upload
// on kept connections. The answer to the download must arrive whole if it has run.
func closeWithUnreadRequests(w *world, r *recorder, trouble bool) (int, error) {
	w.configure()
	for _, x := range [][3]string{{"archive", "fuk-a", "fukuoka"}, {"intake", "fuk-a", "fukuoka"}, {"archive", "kum-a", "kumamoto"}, {"intake", "kum-a", "kumamoto"}} {
		if err := w.addNode(x[0], x[1], x[2]); err != nil {
			return 0, err
		}
	}
	if err := w.startAll(); err != nil {
		return 0, err
	}
	entry := w.nodes[0]
	begin := w.since()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var pairs []*pair
	for i := range pipelineCallers {
		wg.Go(func() {
			for k := 0; w.since() < begin+playFor; k++ {
				list := callOnOneConnection(w, entry, fmt.Sprintf("c%d-%d", i, k), begin+playFor)
				mu.Lock()
				pairs = append(pairs, list...)
				mu.Unlock()
				time.Sleep(reconnectPause)
			}
		})
	}
	time.Sleep(stopAfter)
	stopped := w.since()
	if trouble {
		r.line("SIGTERM to %s", entry.name)
		if err := entry.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return 0, err
		}
	}
	wg.Wait()
	return judgePairs(w, r, pairs, stopped), nil
}

// judgePairs records all pairs and returns the number of downloads that have run and whose
// answer was cut around the stop.
func judgePairs(w *world, r *recorder, pairs []*pair, stopped time.Duration) (broken int) {
	whole := 0
	for _, p := range pairs {
		ran := w.runsOf(p.download)
		if p.failure == "" {
			whole++
			r.line("download %s sent %.3f, answered %d whole, runs %v", p.download, p.sent.Seconds(), p.status, ran)
			continue
		}
		r.line("download %s sent %.3f, status %d, %d of %d bytes, cut %.3f: %s, runs %v", p.download, p.sent.Seconds(), p.status, p.got, downloadBytes, p.ended.Seconds(), p.failure, ran)
		inTime := p.ended-p.sent < callerDeadline && p.ended <= stopped+(graceSeconds+1)*time.Second
		if len(ran) > 0 && inTime {
			broken++
			r.line("LOST: %s has run and its answer did not arrive whole", p.download)
		}
	}
	r.line("%d downloads, %d answered whole, %d lost", len(pairs), whole, broken)
	return broken
}

// callOnOneConnection sends pairs over one connection until it ends.
func callOnOneConnection(w *world, entry *node, name string, until time.Duration) (list []*pair) {
	conn, err := net.Dial("tcp", entry.outbound)
	if err != nil {
		return nil
	}
	defer conn.Close()
	br := bufio.NewReader(conn)
	for i := 0; w.since() < until; i++ {
		p := &pair{download: fmt.Sprintf("%s-%dd", name, i), upload: fmt.Sprintf("%s-%du", name, i), sent: w.since()}
		list = append(list, p)
		_ = conn.SetDeadline(time.Now().Add(callerDeadline))
		written := make(chan struct{})
		go func() {
			defer close(written)
			_, _ = conn.Write(p.requests()) // the answers tell when the connection has ended
		}()
		goesOn := p.readAnswers(br)
		p.ended = w.since()
		if !goesOn {
			_ = conn.Close()
		}
		<-written
		if !goesOn {
			return list
		}
	}
	return list
}

// requests returns both requests.
func (p *pair) requests() []byte {
	var b bytes.Buffer
	common := "Host: h.example\r\nX-Credential: " + callerKey + "\r\n"
	deadline := callerDeadline.Milliseconds()
	fmt.Fprintf(&b, "GET /records/1 HTTP/1.1\r\n%sX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n%s: %d\r\n\r\n", common, p.download, deadline, answerField, downloadBytes)
	fmt.Fprintf(&b, "PUT /photos/1 HTTP/1.1\r\n%sX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n", common, p.upload, deadline, uploadBytes)
	b.Write(bytes.Repeat([]byte("u"), uploadBytes))
	return b.Bytes()
}

// readAnswers reads the answers to both requests and reports whether the connection can
// be used further.
func (p *pair) readAnswers(br *bufio.Reader) bool {
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		p.failure = err.Error()
		return false
	}
	n, err := io.Copy(io.Discard, resp.Body)
	p.status, p.got = resp.StatusCode, int(n)
	if err != nil {
		p.failure = err.Error()
	}
	if err != nil || resp.Close {
		return false
	}
	resp, err = http.ReadResponse(br, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && !resp.Close
}
