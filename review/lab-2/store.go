package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is one row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
}

// store is a stand-in for the platform's store: rows with versions and transactions.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	version uint64
	start   time.Time
	down    bool // connections are accepted and every call is answered 503
	addr    string
}

func newStore() (*store, error) {
	s := &store{rows: make(map[string]row), start: time.Now()}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = ln.Addr().String()
	go func() { _ = http.Serve(ln, s) }()
	return s, nil
}

func rowKey(table, key string) string { return table + "\x00" + key }

// put writes a row as the operator does and returns its version.
func (s *store) put(table, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowKey(table, key)] = row{Table: table, Key: key, Value: value, Version: s.version}
	return s.version
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/wisteriafold/rows-get":
		s.get(w, r)
	case "/wisteriafold/rows-tx":
		s.commit(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) reply(w http.ResponseWriter, status int, rows []row, more bool) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "hasMore": more, "ver": s.version, "nowMs": time.Since(s.start).Milliseconds(),
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	out := []row{}
	for _, x := range s.rows {
		if x.Table == q.Get("table") && x.Key >= q.Get("from") && (q.Get("to") == "" || x.Key < q.Get("to")) {
			out = append(out, x)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > limit
	if more {
		out = out[:limit]
	}
	s.reply(w, http.StatusOK, out, more)
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expectedRevision"`
		Puts     []row `json:"puts"`
		Removes  []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	now := []row{}
	for _, c := range tx.Expected {
		have := s.rows[rowKey(c.Table, c.Key)]
		if have.Version != c.Version {
			for _, c := range tx.Expected {
				if x, ok := s.rows[rowKey(c.Table, c.Key)]; ok {
					now = append(now, x)
				}
			}
			s.reply(w, http.StatusPreconditionFailed, now, false)
			return
		}
	}
	s.version++
	for _, p := range tx.Puts {
		p.Version = s.version
		s.rows[rowKey(p.Table, p.Key)] = p
	}
	for _, p := range tx.Removes {
		delete(s.rows, rowKey(p.Table, p.Key))
	}
	s.reply(w, http.StatusOK, now, false)
}
