package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// State is what a claim's row says.
type State string

// States of a row. Only Released rows can be claimed again.
const (
	InProgress State = "held"     // the holder may run the request, or is running it
	Answered   State = "answered" // it ran, and its answer is recorded
	Unknown    State = "unknown"  // it may have run, its answer is lost or was not kept
	Released   State = "released" // it was certainly not run
)

// Row is the value of a claim's row, as JSON.
type Row struct {
	State    State   `json:"state"`
	Claimant string  `json:"claimant"`         // peer address of the instance that wrote the row
	Write    string  `json:"write"`            // id of the write, drawn by the claimant
	Nonce    string  `json:"nonce"`            // write id of the claim that the row goes back to
	Digest   string  `json:"digest"`           // of the request
	Epoch    uint64  `json:"epoch"`            // in which the claim was committed
	Answer   *Answer `json:"answer,omitempty"` // when it is small
	Object   string  `json:"object,omitempty"` // key of the answer in the object store
	Note     string  `json:"note,omitempty"`   // for operators
}

// Header is one HTTP header field of an answer.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Answer is the recorded answer of a request.
type Answer struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
}

// Key identifies a request that must run at most once.
type Key struct {
	Organisation string
	Route        string
	Value        string // the Idempotency-Key header
	Digest       string // of method, path and body; see Digest
}

// row returns the key of the row. Lengths go into the hash, so that no two
// keys share a row.
func (k Key) row() string {
	b, _ := json.Marshal([]string{k.Organisation, k.Route, k.Value})
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// Digest returns the digest of a request by which the reuse of an idempotency
// key for another request is noticed. bodySum is a hash of the body.
func Digest(method, path string, bodySum []byte) string {
	b, _ := json.Marshal([]string{method, path, hex.EncodeToString(bodySum)})
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// decode reads the value of a row.
func decode(value []byte) (*Row, error) {
	r := new(Row)
	if err := json.Unmarshal(value, r); err != nil {
		return nil, eris.Wrap(err, "claim row is damaged: find out what wrote it, the claim counts as unknown")
	}
	return r, nil
}

// decodeAnswer reads an answer from the object store.
func decodeAnswer(value []byte) (*Answer, error) {
	a := new(Answer)
	if err := json.Unmarshal(value, a); err != nil {
		return nil, eris.Wrap(err, "recorded answer is damaged: find out what wrote it")
	}
	return a, nil
}

// encode returns the value of a row.
func (r *Row) encode() []byte {
	b, _ := json.Marshal(r)
	return b
}
