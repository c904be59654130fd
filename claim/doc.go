// Package claim ensures that a request with an idempotency key runs at most once,
// whichever instances the caller's retries reach.
//
// # Protocol
//
// Each key has one row in the platform's table. An instance that wants to run the
// request inserts the row, on condition that no row exists, with its own address
// and a random write id. The state of the row is then held. Only the holder of a
// held row ever changes it: to answered, with the answer; to unknown, when the
// answer was lost; or to released, when the request was certainly never passed to a
// gate. No other instance takes over a held row, however old the row is. A holder
// that was paused between claim and dispatch can therefore still run the request. A
// holder that crashed leaves the row held, and all retries are told that the outcome
// is unknown.
//
// A released row is not deleted. A commit whose answer was lost may take effect
// late, and its condition is the row version that it saw. Because rows are replaced
// and not removed, that condition cannot become true again.
//
// # Lost answers of the store
//
// After a commit that ended in AmbiguousError the row is read back; the write id in
// the row shows whether the commit has taken effect. If it has not, the same write
// is sent again under the same condition. The delayed commit and the repeated one
// carry the same id, and only one of them can succeed, so it does not matter which
// one does. For the same reason a claimant that gives up writes a released row under
// the condition of its claim, in place of the claim. Maintain repeats this until the
// table holds either that released row or the claim itself, changed to released.
//
// # Groups
//
// Writer commits the writes of one process in groups: one transaction holds several
// writes, each with its own condition. It starts at most one group per
// Config.Interval, which limits the number of commits per second. After a conflict, one read of the group's rows shows which writes can no longer
// succeed; the others are committed again.
//
// # Age without clocks
//
// The wall clocks of two processes are never compared. Instead, a row in the table
// counts epochs. A process advances the epoch after it has seen the same epoch for
// one epoch length on its own monotonic clock. Each claim is committed on condition
// that the epoch in the table is the one that the claim carries. A row that is k
// epochs old is therefore at least k-1 epoch lengths old, and a claim that was sent
// in an earlier epoch can no longer be committed. Clean-up removes rows only by this
// age.
package claim
