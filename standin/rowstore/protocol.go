package rowstore

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"wisteriafold/platform"
)

const (
	prefix      = "/wisteriafold/"
	maxPageRows = 500     // maximum number of rows in one answer
	maxBody     = 8 << 20 // maximum size of an object in bytes
)

// reserved holds the tables that only the operator and the platform may write.
var reserved = map[string]bool{"op": true, "servers": true}

type rowJSON struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type answer struct {
	Rows    []rowJSON `json:"rows"`
	HasMore bool      `json:"hasMore"`
	Version uint64    `json:"ver"`
	NowMs   int64     `json:"nowMs"`
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	f := h.faults
	h.calls[r.URL.Path]++
	h.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(h.rows.Epoch(), 10))
	time.Sleep(f.Slow)
	switch {
	case f.Reset:
		resetConnection(w)
		return
	case f.Status != 0:
		w.WriteHeader(f.Status)
		return
	}
	call, key, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, prefix), "/")
	var err error
	switch r.Method + " " + call {
	case "GET rows-get":
		err = h.get(w, r)
	case "GET rows-feed":
		err = h.feed(w, r)
	case "POST rows-tx":
		err = h.commit(w, r)
	case "PUT blob-put":
		err = h.putObject(w, r, key)
	case "GET blob-get":
		err = h.getObject(w, r, key)
	case "DELETE blob-drop":
		err = h.rows.Objects().Delete(r.Context(), key)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
	if err != nil {
		writeError(w, err)
	}
}

// badRequestError reports a request with invalid parameters or an invalid body.
type badRequestError struct{ cause string }

func (e *badRequestError) Error() string { return e.cause }

// writeError answers an error as the platform does. For an ambiguous commit it
// closes the connection without an answer.
func writeError(w http.ResponseWriter, err error) {
	var lost *platform.AmbiguousError
	var missing *platform.NotFoundError
	var gone *platform.HistoryGoneError
	var bad *badRequestError
	switch {
	case errors.As(err, &lost):
		resetConnection(w)
	case errors.As(err, &missing):
		w.WriteHeader(http.StatusNotFound)
	case errors.As(err, &gone):
		w.WriteHeader(http.StatusGone)
	case errors.As(err, &bad):
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// resetConnection closes the connection without an answer, with a TCP reset.
func resetConnection(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func writeAnswer(w http.ResponseWriter, status int, a answer) {
	if a.Rows == nil {
		a.Rows = []rowJSON{}
	}
	a.NowMs = time.Now().UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(a) // the client may have closed the connection
}

func (h *Handler) get(w http.ResponseWriter, r *http.Request) error {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > maxPageRows {
		limit = maxPageRows
	}
	if q.Get("part") != "" {
		return &badRequestError{"the stand-in keeps rows of the empty part only"}
	}
	table, from, to := q.Get("table"), q.Get("from"), q.Get("to")
	a := answer{Version: h.sequence()}
	var rows []platform.Row
	if from != "" { // Scan starts after from, so read from itself first
		if rows, err = h.rows.Get(r.Context(), table, from); err != nil {
			return err
		}
	}
	more, err := h.rows.Scan(r.Context(), table, from, limit+1)
	if err != nil {
		return err
	}
	for _, x := range append(rows, more...) {
		if to != "" && x.Key >= to {
			break
		}
		if len(a.Rows) == limit {
			a.HasMore = true
			break
		}
		a.Rows = append(a.Rows, rowJSON{Table: table, Key: x.Key, Value: x.Value, Version: platform.Sequence(x.Version)})
	}
	writeAnswer(w, http.StatusOK, a)
	return nil
}

// sequence returns the sequence number of the last commit.
func (h *Handler) sequence() uint64 { return platform.Sequence(h.rows.Version()) }

// feed answers at once, without a long poll, because the product never asks it to
// wait.
func (h *Handler) feed(w http.ResponseWriter, r *http.Request) error {
	table := r.URL.Query().Get("table")
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		return &badRequestError{"after is not a version"}
	}
	a := answer{Version: h.sequence()} // read before the rows, so the next call repeats changes made in between
	rows, _, err := h.rows.Changes(r.Context(), table, platform.NewVersion(h.rows.Epoch(), after), maxRows)
	if err != nil {
		return err
	}
	for _, x := range rows {
		version := platform.Sequence(x.Version)
		if n := len(a.Rows); n >= maxPageRows && version != a.Rows[n-1].Version {
			a.Version = a.Rows[n-1].Version
			break
		}
		a.Rows = append(a.Rows, rowJSON{Table: table, Key: x.Key, Value: x.Value, Version: version, Deleted: x.Deleted})
	}
	writeAnswer(w, http.StatusOK, a)
	return nil
}

func (h *Handler) commit(w http.ResponseWriter, r *http.Request) error {
	var body struct {
		Expected []rowJSON `json:"expectedRevision"`
		Puts     []rowJSON `json:"puts"`
		Remove   []rowJSON `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return &badRequestError{"body is not the JSON of this call: " + err.Error()}
	}
	var tx platform.Tx
	epoch := h.rows.Epoch()
	for _, c := range body.Expected { // the protocol has sequence numbers only
		tx.Conditions = append(tx.Conditions, platform.Condition{Table: c.Table, Key: c.Key, Version: platform.NewVersion(epoch, c.Version)})
	}
	for _, p := range body.Puts {
		tx.Writes = append(tx.Writes, platform.Write{Table: p.Table, Key: p.Key, Value: p.Value})
	}
	for _, p := range body.Remove {
		tx.Writes = append(tx.Writes, platform.Write{Table: p.Table, Key: p.Key, Delete: true})
	}
	for _, x := range tx.Writes {
		if reserved[x.Table] {
			w.WriteHeader(http.StatusForbidden)
			return nil
		}
	}
	version, err := h.rows.Commit(r.Context(), tx)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return h.writeConflict(w, r, body.Expected)
	}
	if err != nil {
		return err
	}
	writeAnswer(w, http.StatusOK, answer{Version: platform.Sequence(version)})
	return nil
}

// writeConflict answers a transaction whose conditions do not hold with the
// current rows.
func (h *Handler) writeConflict(w http.ResponseWriter, r *http.Request, expected []rowJSON) error {
	a := answer{Version: h.sequence()}
	for _, c := range expected {
		rows, err := h.rows.Get(r.Context(), c.Table, c.Key)
		if err != nil {
			return err
		}
		for _, x := range rows {
			a.Rows = append(a.Rows, rowJSON{Table: c.Table, Key: x.Key, Value: x.Value, Version: platform.Sequence(x.Version)})
		}
	}
	writeAnswer(w, http.StatusPreconditionFailed, a)
	return nil
}

func (h *Handler) putObject(w http.ResponseWriter, r *http.Request, key string) error {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	if err != nil || len(b) > maxBody {
		return &badRequestError{"the object is cut short or too large"}
	}
	if r.Header.Get("If-None-Match") == "*" {
		_, err := h.rows.Objects().Get(r.Context(), key)
		if err == nil {
			w.WriteHeader(http.StatusPreconditionFailed)
			return nil
		}
	}
	return h.rows.Objects().Put(r.Context(), key, b)
}

func (h *Handler) getObject(w http.ResponseWriter, r *http.Request, key string) error {
	b, err := h.rows.Objects().Get(r.Context(), key)
	if err != nil {
		return err
	}
	_, _ = w.Write(b) // the client may have closed the connection
	return nil
}
