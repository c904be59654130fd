package claim

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"wisteriafold/platform"
)

// Write replaces one row, on condition that it is at version Expect (0: that
// there is none).
type Write struct {
	Key    string
	Expect uint64
	Row    Row
	Claims bool // it takes a claim: its epoch must be the one in force
}

// Outcome is what became of a Write.
type Outcome struct {
	Landed  bool
	Version uint64 // of the row that is there now
	Row     *Row   // the row that is there instead when Landed is false
}

// Submitter carries writes to the table. It fails with
// *platform.UnavailableError when the write will certainly never land, and with
// *platform.AmbiguousError when it may have landed or may still do so. A write
// may be submitted again with the same id. Writer is one; a client of the
// Writer of another process is another.
type Submitter interface {
	Submit(ctx context.Context, w Write) (Outcome, error)
}

// Writer commits writes in groups. It is safe for concurrent use. It runs
// goroutines only while writes wait.
type Writer struct {
	cfg   Config
	table platform.Table
	epoch *epochs

	mu      sync.Mutex
	waiting []*pending
	running bool
	slots   chan struct{}
	commits atomic.Uint64
	reads   atomic.Uint64
	writes  atomic.Uint64
}

// pending is a write on its way.
type pending struct {
	write     Write
	done      chan verdict // capacity 1
	ambiguous bool         // a commit with it may still land
	left      atomic.Bool  // nobody waits for it
}

// verdict is what Submit returns.
type verdict struct {
	outcome Outcome
	err     error
}

// NewWriter returns a writer to cfg.Table.
func NewWriter(cfg Config, table platform.Table) *Writer {
	cfg = cfg.withDefaults()
	return &Writer{cfg: cfg, table: table, epoch: newEpochs(cfg, table), slots: make(chan struct{}, cfg.Parallel)}
}

// Submit implements Submitter.
func (w *Writer) Submit(ctx context.Context, write Write) (Outcome, error) {
	p := &pending{write: write, done: make(chan verdict, 1)}
	if err := w.enqueue(p); err != nil {
		return Outcome{}, err
	}
	select {
	case v := <-p.done:
		return v.outcome, v.err
	case <-ctx.Done():
	}
	p.left.Store(true)
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

var errBacklog = errors.New("too many claim writes wait")

// enqueue adds p to the next group.
func (w *Writer) enqueue(p *pending) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting) >= w.cfg.Backlog {
		return &platform.UnavailableError{Op: opWrite, Cause: errBacklog}
	}
	w.waiting = append(w.waiting, p)
	if !w.running {
		w.running = true
		go w.run()
	}
	return nil
}

// dequeue takes p out if it still waits.
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

// run forms groups until no write waits.
func (w *Writer) run() {
	time.Sleep(w.cfg.Delay)
	for {
		w.slots <- struct{}{}
		group := w.take()
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

// take returns the next group: the oldest writes, one for each row. It returns
// nil, and lets run end, when none waits.
func (w *Writer) take() []*pending {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting) == 0 {
		w.running = false
		return nil
	}
	var group, rest []*pending
	taken := map[string]bool{}
	for _, p := range w.waiting {
		if len(group) >= w.cfg.Group || taken[p.write.Key] {
			rest = append(rest, p)
			continue
		}
		taken[p.write.Key] = true
		group = append(group, p)
	}
	w.waiting = rest
	return group
}

// commit tries a group until each of its writes is settled or time is up.
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

// isCertain reports whether a write that failed with err will never land. An
// AmbiguousError anywhere in the chain goes first: its cause may well be an
// UnavailableError of the read-back.
func isCertain(err error) bool {
	var ambiguous *platform.AmbiguousError
	var unavailable *platform.UnavailableError
	return !errors.As(err, &ambiguous) && errors.As(err, &unavailable)
}

// try commits the group in one transaction, and answers all of it when that
// succeeds.
func (w *Writer) try(ctx context.Context, group []*pending) error {
	tx := platform.Tx{}
	claims := false
	epoch, version, err := w.epoch.current(ctx)
	if err != nil {
		return &platform.UnavailableError{Op: opWrite, Cause: err}
	}
	for _, p := range group {
		claims = claims || p.write.Claims
		row := p.write.Row
		if p.write.Claims {
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
		p.done <- verdict{outcome: Outcome{Landed: true, Version: n}}
	}
	return nil
}

// settle reads the rows of a group after a conflict or a lost answer, answers
// the writes that have landed or can no longer land, and returns the others.
// With an error it returns all writes that are not answered.
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
	w.epoch.learn(found[epochKey])
	var rest []*pending
	for _, p := range group {
		row, there := found[p.write.Key]
		switch {
		case there && row.Version != p.write.Expect:
			p.done <- settled(p, row)
		case !there && p.write.Expect != 0:
			p.done <- verdict{outcome: Outcome{Row: &Row{State: Unknown, Note: "the row was removed by age"}}}
		case p.left.Load():
			fail([]*pending{p}, context.Canceled)
		default:
			rest = append(rest, p)
		}
	}
	return rest, nil
}

// settled is the verdict about a write whose row has changed.
func settled(p *pending, row platform.Row) verdict {
	r, err := decode(row.Value)
	if err != nil {
		r = &Row{State: Unknown, Note: err.Error()}
	}
	if r.Write == p.write.Row.Write {
		return verdict{outcome: Outcome{Landed: true, Version: row.Version}}
	}
	return verdict{outcome: Outcome{Version: row.Version, Row: r}}
}

// fail answers writes that were given up, truthfully: one that was in a commit
// whose answer was lost may still land.
func fail(group []*pending, err error) {
	for _, p := range group {
		if p.ambiguous {
			p.done <- verdict{err: &platform.AmbiguousError{Op: opWrite, Cause: err}}
			continue
		}
		p.done <- verdict{err: &platform.UnavailableError{Op: opWrite, Cause: err}}
	}
}

// pause waits for d or for the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
