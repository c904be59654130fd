package config

import (
	"context"
	"encoding/json"
	"fmt"

	"wisteriafold/platform"
)

const (
	// Table holds one row for each object, and the head.
	Table = "config"

	// AppliesTable holds one row for each apply that has been decided.
	AppliesTable = "config-applies"

	headKey      = "head"
	pageRows     = 1000 // rows of one read
	readAttempts = 5    // reads of the whole table before BusyError
)

// Head is the row that every accepted apply replaces. Applies are conditional
// on its version.
type Head struct {
	Generation uint64 `json:"generation"`
	Apply      string `json:"apply"`  // id of the apply that was accepted
	Digest     uint64 `json:"digest"` // over the content of all objects
}

// Stored is the configuration that the store held at one time. It is the base of
// an apply.
type Stored struct {
	Snapshot *Snapshot
	content  *content
}

// BusyError reports that the configuration changed during each attempt to
// read it as a whole.
type BusyError struct{ Attempts int }

// Error names the remedy.
func (e *BusyError) Error() string {
	return fmt.Sprintf("the configuration changed during each of %d reads: run the command again", e.Attempts)
}

// Read returns the configuration in the store. It fails with the table's
// errors, with BusyError, or with CorruptError.
func Read(ctx context.Context, table platform.Table) (*Stored, error) {
	var last error
	for range readAttempts {
		h, version, err := readHead(ctx, table)
		if err != nil {
			return nil, err
		}
		rows, err := scanRows(ctx, table)
		if err != nil {
			return nil, err
		}
		_, after, err := readHead(ctx, table)
		if err != nil {
			return nil, err
		}
		last = &BusyError{readAttempts}
		if after != version {
			continue
		}
		c := newContent()
		if version == 0 {
			return &Stored{c.snapshot, c}, nil
		}
		if last = c.apply(h, version, rows); last == nil {
			return &Stored{c.snapshot, c}, nil
		}
	}
	return nil, last
}

// readHead returns the head and its version, 0 when nothing was ever applied.
func readHead(ctx context.Context, table platform.Table) (Head, uint64, error) {
	rows, err := table.Get(ctx, Table, headKey)
	if err != nil || len(rows) == 0 {
		return Head{}, 0, err
	}
	h, err := parseHead(rows[0].Value)
	return h, rows[0].Version, err
}

func parseHead(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return h, &CorruptError{0, "the head can't be read: " + err.Error()}
	}
	return h, nil
}

// scanRows reads all objects, page by page.
func scanRows(ctx context.Context, table platform.Table) ([]Row, error) {
	var out []Row
	after := ""
	for {
		page, err := table.Scan(ctx, Table, after, pageRows)
		if err != nil {
			return nil, err
		}
		for _, r := range page {
			if r.Key != headKey {
				out = append(out, Row{Key: r.Key, Value: r.Value})
			}
			after = r.Key
		}
		if len(page) < pageRows {
			return out, nil
		}
	}
}
