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

// Claims takes claims for one instance. It is safe for concurrent use.
type Claims struct {
	cfg      Config
	table    platform.Table
	objects  platform.Objects
	submit   Submitter
	epoch    *epochs
	claimant string

	mu        sync.Mutex
	random    *rand.Rand
	unsettled []loose
	cursor    string // where the next clean-up goes on

	stats counters
}

// loose is a claim that was given up before it was known whether it landed,
// or whose release did not reach the table. It was never dispatched.
type loose struct {
	key    string
	expect uint64 // version that the claim was conditional on, or the claim's own
	nonce  string
}

// New returns the claims of the instance with peer address claimant, with its
// own Writer. random must be seeded differently in every process.
func New(cfg Config, table platform.Table, objects platform.Objects, claimant string, random *rand.Rand) *Claims {
	cfg = cfg.withDefaults()
	w := NewWriter(cfg, table)
	c := NewVia(cfg, table, objects, w, claimant, random)
	c.epoch = w.epoch
	return c
}

// NewVia returns claims whose writes go through submit, for instance to the
// Writer of another process.
func NewVia(cfg Config, table platform.Table, objects platform.Objects, submit Submitter, claimant string, random *rand.Rand) *Claims {
	cfg = cfg.withDefaults()
	return &Claims{
		cfg: cfg, table: table, objects: objects, submit: submit,
		epoch: newEpochs(cfg, table), claimant: claimant, random: random,
	}
}

// counters are running totals.
type counters struct {
	taken, replayed, refused, unknown, storeDown atomic.Uint64
}

// Stats are running totals of an instance.
type Stats struct {
	Taken     uint64 // claims taken
	Replayed  uint64 // recorded answers given to retries
	Refused   uint64 // retries refused: a run in progress, or a key used for two requests
	Unknown   uint64 // retries told that the outcome of an earlier run is not known
	StoreDown uint64 // requests refused because no claim could be written
	Unsettled int    // claims given up that Maintain still has to release
}

// Stats returns the totals since the start.
func (c *Claims) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return Stats{
		Taken: c.stats.taken.Load(), Replayed: c.stats.replayed.Load(), Refused: c.stats.refused.Load(),
		Unknown: c.stats.unknown.Load(), StoreDown: c.stats.storeDown.Load(), Unsettled: len(c.unsettled),
	}
}

// Held is a claim that this instance holds. Exactly one of Release, Record and
// Lost ends it.
type Held struct {
	claims  *Claims
	key     string
	version uint64
	row     Row
	taken   time.Time // before the claim was written
}

// Take claims key. It returns one of three things: a Held, and the request may
// run once; the recorded Answer of an earlier run; or a *request.Error. The
// error is NotRun when this arrival was not run and no earlier one is known of,
// and Unknown when an earlier one may have run.
func (c *Claims) Take(ctx context.Context, key Key) (*Held, *Answer, error) {
	if key.Value == "" || len(key.Value) > maxKeyBytes {
		return nil, nil, request.Refuse(request.ReasonBadRequest, "send an Idempotency-Key of 1 to 255 bytes")
	}
	nonce := c.draw()
	write := Write{
		Key:    key.row(),
		Claims: true,
		Row:    Row{State: InProgress, Claimant: c.claimant, Write: nonce, Nonce: nonce, Digest: key.Digest},
	}
	taken := time.Now()
	for {
		out, err := c.submit.Submit(ctx, write)
		if err != nil {
			return nil, nil, c.giveUp(write, err)
		}
		if out.Landed {
			c.stats.taken.Add(1)
			return &Held{claims: c, key: write.Key, version: out.Version, row: write.Row, taken: taken}, nil, nil
		}
		if out.Row.State != Released {
			answer, err := c.earlier(ctx, key, out.Row)
			return nil, answer, err
		}
		write.Expect = out.Version
	}
}

// draw returns the id of a write.
func (c *Claims) draw() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b [16]byte
	for i := range b {
		b[i] = byte(c.random.Uint32())
	}
	return c.claimant + "/" + hex.EncodeToString(b[:])
}

// giveUp refuses a request whose claim could not be written. When the claim may
// still land it is remembered, so that Maintain releases it.
func (c *Claims) giveUp(w Write, err error) error {
	if !isCertain(err) {
		c.remember(loose{key: w.Key, expect: w.Expect, nonce: w.Row.Nonce})
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

// earlier tells a retry what became of the run that its key belongs to.
func (c *Claims) earlier(ctx context.Context, key Key, row *Row) (*Answer, error) {
	if row.Digest != "" && row.Digest != key.Digest {
		c.stats.refused.Add(1)
		return nil, request.Refuse(request.ReasonKeyReused, "use a new Idempotency-Key: this one belongs to another request")
	}
	switch row.State {
	case Answered:
		answer, err := c.recorded(ctx, row)
		if err == nil {
			c.stats.replayed.Add(1)
			return answer, nil
		}
		c.stats.unknown.Add(1)
		lost := request.Lose(request.ReasonClaimUnknown, "send it again with the same Idempotency-Key: it ran and its answer is recorded, but can't be read now", err)
		lost.RetryAfter = retryAfterStore
		return nil, lost
	case InProgress:
		c.stats.refused.Add(1)
		held := request.Lose(request.ReasonClaimHeld, "send it again with the same Idempotency-Key: a run is in progress, or its instance has died", nil)
		held.RetryAfter = retryAfterHeld
		return nil, held
	}
	c.stats.unknown.Add(1)
	return nil, request.Lose(request.ReasonClaimUnknown, "find out from the service whether it ran: its answer was lost and it is not run again", nil)
}

// recorded returns the answer that a row holds or points to.
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

// remember keeps a claim for Maintain. When it remembers too many the oldest is
// dropped; its row then stays held and says unknown, which is safe.
func (c *Claims) remember(l loose) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unsettled) >= maxUnsettled {
		c.unsettled = c.unsettled[1:]
	}
	c.unsettled = append(c.unsettled, l)
}
