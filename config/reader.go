package config

import (
	"context"
	"errors"

	"wisteriafold/platform"
)

// Update is the result of one read of the store by a relay.
type Update struct {
	Since   uint64 // store version that the read started from
	Changed bool   // Head, Version, Full and Rows are set
	Head    Head
	Version uint64 // commit sequence number of the head
	Full    bool   // Rows are all rows of the generation
	Rows    []Row  // rows that changed since, each key once
}

// Reader reads the store for a relay. It reads only what has changed, as long as
// the store's history reaches back far enough. It has no state and is safe for
// concurrent use.
type Reader struct{ Table platform.Table }

// Read returns what changed since a store version, 0 for everything. It
// blocks, so it runs on a worker and not on the control goroutine.
func (r Reader) Read(ctx context.Context, since uint64) (Update, error) {
	if since == 0 {
		return r.full(ctx, since)
	}
	changed := map[string]platform.Row{}
	cursor := since
	for {
		rows, newest, err := r.Table.Changes(ctx, Table, cursor, pageRows)
		var gone *platform.HistoryGoneError
		if errors.As(err, &gone) {
			return r.full(ctx, since)
		}
		if err != nil {
			return Update{}, err
		}
		if newest < since {
			return Update{}, &RegressedError{}
		}
		if len(rows) < pageRows {
			mergeRows(changed, rows)
			return r.update(ctx, since, changed)
		}
		complete := completeVersions(rows)
		if len(complete) == 0 {
			return r.full(ctx, since)
		}
		mergeRows(changed, complete)
		cursor = complete[len(complete)-1].Version
	}
}

// RegressedError reports a store that has lost commits that this daemon has
// seen. The daemon keeps its configuration.
type RegressedError struct{}

// Error names the remedy.
func (e *RegressedError) Error() string {
	return "the store is older than the configuration in force: restore the platform's table from its own copies, or apply until the generation is higher"
}

func mergeRows(into map[string]platform.Row, rows []platform.Row) {
	for _, r := range rows {
		into[r.Key] = r
	}
}

// completeVersions drops the rows of the last version of a full page, because
// the page may hold only a part of that commit.
func completeVersions(rows []platform.Row) []platform.Row {
	last := rows[len(rows)-1].Version
	end := len(rows)
	for end > 0 && rows[end-1].Version == last {
		end--
	}
	return rows[:end]
}

// update returns the Update for the rows of a complete read. It reads the whole
// table when the head is not among them.
func (r Reader) update(ctx context.Context, since uint64, changed map[string]platform.Row) (Update, error) {
	if len(changed) == 0 {
		return Update{Since: since}, nil
	}
	head, found := changed[headKey]
	if !found {
		return r.full(ctx, since)
	}
	h, err := parseHead(head.Value)
	if err != nil {
		return Update{}, err
	}
	u := Update{Since: since, Changed: true, Head: h, Version: head.Version}
	for key, row := range changed {
		if key != headKey {
			u.Rows = append(u.Rows, Row{Key: key, Value: row.Value, Deleted: row.Deleted})
		}
	}
	sortRows(u.Rows)
	return u, nil
}

// full reads the whole table.
func (r Reader) full(ctx context.Context, since uint64) (Update, error) {
	s, err := Read(ctx, r.Table)
	if err == nil && s.Snapshot.Version < since {
		return Update{}, &RegressedError{}
	}
	if err != nil || s.Snapshot.Generation == 0 {
		return Update{Since: since}, err
	}
	u := Update{Since: since, Changed: true, Version: s.Snapshot.Version, Full: true, Rows: s.content.all()}
	u.Head = Head{Generation: s.Snapshot.Generation, Digest: s.Snapshot.Digest}
	return u, nil
}
