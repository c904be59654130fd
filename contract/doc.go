// Package contract keeps every organisation within one rate and one burst,
// counted over the whole fleet, without a coordinator.
//
// # Policy
//
// A contract is a token bucket of rate R and burst B. The package cuts it into
// parts, each a token bucket of its own, and keeps three sums over all
// daemons, at every instant:
//
//   - the rates at which parts refill add up to at most R,
//   - the caps of parts add up to at most B, and no part holds more than its cap,
//   - a token exists in one place only; one that is on the way counts
//     against the cap that travels with it.
//
// Then the tokens that exist at the start of a window are at most B, those
// that are made within it at most R times its length, and so the requests
// admitted in any window are at most R*window + B. Nothing else is needed, so
// a fault may destroy tokens, rate and cap, and must never create them.
//
// # Shares
//
// The configuration splits a contract between data centres. Within a data
// centre a share is split evenly between two holders, which are placed by
// rendezvous hashing over the data centre's durable roster. Contracts are
// hashed into a fixed number of groups and a group is placed as a whole, so
// that a daemon speaks to few holders however many organisations there are.
//
// # Loans
//
// A holder lends part of its bucket for a short time. One ask and one grant
// are exchanged at a time between a borrower and a lender. The lender counts
// what it grants as gone from the moment of sending until ttl + margin on its
// own clock; the borrower uses it until ttl after the moment it asked, on its
// own clock. The borrower applies a grant only when it answers its newest ask,
// and says in each ask which grant it applied last. A lender that receives an
// ask therefore knows exactly what the borrower has: a grant that was not
// applied by then never will be. Until it knows, it counts the larger of the
// two. Daemons borrow from a holder of their data centre; holders borrow from
// each other, by demand, and lend on only what outlasts the loan they make.
//
// # Takeover and change
//
// A holder acts on a version of its roster and stops when that version has not
// been confirmed for the fence time. A new holder starts when every other
// address that may have held its share says that it has let go, or after fence
// time and loans; it starts with an empty bucket. A change of a contract
// shrinks shares at once. A share grows only after every holder in every data
// centre has said that it acts on the same version and has shrunk to it: time
// alone frees nothing that a holder can still spend.
package contract
