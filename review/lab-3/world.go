// Command lab-3 plays the script cases of the third review: it starts daemons as
// processes beside stand-ins of the store, of backend servers and of callers, and checks
// what callers and backend servers see.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"wisteriafold/standin/rowstore"
)

const (
	firstPort    = 21_000 // below the ports that the kernel gives to outgoing connections
	lastPort     = 29_000
	portsEach    = 6
	readyTimeout = 20 * time.Second
	readyPoll    = 100 * time.Millisecond
	graceSeconds = 6 // from SIGTERM to SIGKILL

	// settleTime is longer than stableMs (3 s): from then on the daemons are in touch.
	settleTime = 4 * time.Second
)

// world is a small deployment with its record of runs.
type world struct {
	dir     string
	program string
	store   *rowstore.Store
	nodes   []*node
	port    int
	start   time.Time
	memory  int // MB of a daemon

	mu   sync.Mutex
	runs map[string][]execution // by request
}

// execution is one run of a request on a backend server.
type execution struct {
	Node string
	At   time.Duration
}

// node is a daemon with the backend server beside it.
type node struct {
	name     string
	outbound string
	ready    string
	control  string
	settings string
	server   *server
	cmd      *exec.Cmd
	ended    chan struct{}
}

func newWorld(program string) (*world, error) {
	dir, err := os.MkdirTemp("", "lab-3-")
	if err != nil {
		return nil, err
	}
	return &world{
		dir: dir, program: program, store: rowstore.New(), start: time.Now(), memory: 284,
		port: firstPort + os.Getpid()%64*100, runs: make(map[string][]execution),
	}, nil
}

func (w *world) since() time.Duration { return time.Since(w.start) }

// freePorts returns consecutive ports that nothing listens on.
func (w *world) freePorts() ([]int, error) {
	for w.port += portsEach; w.port < lastPort; w.port += portsEach {
		var free []int
		for p := w.port; p < w.port+portsEach; p++ {
			ln, err := net.Listen("tcp", address(p))
			if err != nil {
				break
			}
			_ = ln.Close()
			free = append(free, p)
		}
		if len(free) == portsEach {
			return free, nil
		}
	}
	return nil, fmt.Errorf("no %d consecutive ports are free", portsEach)
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// addNode adds a daemon, not started, and a running backend server.
func (w *world) addNode(service, dataCentre, region string) error {
	p, err := w.freePorts()
	if err != nil {
		return err
	}
	n := &node{name: fmt.Sprintf("sidecar-%s-%d", dataCentre, len(w.nodes)+1), outbound: address(p[0]), ready: address(p[1]), control: address(p[2])}
	if n.server, err = newServer(w, n, service, dataCentre); err != nil {
		return err
	}
	n.settings = filepath.Join(w.dir, n.name+".yaml")
	text := fmt.Sprintf(`self: {node: %s, role: daemon, machineClass: sidecar, serves: [sidecar], ip: 127.0.0.1, zone: %s, region: %s, lossCounts: false, bootstrap: false, appAddr: "%s", service: %s, limits: {cpuShare: 0.64, cpuCores: 1, memoryMb: %d, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}}
network: {listen: {outbound: "%s", ready: "%s", control: "%s", inbound: "%s"}, internalPorts: [%d, %d], seeds: [], zones: {fuk-a: fukuoka, kum-a: kumamoto}}
platform: {discovery: static, entry: static, heartbeatMs: 1500, platform: {address: "%s", form: table}}
terms: {bounds: {stableMs: 3000, drainMs: 2500, graceS: %d, lossSlackMs: 200, configApplyMs: 2500, revokeStrict: true, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 48}}
`, n.name, dataCentre, region, n.server.address(), service, w.memory, n.outbound, n.ready, n.control, address(p[3]), p[4], p[5], w.store.Address(), graceSeconds)
	w.nodes = append(w.nodes, n)
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// startDaemon starts the process of a daemon.
func (w *world) startDaemon(n *node) error {
	out, err := os.Create(filepath.Join(w.dir, n.name+".log"))
	if err != nil {
		return err
	}
	defer out.Close()
	n.cmd = exec.Command(w.program, "sidecar")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "WISTERIAFOLD_SETTINGS=" + n.settings}
	n.cmd.Stdout, n.cmd.Stderr = out, out
	if err := n.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.ended = ended
	cmd := n.cmd
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// startAll starts all daemons and waits until they are ready.
func (w *world) startAll() error {
	for _, n := range w.nodes {
		if err := w.startDaemon(n); err != nil {
			return err
		}
		go n.server.sendHeartbeats()
	}
	until := time.Now().Add(readyTimeout)
	for _, n := range w.nodes {
		for !n.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("daemon %s is not ready after %s", n.name, readyTimeout)
			}
			time.Sleep(readyPoll)
		}
	}
	time.Sleep(settleTime)
	return nil
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get("http://" + n.ready + "/wisteriafold/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, n := range w.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
			<-n.ended
		}
		n.server.close()
	}
	w.store.Close()
	_ = os.RemoveAll(w.dir)
}

// record notes a run.
func (w *world) record(id, node string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[id] = append(w.runs[id], execution{node, w.since()})
}

func (w *world) runsOf(id string) []execution {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

const callerKey = "6wsjnbanfqasnmgkcuyj"

// configure writes the configuration as the operator does.
func (w *world) configure() {
	const text = `{"version":"r1","routes":[
{"name":"record-view","host":"h.example","pathPrefix":"/records/","kind":"idempotent","timeoutMs":8000,"targetLatencyMs":1500,"priority":2,"service":"archive","maxAttempts":2,"public":false},
{"name":"commission","host":"h.example","pathPrefix":"/commissions/","kind":"non_idempotent","timeoutMs":8000,"targetLatencyMs":2000,"priority":0,"service":"archive","maxAttempts":2,"public":false},
{"name":"photo-upload","host":"h.example","pathPrefix":"/photos/","kind":"idempotent","timeoutMs":5000,"targetLatencyMs":1500,"priority":2,"service":"intake","maxAttempts":2,"public":false}],
"services":[{"name":"archive","healthPath":"/health","maxConnections":424,"protocol":"h1","tls":false},{"name":"intake","healthPath":"/health","maxConnections":424,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"pulo780","apiKeys":["KEY"],"priority":1,"ratePerS":0,"burst":0}]}`
	w.store.Put("op", "config", []byte(strings.Replace(text, "KEY", callerKey, 1)))
}
