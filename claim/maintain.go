package claim

import (
	"context"
	"errors"

	"wisteriafold/platform"
)

// MaintainResult reports what one call of Maintain did.
type MaintainResult struct {
	Released int // abandoned claims that were released
	Examined int // rows that were examined
	Removed  int // rows that were removed because of their age
}

// Maintain does a bounded amount of housekeeping. It releases claims that were
// abandoned while the store did not answer. If clean is set it also advances the
// epoch when that is due and removes rows that are past their retention. Every
// instance calls it every few seconds; only a few instances of a data centre need to
// set clean.
func (c *Claims) Maintain(ctx context.Context, clean bool) (MaintainResult, error) {
	var out MaintainResult
	err := c.releaseUnsettled(ctx, &out)
	if err != nil || !clean {
		return out, err
	}
	if err := c.epoch.advance(ctx); err != nil {
		return out, err
	}
	return out, c.clean(ctx, &out)
}

// releaseUnsettled releases the abandoned claims. It stops at the first error and keeps
// the claims that are not released for the next call.
func (c *Claims) releaseUnsettled(ctx context.Context, out *MaintainResult) error {
	c.mu.Lock()
	todo := c.unsettled
	c.unsettled = nil
	c.mu.Unlock()
	for i, l := range todo {
		done, err := c.release(ctx, l)
		if done {
			out.Released++
			continue
		}
		for _, l := range todo[i:] {
			c.addUnsettled(l)
		}
		return err
	}
	return nil
}

// clean examines the next batch of rows and removes those that are past their
// retention.
func (c *Claims) clean(ctx context.Context, out *MaintainResult) error {
	c.mu.Lock()
	after := c.cursor
	c.mu.Unlock()
	rows, err := c.table.Scan(ctx, c.cfg.Table, after, c.cfg.CleanBatch)
	if err != nil {
		return err
	}
	now, _, err := c.epoch.current(ctx)
	if err != nil {
		return err
	}
	var old []platform.Row
	for _, row := range rows {
		out.Examined++
		if row.Key == epochKey {
			continue
		}
		r, err := decode(row.Value)
		if err != nil || r.Epoch+c.cfg.RetainEpochs > now {
			continue
		}
		if r.Object != "" {
			if err := c.objects.Delete(ctx, r.Object); err != nil {
				return err
			}
		}
		old = append(old, row)
	}
	removed, err := c.remove(ctx, old)
	out.Removed += removed
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cursor = ""
	if len(rows) == c.cfg.CleanBatch {
		c.cursor = rows[len(rows)-1].Key
	}
	return nil
}

// remove deletes rows in one transaction, each on condition that it is unchanged
// since it was read. A conflict means that another instance is cleaning the same
// rows; remove then returns 0 and no error.
func (c *Claims) remove(ctx context.Context, rows []platform.Row) (int, error) {
	if len(rows) == 0 {
		return 0, nil
	}
	var tx platform.Tx
	for _, row := range rows {
		tx.Conditions = append(tx.Conditions, platform.Condition{Table: c.cfg.Table, Key: row.Key, Version: row.Version})
		tx.Writes = append(tx.Writes, platform.Write{Table: c.cfg.Table, Key: row.Key, Delete: true})
	}
	_, err := c.table.Commit(ctx, tx)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return len(rows), nil
}

// Explanation describes the state of one idempotency key in the table.
type Explanation struct {
	Found   bool
	Version uint64 // version of the row
	Row     Row
	Epochs  uint64 // number of epochs that have begun since the claim was taken
	Meaning string // the state in words, and what the operator can do
}

// Explain returns the state of a key for operators. It does not change the table.
func (c *Claims) Explain(ctx context.Context, key Key) (Explanation, error) {
	rows, err := c.table.Get(ctx, c.cfg.Table, key.row())
	if err != nil {
		return Explanation{}, err
	}
	if len(rows) == 0 {
		return Explanation{Meaning: "no request with this key was claimed, or it was removed by age"}, nil
	}
	r, err := decode(rows[0].Value)
	if err != nil {
		return Explanation{}, err
	}
	now, _, err := c.epoch.read(ctx)
	if err != nil {
		return Explanation{}, err
	}
	e := Explanation{Found: true, Version: rows[0].Version, Row: *r, Epochs: now - min(now, r.Epoch)}
	switch r.State {
	case InProgress:
		e.Meaning = "in progress at " + r.Claimant + ", or in doubt when that instance has died since: ask the service whether it ran"
	case Answered:
		e.Meaning = "ran once; retries get the recorded answer"
	case Unknown:
		e.Meaning = "may have run, the answer is lost: ask the service whether it ran. " + r.Note
	case Released:
		e.Meaning = "was not run; the next retry runs it"
	}
	return e, nil
}
