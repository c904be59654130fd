package claim

import "time"

// Config configures Claims and Writer. Zero fields take their defaults.
type Config struct {
	Table          string        // name of the table that holds the claims; default "claims"
	MaxInlineBytes int           // largest encoded answer kept in the row, in bytes; larger ones go to the object store; default 8 KiB
	MaxAnswerBytes int           // largest encoded answer that is kept, in bytes; larger ones are not recorded; default 1 MiB
	MaxHold        time.Duration // longest time between a claim and the dispatch of its request; default 10 min
	EpochLength    time.Duration // length of an epoch; default 1 h
	RetainEpochs   uint64        // epochs after which a claim is removed; default 25, at least 2
	CleanBatch     int           // rows that one clean-up examines; default 256

	Delay      time.Duration // time that the first write waits for others to join its group; default 3 ms
	Interval   time.Duration // minimum time between the starts of two groups, which limits the commits per second (repeated ones are not counted); default 50 ms
	MaxGroup   int           // maximum number of writes in one commit; default 64
	Parallel   int           // maximum number of groups being committed at a time; default 4
	MaxBacklog int           // maximum number of waiting writes; more are refused; default 4096
	Timeout    time.Duration // time after which a group is given up; default 5 s
	RetryWait  time.Duration // wait before a commit or an object write is repeated after a lost answer; default 20 ms
}

const (
	defaultTable    = "claims"
	epochKey        = "epoch" // key of the epoch row; row keys of claims are hexadecimal, so they never equal it
	minRetain       = 2
	maxKeyBytes     = 255             // maximum length of an idempotency key, in bytes
	retryAfterStore = 2 * time.Second // Retry-After while the store is down
	retryAfterHeld  = time.Second     // Retry-After while another run is in progress
	maxUnsettled    = 4096            // maximum number of abandoned claims kept for Maintain
)

// withDefaults returns c with defaults in place of zero fields.
func (c Config) withDefaults() Config {
	if c.Table == "" {
		c.Table = defaultTable
	}
	number := func(n *int, to int) {
		if *n <= 0 {
			*n = to
		}
	}
	number(&c.MaxInlineBytes, 8<<10)
	number(&c.MaxAnswerBytes, 1<<20)
	number(&c.CleanBatch, 256)
	number(&c.MaxGroup, 64)
	number(&c.Parallel, 4)
	number(&c.MaxBacklog, 4096)
	if c.RetainEpochs == 0 {
		c.RetainEpochs = 25
	}
	c.RetainEpochs = max(c.RetainEpochs, minRetain)
	duration := func(d *time.Duration, to time.Duration) {
		if *d <= 0 {
			*d = to
		}
	}
	duration(&c.EpochLength, time.Hour)
	duration(&c.MaxHold, 10*time.Minute)
	duration(&c.Delay, 3*time.Millisecond)
	duration(&c.Interval, 50*time.Millisecond)
	duration(&c.Timeout, 5*time.Second)
	duration(&c.RetryWait, 20*time.Millisecond)
	// Limits MaxHold to half of the minimum age at which a row is removed, so that a
	// holder does not dispatch a request whose row may have been removed.
	c.MaxHold = min(c.MaxHold, c.EpochLength*time.Duration(c.RetainEpochs-1)/2)
	return c
}
