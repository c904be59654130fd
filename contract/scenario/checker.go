package scenario

import (
	"fmt"
	"slices"
	"time"

	"wisteriafold/contract"
)

// tolerance is for rounding, in tokens.
const tolerance = 1e-3

// Checker sees every admission and checks every window that ends with it:
// admitted <= rate*window + burst. It keeps the largest excess of any window
// over rate*window, which falls with time and grows with each admission.
type Checker struct {
	contracts map[string]*ledger
	Violation error // first window that broke its bound
	Overshoot float64
}

type ledger struct {
	versions []contract.Contract // those that some process may still act on, oldest first
	settled  time.Duration       // since when no process acts on any but the newest, -1 when some does
	windows  []*window
	admitted int64
}

// Ticket is an admission that may be withdrawn, because its request was not run.
type Ticket struct {
	ledger *ledger
	tokens float64
	low    map[*window]float64 // least excess since the admission
}

// window follows all windows that begin after a certain change of the bound.
type window struct {
	burst  float64 // largest since its beginning
	excess float64
	at     time.Duration
	open   []*Ticket
}

// leak moves the window on to now.
func (w *window) leak(now time.Duration, rate float64) {
	w.excess = max(0, w.excess-rate*(now-w.at).Seconds())
	w.at = now
	for _, t := range w.open {
		t.low[w] = min(t.low[w], w.excess)
	}
}

// keptWindows is how many changes of a bound a window can span and be checked.
const keptWindows = 4

// NewChecker returns a checker without contracts.
func NewChecker() *Checker { return &Checker{contracts: make(map[string]*ledger)} }

// Admitted returns the tokens of a contract that were admitted so far.
func (c *Checker) Admitted(name string) int64 { return c.contracts[name].admitted }

// Allow tells of a version of a contract. Until every process acts on it, the
// larger of the rates and bursts in use is the bound.
func (c *Checker) Allow(k contract.Contract) {
	l := c.contracts[k.Name]
	if l == nil {
		l = &ledger{windows: []*window{{}}}
		c.contracts[k.Name] = l
	}
	l.versions = append(l.versions, k)
	l.settled = -1
}

// Follow drops the versions that no process acts on any more, after the time
// that loans can last.
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
		if len(l.windows) > keptWindows {
			l.windows = l.windows[1:]
		}
	}
}

// actsOn reports whether every process acts on that version of the contract.
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

// rate and burst are the largest of those that may be acted on.
func (l *ledger) bound() (rate, burst float64) {
	for _, v := range l.versions {
		rate, burst = max(rate, v.Rate), max(burst, v.Burst)
	}
	return rate, burst
}

// Admit records n tokens at a time that never goes back.
func (c *Checker) Admit(now time.Duration, name string, n float64) *Ticket {
	l := c.contracts[name]
	l.admitted += int64(n)
	rate, burst := l.bound()
	t := &Ticket{ledger: l, tokens: n, low: make(map[*window]float64)}
	for _, w := range l.windows {
		w.leak(now, rate)
		w.burst = max(w.burst, burst)
		w.excess += n
		t.low[w] = w.excess
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

// Hold keeps an admission open, so that it can be withdrawn.
func (t *Ticket) Hold() *Ticket {
	for _, w := range t.ledger.windows {
		w.open = append(w.open, t)
	}
	return t
}

// Withdraw takes an admission out of the count: in each window, as much of it
// as has not been made up for by time since.
func (c *Checker) Withdraw(now time.Duration, t *Ticket) {
	rate, _ := t.ledger.bound()
	for _, w := range t.ledger.windows {
		low, ok := t.low[w]
		if !ok {
			continue
		}
		w.leak(now, rate)
		low = min(low, w.excess)
		w.excess -= min(t.tokens, low)
		w.open = slices.DeleteFunc(w.open, func(o *Ticket) bool { return o == t })
	}
	t.ledger.admitted -= int64(t.tokens)
}
