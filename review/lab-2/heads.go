package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	headsMemoryMB = 184    // memoryMb of the settings
	headsSlots    = 96     // slots of each endpoint
	headsClients  = 400    // connections of clients to each daemon
	headsBytes    = 16_000 // bytes of the header fields of a request; maxHeaderBytes is 16384
	headsFor      = 30 * time.Second

	aheadClients  = 1500 // connections of clients to each daemon
	aheadRequests = 16   // requests that a client sends at a time
	endsToBreak   = 3    // ends of its own in the day, on each of two machines
)

// anonMB returns the anonymous memory of a process in MB.
func anonMB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, l := range strings.Split(string(b), "\n") {
		if v, ok := strings.CutPrefix(l, "RssAnon:"); ok {
			var n int
			fmt.Sscan(v, &n)
			return n >> 10
		}
	}
	return 0
}

// watchMemory ends a process that exceeds its memory, as the platform does, and starts
// it again, until stop is closed. It returns how often that happened.
func watchMemory(d *daemon, rec *record, stop chan struct{}) int {
	ends, peak := 0, 0
	for {
		select {
		case <-stop:
			rec.line("%s: at most %d MB since the last start, ended %d times", d.name, peak, ends)
			return ends
		case <-time.After(10 * time.Millisecond):
		}
		d.mu.Lock()
		pid := d.cmd.Process.Pid
		d.mu.Unlock()
		if !d.running() {
			rec.line("%s: the process has ended by itself", d.name)
		} else {
			n := anonMB(pid)
			peak = max(peak, n)
			if n <= d.memoryMB {
				continue
			}
			rec.line("%s: %d MB, over its %d MB: killed, as the platform does", d.name, n, d.memoryMB)
			d.signal(syscall.SIGKILL)
			<-d.ended
		}
		ends++
		peak = 0
		time.Sleep(500 * time.Millisecond)
		d.bootstrap = false
		if err := d.start(); err != nil {
			rec.line("%s: cannot start: %v", d.name, err)
			return ends
		}
	}
}

// headsCase sends requests whose heads are inside the limits of the configuration and
// consist of many short fields.
func headsCase(binary, folder string, trouble bool) int {
	fields := strings.Repeat("a:1\r\n", headsBytes/5)
	if !trouble {
		fields = "A: " + strings.Repeat("1", headsBytes-5) + "\r\n"
	}
	return crowdCase(binary, folder, crowd{clients: headsClients, fields: fields, ahead: 1})
}

// aheadCase sends requests without waiting for the answers of those before.
func aheadCase(binary, folder string, trouble bool) int {
	c := crowd{clients: aheadClients, ahead: aheadRequests}
	if !trouble {
		c.ahead = 1
	}
	return crowdCase(binary, folder, c)
}

// crowd is a crowd of clients beside each daemon, with one connection each.
type crowd struct {
	clients int
	fields  string // header fields of each request, besides those that it needs
	ahead   int    // requests that a client sends before it waits for their answers
}

// crowdCase counts how often daemons exceed their memory beside a crowd of clients.
func crowdCase(binary, folder string, cr crowd) int {
	rec := newRecord(filepath.Join(folder, "record.txt"))
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return 2
	}
	defer os.RemoveAll(dir)
	st, err := newStore()
	if err != nil {
		return 2
	}
	st.put("op", "config", configuration{
		Version: "r1",
		Routes: []route{
			{Name: "proof-view", Host: host, PathPrefix: "/proof/", Kind: "idempotent", TimeoutMs: 2000, TargetLatencyMs: 2000, Priority: 2, Service: "nahled", MaxAttempts: 2, Public: true},
		},
		Services: []serviceInfo{{"nahled", "/health", 676}},
		Limits:   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		Tenants:  []tenant{{"pulo780", []string{"6wsjnbanfqasnmgkcuyj"}, 51, 51}},
	}.encode())
	var ds []*daemon
	for i, zone := range []string{"fuk-a", "kag-a"} {
		e := newEndpoint(fmt.Sprintf("i-%d", i+1), "nahled", headsSlots)
		e.work = 290 * time.Millisecond
		d := newDaemon(fmt.Sprintf("sidecar-%d", i+1), "127.0.0.1", zone, "fukuoka", "nahled", e.addr(), st.addr, dir, binary)
		d.memoryMB = headsMemoryMB
		if err := d.start(); err != nil {
			rec.line("cannot start %s: %v", d.name, err)
			return 2
		}
		defer d.kill()
		e.start(d.control)
		ds = append(ds, d)
	}
	if !waitReady(ds, 10*time.Second) {
		rec.line("the daemons are not ready")
		return 2
	}
	time.Sleep(time.Second)
	rec.line("%d clients beside each of %d daemons, %d bytes of further header fields in %d fields, %d requests at a time",
		cr.clients, len(ds), len(cr.fields), strings.Count(cr.fields, "\r\n"), cr.ahead)
	stop := make(chan struct{})
	var answered [1000]atomic.Int64
	var broken atomic.Int64
	var clients, watches sync.WaitGroup
	ends := make([]int, len(ds))
	for i, d := range ds {
		watches.Go(func() { ends[i] = watchMemory(d, rec, stop) })
		for n := range cr.clients {
			clients.Go(func() {
				for k := 0; ; k++ {
					select {
					case <-stop:
						return
					default:
					}
					if !cr.client(d, fmt.Sprintf("h%d-%d-%d", i, n, k), stop, &answered) {
						broken.Add(1)
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		}
	}
	time.Sleep(headsFor)
	close(stop)
	clients.Wait()
	watches.Wait()
	for code := range answered {
		if n := answered[code].Load(); n > 0 {
			rec.line("%d requests were answered %d", n, code)
		}
	}
	rec.line("%d connections ended without an answer or could not be opened", broken.Load())
	machines := 0
	for _, n := range ends {
		if n >= endsToBreak {
			machines++
		}
	}
	rec.line("%d machines with %d ends or more", machines, endsToBreak)
	if machines >= 2 {
		return 1
	}
	return 0
}

// client sends requests on one connection until it ends, some at a time. It returns
// false when a request got no answer.
func (cr *crowd) client(d *daemon, id string, stop chan struct{}, answered *[1000]atomic.Int64) bool {
	// Another address than the daemon's keeps the ports of its listeners free.
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9)}}
	c, err := dialer.Dial("tcp", d.outbound)
	if err != nil {
		return false
	}
	defer c.Close()
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		select {
		case <-stop:
			return true
		default:
		}
		_ = c.SetDeadline(time.Now().Add(6 * time.Second))
		var requests bytes.Buffer
		for k := range cr.ahead {
			fmt.Fprintf(&requests, "GET /proof/a HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s-%d-%d\r\nX-Deadline-Ms: 6000\r\n%s\r\n", host, id, n, k, cr.fields)
		}
		if _, err := c.Write(requests.Bytes()); err != nil {
			return false
		}
		refused := false
		for range cr.ahead {
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				return false
			}
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if err != nil {
				return false
			}
			answered[resp.StatusCode%1000].Add(1)
			refused = refused || resp.StatusCode != http.StatusOK
			if resp.Close {
				return true
			}
		}
		if refused {
			time.Sleep(200 * time.Millisecond)
		}
	}
}
