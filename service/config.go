package service

import "time"

// Config holds the settings of a Picker. DefaultConfig returns usable defaults.
type Config struct {
	// Subset is the number of endpoints used in each locality; 0 uses all, up to maxSubset.
	Subset [Localities]int

	// Choices is the number of endpoints drawn at random and compared in each
	// locality. 1 makes the choice within a locality purely random.
	Choices int

	// Latency is the network round trip to each locality.
	Latency [Localities]time.Duration

	// ByteTime is the cost of moving 1 KiB to or from each locality,
	// expressed as time. It exists because links between localities have
	// little bandwidth and are billed by volume.
	ByteTime [Localities]time.Duration

	// SpillSpan is the cost advantage of a farther locality at which the
	// probability of choosing it reaches 1; the probability rises linearly
	// from 0 at no advantage. 0 always chooses the lower cost.
	SpillSpan time.Duration

	// OverflowRise and OverflowFall are the times in which the share of calls that
	// are handed on from a shedding endpoint to farther ones with headroom rises
	// from 0 to 1 and falls back. 0 hands on none. Only services whose backend
	// servers report a work percent are affected.
	OverflowRise, OverflowFall time.Duration

	// Headroom is, for each importance, the utilisation of an endpoint in
	// another region (as a fraction of its limit) up to which a call may
	// spill to it. 0 disables spilling for that importance.
	Headroom [4]float64

	// LargeBody is the size in bytes at which a request body counts as large.
	// A call with a large body stays in its region while any endpoint there
	// is usable. 0 treats no body as large.
	LargeBody int64

	// ReportTTL is the age at which a load report is ignored as stale.
	// 0 ignores all reports.
	ReportTTL time.Duration

	// Smoothing is the time constant of the moving averages of each
	// endpoint's response time and loss ratio.
	Smoothing time.Duration

	// SlowFactor is the multiple of the service's typical response time above
	// which an endpoint counts as slow. Endpoints that are not slow are
	// assumed to have the typical response time.
	SlowFactor float64

	// WorkWeight is the exponent with which the work percent that an endpoint reports
	// enters its expected service time. 0 ignores the figure. Less than 1 keeps
	// daemons that know the same figure from all choosing the same endpoint.
	WorkWeight float64

	// WorkMemory is the time constant with which a reported work percent loses
	// weight with its age.
	WorkMemory time.Duration

	// LossCap is the largest ratio of failed and refused attempts that enters
	// the cost: an endpoint's expected time is divided by one minus the ratio.
	// It must be less than 1; 0 ignores losses.
	LossCap float64

	// InitialServiceTime is the service time assumed before any call has been answered.
	InitialServiceTime time.Duration

	// EjectAfter is the number of consecutive failures after which an
	// endpoint is ejected. 0 disables ejection for failing answers.
	EjectAfter int

	// EjectFor is the duration of the first ejection. It doubles with each
	// consecutive ejection, up to EjectMax.
	EjectFor, EjectMax time.Duration

	// EjectCap is the largest fraction of the subset that may be ejected for
	// failing answers at the same time.
	EjectCap float64
}

// DefaultConfig returns settings for calls that take less than a second and for
// a one-way latency of 20 ms between regions.
func DefaultConfig() Config {
	return Config{
		Subset:             [Localities]int{16, 8, 8},
		Choices:            2,
		Latency:            [Localities]time.Duration{0, 2 * time.Millisecond, 40 * time.Millisecond},
		SpillSpan:          50 * time.Millisecond,
		OverflowRise:       2 * time.Second,
		OverflowFall:       5 * time.Second,
		Headroom:           [4]float64{0.6, 0.7, 0.8, 0.9},
		LargeBody:          256 << 10,
		ReportTTL:          time.Second,
		Smoothing:          time.Second,
		SlowFactor:         1.5,
		WorkWeight:         1,
		WorkMemory:         500 * time.Millisecond,
		LossCap:            0.98,
		InitialServiceTime: 20 * time.Millisecond,
		EjectAfter:         5,
		EjectFor:           time.Second,
		EjectMax:           30 * time.Second,
		EjectCap:           0.34,
	}
}
