package soak

import (
	"math/rand/v2"
	"time"
)

// Kind is a kind of fault. The sentence of the platform's pages that allows it stands
// behind each.
type Kind string

// Kinds of faults.
const (
	Kill       Kind = "kill"        // "Many processes may stop at the same time because of a kill or a loss of power."
	KillAll    Kind = "kill-all"    // "many or all machines may be killed or lose power at the same time"
	Stop       Kind = "stop"        // "A daemon may also be stopped and started again on its own"
	Pause      Kind = "pause"       // "A machine may be suspended for seconds."
	Leave      Kind = "leave"       // "Some endpoints never report draining: they send Deregister first"; "A status report may arrive seconds late."
	LeaveKill  Kind = "leave-kill"  // "The fault may also occur immediately after any other ack"
	Crash      Kind = "crash"       // "An endpoint that crashes sends nothing."
	Foreign    Kind = "foreign"     // "An entry or a status report may come from another writer: fields missing"
	Habit      Kind = "habit"       // "A faulty endpoint may truncate a response, send bytes that are not a response"
	StoreAway  Kind = "store-away"  // "The store may be slow, unavailable (wholly or in part) or unreachable."
	StoreLoses Kind = "store-loses" // "A call that receives no response may have been performed"
	StoreDrill Kind = "store-drill" // "the store may be away for a moment and come back from a copy some seconds old"
	Withdraw   Kind = "withdraw"    // "Keys are added and removed by new versions."
)

// Fault is one fault of a schedule.
type Fault struct {
	At     time.Duration `json:"at"` // since the start of the schedule
	Kind   Kind          `json:"kind"`
	Target int           `json:"target"` // daemon or backend server
	For    time.Duration `json:"for"`
	Choice uint64        `json:"choice"` // selects among the variants of the kind
}

// weights are the shares of the kinds in a schedule.
var weights = []struct {
	kind   Kind
	weight int
}{
	{Kill, 4},
	{KillAll, 1},
	{Stop, 4},
	{Pause, 2},
	{Leave, 5},
	{LeaveKill, 2},
	{Crash, 3},
	{Foreign, 3},
	{Habit, 8},
	{StoreAway, 3},
	{StoreLoses, 2},
	{StoreDrill, 2},
	{Withdraw, 3},
}

const (
	meanGap  = 700 * time.Millisecond // between two faults
	shortest = 300 * time.Millisecond
	longest  = 3 * time.Second // of a fault

	// drillSettles is how long after a drill no process is ended, and forgetsAfter how long
	// after the end of all processes there is no drill. What the copy lacks, and only
	// processes know, is lost with them before they have written it again; no page
	// promises that it is kept.
	drillSettles = 5 * time.Second
	forgetsAfter = copiesKept*copyEvery + leaveRetries*(heartbeatEvery/2+reportTimeout)
)

// endsProcesses reports whether a kind ends processes.
func (k Kind) endsProcesses() bool {
	return k == Kill || k == KillAll || k == Stop || k == LeaveKill
}

// Schedule returns the faults for a seed, in the order of time. kinds restricts them
// unless it is empty.
func Schedule(seed uint64, length time.Duration, daemons int, kinds []Kind) []Fault {
	rng := rand.New(rand.NewPCG(seed, 1))
	allowed := func(k Kind) bool {
		for _, x := range kinds {
			if x == k {
				return true
			}
		}
		return len(kinds) == 0
	}
	total := 0
	for _, w := range weights {
		if allowed(w.kind) {
			total += w.weight
		}
	}
	if total == 0 {
		return nil
	}
	pick := func() Kind {
		n := rng.IntN(total)
		for _, w := range weights {
			if !allowed(w.kind) {
				continue
			}
			if n -= w.weight; n < 0 {
				return w.kind
			}
		}
		return weights[0].kind
	}
	var out []Fault
	quietUntil, knownUntil := time.Duration(0), time.Duration(0)
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() * float64(meanGap))
		if at >= length {
			return out
		}
		f := Fault{At: at, Kind: pick(), Target: rng.IntN(daemons), For: shortest + time.Duration(rng.Int64N(int64(longest-shortest))), Choice: rng.Uint64()}
		if f.Kind.endsProcesses() && at < quietUntil || f.Kind == StoreDrill && at < knownUntil {
			continue
		}
		switch f.Kind {
		case StoreDrill:
			quietUntil = at + drillSettles
		case KillAll, LeaveKill:
			knownUntil = at + forgetsAfter
		}
		out = append(out, f)
	}
}

// Kinds returns all kinds of faults.
func Kinds() []Kind {
	out := make([]Kind, len(weights))
	for i, w := range weights {
		out[i] = w.kind
	}
	return out
}
