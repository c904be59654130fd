package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"wisteriafold/httpclient"
	"wisteriafold/platform/host"
)

const (
	memoryMB = 256 // memory limit in the settings of each daemon

	// graceSeconds is the time from SIGTERM to SIGKILL.
	graceSeconds = 6

	// startDisturbance is how long a start counts as a disturbance.
	startDisturbance = 500 * time.Millisecond
)

// daemon is one daemon as a process.
type daemon struct {
	index     int
	rec       *recorder
	program   string
	file      string // settings
	log       string
	callers   string
	ready     string
	heartbeat string

	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
	expected bool // the soak ends the process
}

// Ports of daemons are below those that the kernel gives to outgoing connections, which
// could take one between two starts of a process.
const (
	firstPort = 10_000
	ports     = 10_000
	portsEach = 64 // offset between processes of soaks, so that parallel ones use different ports
)

var portsTaken atomic.Int64

// freePorts returns n loopback addresses on consecutive ports that nothing listens on.
func freePorts(n int) ([]string, error) {
	for range ports / n {
		offset := (int64(os.Getpid())*portsEach + portsTaken.Add(int64(n))) % (ports - int64(n))
		out := make([]string, 0, n)
		for i := range int64(n) {
			address := net.JoinHostPort("127.0.0.1", strconv.FormatInt(firstPort+offset+i, 10))
			ln, err := net.Listen("tcp", address)
			if err != nil {
				break
			}
			_ = ln.Close()
			out = append(out, address)
		}
		if len(out) == n {
			return out, nil
		}
	}
	return nil, eris.New("no consecutive free ports: end other programs that listen on many")
}

// newDaemon writes the settings of a daemon and returns it, not started.
func newDaemon(rec *recorder, i int, program, dir, store, backend, service string) (*daemon, error) {
	const listeners = 5
	a, err := freePorts(listeners)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("daemon-%d", i)
	d := &daemon{
		index: i, rec: rec, program: program, file: filepath.Join(dir, name+".yaml"), log: filepath.Join(dir, name+".log"),
		callers: a[0], ready: a[1], heartbeat: a[2],
	}
	_, port, _ := net.SplitHostPort(a[3])
	first, _ := strconv.Atoi(port)
	text := fmt.Sprintf(`self: {node: %s, ip: 127.0.0.1, zone: dc%d, region: r%d, bootstrap: false, appAddr: "%s", service: %s, limits: {memoryMb: %d, maxFds: 2048}}
network: {listen: {outbound: "%s", ready: "%s", control: "%s"}, internalPorts: [%d, %d], zones: {dc0: r0, dc1: r1}}
platform: {platform: {address: "%s"}}
terms: {bounds: {graceS: %d, revokeMs: %d, retryBudgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 48}}
`, name, i%2, i%2, backend, service, memoryMB, d.callers, d.ready, d.heartbeat, first, first+1, store, graceSeconds, revokeBound.Milliseconds())
	return d, os.WriteFile(d.file, []byte(text), 0o600)
}

// start starts the process. It must not be running.
func (d *daemon) start() error {
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(d.program, "sidecar")
	cmd.Env = append(os.Environ(), host.SettingsVariable+"="+d.file)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.ended, d.expected = cmd, ended, false
	d.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		d.mu.Lock()
		expected := d.expected
		d.mu.Unlock()
		if !expected {
			d.rec.record(func(h *History) {
				h.Ends = append(h.Ends, fmt.Sprintf("daemon %d ended by itself at %s: %v", d.index, d.rec.now(), err))
			})
		}
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process that start has started.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expected = d.expected || s == syscall.SIGKILL || s == syscall.SIGTERM
	_ = d.cmd.Process.Signal(s) // it may have ended
}

// kill ends the process at once.
func (d *daemon) kill() {
	d.mu.Lock()
	started, ended := d.cmd != nil, d.ended
	d.mu.Unlock()
	if started {
		d.signal(syscall.SIGKILL)
		<-ended
	}
}

// stop ends the process as planned, and at once after the grace period.
func (d *daemon) stop() {
	d.signal(syscall.SIGTERM)
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(graceSeconds * time.Second):
		d.kill()
	}
}

// isReady asks the process as the platform does.
func (d *daemon) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	resp, err := httpclient.Get(ctx, httpclient.GetRequest{Address: d.ready, Path: "/wisteriafold/ready", MaxBytes: 64 << 10})
	return err == nil && resp.Header.StatusCode() == http.StatusOK
}
