package httpclient

import "slices"

// maxCarried is the maximum number of requests that one connection carries. It bounds the
// memory for their ids to 8 KiB a connection; opening one connection more for that many
// requests costs nothing that can be measured.
const maxCarried = 1024

// carriedIDs holds hashes of the ids of the requests that a connection has carried. A
// server may write an earlier response once more, and only the id tells which request a
// response belongs to. A connection therefore never carries an id twice. Two ids with one
// hash only cause the use of another connection.
type carriedIDs []uint64

func (c carriedIDs) contains(id uint64) bool { return slices.Contains(c, id) }

func (c *carriedIDs) add(id uint64) { *c = append(*c, id) }

// full reports whether the connection must not carry further requests.
func (c carriedIDs) full() bool { return len(c) >= maxCarried }
