// Package fleet keeps one daemon's configuration and directory of daemons up to
// date, with few calls to the store.
//
// In each region, the daemon with the lowest address that answers reads the
// configuration from the store at short intervals, and the others ask that
// daemon. There is no election: a daemon that gets no answer, or a stale one, asks
// the next daemon, and reads the store itself when its configuration becomes too
// old. The daemon that reads a new configuration pushes it at once to the daemons
// of its region.
//
// # Age
//
// A configuration has an age: the time during which a newer one may have been
// accepted without this daemon knowing. It is measured from the time at which a
// request was sent, never from the time at which its answer arrived. An answer
// from a peer adds the age that the peer states. A push therefore delivers a
// configuration but does not reduce the age. The clock includes the time during
// which the process was suspended.
//
// # Alternatives
//
// The alternatives have these drawbacks. If every daemon read the store, each
// would make one call a second, which would be the largest cost on a quiet day. A
// change feed that lags or has lost its connection looks like a feed without
// changes. An elected reader needs the store for the election, and the store is
// the part that fails.
package fleet
