package backend

import "time"

// Config describes one backend server and tunes its gate. Zero fields take
// their defaults.
type Config struct {
	Slots       int // calls that the backend server runs at once; at least 1
	Connections int // connections that it accepts; default Slots

	Queue     int           // most calls that wait; default 2 * Slots, at least 16
	MaxWait   time.Duration // longest wait of any call; default 1 s
	Interval  time.Duration // time for which the queue must not run empty before overload counts as standing; default 150 ms
	MinTarget time.Duration // least time by which the wait of a new tree may exceed Interval then; the service time when that is larger; default 5 ms
	Window    time.Duration // time between two changes of the admission level; default 100 ms
	Cold      int           // limit of a backend server that has shown nothing yet; default Slots / 8, at least 2
}

const (
	defaultMaxWait   = time.Second
	defaultInterval  = 150 * time.Millisecond
	defaultMinTarget = 5 * time.Millisecond
	defaultWindow    = 100 * time.Millisecond
	minQueue         = 16
	minCold          = 2
	coldPart         = 8
)

// withDefaults fills the zero fields and brings the others into range.
func (c Config) withDefaults() Config {
	c.Slots = max(c.Slots, 1)
	if c.Connections <= 0 {
		c.Connections = c.Slots
	}
	if c.Queue <= 0 {
		c.Queue = max(2*c.Slots, minQueue)
	}
	if c.Cold <= 0 {
		c.Cold = max(c.Slots/coldPart, minCold)
	}
	c.Cold = min(c.Cold, c.ceiling())
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

// ceiling is the limit that nothing raises: every running call takes one slot
// and one connection.
func (c Config) ceiling() int { return min(c.Slots, c.Connections) }
