// Package rowstore is a stand-in for the platform's store: the calls of its
// published protocol that the product uses, and its troubles. Rows and objects
// are kept by platform/memory.
package rowstore

import (
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

// Faults are the troubles in force.
type Faults struct {
	Status     int           // every call is answered with it, 0 for none
	Reset      bool          // connections are closed without an answer
	LoseWrites bool          // writes are done and not answered
	Late       time.Duration // before a lost write is done
	Slow       time.Duration // before every answer
}

// New starts a store.
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

// Handler serves the protocol. It is safe for concurrent use.
type Handler struct {
	rows *memory.Store

	mu     sync.Mutex
	calls  map[string]int
	faults Faults
}

// NewHandler serves the rows and objects of a store in memory.
func NewHandler(rows *memory.Store) *Handler {
	return &Handler{rows: rows, calls: make(map[string]int)}
}

// SetFaults replaces the troubles in force.
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

// Calls returns the number of calls by path since the start.
func (h *Handler) Calls() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.calls)
}

// Put writes a row as the operator does. No trouble may be in force.
func (h *Handler) Put(table, key string, value []byte) uint64 {
	version, err := h.rows.Commit(context.Background(), platform.Tx{Writes: []platform.Write{{Table: table, Key: key, Value: value}}})
	if err != nil {
		panic("rowstore: Put while faults are in force: " + err.Error())
	}
	return version
}

// Keys returns the keys of a table's rows.
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

const maxRows = 1 << 30 // more than a test keeps
