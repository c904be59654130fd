package request

import "math"

// rankSkew is the exponent that moves priorities of trees within their class by the
// importance of their route. With 2, trees of routes below the class are admitted half
// as often as those of routes of the class, and those of routes above it twice as often,
// when nearly nothing is admitted, and the difference is smaller when more is. So no kind
// of request is admitted less than a quarter as often as another.
const rankSkew = 2

// WithRouteImportance returns a tree for t whose priority within its class also depends
// on the importance of its route. An organisation's rank may put requests of important
// and unimportant routes into one class; trees of routes above the class are then more
// likely than others to be admitted, those of routes below it less likely. All calls of
// a tree must use the result, so that all gates order it alike.
func (t Tree) WithRouteImportance(route, class Importance) Tree {
	if route == class {
		return t
	}
	exponent := 1.0 / rankSkew
	if route < class {
		exponent = rankSkew
	}
	position := (float64(t>>treeShift) + 0.5) / float64(ClassWidth)
	moved := max(1, Tree(math.Pow(position, exponent)*float64(ClassWidth)))
	return moved<<treeShift | t&(1<<treeShift-1)
}
