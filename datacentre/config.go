package datacentre

import "time"

// Config tunes the directory of one daemon. Start from Defaults.
type Config struct {
	// Self is this daemon's peer address, ip:port.
	Self string

	// DataCentre and Region are where this daemon runs.
	DataCentre, Region string

	// Seeds are peer addresses of the own data centre to work with while its
	// roster is not known.
	Seeds []string

	// FarSeeds are peer addresses of other data centres, asked for rosters while
	// none is known.
	FarSeeds []string

	// PullEvery is the time between two questions to a relay.
	PullEvery time.Duration

	// RelayGroup is about the number of members that ask one relay.
	RelayGroup int

	// ReadEvery is the time between two reads of the store by a relay.
	ReadEvery time.Duration

	// AskBatch is how long a relay collects joins and leaves for one transaction.
	AskBatch time.Duration

	// JoinJitter spreads the first attempts of daemons that start together.
	JoinJitter time.Duration

	// ReplyTimeout is how long a peer may leave a question unanswered before the
	// next one in rendezvous order is asked too.
	ReplyTimeout time.Duration

	// HeartbeatEvery is the time between two heartbeats of an endpoint, while a
	// registrar holds no more than HeartbeatsPerSecond times that many.
	HeartbeatEvery time.Duration

	// HeartbeatsPerSecond bounds what a registrar asks for in all for one
	// service; above it the interval grows, up to HeartbeatMax.
	HeartbeatsPerSecond float64

	// HeartbeatMax is the longest interval between heartbeats.
	HeartbeatMax time.Duration

	// MissedHeartbeats is the number of intervals after which an endpoint expires.
	MissedHeartbeats float64

	// RetryEvery is the time after which an unacknowledged change is sent again.
	RetryEvery time.Duration

	// RenewEvery is the time between two renewals of a subscription,
	// RenewFarEvery that for subscribers in other data centres, and
	// RenewalsPerSecond bounds what a registrar asks for in all for one
	// service; above it the interval grows, up to RenewMax.
	RenewEvery        time.Duration
	RenewFarEvery     time.Duration
	RenewalsPerSecond float64
	RenewMax          time.Duration

	// PushesPerSecond bounds what a registrar pushes in all for one service,
	// endpoints that leave excepted; changes are collected for up to PushMax.
	PushesPerSecond float64
	PushMax         time.Duration

	// RemoteExpiry is how long endpoints of another data centre are kept when
	// none of its registrars answers.
	RemoteExpiry time.Duration

	// MaxLocal is about the largest number of endpoints of its own data centre
	// that a subscriber is sent for one service.
	MaxLocal int

	// MaxRemote is about the largest number of endpoints that one data centre
	// tells another one for one service.
	MaxRemote int

	// ExpelAfter is how long a member must have been silent before its peers
	// take it off the roster. When more than a quarter is silent, it is ExpelManyAfter.
	ExpelAfter, ExpelManyAfter time.Duration

	// ExpelEvery and ExpelMost bound removals: at most ExpelMost per ExpelEvery.
	ExpelEvery time.Duration
	ExpelMost  int
}

// Defaults returns the configuration in force unless settings say otherwise.
// Self, DataCentre, Region, Seeds and FarSeeds are left to the caller.
func Defaults() Config {
	return Config{
		PullEvery:           10 * time.Second,
		RelayGroup:          64,
		ReadEvery:           2 * time.Second,
		AskBatch:            300 * time.Millisecond,
		JoinJitter:          500 * time.Millisecond,
		ReplyTimeout:        2 * time.Second,
		HeartbeatEvery:      1500 * time.Millisecond,
		HeartbeatsPerSecond: 10,
		HeartbeatMax:        10 * time.Second,
		MissedHeartbeats:    3.5,
		RetryEvery:          250 * time.Millisecond,
		RenewEvery:          8 * time.Second,
		RenewFarEvery:       40 * time.Second,
		RenewalsPerSecond:   5,
		RenewMax:            time.Minute,
		PushesPerSecond:     100,
		PushMax:             2 * time.Second,
		RemoteExpiry:        time.Minute,
		MaxLocal:            256,
		MaxRemote:           16,
		ExpelAfter:          10 * time.Minute,
		ExpelManyAfter:      time.Hour,
		ExpelEvery:          time.Minute,
		ExpelMost:           8,
	}
}

const (
	registrars      = 2 // registrars of a service in a data centre
	candidates      = 6 // members in rendezvous order that may stand in for them
	pauseAfter      = time.Second
	expelledKept    = 256 // addresses of the list of expelled ones in a row
	pastKept        = 4   // superseded incarnations remembered for an address
	changesKept     = 256 // changes of one service that a registrar can send as deltas
	rosterLogKept   = 64  // changes of one roster that a relay can send as deltas
	idleAfter       = time.Minute
	storePatience   = 15 * time.Second // age of confirmation at which relays elsewhere are asked
	joinAsksToPeer  = 3                // requests to a relay to be added, before writing to the store itself
	leaveAsksToPeer = 1                // requests to a relay to be taken off, before writing to the store itself
	addressesSent   = 4000             // most addresses in one answer to a pull
	ranksKept       = 1024             // rankings that are remembered
)
