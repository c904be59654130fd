package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// State is the state of a claim's row.
type State string

// States of a row. Only Released rows can be claimed again.
const (
	InProgress State = "held"     // the holder may run the request, or is running it
	Answered   State = "answered" // it ran, and its answer is recorded
	Unknown    State = "unknown"  // it may have run; its answer was lost or not kept
	Released   State = "released" // it was certainly not run
)

// Row is the value of a claim's row. It is stored as JSON.
type Row struct {
	State    State   `json:"state"`
	Claimant string  `json:"claimant"`         // peer address of the instance that wrote the row
	Write    string  `json:"write"`            // random id of the write, chosen by the claimant
	Nonce    string  `json:"nonce"`            // write id of the claim that this row claims, ends or releases
	Digest   string  `json:"digest"`           // digest of the request
	Epoch    uint64  `json:"epoch"`            // epoch in which the claim was committed
	Answer   *Answer `json:"answer,omitempty"` // the answer, if it is small enough to be kept in the row
	Object   string  `json:"object,omitempty"` // key of the answer in the object store
	Note     string  `json:"note,omitempty"`   // note for operators
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

// row returns the key of the row in the table. The hash covers the JSON encoding of
// the three fields, which keeps them apart, so that two keys never share a row.
func (k Key) row() string {
	b, _ := json.Marshal([]string{k.Organisation, k.Route, k.Value})
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// Digest returns the digest of a request. It is used to detect the reuse of an
// idempotency key for another request. bodySum is a hash of the body.
func Digest(method, path string, bodySum []byte) string {
	b, _ := json.Marshal([]string{method, path, hex.EncodeToString(bodySum)})
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// decode decodes the value of a row.
func decode(value []byte) (*Row, error) {
	r := new(Row)
	if err := json.Unmarshal(value, r); err != nil {
		return nil, eris.Wrap(err, "claim row can't be decoded: find out what wrote it; the claim counts as unknown")
	}
	return r, nil
}

// decodeAnswer decodes an answer from the object store.
func decodeAnswer(value []byte) (*Answer, error) {
	a := new(Answer)
	if err := json.Unmarshal(value, a); err != nil {
		return nil, eris.Wrap(err, "recorded answer can't be decoded: find out what wrote it")
	}
	return a, nil
}

// encode returns the row as it is stored in the table.
func (r *Row) encode() []byte {
	b, _ := json.Marshal(r)
	return b
}
