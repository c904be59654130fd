package backend

import "time"

// ColdConfig is what the configuration says about cold backend servers of a service.
type ColdConfig struct {
	Rate  float64       // calls a second that a cold backend server tolerates; 0 turns the bound off
	Start time.Duration // usual length of the cold phase; default 3 s

	// Pace is the usual length of the slow phase after a start, during which the
	// concurrency limit follows the answers; 0 turns that off.
	Pace time.Duration
}

// ColdSource is where a word or a sign about coldness comes from.
type ColdSource uint8

// Sources. The first three carry what the backend server says of itself; the others
// are signs that it may have restarted.
const (
	ColdUnknown   ColdSource = iota // the daemon has not heard from the backend server yet
	ColdHeartbeat                   // heartbeat
	ColdHealth                      // response to a health check
	ColdAnswer                      // answer to a call
	ColdRefused                     // a connection was refused
	ColdReset                       // several connections were lost in a row
	ColdOtherID                     // a call was answered by a backend server with another id
	ColdElapsed                     // the time that the backend server had given is over
	ColdOff                         // the configuration sets no rate for cold backend servers
)

var coldSourceNames = [...]string{
	"start of the daemon", "heartbeat", "health check", "answer", "connection refused",
	"connections lost", "another backend server", "time elapsed", "configuration",
}

// String returns the name used in logs.
func (s ColdSource) String() string {
	if int(s) >= len(coldSourceNames) {
		return "unknown"
	}
	return coldSourceNames[s]
}

// ColdWord is what the backend server says about its coldness.
type ColdWord struct {
	Source    ColdSource    // ColdHeartbeat, ColdHealth or ColdAnswer
	Remaining time.Duration // 0 when it is not cold

	// AskedAt is the time at which the call or health check was sent. The backend
	// server has said the word after it.
	AskedAt time.Time

	// NewIncarnation is set on the first heartbeat of another incarnation.
	NewIncarnation bool
}

// ColdState is a snapshot of the coldness of a backend server.
type ColdState struct {
	On        bool // the configuration sets a rate
	Cold      bool
	UntilTold bool          // cold until the backend server says otherwise
	Remaining time.Duration // how much longer; the usual length of the phase while UntilTold is set
	By        ColdSource    // what began or ended the coldness
}

const (
	coldWindow = time.Second

	// coldMargin is added to the time that the backend server gives, because the word
	// takes some time to be handled.
	coldMargin = 100 * time.Millisecond

	// coldMaxWait is the maximum time that a call waits for the rate of a cold backend
	// server. Another endpoint usually answers sooner.
	coldMaxWait = 500 * time.Millisecond

	// maxColdRate bounds the memory for the times of the last starts.
	maxColdRate = 1024

	// maxColdRemaining bounds the time for which a backend server can say it is cold.
	maxColdRemaining = time.Minute

	defaultColdStart = 3 * time.Second

	// heartbeatsAfterSign is the number of heartbeats after a sign of another source
	// from which one that says 0 ends the coldness: the first may have been sent
	// before the sign was seen.
	heartbeatsAfterSign = 2
)

// cold bounds the rate at which calls are sent to a cold backend server. It is a
// deterministic state machine without a clock.
//
// The bound is exact for any window, because it is kept with the times of the last
// starts instead of a counter for each second. Starts while the backend server is
// taken for warm are recorded as well: it may have become cold a moment earlier.
type cold struct {
	cfg    ColdConfig
	starts []time.Time // times of the last starts, a ring; its length is the rate
	oldest int         // index of the earliest start

	isCold           bool
	until            time.Time // end of the coldness; zero: until told otherwise
	by               ColdSource
	signAt           time.Time // last sign of coldness
	heartbeatsNeeded int       // heartbeats until one of them is certainly later than the last sign
}

// on reports whether the configuration sets a rate.
func (c *cold) on() bool { return len(c.starts) > 0 }

// configure applies the rate of a configuration. When the bound is turned on, the
// backend server is taken for cold and the allowance of the first second is empty: an
// earlier daemon, or this one, may have sent calls just before.
func (c *cold) configure(now time.Time, cfg ColdConfig) {
	if cfg.Start <= 0 {
		cfg.Start = defaultColdStart
	}
	n := 0
	if cfg.Rate > 0 {
		n = max(1, int(min(cfg.Rate, maxColdRate)))
	}
	was := c.on()
	c.cfg = cfg
	if n == len(c.starts) {
		return
	}
	c.resize(now, n)
	switch {
	case n == 0:
		c.isCold, c.by = false, ColdOff
	case !was:
		c.isCold, c.until, c.by, c.signAt = true, time.Time{}, ColdUnknown, now
		c.heartbeatsNeeded = 1
	}
}

// resize changes the length of the ring and keeps the latest starts. Starts that are
// not known any more count as the earliest known one, or as now when none is known.
func (c *cold) resize(now time.Time, n int) {
	old := make([]time.Time, 0, len(c.starts))
	for i := range c.starts {
		old = append(old, c.starts[(c.oldest+i)%len(c.starts)])
	}
	fill := now
	if len(old) > 0 {
		fill = old[0]
	}
	c.starts, c.oldest = make([]time.Time, n), 0
	for i := range c.starts {
		c.starts[i] = fill
		if k := i - n + len(old); k >= 0 {
			c.starts[i] = old[k]
		}
	}
}

// advance ends a coldness whose time is over.
func (c *cold) advance(now time.Time) {
	if c.isCold && !c.until.IsZero() && !now.Before(c.until) {
		c.isCold, c.by = false, ColdElapsed
	}
}

// allows reports whether a call may be sent now.
func (c *cold) allows(now time.Time) bool {
	return !c.isCold || now.Sub(c.starts[c.oldest]) > coldWindow
}

// record records that a call is sent now.
func (c *cold) record(now time.Time) {
	if !c.on() {
		return
	}
	c.starts[c.oldest] = now
	c.oldest = (c.oldest + 1) % len(c.starts)
}

// allowanceAt returns the time from which a call may be sent when n calls are sent
// before it as soon as the rate permits. ok is false when that takes more than the
// whole ring.
func (c *cold) allowanceAt(n int) (at time.Time, ok bool) {
	if n >= len(c.starts) {
		return time.Time{}, false
	}
	return c.starts[(c.oldest+n)%len(c.starts)].Add(coldWindow), true
}

// hear handles what the backend server says. The word that it is not cold counts only
// if it was certainly said after the last sign of coldness. The word that it is cold
// counts always; only a later word may shorten the time.
func (c *cold) hear(now time.Time, w ColdWord) {
	if !c.on() {
		return
	}
	c.advance(now)
	later := w.AskedAt.After(c.signAt)
	if w.Source == ColdHeartbeat {
		if w.NewIncarnation {
			c.heartbeatsNeeded = 1
		}
		later = c.heartbeatsNeeded <= 1
		c.heartbeatsNeeded = max(0, c.heartbeatsNeeded-1)
	}
	if w.Remaining <= 0 {
		if c.isCold && later {
			c.isCold, c.until, c.by = false, time.Time{}, w.Source
		}
		return
	}
	until := now.Add(min(w.Remaining, maxColdRemaining) + coldMargin)
	switch {
	case !c.isCold:
		c.isCold, c.until, c.by = true, until, w.Source
	case later:
		c.until = until
	case !c.until.IsZero() && until.After(c.until):
		c.until = until
	}
	c.sign(now, w.Source)
}

// suspect takes the backend server for cold until it says otherwise.
func (c *cold) suspect(now time.Time, by ColdSource) {
	if !c.on() {
		return
	}
	c.advance(now)
	if !c.isCold {
		c.by = by
	}
	c.isCold, c.until = true, time.Time{}
	c.sign(now, by)
}

// sign records the time of a sign of coldness.
func (c *cold) sign(now time.Time, by ColdSource) {
	c.signAt = now
	if by != ColdHeartbeat {
		c.heartbeatsNeeded = heartbeatsAfterSign
	}
}

// state returns a snapshot.
func (c *cold) state(now time.Time) ColdState {
	s := ColdState{On: c.on(), Cold: c.isCold, By: c.by}
	if !c.isCold {
		return s
	}
	s.UntilTold = c.until.IsZero()
	s.Remaining = c.cfg.Start
	if !s.UntilTold {
		s.Remaining = c.until.Sub(now)
	}
	return s
}
