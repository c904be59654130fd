package claim

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"wisteriafold/platform"
)

// epochCache caches the epoch row: its value, its version, and the time since which this
// process has seen it unchanged.
type epochCache struct {
	cfg   Config
	table platform.Table

	mu      sync.Mutex
	known   bool
	value   uint64
	version uint64 // 0 if the row does not exist
	since   time.Time
}

func newEpochCache(cfg Config, table platform.Table) *epochCache {
	return &epochCache{cfg: cfg, table: table}
}

// current returns the epoch and the version of its row as last read. It reads the
// row if it has not been read yet.
func (e *epochCache) current(ctx context.Context) (value, version uint64, err error) {
	e.mu.Lock()
	known := e.known
	value, version = e.value, e.version
	e.mu.Unlock()
	if known {
		return value, version, nil
	}
	return e.read(ctx)
}

// read reads the epoch row from the table and returns the newest known value and
// version.
func (e *epochCache) read(ctx context.Context) (value, version uint64, err error) {
	rows, err := e.table.Get(ctx, e.cfg.Table, epochKey)
	if err != nil {
		return 0, 0, err
	}
	var row platform.Row
	if len(rows) > 0 {
		row = rows[0]
	}
	e.update(row)
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.value, e.version, nil
}

// update stores a row that was read; the zero row means that the row does not exist.
// A row whose version is not newer than the known one is ignored, so since keeps the
// time at which the current version was first seen.
func (e *epochCache) update(row platform.Row) {
	value, _ := strconv.ParseUint(string(row.Value), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known && row.Version <= e.version {
		return
	}
	e.known, e.value, e.version, e.since = true, value, row.Version, time.Now()
}

// advance increments the epoch if this process has seen the current one for at least
// Config.EpochLength. It is not an error if another process increments it first.
func (e *epochCache) advance(ctx context.Context) error {
	if _, _, err := e.read(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	value, version, due := e.value, e.version, time.Since(e.since) >= e.cfg.EpochLength
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
