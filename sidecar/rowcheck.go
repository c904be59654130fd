package sidecar

import (
	"time"
)

const (
	// rowChecksPerSecond is the rate at which all daemons together check their rows. A
	// check is a read and, if the copy lacks the row, a write; the platform's store
	// takes a few hundred writes a second.
	rowChecksPerSecond = 200

	// minCheckSpread is the time over which the checks are spread at least.
	minCheckSpread = time.Second

	// recheckDelay is the delay of a second check. A call that was sent before the
	// change, and got no answer, may be executed some seconds later, and its condition
	// may hold again because versions are given out again.
	recheckDelay = 8 * time.Second
)

// epochChanged schedules a check of the row, and returns the time until then. Nothing
// counts as written before.
func (r *rowWriter) epochChanged(now time.Duration, epoch uint64) time.Duration {
	spread := max(minCheckSpread, time.Duration(len(*r.c.d.members.Load()))*time.Second/rowChecksPerSecond)
	wait := time.Duration(r.c.rng.Int64N(int64(spread)))
	r.check = rowCheck{epoch: epoch, since: now, due: true}
	r.checkAgain()
	r.nextRound = now + wait
	return wait
}

// checkAgain makes the next round read the row and write it if it is not as it should be.
func (r *rowWriter) checkAgain() {
	r.versionKnown, r.written = false, nil
	r.pending = withoutColdness(r.c.d.self())
}

// rowCheck is the check of the row after the store has come back from an earlier copy.
type rowCheck struct {
	epoch   uint64        // epoch of the store in which the row must be
	since   time.Duration // time at which the epoch was learned
	due     bool          // the row has not been confirmed in the epoch yet
	againAt time.Duration // time of a second check, 0 when none is due
}

// tickCheck starts the second check when it is due.
func (r *rowWriter) tickCheck(now time.Duration) {
	if r.check.againAt != 0 && now >= r.check.againAt && !r.busy {
		r.check.againAt = 0
		r.checkAgain()
	}
}

// finishCheck ends the first check of the row in an epoch. wrote reports whether the copy
// lacked it.
func (r *rowWriter) finishCheck(wrote bool) {
	if !r.check.due {
		return
	}
	now := sinceBoot()
	r.check.due, r.check.againAt = false, now+recheckDelay
	if wrote {
		r.c.d.metrics.rowsRewritten.Inc()
	}
	r.c.d.log.Info("row checked after the store came back", "epoch", r.check.epoch, "written", wrote, "took_ms", (now - r.check.since).Milliseconds())
}
