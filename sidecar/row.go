package sidecar

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"wisteriafold/membership"
	"wisteriafold/platform"
)

// daemonTable holds a row for each daemon under its peer address.
const daemonTable = "daemons"

const (
	// maxDaemons bounds the rows that are read: four times the deployment that
	// docs/CAPACITY.md is made for.
	maxDaemons = 64 << 10

	// rowRetry is the pause after a call that failed; it keeps the rows of
	// daemons that start while the store is away within two seconds of its return.
	rowRetry = 600 * time.Millisecond

	// rowTimeout bounds one round of calls.
	rowTimeout = 3 * time.Second

	// firstRowWait is the time that the first row waits for the backend server
	// to be heard of, so that it is not written twice.
	firstRowWait = time.Second
)

// rowWriter keeps the row of this daemon in the store equal to its entry, and
// reads the rows of all daemons once it has written its own.
type rowWriter struct {
	c       *control
	wanted  *membership.Entry // newest entry, nil when nothing has to be written
	written *membership.Entry // in the store, as far as is known
	version uint64            // of the row in the store
	loaded  bool              // the rows of all daemons have been read after the own one was written
	known   bool              // the row's version is known
	busy    bool
	began   time.Duration // first tick
	next    time.Duration
}

// want asks for e to be written, unless the row says the same but for the
// sequence number.
func (r *rowWriter) want(e *membership.Entry) {
	if r.written != nil {
		same := clone(r.written)
		same.Sequence = e.Sequence
		if proto.Equal(same, e) {
			return
		}
	}
	r.wanted = e
}

// tick starts a round when there is something to do.
func (r *rowWriter) tick(now time.Duration) {
	if r.busy || now < r.next || (r.loaded && r.wanted == nil) {
		return
	}
	if r.began == 0 {
		r.began = now
	}
	if !r.loaded && r.c.local.State() == membership.Unknown && r.known && now-r.began < firstRowWait {
		return
	}
	r.busy = true
	e, version, known, loaded := r.wanted, r.version, r.known, r.loaded
	if e == nil {
		e = r.c.d.self()
	}
	go func() {
		ctx, cancel := context.WithTimeout(r.c.d.background, rowTimeout)
		defer cancel()
		res := r.round(ctx, clone(e), version, known, loaded)
		r.c.post(func() { r.done(e, res) })
	}()
}

// rowResult is what one round of calls brought.
type rowResult struct {
	entries []*membership.Entry // rows that were read
	version uint64
	known   bool
	loaded  bool
	err     error

	overtaken bool // the row is of a later incarnation; nothing was written
}

// round writes the row under the condition that it is as it was last seen, so
// that a write whose answer was lost and that is done late cannot undo a newer
// one. It then reads all rows when that has not been done.
func (r *rowWriter) round(ctx context.Context, e *membership.Entry, version uint64, known, loaded bool) rowResult {
	res := rowResult{version: version, known: known, loaded: loaded}
	if !known {
		res.err = r.read(ctx, e.Peer, &res)
		if res.err != nil {
			return res
		}
		res.known = true
		entries := res.entries
		r.c.post(func() { r.heard(e.Peer, entries) })
	}
	for _, x := range res.entries {
		if x.Peer == e.Peer && x.Incarnation > e.Incarnation {
			res.overtaken = true // the entry has to be renewed first
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
		Writes:     []platform.Write{{Table: daemonTable, Key: e.Peer, Value: value, Delete: e.Removed}},
	})
	if err != nil {
		res.err, res.known = err, false
		return res
	}
	res.version = v
	if e.Removed {
		res.version = 0
	}
	if !loaded {
		res.err = r.read(ctx, e.Peer, &res)
		res.loaded = res.err == nil
	}
	return res
}

// read reads all rows. A row that cannot be read names no daemon.
func (r *rowWriter) read(ctx context.Context, self string, res *rowResult) error {
	rows, err := r.c.d.store.Scan(ctx, daemonTable, "", maxDaemons)
	if err != nil {
		return err
	}
	res.entries = nil
	res.version = 0
	for _, row := range rows {
		if row.Key == self {
			res.version = row.Version
		}
		e, err := membership.Decode(row.Value)
		if err != nil || e.Peer != row.Key {
			r.c.d.log.Warn("row ignored: it is not an entry of a daemon", "key", row.Key, "error", err)
			continue
		}
		res.entries = append(res.entries, e)
	}
	return nil
}

// done takes in the end of a round on the control goroutine.
func (r *rowWriter) done(wrote *membership.Entry, res rowResult) {
	r.busy = false
	r.version, r.known = res.version, res.known
	var conflict *platform.ConflictError
	if !errors.As(res.err, &conflict) {
		r.c.storeAnswered("rows", res.err)
	}
	if res.err != nil {
		r.next = sinceBoot() + rowRetry
	}
	if res.err == nil && !res.overtaken {
		r.written = wrote
		if r.wanted == wrote {
			r.wanted = nil
		}
	}
	wasLoaded := r.loaded
	r.loaded = res.loaded
	if r.loaded {
		r.heard(wrote.Peer, res.entries)
	}
	if r.loaded && !wasLoaded {
		r.c.announce()
	}
}

// heard takes in the rows of all daemons. They are not kept back until the own
// row is written: when all daemons start at once, the store takes a while for
// their writes.
func (r *rowWriter) heard(self string, entries []*membership.Entry) {
	for _, e := range entries {
		if e.Peer == self {
			r.c.local.Remember(e)
		}
	}
	r.c.d.rowsRead.Store(true)
	r.c.fleet.Merge(entries)
}

// Remove implements fleet.Outside: it deletes the row of a daemon that is gone,
// unless another process has written it since.
func (c *control) Remove(e *membership.Entry) {
	c.d.log.Info("daemon removed: not heard of", "peer", e.Peer, "incarnation", e.Incarnation, "data_centre", e.DataCentre)
	go func() {
		ctx, cancel := context.WithTimeout(c.d.background, rowTimeout)
		defer cancel()
		err := c.d.deleteRow(ctx, e)
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
			return nil // it has started again
		}
		return err
	}
	return nil
}
