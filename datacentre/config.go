package datacentre

import "time"

// Config is the configuration of the directory of one daemon. Defaults returns
// the default values.
type Config struct {
	// Self is this daemon's peer address, ip:port.
	Self string

	// DataCentre and Region name the location of this daemon.
	DataCentre, Region string

	// Seeds are peer addresses of the own data centre, used while its roster is
	// not known and when no member on the roster is alive.
	Seeds []string

	// FarSeeds are peer addresses of other data centres. A daemon also pulls
	// rosters from one of them while it has no live relay.
	FarSeeds []string

	// PullEvery is the interval between roster pulls from a relay.
	PullEvery time.Duration

	// RelayGroup is the approximate number of members that share a relay.
	RelayGroup int

	// ReadEvery is the interval at which the relay of the first group reads the
	// store.
	ReadEvery time.Duration

	// AskBatch is how long a relay collects joins and leaves for one transaction.
	AskBatch time.Duration

	// JoinJitter is the maximum random delay added to the first store read and to
	// each attempt to join or leave, so that daemons that start together do not
	// act at once.
	JoinJitter time.Duration

	// ReplyTimeout is how long a request may stay unanswered before the peer
	// counts as not alive and the next one in rendezvous order is asked too.
	ReplyTimeout time.Duration

	// HeartbeatEvery is the interval between heartbeats of an endpoint, as long as
	// this keeps a registrar within HeartbeatsPerSecond.
	HeartbeatEvery time.Duration

	// HeartbeatsPerSecond limits the total rate of heartbeats that a registrar
	// requests for one service. The interval grows with the number of endpoints to
	// stay within it, up to HeartbeatMax.
	HeartbeatsPerSecond float64

	// HeartbeatMax is the longest interval between heartbeats.
	HeartbeatMax time.Duration

	// MissedHeartbeats is the number of heartbeat intervals without a heartbeat
	// after which an endpoint expires.
	MissedHeartbeats float64

	// RetryEvery is the time after which an unacknowledged change is first resent.
	RetryEvery time.Duration

	// RenewEvery is the interval between renewals of a subscription, and
	// RenewFarEvery the interval for subscribers in other data centres.
	// RenewalsPerSecond limits the total rate of renewals that a registrar
	// requests for one service: the interval grows with the number of subscribers
	// to stay within it, up to RenewMax.
	RenewEvery        time.Duration
	RenewFarEvery     time.Duration
	RenewalsPerSecond float64
	RenewMax          time.Duration

	// PushesPerSecond limits the rate at which a registrar pushes lists for one
	// service, withdrawals excepted. Changes are collected for up to PushMax.
	PushesPerSecond float64
	PushMax         time.Duration

	// RemoteExpiry is how long the endpoints of another data centre are kept
	// after the last of its registrars has stopped answering.
	RemoteExpiry time.Duration

	// MaxLocal is the approximate maximum number of endpoints of its own data
	// centre that a subscriber receives for one service.
	MaxLocal int

	// MaxRemote is the approximate maximum number of endpoints of one service
	// that a subscriber in another data centre receives.
	MaxRemote int

	// ExpelAfter is how long a member must have been silent before its relay
	// removes it from the roster. ExpelManyAfter applies instead when more than a
	// quarter of the relay's members are silent.
	ExpelAfter, ExpelManyAfter time.Duration

	// ExpelEvery and ExpelMost limit removals: a relay removes at most ExpelMost
	// members per ExpelEvery.
	ExpelEvery time.Duration
	ExpelMost  int
}

// Defaults returns the default configuration. The caller sets Self, DataCentre,
// Region, Seeds and FarSeeds.
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
	registrarsPerService = 2 // per data centre
	maxCandidates        = 6 // members ranked for a role, from which its holders are chosen
	pauseThreshold       = time.Second
	maxExpelledKept      = 256 // expelled addresses stored in a roster row
	maxSuperseded        = 4   // superseded incarnations remembered per address
	maxChangeLog         = 256 // changes of one service that a registrar can send as deltas
	maxRosterLog         = 64  // changes of one roster that a relay can send as deltas
	idleTimeout          = time.Minute
	maxConfirmationAge   = 15 * time.Second // age of the roster confirmation from which relays of other data centres are asked
	joinAsksToPeer       = 3                // join requests to a relay before the daemon writes to the store itself
	leaveAsksToPeer      = 1                // leave requests to a relay before the daemon writes to the store itself
	maxAddressesPerReply = 4000             // maximum, unless the first row alone has more
	maxCachedRanks       = 1024             // the cache is cleared when it is full
)
