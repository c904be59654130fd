package request

// Priority orders calls for admission: first by importance class, then by the hash
// of the request tree. All calls of one tree have the same priority at every gate,
// so that gates that shed independently shed the same trees. A gate or an entry
// admits a call if its priority is at or above the admission level.
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

// PriorityOf returns the priority of tree t with importance i.
func PriorityOf(i Importance, t Tree) Priority {
	return Priority(i)*ClassWidth + Priority(t>>treeShift)
}

// Priority returns the priority of c, which all calls of its tree share.
func (c *Call) Priority() Priority { return PriorityOf(c.Importance, c.Tree) }

// Importance returns the importance class of p. For LevelShut it returns Classes.
func (p Priority) Importance() Importance { return Importance(p / ClassWidth) }

// Clamp returns p, limited to LevelShut. Levels received from another process must
// be clamped.
func (p Priority) Clamp() Priority { return min(p, LevelShut) }

// Feedback holds the admission levels that an answer reports for the gates on the
// path of its call. The zero value means that every gate admits all calls.
type Feedback struct {
	Gate       Priority // admission level of the gate that answered
	Downstream Priority // highest admission level reported by the child calls
}

// Worst returns the highest admission level on the path, clamped.
func (f Feedback) Worst() Priority { return max(f.Gate, f.Downstream).Clamp() }

// Fold returns f updated with the feedback of a child call's answer.
func (f Feedback) Fold(answer Feedback) Feedback {
	f.Downstream = max(f.Downstream, answer.Worst())
	return f
}
