// Package quota enforces an organisation's rate limit across the whole fleet
// without a coordinator. It is a token bucket that is split between daemons.
//
// A few daemons, the holders, each earn an equal share of the rate and of the
// burst. Every daemon computes the same holders from the membership directory by
// rendezvous hashing, which places one holder in each data centre before it
// places a second one. Tokens move to the daemons that need them: a daemon that
// runs short asks the nearest holder first and then the others. A holder deducts
// the tokens that it grants from its own account before it sends the message. A
// lost message therefore loses tokens, and the fleet as a whole never exceeds the
// rate and the burst, whatever network partitions, pauses or crashes occur. A
// daemon starts with an empty account.
//
// A holder earns tokens again in place of those that it granted. Fetched tokens
// are therefore valid only for a short lifetime, which begins when the daemon
// asks for them; after that they are dropped, whichever daemon has them. In any
// window the fleet admits at most rate * window + burst + rate * lifetime
// requests, plus the fractions of tokens that are being returned to a holder.
//
// The holders are computed from all entries in the directory, including those of
// dead daemons, because a daemon that others cannot reach may still be admitting
// requests. While two daemons have different views of the directory, two daemons
// may earn the same share. Requests with a key are admitted only while the
// admitting daemon has fresh information about the fleet, which bounds that time.
//
// Alternatives that were considered:
//
//   - Equal shares for all daemons. With a burst of 51, a share is three tokens
//     with 16 daemons and less than one token with 91 daemons, so most requests
//     for tokens find none.
//   - A single holder. Its loss stops the organisation's requests.
//   - Loans with an expiry, as in package contract. They need more messages, and
//     with very small shares the fleet admits less than the rate.
package quota
