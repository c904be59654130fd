package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	heartbeatEvery = 500 * time.Millisecond
	slots          = 54
	answerField    = "X-Answer-Bytes" // size of the answer that the caller asks for
)

// server is a backend server that signs its answers and follows the platform's pages.
type server struct {
	w          *world
	n          *node
	service    string
	dataCentre string
	ln         net.Listener
	id         string
	born       int64
	sequence   atomic.Uint64
	work       time.Duration
	stop       chan struct{}
}

func newServer(w *world, n *node, service, dataCentre string) (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{w: w, n: n, service: service, dataCentre: dataCentre, ln: ln, id: "i-" + n.name, born: time.Now().UnixMilli(), work: 200 * time.Millisecond, stop: make(chan struct{})}
	go func() { _ = http.Serve(ln, s) }() // ends with close
	return s, nil
}

func (s *server) address() string { return s.ln.Addr().String() }

func (s *server) close() {
	close(s.stop)
	_ = s.ln.Close()
}

func (s *server) sendHeartbeats() {
	for {
		s.heartbeat("ready")
		select {
		case <-s.stop:
			return
		case <-time.After(heartbeatEvery):
		}
	}
}

// heartbeat sends a heartbeat and reports whether it was acknowledged in time.
func (s *server) heartbeat(state string) bool {
	body, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.address(), "zone": s.dataCentre, "version": "v1", "slots": slots,
		"state": state, "coldRemainingMs": 0, "sequence": s.sequence.Add(1), "born": s.born,
	})
	if err != nil {
		return false
	}
	c := http.Client{Timeout: time.Second}
	resp, err := c.Post("http://"+s.n.control+"/wisteriafold/Instances.Heartbeat/"+s.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ServeHTTP runs one request.
func (s *server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	h.Set("X-Instance-Id", s.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	h.Set("X-Attempt-Id", id)
	if want := r.Header.Get("X-Target-Instance"); want != "" && want != s.id {
		h.Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.w.record(id, s.n.name)
	time.Sleep(s.work)
	size, _ := strconv.Atoi(r.Header.Get(answerField)) // 0 when there is none
	h.Set("X-Server-Signature", "signature-"+id)
	h.Set("Content-Length", strconv.Itoa(size))
	_, _ = rw.Write(bytes.Repeat([]byte("a"), size)) // fails when the daemon has closed the connection
}
