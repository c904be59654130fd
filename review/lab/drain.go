package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	drain  = 2500 * time.Millisecond // drainMs
	stable = 3 * time.Second         // stableMs
)

// payments is a deployment with clients of a service that has two endpoints.
type payments struct {
	w       *world
	entry   *node // takes the requests of the clients
	leaving *node // its endpoint leaves
	leaver  *endpoint
	other   *endpoint

	mu      sync.Mutex
	results map[string]reply
	stop    chan struct{}
	done    sync.WaitGroup
}

// startPayments starts the deployment and waits until all machines are in touch.
func startPayments(w *world) *payments {
	p := &payments{w: w, results: map[string]reply{}, stop: make(chan struct{})}
	p.entry = w.add("fuk-a", "fukuoka", "archive")
	p.leaving = w.add("fuk-a", "fukuoka", "payments")
	third := w.add("kum-a", "kumamoto", "payments")
	w.configure(1, []route{
		{"pay", "h.example", "/pay/", "non_idempotent", 5000, 2500, 2, "payments", 2, false},
	}, tenant{"t1", []string{"key-1"}, 1, 1000, 1000})
	for i, n := range w.nodes {
		n.startDaemon()
		e := n.startEndpoint(fmt.Sprintf("i-%d", i+1))
		e.answer = func(c net.Conn, r *http.Request, _ []byte) {
			time.Sleep(200 * time.Millisecond)
			id := r.Header.Get("X-Attempt-Id")
			e.reply(c, id, "answer to "+id)
		}
		e.beats()
		switch n {
		case p.leaving:
			p.leaver = e
		case third:
			p.other = e
		}
	}
	w.awaitReady()
	time.Sleep(stable + time.Second)
	return p
}

// send sends requests on the entry's machine until finish is called.
func (p *payments) send() {
	p.done.Add(1)
	go func() {
		defer p.done.Done()
		for i := 0; ; i++ {
			select {
			case <-p.stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
			p.done.Add(1)
			go func() {
				defer p.done.Done()
				id := fmt.Sprintf("pay-%d", i)
				p.w.log("client sends %s", id)
				r := exchange(p.entry.outbound(), head("POST", "/pay/x", id, "key-1", 5000)+"Content-Length: 0\r\n\r\n", 6*time.Second)
				p.w.log("client of %s: %v", id, r)
				p.mu.Lock()
				p.results[id] = r
				p.mu.Unlock()
			}()
		}
	}()
}

// finish ends the clients and checks the rule DRAIN: requests that reached the leaving
// endpoint later than drainMs after the acknowledgement, while all machines were in
// touch since from.
func (p *payments) finish(acked, from time.Time) string {
	close(p.stop)
	p.done.Wait()
	late, lost, first := 0, 0, ""
	for _, x := range p.leaver.ran("pay-") {
		if x.at.Sub(acked) <= drain || x.at.Before(from) {
			continue
		}
		late++
		if first == "" {
			first = fmt.Sprintf("%s reached %s %.2f s after the acknowledgement", x.id, p.leaver.id, x.at.Sub(acked).Seconds())
		}
		if p.results[x.id].status != http.StatusOK {
			lost++
		}
	}
	p.w.log("%d requests reached the leaving endpoint later than drainMs, %d of them were lost as it exited; the other endpoint ran %d requests", late, lost, len(p.other.ran("pay-")))
	if late > 0 {
		return fmt.Sprintf("DRAIN: %d requests, the first: %s; %d of them were lost as the endpoint exited", late, first, lost)
	}
	return ""
}

// lateBeat restarts a daemon after it has acknowledged that its endpoint leaves. A
// heartbeat that the endpoint had sent before arrives some seconds late.
func lateBeat(w *world, trouble bool) string {
	p := startPayments(w)
	p.send()
	time.Sleep(time.Second)

	late := p.leaver.nextBeat() // on its way from here on
	w.log("endpoint %s sends a heartbeat, which will arrive late: %s", p.leaver.id, late)
	p.leaver.stopBeats()
	if !p.leaver.deregister() {
		cannotRun("the deregistration is not acknowledged")
	}
	acked := time.Now()
	w.log("daemon %s has acknowledged that %s leaves", p.leaving.name, p.leaver.id)
	time.Sleep(300 * time.Millisecond)
	if trouble {
		p.leaving.kill()
		time.Sleep(500 * time.Millisecond)
		p.leaving.startDaemon()
	}
	started := time.Now()
	time.Sleep(stable + 500*time.Millisecond)
	w.log("the heartbeat arrives %.1f s late; acknowledged: %v", time.Since(acked).Seconds(), p.leaver.sendBeat(late))
	time.Sleep(2 * time.Second)
	p.leaver.exit()
	time.Sleep(time.Second)
	return p.finish(acked, started.Add(stable))
}

// foreignBeat lets another writer send a status report with missing fields. Later the
// endpoint drains.
func foreignBeat(w *world, trouble bool) string {
	p := startPayments(w)
	p.send()
	time.Sleep(time.Second)
	if trouble {
		body := fmt.Sprintf(`{"service":"payments","slots":54,"state":"ready","sequence":%d}`, time.Now().Unix())
		w.log("another writer sends a report without address, zone, version, coldRemainingMs and born: %s", body)
		w.log("acknowledged: %v", p.leaver.sendBeat([]byte(body)))
	}
	time.Sleep(4 * time.Second)
	p.leaver.setState("draining")
	if !p.leaver.beat() {
		cannotRun("the draining report is not acknowledged")
	}
	acked := time.Now()
	w.log("daemon %s has acknowledged that %s drains", p.leaving.name, p.leaver.id)
	time.Sleep(drain + 2*time.Second)
	w.log("endpoint %s deregisters; acknowledged: %v", p.leaver.id, p.leaver.deregister())
	p.leaver.stopBeats()
	p.leaver.exit()
	time.Sleep(time.Second)
	return p.finish(acked, acked)
}
