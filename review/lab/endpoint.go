package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// endpoint is a stand-in of an endpoint of a service.
type endpoint struct {
	w       *world
	n       *node
	id      string
	born    int64
	slots   int
	ln      net.Listener
	answer  func(conn net.Conn, r *http.Request, body []byte) // nil for a whole answer
	leaving atomic.Bool

	mu       sync.Mutex
	sequence int
	state    string
	runs     []run
	conns    map[net.Conn]bool
	stop     chan struct{}
}

// run is a request that the endpoint began to work on.
type run struct {
	at     time.Time
	id     string
	method string
	target string
	body   []byte
	tenant string
}

func (n *node) startEndpoint(id string) *endpoint {
	ln, err := net.Listen("tcp", n.app())
	if err != nil {
		cannotRun("endpoint: %v", err)
	}
	e := &endpoint{w: n.w, n: n, id: id, born: time.Now().UnixMilli(), slots: 54, ln: ln, state: "ready", stop: make(chan struct{}), conns: map[net.Conn]bool{}}
	go e.serve()
	return e
}

// beats sends heartbeats until stopBeats is called.
func (e *endpoint) beats() {
	go func() {
		for {
			e.beat()
			select {
			case <-e.stop:
				return
			case <-time.After(1500 * time.Millisecond):
			}
		}
	}()
}

func (e *endpoint) stopBeats() { close(e.stop) }

// nextBeat returns the body of the next heartbeat.
func (e *endpoint) nextBeat() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	b, _ := json.Marshal(map[string]any{
		"service": e.n.service, "address": e.n.app(), "zone": e.n.zone, "version": "v1", "slots": e.slots,
		"state": e.state, "coldRemainingMs": 0, "sequence": e.sequence, "born": e.born,
	})
	return b
}

func (e *endpoint) beat() bool { return e.sendBeat(e.nextBeat()) }

func (e *endpoint) sendBeat(body []byte) bool {
	return e.post("/wisteriafold/Instances.Heartbeat/"+e.id, body)
}

// deregister announces that the endpoint leaves, with the next sequence number.
func (e *endpoint) deregister() bool {
	e.leaving.Store(true)
	return e.post("/wisteriafold/Instances.Deregister/"+e.id, e.nextBeat())
}

func (e *endpoint) post(path string, body []byte) bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Post("http://"+e.n.control()+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode < 300
}

func (e *endpoint) serve() {
	for {
		c, err := e.ln.Accept()
		if err != nil {
			return
		}
		go e.serveConn(c)
	}
}

func (e *endpoint) serveConn(c net.Conn) {
	defer c.Close()
	e.mu.Lock()
	e.conns[c] = true
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.URL.Path == "/health" {
			status := "200 OK"
			if e.leaving.Load() {
				status = "503 Service Unavailable"
			}
			fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Instance-Id: %s\r\nX-Instance-Load: 0,0,%d\r\nContent-Length: 0\r\n\r\n", status, e.id, e.slots)
			continue
		}
		if want := r.Header.Get("X-Target-Instance"); want != "" && want != e.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", e.id, r.Header.Get("X-Attempt-Id"))
			continue
		}
		x := run{time.Now(), r.Header.Get("X-Attempt-Id"), r.Method, r.RequestURI, body, r.Header.Get("X-Tenant")}
		e.mu.Lock()
		e.runs = append(e.runs, x)
		e.mu.Unlock()
		e.w.log("endpoint %s runs %s: %s %s, body of %d bytes", e.id, x.id, x.method, x.target, len(body))
		if e.answer != nil {
			e.answer(c, r, body)
			continue
		}
		e.reply(c, x.id, "answer to "+x.id)
	}
}

// head returns the head of a successful answer without its framing.
func (e *endpoint) head(id string) string {
	return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Signature: signed." + e.id + "." + id + "\r\nX-Instance-Load: 1,0," + strconv.Itoa(e.slots) + "\r\n"
}

func (e *endpoint) reply(c net.Conn, id, body string) {
	_, _ = io.WriteString(c, e.head(id)+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

// exit ends the endpoint: its process is gone, and with it the requests at work.
func (e *endpoint) exit() {
	e.w.log("endpoint %s exits", e.id)
	_ = e.ln.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		_ = c.Close()
	}
}

// setState sets the state of the heartbeats from now on.
func (e *endpoint) setState(state string) {
	e.mu.Lock()
	e.state = state
	e.mu.Unlock()
	e.leaving.Store(state != "ready")
}

// ran returns the runs whose id has the prefix.
func (e *endpoint) ran(prefix string) []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []run
	for _, x := range e.runs {
		if strings.HasPrefix(x.id, prefix) {
			out = append(out, x)
		}
	}
	return out
}
