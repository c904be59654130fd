// Package contract limits every organisation to one rate and one burst, counted
// over the whole fleet, without a coordinator.
//
// # Policy
//
// A contract is a token bucket of rate R and burst B. The package divides it
// into smaller token buckets on the daemons and maintains three invariants over
// all daemons, at every instant:
//
//   - the refill rates of the buckets add up to at most R,
//   - the caps of the buckets add up to at most B, and no bucket holds more
//     tokens than its cap,
//   - a token exists in one place only; a token in a message counts against the
//     cap that the same message transfers.
//
// It follows that at most B tokens exist at the start of a window and that at
// most R times its length are added during the window, so at most R*window + B
// requests are admitted in any window. The bound depends on nothing else: a
// fault may destroy tokens, rate and cap, but must never create them.
//
// # Shares
//
// The configuration splits a contract between data centres. Within a data
// centre a share is split evenly between two holders: daemons chosen by
// rendezvous hashing over the data centre's durable roster. Contracts are
// hashed into a fixed number of groups and all contracts of a group have the
// same holders, so that a daemon exchanges messages with few holders regardless
// of the number of organisations.
//
// # Loans
//
// A holder lends part of its bucket for a short time. A borrower and a lender
// exchange one ask and one grant at a time. The lender counts a loan as lent
// from sending the grant until ttl + margin later on its own clock; the borrower
// uses the loan until ttl after it sent the ask, on its own clock. The borrower
// applies a grant only if it answers the borrower's newest ask, and each ask
// carries the number of the last grant that was applied. A lender that receives
// an ask therefore knows exactly what the borrower has: an earlier grant that
// has not been applied by then never will be. Until the next ask arrives, the
// lender counts the larger of the loan before and after the grant. Daemons
// borrow from a holder of their data centre; holders borrow from each other
// according to demand. A holder lends borrowed rate and cap only if its own loan
// lasts longer than the loan that it makes.
//
// # Takeover and change
//
// A holder acts on a version of its roster and stops when that version has not
// been confirmed for the fence time. A new holder starts when every other
// address that may have held its share has answered that it released the share,
// or after the fence time plus the longest time that a loan can last; it starts
// with an empty bucket. A change of a contract reduces shares immediately. A
// share grows only after every holder in every data centre has reported that it
// acts on the same version and lends no more than its share of that version: the
// passing of time alone never frees what a holder can still spend.
package contract
