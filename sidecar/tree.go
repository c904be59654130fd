package sidecar

import (
	"github.com/cespare/xxhash/v2"

	"wisteriafold/request"
	"wisteriafold/wire"
)

// treeOf returns the call tree of a request that is not known to belong to another
// one. It is a hash of the request id, so all daemons derive the same value.
func treeOf(id string) request.Tree { return request.Tree(xxhash.Sum64String(id)) }

// treeBits is the number of upper bits of a tree that are sent between daemons, those
// that determine its priority.
const treeBits = 16

// treeToWire returns the tree of a call for its head, or 0 if the receiver derives the
// same one from the id.
func treeToWire(c *request.Call) uint64 {
	if c.Tree == treeOf(c.ID) {
		return 0
	}
	return uint64(c.Tree) >> (64 - treeBits)
}

// treeFromWire reverses treeToWire.
func treeFromWire(h *wire.CallHead) request.Tree {
	if h.Tree == 0 {
		return treeOf(h.RequestId)
	}
	return request.Tree(h.Tree << (64 - treeBits))
}
