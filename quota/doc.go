// Package quota holds an organisation's rate over the whole fleet without a
// coordinator.
//
// A few daemons, the holders, earn equal parts of the rate and of the burst.
// Everybody knows who they are: they are drawn from the directory by rendezvous
// hashing, one in each data centre first. Tokens move to where they are needed:
// a daemon that runs short asks the nearest holder, and then the others. What a
// holder gives away it has taken out of its own account before the message
// leaves, so a message that is lost loses tokens, and the sum over the fleet
// never exceeds rate and burst, whatever is cut, paused or killed. A daemon that
// starts has an empty account.
//
// A holder earns again what it gave away, so tokens that were fetched are good for
// a moment only, counted from the question; later they end, wherever they are. In
// any window the fleet admits at most rate * window + burst + rate * that moment,
// and the parts of a token that are on their way back.
//
// The holders follow from the entries in the directory, those of dead daemons
// included: a daemon that others cannot reach may still be admitting requests.
// While two views of the directory differ, two daemons may earn the same part;
// requests with a key are admitted only with fresh knowledge, which bounds that
// time.
//
// Weighed against it: equal parts for all daemons (with a burst of 51 over 16
// daemons a part holds three tokens, with 91 daemons less than one: most asks
// find nothing); one holder (its loss stops the organisation); loans with an
// expiry (package contract: more messages, and use below the rate with tiny
// parts).
package quota
