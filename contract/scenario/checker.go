package scenario

import (
	"fmt"
	"slices"
	"time"

	"wisteriafold/contract"
)

// tolerance is the excess, in tokens, that is attributed to rounding errors.
const tolerance = 1e-3

// Checker records every admission and checks every window that ends with it:
// admitted <= rate*window + burst. It keeps the largest excess of any window
// over rate*window, which decreases with time and grows with each admission.
type Checker struct {
	contracts map[string]*ledger
	Violation error   // first window that exceeded its bound
	Overshoot float64 // largest number of tokens by which a window exceeded its bound
}

type ledger struct {
	versions []contract.Contract // versions that some process may still act on, oldest first
	settled  time.Duration       // time since which every process acts on the newest version, -1 while one does not
	windows  []*window
	admitted int64
}

// Ticket is an admission that may be withdrawn if its request was not run.
type Ticket struct {
	ledger    *ledger
	tokens    float64
	minExcess map[*window]float64 // smallest excess of each window since the admission
}

// window tracks all windows that begin after a certain change of the bound.
type window struct {
	burst  float64 // largest burst since the first of these windows began
	excess float64
	at     time.Duration
	held   []*Ticket
}

// advance reduces the excess for the time that has passed until now.
func (w *window) advance(now time.Duration, rate float64) {
	w.excess = max(0, w.excess-rate*(now-w.at).Seconds())
	w.at = now
	for _, t := range w.held {
		t.minExcess[w] = min(t.minExcess[w], w.excess)
	}
}

// maxWindows is the number of windows kept for a contract, each for the time since
// one of the latest changes of its bound. Windows that begin earlier are not
// checked.
const maxWindows = 4

// NewChecker returns a Checker without contracts.
func NewChecker() *Checker { return &Checker{contracts: make(map[string]*ledger)} }

// Admitted returns the number of tokens of a contract that were admitted and not
// withdrawn so far.
func (c *Checker) Admitted(name string) int64 { return c.contracts[name].admitted }

// Allow adds a version of a contract. Until every process acts on it, the largest
// of the rates and bursts in use are the bound.
func (c *Checker) Allow(k contract.Contract) {
	l := c.contracts[k.Name]
	if l == nil {
		l = &ledger{windows: []*window{{}}}
		c.contracts[k.Name] = l
	}
	l.versions = append(l.versions, k)
	l.settled = -1
}

// Follow drops the older versions of each contract once every process has acted on
// the newest version for the time loans, the longest that loans can last.
func (c *Checker) Follow(f *Fleet, loans time.Duration) {
	for name, l := range c.contracts {
		if len(l.versions) == 1 {
			continue
		}
		newest := l.versions[len(l.versions)-1]
		if !f.actsOn(name, newest.Version) {
			l.settled = -1
			continue
		}
		if l.settled < 0 {
			l.settled = f.Now
		}
		if f.Now-l.settled < loans {
			continue
		}
		l.versions = l.versions[len(l.versions)-1:]
		l.windows = append(l.windows, &window{at: f.Now})
		if len(l.windows) > maxWindows {
			l.windows = l.windows[1:]
		}
	}
}

// actsOn reports whether every live process acts on that version of the contract
// and has settled at it.
func (f *Fleet) actsOn(name string, version uint64) bool {
	for _, d := range f.Daemons {
		if !d.Alive {
			continue
		}
		for _, s := range d.Machine.Status(d.Clock()).Shares {
			if s.Contract == name && (s.Version != version || !s.Settled) {
				return false
			}
		}
	}
	return true
}

// bound returns the largest rate and the largest burst of the versions that may be
// in use.
func (l *ledger) bound() (rate, burst float64) {
	for _, v := range l.versions {
		rate, burst = max(rate, v.Rate), max(burst, v.Burst)
	}
	return rate, burst
}

// Admit records the admission of n tokens at the time now, which must never
// decrease.
func (c *Checker) Admit(now time.Duration, name string, n float64) *Ticket {
	l := c.contracts[name]
	l.admitted += int64(n)
	rate, burst := l.bound()
	t := &Ticket{ledger: l, tokens: n, minExcess: make(map[*window]float64)}
	for _, w := range l.windows {
		w.advance(now, rate)
		w.burst = max(w.burst, burst)
		w.excess += n
		t.minExcess[w] = w.excess
		over := w.excess - w.burst
		if over <= tolerance {
			continue
		}
		c.Overshoot = max(c.Overshoot, over)
		if c.Violation == nil {
			c.Violation = fmt.Errorf("%s at %v: a window admitted %.3f tokens more than rate*window+burst", name, now, over)
		}
	}
	return t
}

// Hold tracks an admission, so that it can be withdrawn, and returns its ticket.
func (t *Ticket) Hold() *Ticket {
	for _, w := range t.ledger.windows {
		w.held = append(w.held, t)
	}
	return t
}

// Withdraw removes an admission from the count: in each window, the part of it that
// has not been offset by the passing of time since.
func (c *Checker) Withdraw(now time.Duration, t *Ticket) {
	rate, _ := t.ledger.bound()
	for _, w := range t.ledger.windows {
		low, ok := t.minExcess[w]
		if !ok {
			continue
		}
		w.advance(now, rate)
		low = min(low, w.excess)
		w.excess -= min(t.tokens, low)
		w.held = slices.DeleteFunc(w.held, func(o *Ticket) bool { return o == t })
	}
	t.ledger.admitted -= int64(t.tokens)
}
