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

type rowID struct{ table, part, key string }

// store is a stand-in of the platform's store: rows-get and rows-tx over HTTP.
type store struct {
	address string

	mu      sync.Mutex
	rows    map[rowID]row
	version uint64
	started time.Time
}

func startStore() *store {
	ln := listen("127.0.0.1")
	s := &store{address: ln.Addr().String(), rows: make(map[rowID]row), started: time.Now()}
	go func() { _ = http.Serve(ln, s) }()
	return s
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[rowID{table, "", key}] = row{Table: table, Key: key, Value: value, Version: s.version}
}

type storeAnswer struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"hasMore"`
	Version uint64 `json:"ver"`
	NowMs   int64  `json:"nowMs"`
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(3 * time.Millisecond)
	switch r.URL.Path {
	case "/wisteriafold/rows-get":
		s.get(w, r)
	case "/wisteriafold/rows-tx":
		s.commit(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) answer(w http.ResponseWriter, status int, rows []row, more bool) {
	if rows == nil {
		rows = []row{}
	}
	b, _ := json.Marshal(storeAnswer{rows, more, s.version, time.Since(s.started).Milliseconds()})
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for id, x := range s.rows {
		if id.table == q.Get("table") && id.part == q.Get("part") && id.key >= q.Get("from") && (q.Get("to") == "" || id.key < q.Get("to")) {
			found = append(found, x)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > limit
	s.answer(w, http.StatusOK, found[:min(limit, len(found))], more)
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []row `json:"expectedRevision"`
		Puts     []row `json:"puts"`
		Remove   []row `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	conflict := false
	for _, c := range tx.Expected {
		have, ok := s.rows[rowID{c.Table, c.Part, c.Key}]
		if ok {
			current = append(current, have)
		}
		conflict = conflict || have.Version != c.Version
	}
	if conflict {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.version++
	for _, p := range tx.Puts {
		p.Version = s.version
		s.rows[rowID{p.Table, p.Part, p.Key}] = p
	}
	for _, p := range tx.Remove {
		delete(s.rows, rowID{p.Table, p.Part, p.Key})
	}
	s.answer(w, http.StatusOK, nil, false)
}

// listen opens a listener on a free port of ip.
func listen(ip string) net.Listener {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		cannotRun("listen on %s: %v", ip, err)
	}
	return ln
}
