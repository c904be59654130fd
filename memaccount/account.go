// Package memaccount bounds the bytes that a process holds for requests in progress. A
// reader reserves room before it reads, and waits while there is none, so that the
// sender is slowed down by its connection. The package uses no network.
package memaccount

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
)

var (
	// ErrTooLarge is returned for a holding that would exceed the limit of its part even
	// if nothing else were held.
	ErrTooLarge = errors.New("one holding exceeds the memory account, raise the memory limit or send less")

	// ErrNoRoom is returned to a waiting holding when every holder waits for others to
	// release memory, and this one is to give up.
	ErrNoRoom = errors.New("all holders of the memory account wait for each other, try again later or raise the memory limit")
)

// Account bounds the bytes of all its parts together. It is safe for concurrent use.
type Account struct {
	mu      sync.Mutex
	limit   int64
	used    int64
	blocked int64 // bytes held by holdings that wait
	parts   []*Part
	waits   int64 // number of reservations that had to wait
	refused int64 // number of reservations that failed
	denied  int64 // bytes that TryReserve found no room for since the last Wanted
}

// Part bounds the bytes of one kind of holding within an account. A part that is
// smaller than the account leaves room for the others.
type Part struct {
	account *Account
	limit   int64
	used    int64
	blocked int64     // bytes held by holdings that wait
	waiting []*waiter // in order of arrival
}

// Holding is what is held for one request. It is used by one goroutine at a time. The
// zero value and nil hold nothing and reserve nothing.
type Holding struct {
	part  *Part
	bytes int64 // guarded by Account.mu
}

// waiter is a reservation that waits for room.
type waiter struct {
	holding *Holding
	n       int64
	err     error
	done    chan struct{} // closed when the reservation has been granted or has failed
}

// Stats are figures of an account.
type Stats struct {
	Limit, Used int64 // bytes
	Waiting     int   // reservations that wait now
	Waits       int64 // reservations that had to wait
	Refused     int64 // reservations that failed
}

// New returns an account with a limit in bytes.
func New(limit int64) *Account { return &Account{limit: limit} }

// Part adds a part with a limit of its own in bytes.
func (a *Account) Part(limit int64) *Part {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := &Part{account: a, limit: min(limit, a.limit)}
	a.parts = append(a.parts, p)
	return p
}

// Stats returns the figures of the account.
func (a *Account) Stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := Stats{Limit: a.limit, Used: a.used, Waits: a.waits, Refused: a.refused}
	for _, p := range a.parts {
		s.Waiting += len(p.waiting)
	}
	return s
}

// Wanted returns the bytes for which reservations wait, and those for which there was no
// room since the last call.
func (a *Account) Wanted() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := a.denied
	a.denied = 0
	for _, p := range a.parts {
		for _, w := range p.waiting {
			n += w.n
		}
	}
	return n
}

// Limit returns the limit of the part in bytes.
func (p *Part) Limit() int64 { return p.limit }

// Used returns the bytes that are held in the part.
func (p *Part) Used() int64 {
	p.account.mu.Lock()
	defer p.account.mu.Unlock()
	return p.used
}

// Hold returns a holding of 0 bytes.
func (p *Part) Hold() *Holding { return &Holding{part: p} }

// Bytes returns the bytes that are held.
func (h *Holding) Bytes() int64 {
	if h == nil || h.part == nil {
		return 0
	}
	h.part.account.mu.Lock()
	defer h.part.account.mu.Unlock()
	return h.bytes
}

// Limit returns the largest number of bytes that the holding can have.
func (h *Holding) Limit() int64 {
	if h == nil || h.part == nil {
		return math.MaxInt64
	}
	return h.part.limit
}

// TryReserve adds n bytes to the holding and reports whether there was room.
func (h *Holding) TryReserve(n int64) bool {
	if h == nil || h.part == nil || n <= 0 {
		return true
	}
	a := h.part.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if !h.part.passes(n) || !h.part.fits(n) {
		a.refused++
		a.denied += n
		return false
	}
	h.add(n)
	return true
}

// Reserve adds n bytes to the holding. It waits for room until ctx ends. When it
// returns an error, it has added nothing.
func (h *Holding) Reserve(ctx context.Context, n int64) error {
	if h == nil || h.part == nil || n <= 0 {
		return nil
	}
	w, err := h.enqueue(n)
	if w == nil {
		return err
	}
	select {
	case <-w.done:
		return w.err
	case <-ctx.Done():
		return h.part.account.cancel(w, context.Cause(ctx))
	}
}

// enqueue reserves n bytes at once, fails, or returns a waiter.
func (h *Holding) enqueue(n int64) (*waiter, error) {
	a := h.part.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.bytes+n > h.part.limit {
		a.refused++
		return nil, ErrTooLarge
	}
	if h.part.passes(n) && h.part.fits(n) {
		h.add(n)
		return nil, nil
	}
	w := &waiter{holding: h, n: n, done: make(chan struct{})}
	h.part.waiting = append(h.part.waiting, w)
	h.part.blocked += h.bytes
	a.blocked += h.bytes
	a.waits++
	a.grant()
	return w, nil
}

// cancel ends a wait. It returns nil when the reservation was granted meanwhile.
func (a *Account) cancel(w *waiter, cause error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-w.done:
		return w.err
	default:
	}
	a.remove(w, cause)
	a.grant()
	return cause
}

// Trim gives back what is held above n bytes.
func (h *Holding) Trim(n int64) {
	if h == nil || h.part == nil {
		return
	}
	a := h.part.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.bytes > n {
		h.add(n - h.bytes)
		a.grant()
	}
}

// Release gives back what is held. It may be called more than once.
func (h *Holding) Release() { h.Trim(0) }

func (h *Holding) add(n int64) {
	h.bytes += n
	h.part.used += n
	h.part.account.used += n
}

func (p *Part) fits(n int64) bool {
	return p.used+n <= p.limit && p.account.used+n <= p.account.limit
}

// smallFraction is the fraction of a part up to which a reservation is small. Small
// reservations overtake larger ones that wait, so that one long answer does not hold up
// the ordinary ones.
const smallFraction = 64

func (p *Part) small(n int64) bool { return n <= p.limit/smallFraction }

// passes reports whether a new reservation need not queue behind those that wait.
func (p *Part) passes(n int64) bool { return len(p.waiting) == 0 || p.small(n) }

// remove takes a waiter out of its queue and ends its wait.
func (a *Account) remove(w *waiter, err error) {
	p := w.holding.part
	i := slices.Index(p.waiting, w)
	p.waiting = slices.Delete(p.waiting, i, i+1)
	p.blocked -= w.holding.bytes
	a.blocked -= w.holding.bytes
	if err != nil {
		a.refused++
	}
	w.err = err
	close(w.done)
}

// grant grants the reservations for which there is room, in order of arrival within
// each part, small ones also behind a larger one that has to wait. When nobody is left that could release memory, the newest holder that
// waits gives up.
func (a *Account) grant() {
	for _, p := range a.parts {
		blocked := false // a larger reservation has to wait
		for _, w := range slices.Clone(p.waiting) {
			if !p.fits(w.n) || blocked && !p.small(w.n) {
				blocked = true
				continue
			}
			a.remove(w, nil)
			w.holding.add(w.n)
		}
	}
	for _, p := range a.parts {
		if len(p.waiting) == 0 || p.used == 0 {
			continue
		}
		full := p.used+p.waiting[0].n > p.limit
		if full && p.used == p.blocked || a.used == a.blocked {
			a.giveUp(p)
		}
	}
}

// giveUp ends the wait of the newest waiter of the part that holds memory. Its holder
// releases what it holds once it has seen the error; until then it does not count as
// blocked, so that no other one gives up.
func (a *Account) giveUp(p *Part) {
	for _, w := range slices.Backward(p.waiting) {
		if w.holding.bytes > 0 {
			a.remove(w, ErrNoRoom)
			return
		}
	}
}
