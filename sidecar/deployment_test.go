package sidecar_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"wisteriafold/membership"
	"wisteriafold/platform/host"
	"wisteriafold/sidecar"
	"wisteriafold/standin/endpoint"
	"wisteriafold/standin/rowstore"
)

// deployment is a store and a set of daemons, each with a backend server, on
// loopback addresses.
type deployment struct {
	t     *testing.T
	store *rowstore.Store
	nodes []*node

	dialect     sidecar.Dialect // nil for the platform's
	memoryBytes int64           // memory limit of the daemons that are added; 0 for none

	adjust func(i int, s *sidecar.Settings) // changes the settings of the daemons that are added; nil for no change
}

type node struct {
	daemon   *sidecar.Daemon
	backend  *endpoint.Endpoint
	settings sidecar.Settings
	client   *host.Store
	logs     *logBuffer
	stopped  bool
}

// logBuffer collects the log of a daemon.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// lines returns the decoded log lines.
func (l *logBuffer) lines(t *testing.T) []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []map[string]any
	for _, s := range strings.Split(strings.TrimSpace(l.b.String()), "\n") {
		if s == "" {
			continue // nothing has been written yet
		}
		m := map[string]any{}
		require.NoError(t, json.Unmarshal([]byte(s), &m), s)
		out = append(out, m)
	}
	return out
}

type route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"pathPrefix"`
	Kind            string `json:"kind"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"maxAttempts"`
	Public          bool   `json:"public"`
}

type tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"apiKeys"`
	RatePerS float64  `json:"ratePerS"`
	Burst    float64  `json:"burst"`
}

func routes() []route {
	return []route{
		{"view", "h.example", "/view/", "idempotent", 2000, 1000, "archive", 2, false},
		{"order", "h.example", "/order/", "non_idempotent", 2000, 1000, "archive", 2, false},
		{"pay", "h.example", "/pay/", "idempotent", 2000, 1000, "ledger", 2, true},
	}
}

func document(version int, routes []route, tenants ...tenant) []byte {
	if tenants == nil {
		tenants = []tenant{{Name: "o1", APIKeys: []string{"key-1"}}}
	}
	b, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version), "routes": routes,
		"services": []map[string]any{{"name": "archive", "healthPath": "/health", "maxConnections": 50}, {"name": "ledger", "healthPath": "/health", "maxConnections": 50}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20},
		"tenants":  tenants,
	})
	if err != nil {
		panic(err)
	}
	return b
}

// Ports of listeners are below the ephemeral port range. Otherwise an outgoing
// connection could take a port between the check that it is free and its use.
const (
	firstPort = 20000
	ports     = 12000
	portsEach = 64 // offset between test processes, so that parallel ones use different ports
)

var portsTaken atomic.Int64

// freeAddresses returns n loopback addresses that no process listens on.
func freeAddresses(t *testing.T, n int) []string {
	var out []string
	for len(out) < n {
		offset := int64(os.Getpid())*portsEach + portsTaken.Add(1)
		address := net.JoinHostPort("127.0.0.1", strconv.FormatInt(firstPort+offset%ports, 10))
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue // in use by another process
		}
		require.NoError(t, ln.Close())
		out = append(out, address)
	}
	return out
}

// deploy starts a daemon for each given backend server, with two daemons in each data
// centre, and waits until all are ready.
func deploy(t *testing.T, backends ...endpoint.Config) *deployment {
	d := &deployment{t: t, store: rowstore.New()}
	d.store.Put("op", "config", document(1, routes()))
	for i, cfg := range backends {
		d.add(i, cfg)
	}
	t.Cleanup(d.close)
	for _, n := range d.nodes {
		d.awaitReady(n, len(backends))
	}
	return d
}

func (d *deployment) add(i int, cfg endpoint.Config) *node { return d.addWithBackend(i, cfg, "") }

// addWithBackend starts a daemon whose requests go to another address than that of the
// backend server that sends its heartbeats. An empty address stands for the latter.
func (d *deployment) addWithBackend(i int, cfg endpoint.Config, address string) *node {
	a := freeAddresses(d.t, 5)
	cfg.ID = fmt.Sprintf("i-%d", i)
	cfg.Heartbeat = 100 * time.Millisecond
	b, err := endpoint.New(cfg)
	require.NoError(d.t, err)
	n := &node{backend: b, logs: &logBuffer{}, settings: sidecar.Settings{
		Instance: fmt.Sprintf("node-%d", i), DataCentre: fmt.Sprintf("dc%d", i/2), Region: "g1", Service: cfg.Service, Backend: b.Address(),
		Listen:        sidecar.Listen{Callers: a[0], Readiness: a[1], Heartbeats: a[2], Peers: a[3], Metrics: a[4]},
		StoreAddress:  d.store.Address(),
		MemoryBytes:   d.memoryBytes,
		ShutdownGrace: 6 * time.Second, KeyRevocation: 5 * time.Second,
		Retries: sidecar.RetryBounds{Ratio: 0.2, Slack: 48, Window: 10 * time.Second},
	}}
	if address != "" {
		n.settings.Backend = address
	}
	if d.adjust != nil {
		d.adjust(i, &n.settings)
	}
	d.start(n)
	b.Start(a[2], a[0])
	d.nodes = append(d.nodes, n)
	return n
}

func (d *deployment) start(n *node) {
	n.client = host.NewStore(d.store.Address(), time.Second)
	var err error
	dialect := d.dialect
	if dialect == nil {
		dialect = host.Dialect{}
	}
	n.daemon, err = sidecar.New(n.settings, sidecar.Options{Log: n.logs, Dialect: dialect, Store: n.client})
	require.NoError(d.t, err)
	require.NoError(d.t, n.daemon.Start())
	n.stopped = false
}

func (d *deployment) close() {
	for _, n := range d.nodes {
		if !n.stopped {
			n.daemon.Close()
		}
		n.backend.Close()
		n.client.Close()
	}
	d.store.Close()
}

// stateInStore returns the state of a backend server according to its daemon's row.
func (d *deployment) stateInStore(n *node) membership.State {
	e, err := membership.Decode(d.store.Value("daemons", n.settings.Listen.Peers))
	require.NoError(d.t, err)
	return membership.State(e.State)
}

// awaitReady waits until a daemon is ready and knows at least members ready endpoints.
func (d *deployment) awaitReady(n *node, members int) {
	require.Eventually(d.t, func() bool {
		return status(n.settings.Listen.Readiness, "/wisteriafold/ready") == 200 && n.daemon.ReadyEndpoints() >= members
	}, 10*time.Second, 20*time.Millisecond)
}

func status(addr, path string) int {
	resp, err := http.Get("http://" + addr + path)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// answer is the response that a caller received.
type answer struct {
	status int
	body   string
	header http.Header
}

// send sends one request and returns the answer. fields holds alternating names and
// values of header fields.
func (n *node) send(t *testing.T, method, path, id, body string, fields ...string) answer {
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+n.settings.Listen.Callers+path, strings.NewReader(body))
	require.NoError(t, err)
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", "3000")
	for i := 0; i < len(fields); i += 2 {
		req.Header.Set(fields[i], fields[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return answer{resp.StatusCode, string(b), resp.Header}
}

// raw sends text on a new connection and returns the status of the first answer, or 0
// when there is no answer.
func (n *node) raw(t *testing.T, text string) int {
	status, err := n.exchange(text)
	require.NoError(t, err)
	return status
}

// exchange sends text on a new connection. status is 0 when there is no answer. The
// error is not nil only when the text could not be sent.
func (n *node) exchange(text string) (status int, err error) {
	conn, err := net.Dial("tcp", n.settings.Listen.Callers)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	if _, err = io.WriteString(conn, text); err != nil {
		return 0, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil
	}
	_ = resp.Body.Close()
	return resp.StatusCode, nil
}

// metricsText returns the metrics of a daemon.
func metricsText(t *testing.T, n *node) string {
	resp, err := http.Get("http://" + n.settings.Listen.Metrics + "/metrics")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return string(b)
}

// metric returns the value of one metric of a daemon, empty when there is none.
func metric(t *testing.T, n *node, name string) string {
	for _, line := range strings.Split(metricsText(t, n), "\n") {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return value
		}
	}
	return ""
}
