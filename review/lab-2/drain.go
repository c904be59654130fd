package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// record writes the lines of record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	return &record{file: f, start: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

const (
	drainBound  = 2500 * time.Millisecond // drainMs of the settings
	stableBound = 3 * time.Second         // stableMs of the settings
	lateBy      = 2500 * time.Millisecond // how late the report arrives
)

// leaving is the moment at which the deregistration of an endpoint was acknowledged.
type leaving struct {
	rec     *record
	daemons []*daemon
	from    *endpoint // the endpoint that has deregistered, beside the first daemon
	acked   time.Time
	calmAt  time.Time // from then on all daemons are undisturbed
}

// drainCase kills all processes of the system right after a deregistration was
// acknowledged, and starts them again.
func drainCase(binary, folder string, trouble bool) int {
	return leavingCase(binary, folder, func(l *leaving) bool {
		if !trouble {
			return true
		}
		for _, d := range l.daemons {
			d.signal(syscall.SIGKILL)
		}
		for _, d := range l.daemons {
			d.kill()
		}
		l.rec.line("all daemons were killed")
		time.Sleep(time.Second)
		for _, d := range l.daemons {
			d.bootstrap = false
			if err := d.start(); err != nil {
				return false
			}
		}
		l.rec.line("all daemons were started again")
		l.calmAt = time.Now()
		return true
	})
}

// foreignCase sends a status report of another writer, without the field born, to the
// daemon that has acknowledged the deregistration.
func foreignCase(binary, folder string, trouble bool) int {
	return leavingCase(binary, folder, func(l *leaving) bool {
		if !trouble {
			return true
		}
		time.Sleep(2 * time.Second)
		writer := &endpoint{id: "i-9", control: l.daemons[0].control}
		ok := writer.post("Instances.Heartbeat", fmt.Sprintf(`{"service":%q,"address":%q,"zone":"fuk-a","version":"v1","slots":54,"state":"ready","coldRemainingMs":0,"sequence":1}`,
			l.from.service, l.from.addr()))
		l.rec.line("a report of another writer, without born, arrives, acknowledged %v", ok)
		return true
	})
}

// leavingCase lets an endpoint deregister, which its daemon acknowledges, and then calls
// disrupt. Afterwards a status report that the endpoint sent before arrives late.
func leavingCase(binary, folder string, disrupt func(*leaving) bool) int {
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
			{Name: "commission", Host: host, PathPrefix: "/commission/", Kind: "non_idempotent", TimeoutMs: 1500, TargetLatencyMs: 1000, Service: "commissions", MaxAttempts: 2, Public: true},
		},
		Services: []serviceInfo{{"commissions", "/health", 424}, {"archive", "/health", 424}},
		Limits:   map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		Tenants:  []tenant{{"pulo780", []string{"6wsjnbanfqasnmgkcuyj"}, 51, 51}},
	}.encode())
	places := []struct{ zone, region, service string }{
		{"fuk-a", "fukuoka", "commissions"}, {"kag-a", "fukuoka", "commissions"}, {"kum-a", "kumamoto", "archive"},
	}
	var ds []*daemon
	var es []*endpoint
	for i, p := range places {
		e := newEndpoint(fmt.Sprintf("i-%d", i+1), p.service, 54)
		e.work = 50 * time.Millisecond
		d := newDaemon(fmt.Sprintf("sidecar-%d", i+1), "127.0.0.1", p.zone, p.region, p.service, e.addr(), st.addr, dir, binary)
		if err := d.start(); err != nil {
			rec.line("cannot start %s: %v", d.name, err)
			return 2
		}
		defer d.kill()
		e.start(d.control)
		ds, es = append(ds, d), append(es, e)
	}
	if !waitReady(ds, 10*time.Second) {
		rec.line("the daemons are not ready")
		return 2
	}
	time.Sleep(stableBound + time.Second) // all are in touch

	// Clients beside the third daemon send for the whole time.
	stopClients := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 4 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := 0; ; n++ {
				select {
				case <-stopClients:
					return
				case <-time.After(50 * time.Millisecond):
				}
				id := fmt.Sprintf("c%d-%d", i, n)
				req, _ := http.NewRequest(http.MethodPost, "http://"+ds[2].outbound+"/commission/a", bytes.NewReader([]byte("one horse")))
				req.Host = host
				req.Header.Set("X-Attempt-Id", id)
				req.Header.Set("X-Deadline-Ms", "2000")
				c := http.Client{Timeout: 2 * time.Second}
				resp, err := c.Do(req)
				if err != nil {
					rec.line("client: %s sent, no answer: %v", id, err)
				} else {
					rec.line("client: %s sent, answered %d by %s", id, resp.StatusCode, resp.Header.Get("X-Server-Signature"))
					resp.Body.Close()
				}
				c.CloseIdleConnections()
			}
		}()
	}
	defer func() { close(stopClients); clients.Wait() }()
	time.Sleep(time.Second)

	// The first endpoint leaves. Its last report before that is still on its way.
	l := &leaving{rec: rec, daemons: ds, from: es[0]}
	late := l.from.leave()
	if late == 0 {
		rec.line("the deregistration was not acknowledged")
		return 2
	}
	l.acked, l.calmAt = time.Now(), time.Now()
	if !disrupt(l) {
		rec.line("a daemon could not be started again")
		return 2
	}
	rec.line("endpoint %s: its deregistration was acknowledged by %s %.3f s ago", l.from.id, ds[0].name, time.Since(l.acked).Seconds())
	time.Sleep(time.Until(l.acked.Add(lateBy)))
	ok := l.from.report("ready", late)
	rec.line("endpoint %s: its report of before the deregistration (sequence %d) arrives, acknowledged %v", l.from.id, late, ok)
	if !waitReady(ds, 10*time.Second) {
		rec.line("the daemons are not ready")
		return 2
	}
	from := l.acked.Add(drainBound)
	if s := l.calmAt.Add(stableBound); s.After(from) {
		from = s
	}
	from = from.Add(500 * time.Millisecond)
	time.Sleep(time.Until(from.Add(3 * time.Second)))
	broken := 0
	for _, r := range l.from.runs() {
		if r.At.After(from) {
			broken++
			rec.line("endpoint %s ran %s %.3f s after the acknowledgement", l.from.id, r.get("X-Attempt-Id"), r.At.Sub(l.acked).Seconds())
		}
	}
	l.from.ln.Close()
	rec.line("%d requests ran at the endpoint later than drainMs after the acknowledgement, sent by daemons in touch", broken)
	if broken > 0 {
		return 1
	}
	return 0
}
