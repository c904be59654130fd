package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	slots          = 16
	work           = 20 * time.Millisecond
	heartbeatEvery = 500 * time.Millisecond
	reportTimeout  = time.Second // backend servers wait no longer for an acknowledgement
)

// habit is how a backend server treats its next requests.
type habit int

// Habits of backend servers.
const (
	sound     habit = iota
	garbling        // writes bytes that are no answer, or a part of one
	shedding        // refuses requests, and writes the refusal once more when one comes again
	closing         // closes connections without an answer
	repeating       // writes each answer twice
	habits          // number of habits
)

// server is a backend server with its heartbeats. It lives several lives at one address.
type server struct {
	index   int
	service string
	control string // address for heartbeats
	rec     *recorder
	ln      net.Listener
	wg      sync.WaitGroup

	mu       sync.Mutex
	rng      *rand.Rand
	habit    habit
	life     int
	born     int64
	id       string
	sequence uint64
	state    string // "" while it is not running
	running  int
	conns    map[net.Conn]bool
}

func newServer(rec *recorder, i int, service string, seed uint64) (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{index: i, service: service, rec: rec, ln: ln, rng: rand.New(rand.NewPCG(seed, uint64(i))), conns: make(map[net.Conn]bool)}
	s.wg.Go(s.accept)
	return s, nil
}

// begin starts a life. With sameID it takes the id of the life before.
func (s *server) begin(sameID bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.life++
	s.born, s.sequence, s.state = time.Now().UnixMilli(), 0, "ready"
	if !sameID || s.id == "" {
		s.id = fmt.Sprintf("i-%d-%d", s.index, s.life)
	}
}

// end ends the life: connections are closed and none is accepted.
func (s *server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = ""
	for c := range s.conns {
		_ = c.Close()
	}
}

// close ends the server.
func (s *server) close() {
	s.end()
	_ = s.ln.Close()
	s.wg.Wait()
}

func (s *server) setHabit(h habit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.habit = h
}

func (s *server) accept() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		alive := s.state != ""
		if alive {
			s.conns[conn] = true
		}
		s.mu.Unlock()
		if !alive {
			_ = conn.Close()
			continue
		}
		s.wg.Go(func() {
			s.serve(conn)
			s.mu.Lock()
			delete(s.conns, conn)
			s.mu.Unlock()
			_ = conn.Close()
		})
	}
}

// serve answers the requests of one connection.
func (s *server) serve(conn net.Conn) {
	br := bufio.NewReader(conn)
	refusals := make(map[string]string) // refusals written on this connection, by request
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !s.answer(conn, r, body, refusals) {
			return
		}
	}
}

// answer handles one request and reports whether the connection goes on.
func (s *server) answer(conn net.Conn, r *http.Request, body []byte, refusals map[string]string) bool {
	s.mu.Lock()
	h, id, life, state := s.habit, s.id, s.life, s.state
	choice := s.rng.IntN(1 << 16)
	s.mu.Unlock()
	request := r.Header.Get("X-Attempt-Id")
	write := func(text string) bool {
		_, err := io.WriteString(conn, text)
		return err == nil
	}
	common := "X-Attempt-Id: " + request + "\r\nX-Instance-Id: " + id + "\r\n"
	switch want := r.Header.Get("X-Target-Instance"); {
	case state == "":
		return false
	case r.URL.Path == "/health":
		if state != "ready" {
			return write("HTTP/1.1 503 Leaving\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
		}
		return write("HTTP/1.1 200 OK\r\nX-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
	case want != "" && want != id:
		return write("HTTP/1.1 421 Misdirected Request\r\n" + common + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	case h == closing && choice%2 == 0:
		return false
	case h == shedding && choice%2 == 0 || !s.acquire():
		refusals[request] = "HTTP/1.1 503 Full\r\n" + common + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		return write(refusals[request])
	}
	defer s.release()
	s.rec.record(func(hist *History) {
		hist.Runs = append(hist.Runs, Execution{ID: request, Server: s.index, Life: life, At: s.rec.now()})
	})
	if refusal := refusals[request]; refusal != "" && !write(refusal) {
		return false
	}
	time.Sleep(work)
	whole := wholeAnswer(common, answerBody(request, body))
	switch {
	case h == garbling && choice%2 == 0:
		_ = write(garbled[choice/2%len(garbled)](common, whole))
		return false
	case h == repeating:
		return write(whole + whole)
	}
	return write(whole)
}

// answerBody is the body of the answer to a request.
func answerBody(id string, body []byte) string { return "answer to " + id + " " + string(body) }

func wholeAnswer(common, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sX-Server-Signature: signed\r\nContent-Length: %d\r\n\r\n%s", common, len(body), body)
}

// garbled make of a whole answer something that is none.
var garbled = []func(common, whole string) string{
	func(_, whole string) string { return whole[:len(whole)-1] },
	func(_, whole string) string { return whole[:strings.Index(whole, "\r\n\r\n")] },
	func(_, whole string) string { return strings.Replace(whole, "200 OK", "000 OK", 1) },
	func(_, whole string) string { return strings.Replace(whole, "Content-Length", "Content Length", 1) },
	func(_, whole string) string { return strings.Replace(whole, "X-Server", "X\x01: y\r\nX-Server", 1) },
	func(common, _ string) string {
		return "HTTP/1.1 101 Switching Protocols\r\n" + common + "X-Server-Signature: signed\r\n\r\n"
	},
	func(common, _ string) string {
		return "HTTP/1.1 503 Full\r\n" + common + "X-Not-Executed: 1\r\nContent-Length: 9\r\n\r\n"
	},
	func(common, _ string) string {
		return "HTTP/1.1 200 OK\r\n" + common + "X-Server-Signature: signed\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
	},
	func(_, _ string) string { return "\x00\x01 no answer \r\n\r\n" },
}

func (s *server) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= slots {
		return false
	}
	s.running++
	return true
}

func (s *server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// report is a heartbeat or a deregistration that can be sent late.
type report struct {
	path string
	body map[string]any
	life int
}

// next returns a report of the current state.
func (s *server) next(state string) report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	if state == "gone" {
		body := map[string]any{"sequence": s.sequence, "born": s.born}
		if s.rng.IntN(2) == 0 {
			body = map[string]any{} // a deregistration need not say more than its id
		}
		return report{"Instances.Deregister/" + s.id, body, s.life}
	}
	return report{"Instances.Heartbeat/" + s.id, map[string]any{
		"service": s.service, "address": s.ln.Addr().String(), "zone": "z", "version": "v1", "slots": slots,
		"state": state, "coldRemainingMs": 0, "sequence": s.sequence, "born": s.born,
	}, s.life}
}

// send sends a report and returns whether it was acknowledged in time.
func (s *server) send(r report) bool {
	body, err := json.Marshal(r.body)
	if err != nil {
		return false
	}
	client := http.Client{Timeout: reportTimeout}
	defer client.CloseIdleConnections()
	resp, err := client.Post("http://"+s.control+"/wisteriafold/"+r.path, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// beat sends heartbeats until ctx ends. A leaving that was announced is repeated until it
// is acknowledged.
func (s *server) beat(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		state := s.state
		s.mu.Unlock()
		if state != "" && state != "gone" {
			s.announce(state)
		}
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatEvery):
		}
	}
}

// announce sends a report of a state and records the acknowledgement of a leaving.
func (s *server) announce(state string) bool {
	r := s.next(state)
	acknowledged := s.send(r)
	if acknowledged && state != "ready" {
		s.rec.record(func(h *History) {
			h.Leavings = append(h.Leavings, Leaving{s.index, r.life, s.rec.now()})
		})
	}
	return acknowledged
}

// setState sets the state that heartbeats report, unless the life has ended.
func (s *server) setState(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state != "" {
		s.state = state
	}
}
