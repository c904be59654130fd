// Package claim makes a request that carries an idempotency key run at most
// once, whichever instances its caller's retries reach.
//
// # Protocol
//
// The key has one row in the platform's table. An instance that wants to run
// the request inserts the row, on condition that there is none, with its own
// address and a write id that it draws at random: the row is then held. Only
// the holder of a held row ever changes it: to answered with the answer, to
// unknown when the answer was lost, or to released when the request was
// certainly never handed to a gate. Nobody takes a held row over, however old
// it is, so a holder that was paused between claim and dispatch can still run
// the request, and one that died leaves a row that says unknown to all retries.
//
// A released row is not deleted. A commit whose answer was lost may land late,
// and its condition is the version that it saw; as long as rows are replaced
// and never removed that condition cannot become true again.
//
// # Lost answers of the store
//
// A commit that ended in AmbiguousError is read back. The write id in the row
// tells whether it has landed. When it has not, the same write is sent again
// under the same condition: the late one and the repeated one carry the same id
// and exclude each other, so it does not matter which of them lands. A claimant
// that gives up writes a released row under that condition in place of the
// claim, for the same reason, and keeps trying in Maintain until either that
// row or its own claim, then released, is in the table.
//
// # Groups
//
// Writer commits the writes of one process in groups, each with its own
// condition in one transaction, and no more commits a second than it is
// allowed. When the transaction meets a conflict, one read of the group's rows
// tells which writes can no longer succeed; the others are committed again.
//
// # Age without clocks
//
// Wall clocks of two processes are never compared. A row in the table counts
// epochs; a process advances it after it has seen the same epoch for the length
// of one on its own monotonic clock. Each claim is committed on condition that
// the epoch is the one it carries. A row that is k epochs old is therefore at
// least k-1 epoch lengths old, and a claim that was sent in an earlier epoch
// can never land. Clean-up removes rows by that age only.
package claim
