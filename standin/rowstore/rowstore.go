// Package rowstore is a stand-in for the platform's store. It serves the calls of
// the store's published protocol that the product uses, and injects faults.
// Package platform/memory holds the rows and objects.
package rowstore

import (
	"bytes"
	"context"
	"maps"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"wisteriafold/platform"
	"wisteriafold/platform/memory"
)

// Store is a store that listens on a loopback address. It is safe for
// concurrent use.
type Store struct {
	*Handler
	srv *httptest.Server
}

// Faults are the faults that a store injects.
type Faults struct {
	Status     int           // HTTP status of every answer, 0 for none
	Reset      bool          // connections are closed without an answer
	LoseWrites bool          // transactions are committed but not answered
	Late       time.Duration // delay of the commit of an unanswered transaction
	Slow       time.Duration // delay of every answer
}

// New starts an empty store.
func New() *Store {
	h := NewHandler(memory.New())
	return &Store{Handler: h, srv: httptest.NewServer(h)}
}

// Address returns ip:port.
func (s *Store) Address() string { return strings.TrimPrefix(s.srv.URL, "http://") }

// Close stops the store.
func (s *Store) Close() {
	s.srv.CloseClientConnections()
	s.srv.Close()
}

// Handler serves the protocol of the store. It is safe for concurrent use.
type Handler struct {
	rows *memory.Store

	mu     sync.Mutex
	calls  map[string]int
	faults Faults
}

// NewHandler returns a Handler that serves the rows and objects of rows.
func NewHandler(rows *memory.Store) *Handler {
	return &Handler{rows: rows, calls: make(map[string]int)}
}

// SetFaults replaces the faults in force.
func (h *Handler) SetFaults(f Faults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = f
	switch {
	case f.LoseWrites && f.Late > 0:
		h.rows.SetFaults(memory.Faults{LateCommits: 1, LateBy: f.Late})
	case f.LoseWrites:
		h.rows.SetFaults(memory.Faults{LoseAnswers: 1})
	default:
		h.rows.SetFaults(memory.Faults{})
	}
}

// Copy returns a copy of the content, for Restore.
func (h *Handler) Copy() *memory.Copy { return h.rows.Copy() }

// Restore makes the store come back from an earlier copy. What was written since is gone,
// its versions are given out again, and the number of its era rises by one.
func (h *Handler) Restore(c *memory.Copy) { h.rows.Restore(c) }

// Calls returns the number of calls since the start, by URL path.
func (h *Handler) Calls() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.calls)
}

// Put writes a row as the operator does, reserved tables included, and returns the
// version. Faults do not affect it.
func (h *Handler) Put(table, key string, value []byte) uint64 {
	return h.rows.Write(platform.Write{Table: table, Key: key, Value: bytes.Clone(value)})
}

// Delete deletes a row as the operator does, reserved tables included. Faults do not
// affect it.
func (h *Handler) Delete(table, key string) {
	h.rows.Write(platform.Write{Table: table, Key: key, Delete: true})
}

// Keys returns the keys of the rows of a table. It panics if the store is down.
func (h *Handler) Keys(table string) []string {
	rows, err := h.rows.Scan(context.Background(), table, "", maxRows)
	if err != nil {
		panic("rowstore: Keys while the store is down: " + err.Error())
	}
	keys := make([]string, len(rows))
	for i, r := range rows {
		keys[i] = r.Key
	}
	return keys
}

// Value returns the value of a row, or nil if there is none. It panics if the store is
// down.
func (h *Handler) Value(table, key string) []byte {
	rows, err := h.rows.Scan(context.Background(), table, "", maxRows)
	if err != nil {
		panic("rowstore: Value while the store is down: " + err.Error())
	}
	for _, r := range rows {
		if r.Key == key {
			return r.Value
		}
	}
	return nil
}

const maxRows = 1 << 30 // more rows than any test writes
