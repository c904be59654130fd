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
	changesLimit   = 64 // rows per read
	commitAttempts = 5  // attempts to commit a change that conflicts with other writers
)

// Job is an operation on the roster table for a worker goroutine: an optional
// change of one data centre's row, followed by a read of the changed rows.
type Job struct {
	ID          uint64
	DataCentre  string
	Region      string
	Join        []string // addresses to add
	Leave       []string // addresses to remove at their own request
	Expel       []string // addresses to remove without their request
	Since       uint64   // commit sequence number up to which all rows are known
	submittedAt int64    // nanoseconds since the directory's epoch
}

func (j *Job) changes() bool { return len(j.Join)+len(j.Leave)+len(j.Expel) > 0 }

// Result is the outcome of a Job.
type Result struct {
	Job     Job
	Rows    []StoredRoster // rows that changed after Job.Since
	Newest  uint64         // commit sequence number up to which all rows are known after the job
	Changed bool           // the table holds the requested change
	Ignored []error        // rows that were read and are no rosters, InvalidRowError
	Err     error          // error of the change or the read
}

// InvalidRowError reports a row of the table that is no roster. Other programs may
// write to the table, too.
type InvalidRowError struct {
	Key   string
	Cause error
}

// Error names the row and the remedy.
func (e *InvalidRowError) Error() string {
	return "row " + RosterTable + "/" + e.Key + " is no roster: find out what wrote it, and delete it: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *InvalidRowError) Unwrap() error { return e.Cause }

// StoredRoster is one row as read from the table.
type StoredRoster struct {
	Value      *wire.RosterRow
	RowVersion uint64
}

// Run executes the job. A change is conditional on the version of the row that
// was read. If another writer came first, or the answer to the commit was lost,
// Run reads the row again and commits what is still missing, up to
// commitAttempts times in all.
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
		res.add(rows)
		if len(rows) > 0 {
			since = rows[len(rows)-1].Version
		}
		if len(rows) < changesLimit {
			res.Newest = max(newest, since)
			return nil
		}
	}
}

// readAll reads all rosters. It is used when the store no longer keeps the
// changes since the last read.
func readAll(ctx context.Context, table platform.Table, res *Result) error {
	res.Rows, res.Newest = nil, res.Job.Since
	for after := ""; ; {
		rows, err := table.Scan(ctx, RosterTable, after, changesLimit)
		if err != nil {
			return err
		}
		res.add(rows)
		for _, r := range rows {
			after, res.Newest = r.Key, max(res.Newest, r.Version)
		}
		if len(rows) < changesLimit {
			return nil
		}
	}
}

// add decodes the rows that are not deleted. It leaves out those that are no rosters.
func (res *Result) add(rows []platform.Row) {
	for _, r := range rows {
		if r.Deleted {
			continue
		}
		v, err := decodeRoster(r)
		if err != nil {
			res.Ignored = append(res.Ignored, err)
			continue
		}
		res.Rows = append(res.Rows, StoredRoster{Value: v, RowVersion: r.Version})
	}
}

var errOtherDataCentre = errors.New("it names another data centre than its key")

func decodeRoster(r platform.Row) (*wire.RosterRow, error) {
	v := new(wire.RosterRow)
	if err := proto.Unmarshal(r.Value, v); err != nil {
		return nil, &InvalidRowError{r.Key, err}
	}
	if v.DataCentre != r.Key {
		return nil, &InvalidRowError{r.Key, errOtherDataCentre}
	}
	return v, nil
}

// change commits the job's change to its row, unless the row already contains it.
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

// readRow returns the roster of a data centre and the version of its row. A row that is
// no roster counts as an empty one: the members put themselves on it again.
func readRow(ctx context.Context, table platform.Table, dataCentre string) (*wire.RosterRow, uint64, error) {
	value := &wire.RosterRow{DataCentre: dataCentre}
	rows, err := table.Get(ctx, RosterTable, dataCentre)
	if err != nil || len(rows) == 0 {
		return value, 0, err
	}
	if v, err := decodeRoster(rows[0]); err == nil {
		value = v
	}
	return value, rows[0].Version, nil
}

// edit applies the job to the row and reports whether anything changed.
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
	value.Expelled = value.Expelled[max(0, len(value.Expelled)-maxExpelledKept):]
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
