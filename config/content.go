package config

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Row is the state of one object at some generation.
type Row struct {
	Key     string // kind/name
	Value   []byte // JSON of the object, empty when it is deleted
	Deleted bool
}

// CorruptError reports rows that do not match the generation for which they were
// read. The previous generation stays in force.
type CorruptError struct {
	Generation uint64
	What       string
}

// Error names the generation and the remedy.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("generation %d can't be put in force: %s: read it again, and if that does not help apply the whole configuration again", e.Generation, e.What)
}

// content holds all rows of one generation and the snapshot that is built from
// them.
type content struct {
	rows     map[string][]byte
	digest   uint64
	snapshot *Snapshot
}

func newContent() *content {
	return &content{rows: map[string][]byte{}, snapshot: EmptySnapshot()}
}

// rowDigest returns the digest of one row. The digest of the content is the sum
// over its rows, so that a delta is enough to update it.
func rowDigest(key string, value []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(value)
	return d.Sum64()
}

// digestAfter returns the digest that the content has after a change of rows.
func (c *content) digestAfter(rows []Row) uint64 {
	sum := c.digest
	for _, r := range rows {
		if old, ok := c.rows[r.Key]; ok {
			sum -= rowDigest(r.Key, old)
		}
		if !r.Deleted {
			sum += rowDigest(r.Key, r.Value)
		}
	}
	return sum
}

// diffTo returns the changes that turn the content into one that consists of the
// rows in all.
func (c *content) diffTo(all []Row) []Row {
	var out []Row
	kept := make(map[string]bool, len(all))
	for _, r := range all {
		kept[r.Key] = true
		if old, known := c.rows[r.Key]; !known || !bytes.Equal(old, r.Value) {
			out = append(out, r)
		}
	}
	for key := range c.rows {
		if !kept[key] {
			out = append(out, Row{Key: key, Deleted: true})
		}
	}
	sortRows(out)
	return out
}

// apply brings the content to the generation of h. rows are the changes, each key
// once. When the resulting digest is not that of h, or a row can't be parsed,
// nothing is changed and the error is a CorruptError.
func (c *content) apply(h Head, version uint64, rows []Row) error {
	if got := c.digestAfter(rows); got != h.Digest {
		return &CorruptError{h.Generation, fmt.Sprintf("its digest is %016x, not %016x", got, h.Digest)}
	}
	conf := *c.snapshot.Configuration
	touched, err := patch(&conf, rows)
	if err != nil {
		return &CorruptError{h.Generation, err.Error()}
	}
	for _, r := range rows {
		if r.Deleted {
			delete(c.rows, r.Key)
		} else {
			c.rows[r.Key] = r.Value
		}
	}
	c.digest = h.Digest
	c.snapshot = c.snapshot.derive(h, version, &conf, touched)
	return nil
}

// patch applies rows to a configuration whose lists may be shared, and
// returns the kinds that it changed. Rows of kinds that this version does not
// know are skipped; the content keeps them without parsing them.
func patch(c *Configuration, rows []Row) (map[Kind]bool, error) {
	touched := map[Kind]bool{}
	sorted := slices.Clone(rows)
	slices.SortFunc(sorted, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	for _, r := range sorted {
		kind, name := splitKey(r.Key)
		ops, known := kinds[kind]
		if !known {
			continue
		}
		if !touched[kind] {
			touched[kind] = true
			ops.cloneList(c)
		}
		if r.Deleted {
			ops.remove(c, name)
			continue
		}
		if err := ops.put(c, name, r.Value); err != nil {
			return nil, fmt.Errorf("row %s: %w", r.Key, err)
		}
	}
	return touched, nil
}

// all returns every row, in order.
func (c *content) all() []Row {
	out := make([]Row, 0, len(c.rows))
	for key, value := range c.rows {
		out = append(out, Row{Key: key, Value: value})
	}
	sortRows(out)
	return out
}
