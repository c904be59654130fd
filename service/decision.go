package service

import "time"

// Why names the ground on which an endpoint was chosen.
type Why uint8

// Grounds of a choice.
const (
	WhyNone       Why = iota // nothing was chosen
	WhyLowestCost            // lowest expected cost in the nearest locality that has endpoints
	WhyOnly                  // the only usable endpoint
	WhySpill                 // a farther locality was expected to be cheaper
	WhyFarther               // no nearer locality has a usable endpoint
	WhyFailOpen              // every endpoint was ejected or unreachable
)

var whyNames = [...]string{"none", "lowest-cost", "only", "spill", "farther", "fail-open"}

// String returns the name used in logs.
func (w Why) String() string {
	if int(w) >= len(whyNames) {
		return "unknown"
	}
	return whyNames[w]
}

// Skip names the ground on which an endpoint was passed over.
type Skip uint8

// Grounds for passing an endpoint over.
const (
	SkipNone        Skip = iota
	SkipTried            // this call has already been tried there
	SkipDraining         // it takes no new work
	SkipEjected          // its answers were failing
	SkipUnreachable      // its daemon could not be reached
	SkipHigherCost       // it was compared and expected to be slower
	SkipNoHeadroom       // its region needs the capacity itself
	SkipLargeBody        // the body is too large to leave the region
	SkipLinkBudget       // the link between the regions has no bytes left
)

var skipNames = [...]string{
	"none", "tried", "draining", "ejected", "unreachable", "higher-cost",
	"no-headroom", "large-body", "link-budget",
}

// String returns the name used in logs.
func (s Skip) String() string {
	if int(s) >= len(skipNames) {
		return "unknown"
	}
	return skipNames[s]
}

// maxPassed bounds the endpoints that one decision lists as passed over.
const maxPassed = 6

// PassedOver is an endpoint that was not chosen.
type PassedOver struct {
	Peer string
	Skip Skip
	Cost time.Duration // expected cost, 0 when it was not compared
}

// Decision tells how an endpoint was chosen. It holds no pointers to shared
// state and costs no allocation.
type Decision struct {
	Peer     string // chosen endpoint, empty when there is none
	Why      Why
	Locality Locality
	Cost     time.Duration // expected cost of the chosen endpoint
	Usable   int           // endpoints that could have been chosen
	Omitted  int           // endpoints passed over that are not listed

	passed [maxPassed]PassedOver
	n      int
}

// Passed returns the endpoints that were passed over, at most maxPassed.
func (d *Decision) Passed() []PassedOver { return d.passed[:d.n] }

// pass adds an endpoint to the list of those passed over.
func (d *Decision) pass(peer string, why Skip, cost time.Duration) {
	if d.n == maxPassed {
		d.Omitted++
		return
	}
	d.passed[d.n] = PassedOver{Peer: peer, Skip: why, Cost: cost}
	d.n++
}
