package standin

import "sync"

// Ledger records what the backend servers of one deployment ran, so that a
// second run of a non-idempotent order is seen wherever it happens. It is safe
// for concurrent use.
type Ledger struct {
	mu     sync.Mutex
	runs   map[string]int // order -> runs that were started
	keys   int
	served int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: make(map[string]int)} }

// Run records that a backend server started the work of an order at one service.
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

// Ran returns how often the order was started at the service.
func (l *Ledger) Ran(service, order string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[service+"/"+order]
}

// Totals is a summary of a ledger.
type Totals struct {
	Served     int // calls that were started, of all kinds
	SecondRuns int // starts of an order beyond its first, per service
	KeysSeen   int // requests in which a key was found
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
