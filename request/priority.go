package request

// Priority orders the calls of all trees: the importance class above the hash
// of the tree. Every call of one tree has the same priority at every gate, so
// that gates which shed independently shed the same trees. A call is admitted
// by a gate or an entry when its priority is at or above the admission level.
type Priority uint32

const (
	// ClassWidth is the number of priorities in one importance class.
	ClassWidth Priority = 1 << 16

	// LevelOpen is the admission level that admits every call.
	LevelOpen Priority = 0

	// LevelShut is the admission level that admits no call.
	LevelShut = Classes * ClassWidth

	treeShift = 64 - 16
)

// PriorityOf returns the priority of a tree of class i.
func PriorityOf(i Importance, t Tree) Priority {
	return Priority(i)*ClassWidth + Priority(t>>treeShift)
}

// Priority returns the priority that c shares with all calls of its tree.
func (c *Call) Priority() Priority { return PriorityOf(c.Importance, c.Tree) }

// Importance returns the class that p lies in; Classes for LevelShut.
func (p Priority) Importance() Importance { return Importance(p / ClassWidth) }

// Clamp returns p, or LevelShut when p is above it. Levels that come from
// another process pass through it.
func (p Priority) Clamp() Priority { return min(p, LevelShut) }

// Feedback is what an answer says about admission on the way that its call
// took. The zero value says that every gate was open.
type Feedback struct {
	Gate  Priority // level of the gate that answered
	Below Priority // tightest level met by the calls below it
}

// Worst returns the tightest level on the way.
func (f Feedback) Worst() Priority { return max(f.Gate, f.Below).Clamp() }

// Fold returns f after an answer from a call below it was received.
func (f Feedback) Fold(answer Feedback) Feedback {
	f.Below = max(f.Below, answer.Worst())
	return f
}
