package claim

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"wisteriafold/platform"
	"wisteriafold/request"
)

// Claims takes claims on idempotency keys for one instance. It is safe for concurrent use.
type Claims struct {
	cfg      Config
	table    platform.Table
	objects  platform.Objects
	submit   Submitter
	epoch    *epochCache
	claimant string

	mu        sync.Mutex
	random    *rand.Rand
	unsettled []abandonedClaim
	cursor    string // last row key of the previous clean-up batch; "" to start from the beginning

	stats counters
}

// abandonedClaim is a claim that this instance gave up without knowing whether it was
// committed, or whose release has not been written to the table. Its request was
// never dispatched.
type abandonedClaim struct {
	key    string
	expect uint64 // row version that the claim was conditional on, or version of the claim's row
	nonce  string
}

// New returns the Claims of the instance with peer address claimant. They write
// through a Writer of their own. random must be seeded differently in every process.
func New(cfg Config, table platform.Table, objects platform.Objects, claimant string, random *rand.Rand) *Claims {
	cfg = cfg.withDefaults()
	w := NewWriter(cfg, table)
	c := NewWithSubmitter(cfg, table, objects, w, claimant, random)
	c.epoch = w.epoch
	return c
}

// NewWithSubmitter returns Claims that write through submit, for example through a client of
// the Writer of another process.
func NewWithSubmitter(cfg Config, table platform.Table, objects platform.Objects, submit Submitter, claimant string, random *rand.Rand) *Claims {
	cfg = cfg.withDefaults()
	return &Claims{
		cfg: cfg, table: table, objects: objects, submit: submit,
		epoch: newEpochCache(cfg, table), claimant: claimant, random: random,
	}
}

// counters holds the totals that Stats returns.
type counters struct {
	taken, replayed, refused, unknown, storeDown atomic.Uint64
}

// Stats holds totals since the start of an instance.
type Stats struct {
	Taken     uint64 // claims taken
	Replayed  uint64 // recorded answers given to retries
	Refused   uint64 // retries refused because a run is in progress or the key belongs to another request
	Unknown   uint64 // retries for which the outcome of an earlier run is unknown or its answer can't be read
	StoreDown uint64 // requests refused because no claim could be written
	Unsettled int    // abandoned claims that Maintain still has to release
}

// Stats returns the totals since the start of the instance.
func (c *Claims) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Stats{
		Taken: c.stats.taken.Load(), Replayed: c.stats.replayed.Load(), Refused: c.stats.refused.Load(),
		Unknown: c.stats.unknown.Load(), StoreDown: c.stats.storeDown.Load(), Unsettled: len(c.unsettled),
	}
}

// Held is a claim that this instance holds. The caller must end it by exactly one
// call of Release, Record or RecordLost.
type Held struct {
	claims  *Claims
	key     string
	version uint64
	row     Row
	takenAt time.Time // time just before the claim was written
}

// Take claims key. It returns one of three results: a Held, with which the request
// may run once; the recorded Answer of an earlier run; or a *request.Error. The
// outcome of the error is NotRun when this arrival of the request was not run and no
// earlier arrival is known, and Unknown when an earlier arrival may have run.
func (c *Claims) Take(ctx context.Context, key Key) (*Held, *Answer, error) {
	if key.Value == "" || len(key.Value) > maxKeyBytes {
		return nil, nil, request.NewNotRunError(request.ReasonBadRequest, "send an Idempotency-Key of 1 to 255 bytes")
	}
	nonce := c.newWriteID()
	write := Write{
		Key:           key.row(),
		RequiresEpoch: true,
		Row:           Row{State: InProgress, Claimant: c.claimant, Write: nonce, Nonce: nonce, Digest: key.Digest},
	}
	taken := time.Now()
	for {
		out, err := c.submit.Submit(ctx, write)
		if err != nil {
			return nil, nil, c.giveUp(write, err)
		}
		if out.Committed {
			c.stats.taken.Add(1)
			return &Held{claims: c, key: write.Key, version: out.Version, row: write.Row, takenAt: taken}, nil, nil
		}
		if out.Row.State != Released {
			answer, err := c.answerRetry(ctx, key, out.Row)
			return nil, answer, err
		}
		write.Expect = out.Version
	}
}

// newWriteID returns a new random write id, prefixed with the claimant.
func (c *Claims) newWriteID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b [16]byte
	for i := range b {
		b[i] = byte(c.random.Uint32())
	}
	return c.claimant + "/" + hex.EncodeToString(b[:])
}

// giveUp returns the refusal of a request whose claim could not be written. If the
// claim may still be committed, giveUp adds it to the unsettled claims, so that
// Maintain releases it.
func (c *Claims) giveUp(w Write, err error) error {
	if !isCertain(err) {
		c.addUnsettled(abandonedClaim{key: w.Key, expect: w.Expect, nonce: w.Row.Nonce})
	}
	c.stats.storeDown.Add(1)
	return &request.Error{
		Outcome:    request.NotRun,
		Reason:     request.ReasonStoreDown,
		Remedy:     "send it again with the same Idempotency-Key: this arrival was not run, and whether an earlier one with the key was can be told when the store answers",
		RetryAfter: retryAfterStore,
		Cause:      err,
	}
}

// answerRetry returns the answer or the error for a retry whose key already has a row.
func (c *Claims) answerRetry(ctx context.Context, key Key, row *Row) (*Answer, error) {
	if row.Digest != "" && row.Digest != key.Digest {
		c.stats.refused.Add(1)
		return nil, request.NewNotRunError(request.ReasonKeyReused, "use a new Idempotency-Key: this one belongs to another request")
	}
	switch row.State {
	case Answered:
		answer, err := c.recorded(ctx, row)
		if err == nil {
			c.stats.replayed.Add(1)
			return answer, nil
		}
		c.stats.unknown.Add(1)
		lost := request.NewUnknownError(request.ReasonClaimUnknown, "send it again with the same Idempotency-Key: it ran and its answer is recorded, but can't be read now", err)
		lost.RetryAfter = retryAfterStore
		return nil, lost
	case InProgress:
		c.stats.refused.Add(1)
		held := request.NewUnknownError(request.ReasonClaimHeld, "send it again with the same Idempotency-Key: a run is in progress, or its instance has died", nil)
		held.RetryAfter = retryAfterHeld
		return nil, held
	}
	c.stats.unknown.Add(1)
	return nil, request.NewUnknownError(request.ReasonClaimUnknown, "find out from the service whether it ran: its answer was lost and it is not run again", nil)
}

// recorded returns the answer that a row contains, or reads it from the object store.
func (c *Claims) recorded(ctx context.Context, row *Row) (*Answer, error) {
	if row.Answer != nil {
		return row.Answer, nil
	}
	b, err := c.objects.Get(ctx, row.Object)
	if err != nil {
		return nil, err
	}
	return decodeAnswer(b)
}

// addUnsettled adds a claim to those that Maintain releases. When there are more than
// maxUnsettled, the oldest one is dropped. If its row exists it stays held, so that
// retries are told that the outcome is unknown; this is safe.
func (c *Claims) addUnsettled(l abandonedClaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unsettled) >= maxUnsettled {
		c.unsettled = c.unsettled[1:]
	}
	c.unsettled = append(c.unsettled, l)
}
