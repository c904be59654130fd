package request

import "time"

// Tree identifies one request tree: an outside request and all calls made for it
// carry the same value. It is a uniformly distributed hash, so that gates can order
// trees by it.
type Tree uint64

// Call describes one call of a request tree.
type Call struct {
	ID           string        // id of the outside request, for logs and explain
	Tree         Tree          // request tree that the call belongs to
	Organisation string        // owner of the key; empty on an open route
	KeyID        string        // identifies the key without revealing it; empty on an open route
	Route        string        // name of the route that matched the outside request
	Service      string        // called service
	Importance   Importance    // importance class of the whole tree
	Deadline     time.Time     // local time after which the answer is useless
	Allowance    uint32        // extra attempts that this call and its child calls may make
	Idempotent   bool          // running the call twice is harmless
	Depth        uint32        // 0 for the outside request
	WorkSpent    bool          // a backend server has already worked for this tree
	BodyBytes    int64         // size of the request body in bytes; -1 if unknown
	AnswerBytes  int64         // typical size of an answer on the route in bytes; 0 if unknown
	Regions      []string      // the only regions that may serve the call; nil for no restriction
	Claimed      bool          // the request holds a claim on its idempotency key
	Remaining    time.Duration // time left until the deadline when the call was received, for logs
}

// Expired reports whether the deadline has passed at now.
func (c *Call) Expired(now time.Time) bool { return !now.Before(c.Deadline) }
