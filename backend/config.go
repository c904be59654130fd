package backend

import "time"

// Config describes one backend server and configures its gate. Zero fields take
// their defaults.
type Config struct {
	Slots          int // calls that the backend server can run at once; at least 1
	MaxConnections int // connections that the backend server accepts; default Slots

	MaxQueue     int           // maximum number of waiting calls; default 2 * Slots, at least 16
	MaxWait      time.Duration // maximum time that a call waits; default 1 s
	Interval     time.Duration // time without an empty queue after which overload counts as standing; default 150 ms
	MinTarget    time.Duration // under standing overload, a new tree may wait Interval plus the service time, but no less than Interval plus MinTarget; default 5 ms
	Window       time.Duration // minimum time between two changes of the admission level; default 100 ms
	InitialLimit int           // initial concurrency limit, before any call has ended; default Slots / 8, at least 2
}

const (
	defaultMaxWait      = time.Second
	defaultInterval     = 150 * time.Millisecond
	defaultMinTarget    = 5 * time.Millisecond
	defaultWindow       = 100 * time.Millisecond
	minQueue            = 16
	minInitialLimit     = 2
	initialLimitDivisor = 8
)

// withDefaults returns c with its zero fields filled in and Slots and InitialLimit
// brought into range.
func (c Config) withDefaults() Config {
	c.Slots = max(c.Slots, 1)
	if c.MaxConnections <= 0 {
		c.MaxConnections = c.Slots
	}
	if c.MaxQueue <= 0 {
		c.MaxQueue = max(2*c.Slots, minQueue)
	}
	if c.InitialLimit <= 0 {
		c.InitialLimit = max(c.Slots/initialLimitDivisor, minInitialLimit)
	}
	c.InitialLimit = min(c.InitialLimit, c.ceiling())
	set := func(d *time.Duration, to time.Duration) {
		if *d <= 0 {
			*d = to
		}
	}
	set(&c.MaxWait, defaultMaxWait)
	set(&c.Interval, defaultInterval)
	set(&c.MinTarget, defaultMinTarget)
	set(&c.Window, defaultWindow)
	return c
}

// ceiling returns the highest concurrency limit: every running call takes one
// slot and one connection.
func (c Config) ceiling() int { return min(c.Slots, c.MaxConnections) }
