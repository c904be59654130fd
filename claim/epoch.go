package claim

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"wisteriafold/platform"
)

// epochs knows the epoch row: its value, its version, and since when this
// process has seen it unchanged.
type epochs struct {
	cfg   Config
	table platform.Table

	mu      sync.Mutex
	known   bool
	value   uint64
	version uint64 // 0 while there is no row
	since   time.Time
}

func newEpochs(cfg Config, table platform.Table) *epochs {
	return &epochs{cfg: cfg, table: table}
}

// current returns the epoch and the version of its row, as last read.
func (e *epochs) current(ctx context.Context) (value, version uint64, err error) {
	e.mu.Lock()
	known := e.known
	value, version = e.value, e.version
	e.mu.Unlock()
	if known {
		return value, version, nil
	}
	return e.read(ctx)
}

// read reads the row.
func (e *epochs) read(ctx context.Context) (value, version uint64, err error) {
	rows, err := e.table.Get(ctx, e.cfg.Table, epochKey)
	if err != nil {
		return 0, 0, err
	}
	var row platform.Row
	if len(rows) > 0 {
		row = rows[0]
	}
	e.learn(row)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.value, e.version, nil
}

// learn takes in a row that was read; the zero row says that there is none.
// Rows that were read earlier than the known one are ignored.
func (e *epochs) learn(row platform.Row) {
	value, _ := strconv.ParseUint(string(row.Value), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known && row.Version <= e.version {
		return
	}
	e.known, e.value, e.version, e.since = true, value, row.Version, time.Now()
}

// advance counts one epoch on when this process has seen the one in force for
// its whole length. Losing the race against another process is no error.
func (e *epochs) advance(ctx context.Context) error {
	if _, _, err := e.read(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	value, version, due := e.value, e.version, time.Since(e.since) >= e.cfg.Epoch
	e.mu.Unlock()
	if !due {
		return nil
	}
	_, err := e.table.Commit(ctx, platform.Tx{
		Conditions: []platform.Condition{{Table: e.cfg.Table, Key: epochKey, Version: version}},
		Writes:     []platform.Write{{Table: e.cfg.Table, Key: epochKey, Value: strconv.AppendUint(nil, value+1, 10)}},
	})
	var conflict *platform.ConflictError
	var ambiguous *platform.AmbiguousError
	if err != nil && !errors.As(err, &conflict) && !errors.As(err, &ambiguous) {
		return err
	}
	_, _, err = e.read(ctx)
	return err
}
