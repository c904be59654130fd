package datacentre

import (
	"context"
	"errors"
	"slices"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"wisteriafold/platform"
	"wisteriafold/wire"
)

// RosterTable is the platform table that holds one row for each data centre.
const RosterTable = "rosters"

const (
	changesLimit   = 64 // rows of one read of changes
	commitAttempts = 5  // tries of a change that loses to others
)

// Job is work on the roster table for a worker goroutine: an optional change of
// one data centre's row, and then a read of what has changed.
type Job struct {
	ID          uint64
	DataCentre  string
	Region      string
	Join        []string // addresses to add
	Leave       []string // addresses that leave by themselves
	Expel       []string // addresses to take out although they have not asked
	Since       uint64   // commit sequence number up to which the table is known
	submittedAt int64    // nanoseconds since the directory's epoch
}

func (j *Job) changes() bool { return len(j.Join)+len(j.Leave)+len(j.Expel) > 0 }

// Result is the outcome of a Job.
type Result struct {
	Job     Job
	Rows    []StoredRoster // rows that changed after Job.Since
	Newest  uint64         // commit sequence number up to which the table is known now
	Changed bool           // the change is in the table
	Err     error          // the read, or the change, failed
}

// StoredRoster is one row as read from the table.
type StoredRoster struct {
	Value      *wire.RosterRow
	RowVersion uint64
}

// Run does the job. A change is conditional on the row as read; it is redone
// when another writer was faster, and read back when its answer was lost.
func Run(ctx context.Context, table platform.Table, job Job) Result {
	res := Result{Job: job}
	if job.changes() {
		res.Err = change(ctx, table, &job)
		res.Changed = res.Err == nil
	}
	err := readChanges(ctx, table, &res)
	res.Err = errors.Join(res.Err, err)
	return res
}

func readChanges(ctx context.Context, table platform.Table, res *Result) error {
	since := res.Job.Since
	for {
		rows, newest, err := table.Changes(ctx, RosterTable, since, changesLimit)
		var gone *platform.HistoryGoneError
		if errors.As(err, &gone) {
			return readAll(ctx, table, res)
		}
		if err != nil {
			return err
		}
		if err := res.add(rows); err != nil {
			return err
		}
		if len(rows) > 0 {
			since = rows[len(rows)-1].Version
		}
		if len(rows) < changesLimit {
			res.Newest = max(newest, since)
			return nil
		}
	}
}

// readAll reads every roster: the changes since the last read are no longer kept.
func readAll(ctx context.Context, table platform.Table, res *Result) error {
	res.Rows, res.Newest = nil, res.Job.Since
	for after := ""; ; {
		rows, err := table.Scan(ctx, RosterTable, after, changesLimit)
		if err != nil {
			return err
		}
		if err := res.add(rows); err != nil {
			return err
		}
		for _, r := range rows {
			after, res.Newest = r.Key, max(res.Newest, r.Version)
		}
		if len(rows) < changesLimit {
			return nil
		}
	}
}

// add decodes rows that exist.
func (res *Result) add(rows []platform.Row) error {
	for _, r := range rows {
		if r.Deleted {
			continue
		}
		v := new(wire.RosterRow)
		if err := proto.Unmarshal(r.Value, v); err != nil {
			return eris.Wrapf(err, "row %s/%s is no roster: restore or delete it", RosterTable, r.Key)
		}
		res.Rows = append(res.Rows, StoredRoster{Value: v, RowVersion: r.Version})
	}
	return nil
}

// change applies the job's change to its row, unless the row has it already.
func change(ctx context.Context, table platform.Table, job *Job) error {
	var err error
	for range commitAttempts {
		var value *wire.RosterRow
		var version uint64
		value, version, err = readRow(ctx, table, job.DataCentre)
		if err != nil {
			return err
		}
		if !edit(value, job) {
			return nil
		}
		err = commit(ctx, table, value, version)
		var conflict *platform.ConflictError
		var lost *platform.AmbiguousError
		if err == nil {
			return nil
		}
		if !errors.As(err, &conflict) && !errors.As(err, &lost) {
			return err
		}
	}
	return err
}

func readRow(ctx context.Context, table platform.Table, dataCentre string) (*wire.RosterRow, uint64, error) {
	value := &wire.RosterRow{DataCentre: dataCentre}
	rows, err := table.Get(ctx, RosterTable, dataCentre)
	if err != nil || len(rows) == 0 {
		return value, 0, err
	}
	if err := proto.Unmarshal(rows[0].Value, value); err != nil {
		return nil, 0, eris.Wrapf(err, "row %s/%s is no roster: restore or delete it", RosterTable, dataCentre)
	}
	return value, rows[0].Version, nil
}

// edit changes the row as the job asks, and reports whether anything changed.
func edit(value *wire.RosterRow, job *Job) bool {
	joins := without(job.Join, value.Addresses)
	expel := slices.DeleteFunc(slices.Clone(job.Expel), func(a string) bool { return !slices.Contains(value.Addresses, a) })
	gone := append(slices.Clone(job.Leave), expel...)
	kept := without(value.Addresses, gone)
	if len(joins) == 0 && len(kept) == len(value.Addresses) {
		return false
	}
	value.Region = job.Region
	value.Addresses = append(kept, joins...)
	value.Expelled = append(without(value.Expelled, expel), expel...)
	value.Expelled = value.Expelled[max(0, len(value.Expelled)-expelledKept):]
	value.Version++
	return true
}

func commit(ctx context.Context, table platform.Table, value *wire.RosterRow, version uint64) error {
	b, err := proto.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "marshal roster")
	}
	_, err = table.Commit(ctx, platform.Tx{
		Conditions: []platform.Condition{{Table: RosterTable, Key: value.DataCentre, Version: version}},
		Writes:     []platform.Write{{Table: RosterTable, Key: value.DataCentre, Value: b}},
	})
	return err
}
