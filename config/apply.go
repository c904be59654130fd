package config

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"wisteriafold/platform"
)

const (
	applyIDBytes      = 8      // random bytes of an apply's id
	applyRetention    = 10_000 // generations for which an apply's outcome is kept
	maxPrunedOutcomes = 4      // largest number of old outcomes that one apply deletes
	resolveAttempts   = 5      // reads of the outcome before it is reported as unknown
)

// Outcome is the result of an apply.
type Outcome string

// Possible outcomes of an apply.
const (
	Accepted  Outcome = "accepted"  // the whole configuration is in force in the store
	Unchanged Outcome = "unchanged" // the configuration equals its base; nothing was written
	Rejected  Outcome = "rejected"  // no part of it is in force, and none will be
	Unknown   Outcome = "unknown"   // not known yet: run the command that UnknownError names
)

// Result is the outcome of an apply with its generation and number of changes.
type Result struct {
	ID         string  `json:"id"`
	Outcome    Outcome `json:"outcome"`
	Generation uint64  `json:"generation"` // of the apply when accepted, else of its base
	Changes    int     `json:"changes"`    // objects that were written, 0 when Resolve read the outcome back
}

// RaceError reports that another apply was accepted since the base was read.
type RaceError struct {
	Base, Now uint64 // generations; Now is 0 when it could not be read
}

// Error names the remedy.
func (e *RaceError) Error() string {
	return fmt.Sprintf("rejected: generation %d, on which this is based, is no longer in force (now %d): look at `wisteriafold diff` and apply again", e.Base, e.Now)
}

// FencedError reports an apply that was rejected before it took effect. Its
// write has not been committed and can't be committed any more.
type FencedError struct{ ID string }

// Error names the remedy.
func (e *FencedError) Error() string {
	return fmt.Sprintf("rejected: apply %s has not taken effect and can't do so any more: look at `wisteriafold diff` and apply again", e.ID)
}

// UnknownError reports that it could not be determined whether an apply was
// accepted.
type UnknownError struct {
	ID    string
	Cause error
}

// Command returns the command line that queries the outcome again.
func (e *UnknownError) Command() string { return "wisteriafold apply --outcome " + e.ID }

// Error names the command that queries the outcome again.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("it is not known whether apply %s was accepted: ask again with `%s`: %v", e.ID, e.Command(), e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// NewApplyID returns an id for an apply on top of the base. It sorts by the
// base's generation.
func NewApplyID(base *Stored, random io.Reader) (string, error) {
	var b [applyIDBytes]byte
	if _, err := io.ReadFull(random, b[:]); err != nil {
		return "", eris.Wrap(err, "read random bytes for an apply id")
	}
	return fmt.Sprintf("%016x-%s", base.Snapshot.Generation, hex.EncodeToString(b[:])), nil
}

// applyBase returns the generation of the base of the apply with this id.
func applyBase(id string) (uint64, error) {
	base, _, _ := strings.Cut(id, "-")
	n, err := strconv.ParseUint(base, 16, 64)
	if err != nil || len(base) != 16 {
		return 0, eris.Errorf("%q is not the id of an apply: copy it from the output of `wisteriafold apply`", id)
	}
	return n, nil
}

// applyRow is the value of a row of AppliesTable.
type applyRow struct {
	Accepted   bool   `json:"accepted"`
	Generation uint64 `json:"generation"` // of the apply when accepted
}

// Apply replaces base by next in the store, atomically. id is from NewApplyID
// on the same base. The error is nil only when the outcome is Accepted or
// Unchanged; otherwise it is RaceError, FencedError, UnknownError
// or, for a store that did not take the write, platform.UnavailableError.
func Apply(ctx context.Context, table platform.Table, base *Stored, next *Configuration, id string) (Result, error) {
	return commit(ctx, table, base, keepEvacuations(base.Snapshot.Configuration, next), id)
}

// commit writes the difference between base and next. Its results are those of Apply.
func commit(ctx context.Context, table platform.Table, base *Stored, next *Configuration, id string) (Result, error) {
	res := Result{ID: id, Generation: base.Snapshot.Generation}
	next = stampSince(base.Snapshot.Configuration, next, base.Snapshot.Generation+1)
	rows, err := diffRows(base.content, next)
	if err != nil {
		res.Outcome = Rejected
		return res, err
	}
	if len(rows) == 0 {
		res.Outcome = Unchanged
		return res, nil
	}
	head := Head{Generation: base.Snapshot.Generation + 1, Apply: id, Digest: base.content.digestAfter(rows)}
	tx, err := applyTx(base, head, rows, id)
	if err == nil {
		tx.Writes, err = pruneApplies(ctx, table, base.Snapshot.Generation, tx.Writes)
	}
	if err != nil {
		res.Outcome = Rejected
		return res, err
	}
	_, err = table.Commit(ctx, tx)
	if err == nil {
		return Result{id, Accepted, head.Generation, len(rows)}, nil
	}
	return resolveFailedCommit(ctx, table, res, len(rows), err)
}

// resolveFailedCommit determines the outcome of an apply whose commit
// returned an error.
func resolveFailedCommit(ctx context.Context, table platform.Table, res Result, rows int, err error) (Result, error) {
	var conflict *platform.ConflictError
	var ambiguous *platform.AmbiguousError
	switch {
	case errors.As(err, &conflict) && conflict.Table == Table:
		res.Outcome = Rejected
		now, _, _ := readHead(ctx, table)
		return res, &RaceError{res.Generation, now.Generation}
	case errors.As(err, &conflict), errors.As(err, &ambiguous):
		found, err := Resolve(ctx, table, res.ID)
		if found.Outcome == Accepted {
			found.Changes = rows
		}
		return found, err
	}
	res.Outcome = Rejected
	return res, err
}

// applyTx builds the transaction. Its conditions are that the apply has no
// outcome yet and that the base is still in force. Its writes are the rows, the
// head and the apply's outcome.
func applyTx(base *Stored, head Head, rows []Row, id string) (platform.Tx, error) {
	tx := platform.Tx{Conditions: []platform.Condition{
		{Table: AppliesTable, Key: id},
		{Table: Table, Key: headKey, Version: base.Snapshot.Version},
	}}
	for _, r := range rows {
		tx.Writes = append(tx.Writes, platform.Write{Table: Table, Key: r.Key, Value: r.Value, Delete: r.Deleted})
	}
	headValue, err := json.Marshal(head)
	if err != nil {
		return tx, err
	}
	outcome, err := json.Marshal(applyRow{Accepted: true, Generation: head.Generation})
	if err != nil {
		return tx, err
	}
	tx.Writes = append(tx.Writes,
		platform.Write{Table: Table, Key: headKey, Value: headValue},
		platform.Write{Table: AppliesTable, Key: id, Value: outcome})
	return tx, nil
}

// pruneApplies adds the deletion of outcomes that are older than applyRetention
// generations, at most maxPrunedOutcomes. Their applies can't be committed late, because the head has been
// replaced since their base was read.
func pruneApplies(ctx context.Context, table platform.Table, generation uint64, writes []platform.Write) ([]platform.Write, error) {
	if generation <= applyRetention {
		return writes, nil
	}
	old, err := table.Scan(ctx, AppliesTable, "", maxPrunedOutcomes)
	if err != nil {
		return nil, err
	}
	for _, r := range old {
		if base, err := applyBase(r.Key); err == nil && base+applyRetention < generation {
			writes = append(writes, platform.Write{Table: AppliesTable, Key: r.Key, Delete: true})
		}
	}
	return writes, nil
}

// Resolve determines whether an apply was accepted after the store's answer was
// lost. A missing outcome proves nothing, because the write may still be
// committed. Resolve therefore tries to reject the apply by writing its outcome
// itself: the write that is committed first excludes the other. The error is
// nil for Accepted, FencedError for Rejected and UnknownError for Unknown.
func Resolve(ctx context.Context, table platform.Table, id string) (Result, error) {
	res := Result{ID: id, Outcome: Unknown}
	base, err := applyBase(id)
	if err != nil {
		return res, err
	}
	res.Generation = base
	var last error
	for range resolveAttempts {
		row, found, err := readApply(ctx, table, id, base)
		if err != nil {
			return res, &UnknownError{id, err}
		}
		if found && row.Accepted {
			res.Outcome, res.Generation = Accepted, row.Generation
			return res, nil
		}
		if found {
			res.Outcome = Rejected
			return res, &FencedError{id}
		}
		last = fence(ctx, table, id)
		var unavailable *platform.UnavailableError
		if errors.As(last, &unavailable) {
			break
		}
	}
	return res, &UnknownError{id, last}
}

// readApply returns the outcome of an apply. found is false while the apply
// is undecided.
func readApply(ctx context.Context, table platform.Table, id string, base uint64) (row applyRow, found bool, err error) {
	h, _, err := readHead(ctx, table)
	if err != nil {
		return row, false, err
	}
	if h.Generation > base+applyRetention {
		return row, false, eris.Errorf("outcomes are kept for %d generations only: compare with `wisteriafold diff`", applyRetention)
	}
	rows, err := table.Get(ctx, AppliesTable, id)
	if err != nil || len(rows) == 0 {
		return row, false, err
	}
	return row, true, json.Unmarshal(rows[0].Value, &row)
}

// fence rejects an undecided apply by writing its outcome. The caller reads the
// outcome back in any case, so it stops only when the store is unavailable.
func fence(ctx context.Context, table platform.Table, id string) error {
	value, err := json.Marshal(applyRow{})
	if err != nil {
		return err
	}
	_, err = table.Commit(ctx, platform.Tx{
		Conditions: []platform.Condition{{Table: AppliesTable, Key: id}},
		Writes:     []platform.Write{{Table: AppliesTable, Key: id, Value: value}},
	})
	return err
}
