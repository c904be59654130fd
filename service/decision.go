package service

import "time"

// Why is the reason for which an endpoint was chosen.
type Why uint8

// Reasons for a choice.
const (
	WhyNone       Why = iota // no endpoint was chosen
	WhyLowestCost            // lowest expected cost in the nearest locality that has endpoints
	WhyOnly                  // the only usable endpoint
	WhySpill                 // a farther locality had a lower expected cost
	WhyOverflow              // the nearer endpoint is shedding, the farther one has headroom
	WhyFarther               // the nearer localities have endpoints, but none is usable
	WhyFailOpen              // no endpoint was usable; an ejected or unreachable one was chosen
)

var whyNames = [...]string{"none", "lowest-cost", "only", "spill", "overflow", "farther", "fail-open"}

// String returns the name used in logs.
func (w Why) String() string {
	if int(w) >= len(whyNames) {
		return "unknown"
	}
	return whyNames[w]
}

// Skip is the reason for which an endpoint was not chosen.
type Skip uint8

// Reasons for not choosing an endpoint.
const (
	SkipNone        Skip = iota
	SkipTried            // an earlier attempt of this call was sent there
	SkipDraining         // it accepts no new calls
	SkipEjected          // ejected after consecutive failures
	SkipUnreachable      // repeated dials of its daemon failed
	SkipHigherCost       // its expected cost was higher than that of another endpoint
	SkipNoHeadroom       // it has no spare capacity for calls from other regions
	SkipLargeBody        // the body is too large to leave the region
	SkipShedding         // its gate is shedding, and part of its calls goes to farther endpoints
	SkipLinkBudget       // the byte budget of the link to its region is used up
	SkipHomeRegion       // the call is restricted to other regions
	SkipEvacuated        // its data centre is evacuated
	SkipCold             // it is cold and has got this daemon's share, or its gate refused a moment ago
	SkipPaced            // it has just started or recovered and gets a part of an even share
)

var skipNames = [...]string{
	"none", "tried", "draining", "ejected", "unreachable", "higher-cost",
	"no-headroom", "large-body", "shedding", "link-budget", "home-region", "evacuated", "cold", "paced",
}

// String returns the name used in logs.
func (s Skip) String() string {
	if int(s) >= len(skipNames) {
		return "unknown"
	}
	return skipNames[s]
}

// maxPassedOver is the maximum number of skipped endpoints that a Decision lists.
const maxPassedOver = 6

// PassedOver is an endpoint that was considered and not chosen.
type PassedOver struct {
	Peer string
	Skip Skip
	Cost time.Duration // expected cost; 0 if it was not computed
}

// Decision records how an endpoint was chosen, for logs. It holds no pointers to
// shared state, and building one allocates nothing.
type Decision struct {
	Peer     string // peer address of the chosen endpoint; empty if none was chosen
	Why      Why
	Locality Locality
	Cost     time.Duration // expected cost of the chosen endpoint
	Usable   int           // number of endpoints that were eligible
	Omitted  int           // number of skipped endpoints that PassedOver does not list

	passed [maxPassedOver]PassedOver
	n      int
}

// PassedOver returns the endpoints that were not chosen, at most maxPassedOver of
// them. It is valid until the Decision changes.
func (d *Decision) PassedOver() []PassedOver { return d.passed[:d.n] }

// addPassedOver adds an endpoint to the list of those not chosen, or counts it
// in Omitted if the list is full.
func (d *Decision) addPassedOver(peer string, why Skip, cost time.Duration) {
	if d.n == maxPassedOver {
		d.Omitted++
		return
	}
	d.passed[d.n] = PassedOver{Peer: peer, Skip: why, Cost: cost}
	d.n++
}
