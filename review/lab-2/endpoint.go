package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// request is one request as an endpoint has read it from a connection.
type request struct {
	At     time.Time
	Raw    string // head as received
	Line   string
	Header map[string][]string // lower-case names
	Body   []byte
}

func (r *request) get(name string) string {
	if v := r.Header[strings.ToLower(name)]; len(v) > 0 {
		return v[0]
	}
	return ""
}

// endpoint is a stand-in for a backend server that reads requests from the socket.
type endpoint struct {
	id, service string
	slots       int
	born        int64
	ln          net.Listener
	control     string

	// answer writes the answer to a request; false closes the connection. nil gives
	// the usual answer after work.
	answer func(c net.Conn, r *request) bool
	work   time.Duration

	mu       sync.Mutex
	seen     []*request
	sequence int
	state    string // of its reports; its health check fails unless it is ready
	stop     chan struct{}
}

func newEndpoint(id, service string, slots int) *endpoint {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	e := &endpoint{id: id, service: service, slots: slots, born: time.Now().UnixMilli(), ln: ln, state: "ready", stop: make(chan struct{})}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

func (e *endpoint) addr() string { return e.ln.Addr().String() }

func readRequest(br *bufio.Reader) (*request, error) {
	var raw bytes.Buffer
	r := &request{Header: map[string][]string{}}
	for first := true; ; first = false {
		line, err := br.ReadString('\n')
		if err != nil {
			return nil, err
		}
		raw.WriteString(line)
		line = strings.TrimRight(line, "\r\n")
		if first {
			r.Line = line
			continue
		}
		if line == "" {
			break
		}
		name, value, _ := strings.Cut(line, ":")
		name = strings.ToLower(name)
		r.Header[name] = append(r.Header[name], strings.TrimSpace(value))
	}
	r.Raw, r.At = raw.String(), time.Now()
	if n, _ := strconv.Atoi(r.get("content-length")); n > 0 {
		r.Body = make([]byte, n)
		if _, err := io.ReadFull(br, r.Body); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func (e *endpoint) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := readRequest(br)
		if err != nil {
			return
		}
		if strings.HasPrefix(r.Line, "GET /health ") {
			e.mu.Lock()
			status := "200 OK"
			if e.state != "ready" {
				status = "503 Service Unavailable"
			}
			e.mu.Unlock()
			fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Instance-Id: %s\r\nX-Instance-Load: 0,0,%d\r\nContent-Length: 0\r\n\r\n", status, e.id, e.slots)
			continue
		}
		if t := r.get("X-Target-Instance"); t != "" && t != e.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", r.get("X-Attempt-Id"))
			continue
		}
		e.mu.Lock()
		e.seen = append(e.seen, r)
		answer := e.answer
		e.mu.Unlock()
		if answer != nil {
			if !answer(c, r) {
				return
			}
			continue
		}
		time.Sleep(e.work)
		if !usualAnswer(c, r, e.id) {
			return
		}
	}
}

func usualAnswer(c net.Conn, r *request, id string) bool {
	body := "answer to " + r.get("X-Attempt-Id")
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Signature: sig.%s\r\nX-Instance-Load: 0,0,54\r\nContent-Length: %d\r\n\r\n%s", r.get("X-Attempt-Id"), id, len(body), body)
	return err == nil
}

func (e *endpoint) runs() []*request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*request(nil), e.seen...)
}

// beat sends one status report and reports whether it was acknowledged.
func (e *endpoint) beat(state string) bool {
	e.mu.Lock()
	e.sequence++
	n := e.sequence
	e.mu.Unlock()
	return e.report(state, n)
}

// report sends a status report with a sequence number.
func (e *endpoint) report(state string, sequence int) bool {
	return e.post("Instances.Heartbeat", fmt.Sprintf(`{"service":%q,"address":%q,"zone":"fuk-a","version":"v1","slots":%d,"state":%q,"coldRemainingMs":0,"sequence":%d,"born":%d}`,
		e.service, e.addr(), e.slots, state, sequence, e.born))
}

// leave ends the status reports and deregisters. It returns the sequence number of the
// last status report, which has not been sent yet, or 0 without an acknowledgement.
func (e *endpoint) leave() int {
	e.mu.Lock()
	e.state = "left"
	e.sequence++
	late := e.sequence
	e.sequence++
	n := e.sequence
	e.mu.Unlock()
	close(e.stop)
	if !e.post("Instances.Deregister", fmt.Sprintf(`{"sequence":%d,"born":%d}`, n, e.born)) {
		return 0
	}
	return late
}

func (e *endpoint) post(call, body string) bool {
	c := http.Client{Timeout: time.Second}
	defer c.CloseIdleConnections()
	resp, err := c.Post("http://"+e.control+"/wisteriafold/"+call+"/"+e.id, "application/json", strings.NewReader(body))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// start sends status reports until the endpoint is stopped.
func (e *endpoint) start(control string) {
	e.control = control
	go func() {
		for {
			e.mu.Lock()
			s := e.state
			e.mu.Unlock()
			e.beat(s)
			select {
			case <-e.stop:
				return
			case <-time.After(1500 * time.Millisecond):
			}
		}
	}()
}
