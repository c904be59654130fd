package ingress

import (
	"sync"
	"time"
)

// workerIdle is how long a goroutine waits for a further request. Goroutines are used
// again because the stack of a new one grows anew for each request: that took a tenth
// of the processor time of short requests.
const workerIdle = 10 * time.Second

// workers is a pool of goroutines that run requests.
type workers struct {
	mu     sync.Mutex
	idle   []*worker // the last one was used last
	closed bool
}

type worker struct {
	tasks chan task
	since int64 // when it became idle
}

type task struct {
	c *conn
	r *Request
}

// start runs a request in a goroutine of its own.
func (s *Server) start(c *conn, r *Request) {
	p := &s.workers
	p.mu.Lock()
	n := len(p.idle)
	if n == 0 {
		p.mu.Unlock()
		w := &worker{tasks: make(chan task, 1)}
		go s.work(w, task{c, r})
		return
	}
	w := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	p.mu.Unlock()
	w.tasks <- task{c, r}
}

func (s *Server) work(w *worker, t task) {
	for ok := true; ok; t, ok = <-w.tasks {
		t.c.run(t.r)
		t = task{}
		w.since = s.now()
		if !s.workers.rest(w) {
			return
		}
	}
}

// rest adds a worker to the idle ones. It returns false when the pool is closed.
func (p *workers) rest(w *worker) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.idle = append(p.idle, w)
	return true
}

// trim ends workers that have been idle since before a time.
func (p *workers) trim(before int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for n < len(p.idle) && p.idle[n].since < before {
		close(p.idle[n].tasks)
		n++
	}
	rest := copy(p.idle, p.idle[n:])
	clear(p.idle[rest:])
	p.idle = p.idle[:rest]
}

// close ends the idle workers, and the others when they become idle.
func (p *workers) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.trim(1 << 62)
}
