// Package endpoint is a stand-in for a backend server on the users' platform. It
// sends heartbeats to its daemon, signs its answers, sheds requests while all
// slots are busy, refuses requests that name another instance, and makes calls of
// its own.
package endpoint

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Config describes one backend server.
type Config struct {
	ID        string
	Service   string
	Slots     int
	Work      time.Duration // service time of one request
	Heartbeat time.Duration // interval between heartbeats
	Control   string        // address that heartbeats are sent to, ip:port
	Outbound  string        // address that its own calls are sent to, ip:port
	Call      Call          // call that each run makes, none if Path is empty
	Body      string        // body of its answers; empty for "answer to" and the attempt ID
	Load      string        // load report on its answers; empty for none
}

// Call is a call that each run makes.
type Call struct{ Host, Path string }

// Run holds the fields of one request that the backend server ran.
type Run struct {
	ID, Method, Target, Body            string
	Organisation, Caller, Key, Deadline string

	At time.Time // when it was received
}

// Endpoint is one running backend server. It is safe for concurrent use.
type Endpoint struct {
	cfg       Config
	ln        net.Listener
	srv       *http.Server
	startedMs int64
	stop      chan struct{}
	wg        sync.WaitGroup

	mu        sync.Mutex
	runs      []Run
	draining  bool
	sequence  uint64
	running   int
	abandoned atomic.Int64 // requests whose caller closed the connection during the service time
	failing   atomic.Bool  // whether every run fails
	coldUntil atomic.Int64 // Unix ms; 0 when it is not cold
}

// New returns a backend server that listens on a free loopback address. It sends
// no heartbeats before Start.
func New(cfg Config) (*Endpoint, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &Endpoint{cfg: cfg, ln: ln, startedMs: time.Now().UnixMilli(), stop: make(chan struct{})}
	e.srv = &http.Server{Handler: e}
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		_ = e.srv.Serve(ln) // ends with Close
	}()
	return e, nil
}

// Address returns ip:port.
func (e *Endpoint) Address() string { return e.ln.Addr().String() }

// Start begins to send heartbeats to control, and sets outbound as the address for
// calls of its own.
func (e *Endpoint) Start(control, outbound string) {
	e.cfg.Control, e.cfg.Outbound = control, outbound
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		for {
			e.Beat()
			select {
			case <-e.stop:
				return
			case <-time.After(e.cfg.Heartbeat):
			}
		}
	}()
}

// Close stops the backend server without waiting for requests in progress.
func (e *Endpoint) Close() {
	close(e.stop)
	_ = e.srv.Close()
	e.wg.Wait()
}

// Runs returns a copy of the runs so far.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Left returns the number of requests whose caller closed the connection during
// the service time.
func (e *Endpoint) Left() int { return int(e.abandoned.Load()) }

// SetGrey makes every run fail while health checks still succeed, or ends that.
func (e *Endpoint) SetGrey(on bool) { e.failing.Store(on) }

// SetCold makes the backend server say that it is cold for some time.
func (e *Endpoint) SetCold(d time.Duration) { e.coldUntil.Store(time.Now().Add(d).UnixMilli()) }

// coldRemaining returns how much longer it is cold, in milliseconds.
func (e *Endpoint) coldRemaining() int64 {
	return max(0, e.coldUntil.Load()-time.Now().UnixMilli())
}

// Drain sends a heartbeat with the state draining and reports whether it was
// acknowledged.
func (e *Endpoint) Drain() bool {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	return e.Beat()
}

// Beat sends one heartbeat and reports whether it was acknowledged.
func (e *Endpoint) Beat() bool {
	e.mu.Lock()
	e.sequence++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": e.cfg.Service, "address": e.Address(), "zone": "z", "version": "v1", "slots": e.cfg.Slots,
		"state": state, "coldRemainingMs": e.coldRemaining(), "sequence": e.sequence, "born": e.startedMs,
	})
	e.mu.Unlock()
	if err != nil {
		return false
	}
	return e.post("/wisteriafold/Instances.Heartbeat/"+e.cfg.ID, body)
}

// Deregister tells the daemon that the backend server has ended. It reports
// whether that was acknowledged.
func (e *Endpoint) Deregister() bool {
	return e.post("/wisteriafold/Instances.Deregister/"+e.cfg.ID, []byte(fmt.Sprintf(`{"born":%d}`, e.startedMs)))
}

func (e *Endpoint) post(path string, body []byte) bool {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	resp, err := client.Post("http://"+e.cfg.Control+path, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// ServeHTTP implements http.Handler.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", e.cfg.ID)
	if e.coldUntil.Load() > 0 {
		w.Header().Set("X-Cold-Remaining-Ms", strconv.FormatInt(e.coldRemaining(), 10))
	}
	if r.URL.Path == "/health" {
		e.health(w)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get("X-Target-Instance"); want != "" && want != e.cfg.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !e.acquireSlot() {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.releaseSlot()
	e.mu.Lock()
	e.runs = append(e.runs, Run{
		ID: id, Method: r.Method, Target: r.RequestURI, Body: string(body),
		Organisation: r.Header.Get("X-Tenant"), Caller: r.Header.Get("X-Caller-Service"),
		Key: r.Header.Get("X-Credential"), Deadline: r.Header.Get("X-Deadline-Ms"),
		At: time.Now(),
	})
	e.mu.Unlock()
	e.work(w, r, id)
}

func (e *Endpoint) work(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("X-Server-Signature", "signed."+e.cfg.ID+"."+id)
	if e.cfg.Load != "" {
		w.Header().Set("X-Instance-Load", e.cfg.Load)
	}
	select {
	case <-time.After(e.cfg.Work):
	case <-r.Context().Done():
		e.abandoned.Add(1)
		return
	}
	if e.failing.Load() || e.cfg.Call.Path != "" && !e.call(r, id) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	body := e.cfg.Body
	if body == "" {
		body = "answer to " + id
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body) // the caller may have closed the connection
}

// call makes the configured call and reports whether it was answered with 200.
func (e *Endpoint) call(r *http.Request, id string) bool {
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+e.cfg.Outbound+e.cfg.Call.Path, nil)
	if err != nil {
		return false
	}
	req.Host = e.cfg.Call.Host
	req.Header.Set("X-Attempt-Id", id+".1")
	req.Header.Set("X-Deadline-Ms", r.Header.Get("X-Deadline-Ms"))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body) // only the status counts
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (e *Endpoint) health(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set("X-Instance-Load", fmt.Sprintf("%d,0,%d", e.running, e.cfg.Slots))
	if e.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *Endpoint) acquireSlot() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= e.cfg.Slots {
		return false
	}
	e.running++
	return true
}

func (e *Endpoint) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}
