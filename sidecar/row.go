package sidecar

import (
	"context"
	"errors"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"wisteriafold/membership"
	"wisteriafold/platform"
)

// daemonTable is the store table that holds one row for each daemon. The key is the
// daemon's peer address.
const daemonTable = "daemons"

const (
	// maxDaemons limits the number of rows that are read. It is four times the
	// size of deployment that docs/CAPACITY.md covers.
	maxDaemons = 64 << 10

	// rowRetryDelay is the delay before the next round after a round that failed.
	// It is short enough that daemons that start during an outage of the store
	// write their rows within two seconds of its end.
	rowRetryDelay = 600 * time.Millisecond

	// rowTimeout limits one round of calls to the store.
	rowTimeout = 3 * time.Second

	// firstRowWait is how long the first write of the row is delayed until the
	// state of the backend server is known, so that the row is not written twice.
	firstRowWait = time.Second
)

// rowWriter writes changes of this daemon's entry to its row in the store. It reads
// the rows of all daemons after it has written its own for the first time.
type rowWriter struct {
	c            *control
	pending      *membership.Entry // newest entry, nil when nothing has to be written
	written      *membership.Entry // entry that the store confirmed last
	version      uint64            // version of the row in the store, 0 when there is no row
	loaded       bool              // the rows of all daemons have been read since this daemon wrote its own
	versionKnown bool              // version is known
	busy         bool              // a round is in progress
	firstTick    time.Duration     // time of the first tick
	nextRound    time.Duration     // earliest time of the next round
	unsettled    uint64            // condition of the last write without an answer, which may still be executed
	check        rowCheck
	confirming   bool          // the round in progress only follows a lost answer
	leaving      chan struct{} // closed when the store has confirmed that the backend server is leaving, nil when nobody waits for that
}

// noneUnsettled as rowWriter.unsettled means that no write may still be executed. No row
// has this version.
const noneUnsettled = math.MaxUint64

// requestWrite schedules a write of e, unless e differs from the entry written last
// only in its sequence number.
func (r *rowWriter) requestWrite(e *membership.Entry) {
	if r.written != nil && tellsTheSame(r.written, e) {
		return
	}
	r.pending = e
}

// tellsTheSame reports whether two entries differ in their sequence numbers at most.
func tellsTheSame(a, b *membership.Entry) bool {
	same := clone(a)
	same.Sequence = b.Sequence
	return proto.Equal(same, b)
}

// leavingStored returns a channel that is closed once the store has confirmed that the
// current incarnation of the backend server is leaving.
func (r *rowWriter) leavingStored() <-chan struct{} {
	if r.leaving == nil {
		r.leaving = make(chan struct{})
	}
	stored := r.leaving
	r.notifyLeavingStored()
	return stored
}

// notifyLeavingStored closes the channel of leavingStored if the store has confirmed it.
func (r *rowWriter) notifyLeavingStored() {
	w, local := r.written, r.c.local
	if r.leaving == nil || w == nil || membership.State(w.State) < membership.Draining || w.Backend != local.ID() || w.Born != local.StartMs() {
		return
	}
	close(r.leaving)
	r.leaving = nil
}

// tick starts a round of calls to the store when one is due.
func (r *rowWriter) tick(now time.Duration) {
	r.tickCheck(now)
	if r.busy || now < r.nextRound || (r.loaded && r.pending == nil) {
		return
	}
	if r.firstTick == 0 {
		r.firstTick = now
	}
	if !r.loaded && r.c.local.State() == membership.Unknown && r.versionKnown && now-r.firstTick < firstRowWait {
		return
	}
	r.busy = true
	e, from := r.pending, rowResult{version: r.version, versionKnown: r.versionKnown, loaded: r.loaded, unsettled: r.unsettled}
	if e == nil {
		e = r.c.d.self()
	}
	go func() {
		ctx, cancel := context.WithTimeout(r.c.d.background, rowTimeout)
		defer cancel()
		res := rowResult{err: errPanicked, loaded: from.loaded, unsettled: from.unsettled}
		r.c.d.protect("round of the row", func() { res = r.round(ctx, clone(e), from) })
		r.c.post(func() { r.finishRound(e, res) })
	}()
}

// rowResult is what is known about the row before and after one round of calls to the
// store.
type rowResult struct {
	entries      []*membership.Entry // entries of the rows that were read
	version      uint64
	versionKnown bool
	loaded       bool
	unsettled    uint64
	err          error

	wrote    bool // the row was written
	outdated bool // the entry must be built anew from what was read, so nothing was written
}

// round writes the row on the condition that its version has not changed. A write
// whose answer was lost and that is executed late therefore cannot overwrite a newer
// one. Afterwards it reads all rows unless that has been done before. A row that holds
// the entry already is not written, unless a write that may still be executed would
// replace it.
func (r *rowWriter) round(ctx context.Context, e *membership.Entry, res rowResult) rowResult {
	loaded := res.loaded
	if !res.versionKnown {
		if loaded {
			res.err = r.readOwn(ctx, e.Peer, &res)
		} else {
			res.err = r.read(ctx, e.Peer, &res)
		}
		if res.err != nil {
			return res
		}
		res.versionKnown = true
		entries := res.entries
		r.c.post(func() { r.mergeRows(entries) })
	}
	for _, x := range res.entries {
		if tellsTheSame(x, e) && res.version != res.unsettled { // an earlier round has written it
			res.loaded = true
			return res
		}
		// Written over a row that tells of the backend server's leaving, an entry
		// built before that was known would lose it if this daemon ended soon.
		if x.Peer == e.Peer && (x.Incarnation > e.Incarnation || membership.LeavingForgotten(x, e)) {
			res.outdated = true
			return res
		}
	}
	value, err := proto.Marshal(e)
	if err != nil {
		res.err = err
		return res
	}
	v, err := r.c.d.store.Commit(ctx, platform.Tx{
		Conditions: []platform.Condition{{Table: daemonTable, Key: e.Peer, Version: res.version}},
		Writes:     []platform.Write{{Table: daemonTable, Key: e.Peer, Value: value}},
	})
	var lost *platform.AmbiguousError
	if errors.As(err, &lost) {
		res.unsettled = res.version
	}
	if err != nil {
		res.err, res.versionKnown = err, false
		return res
	}
	res.version, res.wrote, res.unsettled = v, true, noneUnsettled
	if !loaded {
		res.err = r.read(ctx, e.Peer, &res)
		res.loaded = res.err == nil
	}
	return res
}

var errOtherKey = errors.New("the entry names another address than the key of its row; delete the row")

// entryOf returns the entry in a row. Other programs may write to the table, too.
func entryOf(row platform.Row) (*membership.Entry, error) {
	e, err := membership.Decode(row.Value)
	if err != nil {
		return nil, err
	}
	if e.Peer != row.Key {
		return nil, errOtherKey
	}
	return e, membership.Check(e)
}

// readOwn reads the row of this daemon.
func (r *rowWriter) readOwn(ctx context.Context, self string, res *rowResult) error {
	rows, err := r.c.d.store.Get(ctx, daemonTable, self)
	if err != nil {
		return err
	}
	r.take(rows, self, res)
	return nil
}

// read reads all rows. It logs and skips rows that are not a valid daemon entry.
func (r *rowWriter) read(ctx context.Context, self string, res *rowResult) error {
	rows, err := r.c.d.store.Scan(ctx, daemonTable, "", maxDaemons)
	if err != nil {
		return err
	}
	r.take(rows, self, res)
	return nil
}

// take stores the entries in rows, and the version of the row of this daemon. Rows that
// are not a valid daemon entry are logged and skipped.
func (r *rowWriter) take(rows []platform.Row, self string, res *rowResult) {
	res.entries = nil
	res.version = 0
	for _, row := range rows {
		if row.Key == self {
			res.version = row.Version
		}
		e, err := entryOf(row)
		if err != nil {
			r.c.d.metrics.rowsIgnored.Inc()
			r.c.d.log.Warn("row ignored: not a valid daemon entry", "key", row.Key, "error", err)
			continue
		}
		res.entries = append(res.entries, e)
	}
}

// finishRound handles the result of a round. It runs on the control goroutine.
func (r *rowWriter) finishRound(wrote *membership.Entry, res rowResult) {
	r.busy = false
	r.version, r.versionKnown, r.unsettled = res.version, res.versionKnown, res.unsettled
	var conflict *platform.ConflictError
	if !errors.As(res.err, &conflict) {
		r.c.storeAnswered("rows", res.err)
	}
	var lost *platform.AmbiguousError
	switch {
	case res.err == nil:
		r.confirming = false
	case errors.As(res.err, &lost) && r.leaving != nil && !r.confirming:
		r.confirming = true // the next round finds out at once whether the row was written
	default:
		r.confirming = false
		r.nextRound = sinceBoot() + rowRetryDelay
	}
	if res.err == nil && !res.outdated {
		r.finishWrite(wrote, res)
	}
	wasLoaded := r.loaded
	r.loaded = res.loaded
	if r.loaded {
		r.mergeRows(res.entries)
	}
	if r.loaded && !wasLoaded {
		r.c.announce()
	}
	r.notifyLeavingStored()
	if r.leaving != nil && !res.outdated {
		r.tick(sinceBoot())
	}
}

// finishWrite handles a round after which the row holds an entry.
func (r *rowWriter) finishWrite(e *membership.Entry, res rowResult) {
	if platform.Epoch(res.version) < r.check.epoch {
		r.versionKnown = false // written before the store came back from an earlier copy
		return
	}
	r.written = e
	if r.pending == e {
		r.pending = nil
	}
	r.finishCheck(res.wrote)
}

// mergeRows merges the entries of all daemons into the directory. It does not wait
// until this daemon's own row is written: when all daemons start at once, the store
// takes a while to process their writes.
func (r *rowWriter) mergeRows(entries []*membership.Entry) {
	r.c.d.rowsRead.Store(true)
	r.c.fleet.Merge(entries)
}

// DeleteRow implements fleet.Delegate. It deletes the row of a daemon that is gone,
// unless the daemon has started again and written a row with a later incarnation.
func (c *control) DeleteRow(e *membership.Entry) {
	c.d.log.Info("daemon removed: not heard from", "peer", e.Peer, "incarnation", e.Incarnation, "data_centre", e.DataCentre)
	go func() {
		ctx, cancel := context.WithTimeout(c.d.background, rowTimeout)
		defer cancel()
		err := errPanicked
		c.d.protect("deletion of a row", func() { err = c.d.deleteRow(ctx, e) })
		c.post(func() { c.storeAnswered("remove", err) })
	}()
}

func (d *Daemon) deleteRow(ctx context.Context, e *membership.Entry) error {
	rows, err := d.store.Scan(ctx, daemonTable, "", maxDaemons)
	if err != nil {
		return err
	}
	for _, row := range rows {
		if row.Key != e.Peer {
			continue
		}
		if x, err := membership.Decode(row.Value); err == nil && x.Incarnation > e.Incarnation {
			return nil
		}
		_, err = d.store.Commit(ctx, platform.Tx{
			Conditions: []platform.Condition{{Table: daemonTable, Key: e.Peer, Version: row.Version}},
			Writes:     []platform.Write{{Table: daemonTable, Key: e.Peer, Delete: true}},
		})
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			return nil // the row was written in the meantime: the daemon has started again
		}
		return err
	}
	return nil
}
