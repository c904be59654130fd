package soak

import (
	"sync"
	"time"
)

// Attempt is one request as its caller saw it. Times are since the start of the run.
type Attempt struct {
	ID         string
	Idempotent bool
	Key        string // key that it carried
	Entry      int    // daemon that it was sent to
	Sent       time.Duration
	Ended      time.Duration
	Status     int    // 0 when there was no answer
	Fault      string // what is wrong with the answer as such, empty for nothing
}

// Execution is one request that a backend server has run.
type Execution struct {
	ID     string
	Server int
	Life   int // incarnation of the backend server
	At     time.Duration
}

// Leaving is a leaving of a backend server that its daemon has acknowledged.
type Leaving struct {
	Server, Life int
	Acknowledged time.Duration
}

// Withdrawal is a key that was withdrawn; the store has confirmed it at At.
type Withdrawal struct {
	Key string
	At  time.Duration
}

// Span is a time during which something was disturbed.
type Span struct{ From, To time.Duration }

// History is what a run has seen.
type History struct {
	Attempts    []Attempt
	Runs        []Execution
	Leavings    []Leaving
	Withdrawals []Withdrawal
	Disturbed   map[int][]Span // by daemon: not running, stopped, or starting
	Store       []Span         // disturbances of the store
	Ends        []string       // processes that ended by themselves
}

// recorder collects a History. It is safe for concurrent use.
type recorder struct {
	start time.Time

	mu sync.Mutex
	h  History
}

func newRecorder() *recorder {
	return &recorder{start: time.Now(), h: History{Disturbed: make(map[int][]Span)}}
}

// now returns the time since the start of the run.
func (r *recorder) now() time.Duration { return time.Since(r.start) }

// record changes the history.
func (r *recorder) record(change func(h *History)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.h)
}

// disturb records a disturbance of a daemon, from its begin to the call of the result.
func (r *recorder) disturb(daemon int) (end func()) {
	from := r.now()
	return func() {
		to := r.now()
		r.record(func(h *History) { h.Disturbed[daemon] = append(h.Disturbed[daemon], Span{from, to}) })
	}
}

// disturbStore is disturb for the store.
func (r *recorder) disturbStore() (end func()) {
	from := r.now()
	return func() {
		to := r.now()
		r.record(func(h *History) { h.Store = append(h.Store, Span{from, to}) })
	}
}
