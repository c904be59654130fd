package claim

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"wisteriafold/platform"
)

// Write replaces one row on condition that its version is Expect. An Expect of 0
// means that the row must not exist.
type Write struct {
	Key           string
	Expect        uint64
	Row           Row
	RequiresEpoch bool // the write is committed only in the current epoch, which it carries
}

// Outcome is the result of a Write.
type Outcome struct {
	Committed bool   // the write was committed
	Version   uint64 // current version of the row
	Row       *Row   // current row, if the write was not committed
}

// Submitter commits writes to the table. Submit fails with
// *platform.UnavailableError when the write will certainly never be committed, and
// with *platform.AmbiguousError when it may have been committed or may still be. A
// write may be submitted again with the same id. Writer implements Submitter; so can
// a client of the Writer of another process.
type Submitter interface {
	Submit(ctx context.Context, w Write) (Outcome, error)
}

// Writer commits writes in groups. It is safe for concurrent use. It runs
// goroutines only while writes are waiting or being committed.
type Writer struct {
	cfg   Config
	table platform.Table
	epoch *epochCache

	mu      sync.Mutex
	waiting []*pending
	running bool
	slots   chan struct{}
	commits atomic.Uint64
	reads   atomic.Uint64
	writes  atomic.Uint64
}

// pending is a write that waits for its group or is being committed.
type pending struct {
	write      Write
	done       chan submitResult // receives the result; capacity 1
	ambiguous  bool              // a commit that contains it may still take effect
	callerGone atomic.Bool       // the caller of Submit has gone
}

// submitResult is what Submit returns.
type submitResult struct {
	outcome Outcome
	err     error
}

// NewWriter returns a Writer that writes to cfg.Table.
func NewWriter(cfg Config, table platform.Table) *Writer {
	cfg = cfg.withDefaults()
	return &Writer{cfg: cfg, table: table, epoch: newEpochCache(cfg, table), slots: make(chan struct{}, cfg.Parallel)}
}

// Submit implements Submitter. It waits until the write is committed or has failed,
// or until ctx ends.
func (w *Writer) Submit(ctx context.Context, write Write) (Outcome, error) {
	p := &pending{write: write, done: make(chan submitResult, 1)}
	if err := w.enqueue(p); err != nil {
		return Outcome{}, err
	}
	select {
	case v := <-p.done:
		return v.outcome, v.err
	case <-ctx.Done():
	}
	p.callerGone.Store(true)
	if w.dequeue(p) {
		return Outcome{}, &platform.UnavailableError{Op: opWrite, Cause: ctx.Err()}
	}
	select {
	case v := <-p.done:
		return v.outcome, v.err
	default:
		return Outcome{}, &platform.AmbiguousError{Op: opWrite, Cause: ctx.Err()}
	}
}

// opWrite names the operation in errors.
const opWrite = "claim write"

var errBacklog = errors.New("too many claim writes are waiting: retry later")

// enqueue adds p to the waiting writes and starts run if it is not running.
func (w *Writer) enqueue(p *pending) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting) >= w.cfg.MaxBacklog {
		return &platform.UnavailableError{Op: opWrite, Cause: errBacklog}
	}
	w.waiting = append(w.waiting, p)
	if !w.running {
		w.running = true
		go w.run()
	}
	return nil
}

// dequeue removes p from the waiting writes and reports whether it was still waiting.
func (w *Writer) dequeue(p *pending) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, q := range w.waiting {
		if q == p {
			w.waiting = append(w.waiting[:i], w.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// run forms groups and commits them until no write is waiting.
func (w *Writer) run() {
	time.Sleep(w.cfg.Delay)
	for {
		w.slots <- struct{}{}
		group := w.nextGroup()
		if group == nil {
			<-w.slots
			return
		}
		go func() {
			defer func() { <-w.slots }()
			w.commit(group)
		}()
		time.Sleep(w.cfg.Interval)
	}
}

// nextGroup removes and returns the next group: the oldest waiting writes, at most one
// for each row. When no write is waiting it returns nil, which ends run.
func (w *Writer) nextGroup() []*pending {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting) == 0 {
		w.running = false
		return nil
	}
	var group, rest []*pending
	taken := map[string]bool{}
	for _, p := range w.waiting {
		if len(group) >= w.cfg.MaxGroup || taken[p.write.Key] {
			rest = append(rest, p)
			continue
		}
		taken[p.write.Key] = true
		group = append(group, p)
	}
	w.waiting = rest
	return group
}

// commit tries to commit a group until each of its writes has a result or
// Config.Timeout has passed.
func (w *Writer) commit(group []*pending) {
	ctx, cancel := context.WithTimeout(context.Background(), w.cfg.Timeout)
	defer cancel()
	for len(group) > 0 {
		err := w.try(ctx, group)
		if err == nil {
			return
		}
		var conflict *platform.ConflictError
		switch {
		case errors.As(err, &conflict):
		case isCertain(err):
			fail(group, err)
			return
		default:
			for _, p := range group {
				p.ambiguous = true
			}
			pause(ctx, w.cfg.RetryWait)
		}
		group, err = w.settle(ctx, group)
		if err != nil {
			fail(group, err)
			return
		}
	}
}

// isCertain reports whether a write that failed with err will certainly never be
// committed. An AmbiguousError anywhere in the chain takes precedence, because its
// cause may be the UnavailableError of reading the rows back.
func isCertain(err error) bool {
	var ambiguous *platform.AmbiguousError
	var unavailable *platform.UnavailableError
	return !errors.As(err, &ambiguous) && errors.As(err, &unavailable)
}

// try commits the group in one transaction. If the commit succeeds, try sends the
// result of each write.
func (w *Writer) try(ctx context.Context, group []*pending) error {
	tx := platform.Tx{}
	claims := false
	epoch, version, err := w.epoch.current(ctx)
	if err != nil {
		return &platform.UnavailableError{Op: opWrite, Cause: err}
	}
	for _, p := range group {
		claims = claims || p.write.RequiresEpoch
		row := p.write.Row
		if p.write.RequiresEpoch {
			row.Epoch = epoch
		}
		tx.Conditions = append(tx.Conditions, platform.Condition{Table: w.cfg.Table, Key: p.write.Key, Version: p.write.Expect})
		tx.Writes = append(tx.Writes, platform.Write{Table: w.cfg.Table, Key: p.write.Key, Value: row.encode()})
	}
	if claims {
		tx.Conditions = append(tx.Conditions, platform.Condition{Table: w.cfg.Table, Key: epochKey, Version: version})
	}
	w.commits.Add(1)
	n, err := w.table.Commit(ctx, tx)
	if err != nil {
		return err
	}
	w.writes.Add(uint64(len(group)))
	for _, p := range group {
		p.done <- submitResult{outcome: Outcome{Committed: true, Version: n}}
	}
	return nil
}

// settle reads the rows of a group after a conflict or a lost answer. It sends the
// result of each write that has been committed, can no longer be committed or has no
// caller any more, and returns the other writes. If the read fails it returns the
// whole group and the error.
func (w *Writer) settle(ctx context.Context, group []*pending) ([]*pending, error) {
	keys := make([]string, 0, len(group)+1)
	for _, p := range group {
		keys = append(keys, p.write.Key)
	}
	w.reads.Add(1)
	rows, err := w.table.Get(ctx, w.cfg.Table, append(keys, epochKey)...)
	if err != nil {
		return group, err
	}
	found := map[string]platform.Row{}
	for _, r := range rows {
		found[r.Key] = r
	}
	w.epoch.update(found[epochKey])
	var rest []*pending
	for _, p := range group {
		row, there := found[p.write.Key]
		switch {
		case there && row.Version != p.write.Expect:
			p.done <- resultFromRow(p, row)
		case !there && p.write.Expect != 0:
			p.done <- submitResult{outcome: Outcome{Row: &Row{State: Unknown, Note: "the row was removed by age"}}}
		case p.callerGone.Load():
			fail([]*pending{p}, context.Canceled)
		default:
			rest = append(rest, p)
		}
	}
	return rest, nil
}

// resultFromRow returns the result of a write whose row is no longer at the expected
// version. The write was committed if the row carries its id.
func resultFromRow(p *pending, row platform.Row) submitResult {
	r, err := decode(row.Value)
	if err != nil {
		r = &Row{State: Unknown, Note: err.Error()}
	}
	if r.Write == p.write.Row.Write {
		return submitResult{outcome: Outcome{Committed: true, Version: row.Version}}
	}
	return submitResult{outcome: Outcome{Version: row.Version, Row: r}}
}

// fail sends an error to each write of a group that is given up: AmbiguousError if
// the write was in a commit whose answer was lost, because that commit may still take
// effect, and UnavailableError otherwise.
func fail(group []*pending, err error) {
	for _, p := range group {
		if p.ambiguous {
			p.done <- submitResult{err: &platform.AmbiguousError{Op: opWrite, Cause: err}}
			continue
		}
		p.done <- submitResult{err: &platform.UnavailableError{Op: opWrite, Cause: err}}
	}
}

// pause waits until d has passed or ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
