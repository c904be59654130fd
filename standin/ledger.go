package standin

import "sync"

// Ledger records the runs at all backend servers of one deployment, so that it
// detects a second run of a non-idempotent order at any of them. It is safe for
// concurrent use.
type Ledger struct {
	mu     sync.Mutex
	runs   map[string]int // service/order -> runs started
	keys   int
	served int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: make(map[string]int)} }

// Run records that a backend server of the service started a call. An empty order
// means that the call is idempotent and may run again.
func (l *Ledger) Run(service, order string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served++
	if order != "" {
		l.runs[service+"/"+order]++
	}
}

// KeySeen records that a key reached a backend server.
func (l *Ledger) KeySeen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keys++
}

// Ran returns the number of times that the order was started at the service.
func (l *Ledger) Ran(service, order string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[service+"/"+order]
}

// Totals holds the sums of a ledger.
type Totals struct {
	Served     int // calls started, idempotent ones included
	SecondRuns int // starts of an order at a service after its first there
	KeysSeen   int // requests that carried a key
}

// Totals returns the sums so far.
func (l *Ledger) Totals() Totals {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := Totals{Served: l.served, KeysSeen: l.keys}
	for _, n := range l.runs {
		if n > 1 {
			t.SecondRuns += n - 1
		}
	}
	return t
}
