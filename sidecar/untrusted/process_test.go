// Package untrusted_test starts daemons as processes and exposes them to callers and
// backend servers that misbehave. The tests check only what does not depend on the
// speed of the machine: the processes live, their memory and descriptors stay within
// the limits of their settings, and an ordinary request is answered afterwards.
package untrusted_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	// Imported so that cached results of the tests end when the daemon changes.
	_ "wisteriafold/platform/host"
	_ "wisteriafold/sidecar"
)

// Limits of the settings of every daemon, and the bounds of the tests.
const (
	memoryMB       = 96
	maxDescriptors = 256
)

const (
	readyTimeout   = 20 * time.Second
	answerTimeout  = 20 * time.Second // for the ordinary request afterwards, including its retries
	sampleInterval = 10 * time.Millisecond
)

// program is the path of the daemon's binary.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "untrusted")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	program = filepath.Join(dir, "wisteriafoldd")
	out, err := exec.Command("go", "build", "-o", program, "wisteriafold/cmd/wisteriafoldd").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a daemon that runs as a process of its own.
type process struct {
	name                                           string
	callers, readiness, heartbeats, peers, metrics string

	cmd   *exec.Cmd
	log   lockedBuffer
	ended chan struct{} // closed when the process has ended

	stop        chan struct{} // ends the sampling
	sampled     sync.WaitGroup
	peakKB      atomic.Int64 // VmHWM
	descriptors atomic.Int64 // largest number seen
}

// lockedBuffer collects the output of a process.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// tail returns the end of the output.
func (l *lockedBuffer) tail() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.b.Bytes()
	return string(b[max(0, len(b)-2000):])
}

// start starts a daemon. With limitDescriptors, the operating system refuses it more
// than maxDescriptors descriptors.
func start(t *testing.T, i int, store, service, backend string, limitDescriptors bool) *process {
	a := freeAddresses(t)
	p := &process{
		name: fmt.Sprintf("node-%d", i), callers: a[0], readiness: a[1], heartbeats: a[2], peers: a[3], metrics: a[4],
		ended: make(chan struct{}), stop: make(chan struct{}),
	}
	file := filepath.Join(t.TempDir(), p.name+".yaml")
	_, port, err := net.SplitHostPort(p.peers)
	require.NoError(t, err)
	first, err := strconv.Atoi(port)
	require.NoError(t, err)
	text := fmt.Sprintf(`self: {node: %s, ip: 127.0.0.1, zone: dc0, region: g1, bootstrap: true, appAddr: "%s", service: %s, limits: {memoryMb: %d, maxFds: %d}}
network: {listen: {outbound: "%s", ready: "%s", control: "%s"}, internalPorts: [%d, %d]}
platform: {platform: {address: "%s"}}
terms: {bounds: {graceS: 6, revokeMs: 5000, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 48}}
`, p.name, backend, service, memoryMB, maxDescriptors, p.callers, p.readiness, p.heartbeats, first, first+1, store)
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	p.cmd = exec.Command(program, "sidecar")
	if limitDescriptors {
		p.cmd = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d && exec "$0" sidecar`, maxDescriptors), program)
	}
	p.cmd.Env = append(os.Environ(), "WISTERIAFOLD_SETTINGS="+file)
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	require.NoError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait() // the test reports that it ended, with its output
		close(p.ended)
	}()
	p.sampled.Go(p.sample)
	t.Cleanup(func() {
		close(p.stop)
		p.sampled.Wait()
		_ = p.cmd.Process.Kill()
		<-p.ended
	})
	return p
}

// sample records the peak memory and the largest number of descriptors until the
// process ends or the test does.
func (p *process) sample() {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	for {
		if b, err := os.ReadFile(dir + "status"); err == nil {
			for line := range strings.Lines(string(b)) {
				if v, ok := strings.CutPrefix(line, "VmHWM:"); ok {
					kb, _ := strconv.ParseInt(strings.Fields(v)[0], 10, 64)
					p.peakKB.Store(max(p.peakKB.Load(), kb))
				}
			}
		}
		if fds, err := os.ReadDir(dir + "fd"); err == nil {
			p.descriptors.Store(max(p.descriptors.Load(), int64(len(fds))))
		}
		select {
		case <-p.stop:
			return
		case <-p.ended:
			return
		case <-time.After(sampleInterval):
		}
	}
}

func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// check reports the figures of the process and fails the test when it has ended or has
// exceeded a limit of its settings.
func (p *process) check(t *testing.T) {
	t.Helper()
	t.Logf("%s: peak %d MB of %d, descriptors %d of %d, ended %t",
		p.name, p.peakKB.Load()>>10, memoryMB, p.descriptors.Load(), maxDescriptors, !p.alive())
	if !p.alive() {
		t.Errorf("%s has ended:\n%s", p.name, p.log.tail())
	}
	if p.peakKB.Load() > memoryMB<<10 {
		t.Errorf("%s exceeded its memory limit", p.name)
	}
	if p.descriptors.Load() > maxDescriptors {
		t.Errorf("%s exceeded its descriptor limit", p.name)
	}
}

// awaitReady waits until the daemon answers the path of a route.
func (p *process) awaitReady(t *testing.T, path string) {
	t.Helper()
	require.Eventually(t, func() bool { return p.request(path) == http.StatusOK }, readyTimeout, 30*time.Millisecond, "%s is not ready", p.name)
}

// checkOrdinaryRequest fails the test when no ordinary request to path is answered in
// time.
func (p *process) checkOrdinaryRequest(t *testing.T, path string) {
	t.Helper()
	status := 0
	for end := time.Now().Add(answerTimeout); time.Now().Before(end) && p.alive(); time.Sleep(100 * time.Millisecond) {
		if status = p.request(path); status == http.StatusOK {
			return
		}
	}
	t.Errorf("%s answers no ordinary request, last status %d", p.name, status)
}

var requests atomic.Int64

// request sends one ordinary request on a new connection and reads the whole answer. It
// returns the status, 0 when there is no complete answer.
func (p *process) request(path string) int {
	client := http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodGet, "http://"+p.callers+path, nil)
	if err != nil {
		return 0
	}
	req.Host = "h.example"
	req.Header.Set("X-Attempt-Id", fmt.Sprintf("ordinary-%d", requests.Add(1)))
	req.Header.Set("X-Deadline-Ms", "3000")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// Ports of listeners are below the ephemeral port range, so that no outgoing connection
// takes a port between the check that it is free and its use. They are above those of
// the tests of package sidecar.
const (
	firstPort     = 32100
	portsPerGroup = 5
	portGroups    = 130
)

var portGroup atomic.Int64

// freeAddresses returns five loopback addresses on which no process listens. The last
// two have consecutive ports.
func freeAddresses(t *testing.T) []string {
	for range portGroups {
		group := (int64(os.Getpid())*7 + portGroup.Add(1)) % portGroups
		var out []string
		for i := range int64(portsPerGroup) {
			address := net.JoinHostPort("127.0.0.1", strconv.FormatInt(firstPort+group*portsPerGroup+i, 10))
			ln, err := net.Listen("tcp", address)
			if err != nil {
				break // in use by another process
			}
			require.NoError(t, ln.Close())
			out = append(out, address)
		}
		if len(out) == portsPerGroup {
			return out
		}
	}
	t.Fatal("no free ports")
	return nil
}
