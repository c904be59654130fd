package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// returningHolder suspends one of three daemons. When it goes on, it still holds its
// share of a tenant's tokens, which the others have earned again meanwhile.
func returningHolder(w *world, trouble bool) string {
	const (
		ratePerS  = 100
		burst     = 700
		suspended = 10 * time.Second
		window    = 5 * time.Second // quotaWindowS
		overshoot = 0.1             // quotaOvershoot
		slack     = 20              // quotaSlack
		early     = time.Second
		span      = 4 * time.Second // in which the tenant sends more than its limit
	)
	for _, zone := range []string{"fuk-a", "fuk-a", "kag-a"} {
		w.add(zone, "fukuoka", "archive")
	}
	w.configure(1, []route{
		{"view", "h.example", "/view/", "idempotent", 1500, 1500, 2, "archive", 2, false},
	}, tenant{"t1", []string{"key-1"}, 1, ratePerS, burst})
	var ends []*endpoint
	for i, n := range w.nodes {
		n.startDaemon()
		e := n.startEndpoint(fmt.Sprintf("i-%d", i+1))
		e.answer = func(c net.Conn, r *http.Request, _ []byte) {
			time.Sleep(5 * time.Millisecond)
			id := r.Header.Get("X-Attempt-Id")
			e.reply(c, id, "answer to "+id)
		}
		e.beats()
		ends = append(ends, e)
	}
	w.awaitReady()
	time.Sleep(burst/ratePerS*time.Second + 2*time.Second) // the tenant may use its whole burst

	held := w.nodes[2]
	thaw := time.Now().Add(suspended)
	if trouble {
		held.signal(syscall.SIGSTOP)
	}
	time.Sleep(suspended - early)

	var mu sync.Mutex
	sent := map[string]time.Time{}
	statuses := map[int]int{}
	var wg sync.WaitGroup
	request := func(n *node, id string) {
		defer wg.Done()
		mu.Lock()
		sent[id] = time.Now()
		mu.Unlock()
		r := get(n.outbound(), "/view/x", id, "key-1", 2000)
		mu.Lock()
		statuses[r.status]++
		mu.Unlock()
		w.log("client of %s got status %d", id, r.status)
	}
	w.log("the tenant sends many times its usual")
	wg.Add(1)
	go func() {
		defer wg.Done()
		time.Sleep(time.Until(thaw))
		if trouble {
			held.signal(syscall.SIGCONT)
		}
		for i := 0; time.Since(thaw) < span; i++ {
			wg.Add(1)
			go request(held, fmt.Sprintf("held-%d", i))
			time.Sleep(5 * time.Millisecond)
		}
	}()
	for i := 0; time.Since(thaw) < span; i++ {
		for k, n := range w.nodes[:2] {
			wg.Add(1)
			go request(n, fmt.Sprintf("other%d-%d", k, i))
		}
		time.Sleep(2 * time.Millisecond)
	}
	wg.Wait()
	w.log("answers by status: %v", statuses)

	type arrival struct{ sent, ran time.Time }
	var all []arrival
	byHeld := 0
	for _, e := range ends {
		for _, x := range e.ran("") {
			all = append(all, arrival{sent[x.id], x.at})
			if strings.HasPrefix(x.id, "held-") {
				byHeld++
			}
			w.log("%s was sent at %.3f and ran at %.3f", x.id, sent[x.id].Sub(w.start).Seconds(), x.at.Sub(w.start).Seconds())
		}
	}
	most, from := 0, w.start // the rule counts requests that are both sent and run in the window
	for _, first := range all {
		n := 0
		for _, x := range all {
			if !x.sent.Before(first.sent) && x.ran.Sub(first.sent) <= window {
				n++
			}
		}
		if n > most {
			most, from = n, first.sent
		}
	}
	limit := (ratePerS*window.Seconds()+burst)*(1+overshoot) + slack
	w.log("at most %d requests in %v, from %.3f; the limit is %.0f; %d of all runs came through %s", most, window, from.Sub(w.start).Seconds(), limit, byHeld, held.name)
	if float64(most) > limit {
		return fmt.Sprintf("QUOTA: %d requests in %v, the limit is %.0f", most, window, limit)
	}
	return ""
}
