package bench

import (
	"fmt"
	"math"
	"sync"
	"time"

	"wisteriafold/try"
)

// Bounds of the path and of idle control, from the stated target.
const (
	addedBound   = 1.8                   // ms added to a call for 99 in 100
	controlCPU   = 0.011                 // of a core
	controlBytes = 2000.0                // a second, sent
	controlHeap  = float64(64 * 1 << 20) // bytes
)

// pathFigures runs the deployment once for all seeds: real time has none.
var pathFigures = sync.OnceValues(func() (try.Figures, error) { return try.Measure("kurume") })

// path measures calls through one and two daemons beside direct calls in the
// same run, and what sixteen idle daemons spend on control. It runs in real
// time, so other load on the machine shows in it.
func path(Params, uint64) Outcome {
	f, err := pathFigures()
	if err != nil {
		fmt.Println("path:", err)
		f = try.Figures{OneHopP99: time.Hour, TwoHopP99: time.Hour, ControlCPU: math.Inf(1), ControlSent: math.Inf(1), HeapDaemon: math.Inf(1)}
	}
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	return Outcome{Measures: []Measure{
		{Name: "added-p99-one-daemon", Unit: "ms", Sense: AtMost, Value: ms(f.OneHopP99), Bound: addedBound, Naive: math.NaN()},
		{Name: "added-p99-two-daemons", Unit: "ms", Sense: AtMost, Value: ms(f.TwoHopP99), Bound: addedBound, Naive: math.NaN()},
		{Name: "idle-control-core", Sense: AtMost, Value: f.ControlCPU, Bound: controlCPU, Naive: math.NaN()},
		{Name: "idle-control-sent", Unit: "B/s", Sense: AtMost, Value: f.ControlSent, Bound: controlBytes, Naive: math.NaN()},
		{Name: "idle-heap", Unit: "B", Sense: AtMost, Value: f.HeapDaemon, Bound: controlHeap, Naive: math.NaN()},
	}}
}
