package claim

import "time"

// Config tunes claims. Zero fields take their defaults.
type Config struct {
	Table      string        // table of the claims; default "claims"
	Inline     int           // largest encoded answer kept in the row, in bytes; larger ones go to the object store; default 8 KiB
	MaxAnswer  int           // largest encoded answer that is kept at all, in bytes; default 1 MiB
	MaxHold    time.Duration // longest time between a claim and the dispatch of its request; default 10 min
	Epoch      time.Duration // length of an epoch; default 1 h
	Retain     uint64        // epochs after which a claim is removed; default 25, at least 2
	CleanBatch int           // rows that one clean-up looks at; default 256

	Delay     time.Duration // time that the first write of a group waits for others; default 3 ms
	Interval  time.Duration // least time between two commits, which bounds commits a second; default 50 ms
	Group     int           // most writes in one commit; default 64
	Parallel  int           // commits in flight; default 4
	Backlog   int           // writes that wait; more are refused; default 4096
	Timeout   time.Duration // longest time that a group tries; default 5 s
	RetryWait time.Duration // wait before a group tries again after a lost answer; default 20 ms
}

const (
	defaultTable    = "claims"
	epochKey        = "epoch" // row keys of claims are hexadecimal and never this
	minRetain       = 2
	maxKeyBytes     = 255             // longest idempotency key
	retryAfterStore = 2 * time.Second // Retry-After while the store is down
	retryAfterHeld  = time.Second     // Retry-After while another run is in progress
	maxUnsettled    = 4096            // writes given up that Maintain remembers
)

// withDefaults fills the zero fields.
func (c Config) withDefaults() Config {
	if c.Table == "" {
		c.Table = defaultTable
	}
	number := func(n *int, to int) {
		if *n <= 0 {
			*n = to
		}
	}
	number(&c.Inline, 8<<10)
	number(&c.MaxAnswer, 1<<20)
	number(&c.CleanBatch, 256)
	number(&c.Group, 64)
	number(&c.Parallel, 4)
	number(&c.Backlog, 4096)
	if c.Retain == 0 {
		c.Retain = 25
	}
	c.Retain = max(c.Retain, minRetain)
	duration := func(d *time.Duration, to time.Duration) {
		if *d <= 0 {
			*d = to
		}
	}
	duration(&c.Epoch, time.Hour)
	duration(&c.MaxHold, 10*time.Minute)
	duration(&c.Delay, 3*time.Millisecond)
	duration(&c.Interval, 50*time.Millisecond)
	duration(&c.Timeout, 5*time.Second)
	duration(&c.RetryWait, 20*time.Millisecond)
	// A holder must not dispatch after its row may have been removed.
	c.MaxHold = min(c.MaxHold, c.Epoch*time.Duration(c.Retain-1)/2)
	return c
}
