package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// publicStop stops the only daemon of a data centre with SIGTERM. Its clients go on
// sending requests on a public route.
func publicStop(w *world, trouble bool) string {
	const (
		grace    = 6 * time.Second
		excused  = 3 * time.Second // requests sent up to then may be broken off late
		work     = 300 * time.Millisecond
		deadline = 5000
	)
	a := w.add("fuk-a", "fukuoka", "commissions") // the only daemon of its zone
	b := w.add("kum-a", "kumamoto", "payments")
	w.configure(1, []route{
		{"pay", "h.example", "/pay/", "non_idempotent", 8000, 2500, 2, "payments", 2, true},
	}, tenant{"t1", []string{"key-1"}, 1, 1000, 1000})
	ends := map[*node]*endpoint{}
	for i, n := range w.nodes {
		n.startDaemon()
		e := n.startEndpoint(fmt.Sprintf("i-%d", i))
		e.answer = func(c net.Conn, r *http.Request, _ []byte) {
			id := r.Header.Get("X-Attempt-Id")
			time.Sleep(work)
			e.reply(c, id, "answer to "+id)
			w.log("endpoint %s has finished %s", e.id, id)
		}
		e.beats()
		ends[n] = e
	}
	w.awaitReady()
	time.Sleep(4 * time.Second)

	const before, pause = 2 * time.Second, 50 * time.Millisecond
	stop := time.Now().Add(before)
	if trouble {
		time.AfterFunc(before, func() { a.signal(syscall.SIGTERM) })
	}
	zone := &platform{w: w, nodes: []*node{a}, misses: map[*node]int{}} // all daemons of this zone
	go zone.run()
	type result struct {
		id   string
		sent time.Duration
		got  reply
		took time.Duration
	}
	var mu sync.Mutex
	var results []result
	var wg sync.WaitGroup
	for i := 0; time.Since(stop) < grace+500*time.Millisecond; i++ {
		time.Sleep(pause)
		if !zone.givesWork(a) {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("pay-%d", i)
			sent := time.Since(stop)
			r := exchange(a.outbound(), head("POST", "/pay/x", id, "", deadline)+"Content-Length: 0\r\n\r\n", deadline*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, result{id, sent, r, time.Since(stop)})
			w.log("client %s sent its request %.2f s after the SIGTERM and got at %.2f s: %v %q", id, sent.Seconds(), time.Since(stop).Seconds(), r, trunc(r.body))
		}()
	}
	wg.Wait()
	time.Sleep(time.Until(stop.Add(grace + time.Second)))
	broken := ""
	n := 0
	for _, r := range results {
		ran := len(ends[b].ran(r.id)) > 0
		if r.sent > excused && ran && !(r.got.status == 200 && r.got.signed && r.got.whole) {
			n++
			if broken == "" {
				broken = fmt.Sprintf("%s, sent %.2f s after the SIGTERM, was passed on to %s and ended %.2f s after the SIGTERM with: %v", r.id, r.sent.Seconds(), ends[b].id, r.took.Seconds(), r.got)
			}
		}
	}
	if n > 0 {
		return fmt.Sprintf("LOST: %d requests, one of them: %s", n, broken)
	}
	return ""
}

// platform asks the daemons of a zone once per second whether they are ready.
type platform struct {
	w     *world
	nodes []*node

	mu     sync.Mutex
	misses map[*node]int
}

func (p *platform) run() {
	for range time.Tick(time.Second) {
		for _, n := range p.nodes {
			ready := n.isReady()
			p.w.log("platform asks %s, ready: %v", n.name, ready)
			p.mu.Lock()
			p.misses[n]++
			if ready {
				p.misses[n] = 0
			}
			p.mu.Unlock()
		}
	}
}

// givesWork reports whether the clients of a machine get new work: not after two
// misses, unless fewer than half of the zone's daemons are in.
func (p *platform) givesWork(n *node) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	in := 0
	for _, x := range p.nodes {
		if p.misses[x] < 2 {
			in++
		}
	}
	return p.misses[n] < 2 || 2*in < len(p.nodes)
}
