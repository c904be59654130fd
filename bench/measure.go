package bench

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/alitto/pond/v2"
)

// Params are the settings of a measurement run.
type Params struct {
	Seeds         []uint64
	Depth         int     // services in the chain, at least 1
	Overload      float64 // demand as a multiple of the bottleneck's capacity
	Organisations int
	Duration      time.Duration // virtual time of the experiments with steady demand
}

// DefaultParams are the settings of the stated bounds.
func DefaultParams() Params {
	return Params{
		Seeds:         []uint64{1, 2, 3},
		Depth:         3,
		Overload:      3,
		Organisations: 8,
		Duration:      20 * time.Second,
	}
}

// Validate reports the first setting that is out of range, with the remedy.
func (p Params) Validate() error {
	switch {
	case len(p.Seeds) == 0:
		return fmt.Errorf("no seed is given: name at least one")
	case p.Depth < 1 || p.Depth > maxDepth:
		return fmt.Errorf("depth %d is out of range: use 1 to %d", p.Depth, maxDepth)
	case p.Overload <= 0:
		return fmt.Errorf("overload %g is out of range: use a positive factor", p.Overload)
	case p.Organisations < 2:
		return fmt.Errorf("%d organisations cannot be compared: use at least 2", p.Organisations)
	case p.Duration < minDuration:
		return fmt.Errorf("duration %s is too short: use at least %s", p.Duration, minDuration)
	}
	return nil
}

const (
	maxDepth    = 6
	minDuration = 10 * time.Second
)

// Sense tells on which side of its bound a value has to be.
type Sense uint8

// Senses of a bound.
const (
	AtLeast Sense = iota
	AtMost
)

// Measure is one figure with its bound.
type Measure struct {
	Name  string
	Unit  string // of value, bound and naive; empty for a ratio
	Sense Sense
	Value float64
	Bound float64
	Naive float64 // value of the naive version, NaN when there is none
}

// OK reports whether the value meets the bound. NaN meets none.
func (m Measure) OK() bool {
	if m.Sense == AtMost {
		return m.Value <= m.Bound
	}
	return m.Value >= m.Bound
}

// String returns the line that is printed for the measure.
func (m Measure) String() string {
	verdict := "red"
	if m.OK() {
		verdict = "ok"
	}
	sign := ">="
	if m.Sense == AtMost {
		sign = "<="
	}
	return fmt.Sprintf("measure=%s value=%s bound=%s%s naive=%s verdict=%s",
		m.Name, m.number(m.Value), sign, m.number(m.Bound), m.number(m.Naive), verdict)
}

func (m Measure) number(v float64) string {
	if math.IsNaN(v) {
		return "none"
	}
	return fmt.Sprintf("%.4g%s", v, m.Unit)
}

// worse returns the measure with the worse value and the worse naive value.
func (m Measure) worse(o Measure) Measure {
	if m.Sense == AtMost {
		m.Value, m.Naive = max(m.Value, o.Value), max(m.Naive, o.Naive)
		return m
	}
	m.Value, m.Naive = min(m.Value, o.Value), min(m.Naive, o.Naive)
	return m
}

// Curve is goodput over time, one point for each 100 ms.
type Curve struct {
	Name   string
	Points []float64 // requests a second
}

// Outcome is what one run of an experiment gives.
type Outcome struct {
	Measures []Measure
	Curves   []Curve // for the plot, none when there is nothing to plot
}

// Experiment is one entry of the registry. Run is deterministic in its
// arguments and shares nothing with other runs.
type Experiment struct {
	Name string
	Run  func(p Params, seed uint64) Outcome

	// RealTime experiments run one at a time, after all others have ended.
	RealTime bool
}

// Experiments returns the registry in the order of printing. A concern adds
// its experiments here and keeps them in a file of its own.
func Experiments() []Experiment {
	return []Experiment{
		{Name: "overload", Run: overload},
		{Name: "mixed-entry", Run: mixedEntry},
		{Name: "slowdown", Run: slowdown},
		{Name: "heavy-organisation", Run: heavyOrganisation},
		{Name: "attempts", Run: attempts},
		{Name: "cold-start", Run: coldStart},
		{Name: "liar", Run: liar},
		{Name: "region-loss", Run: regionLoss},
		{Name: "configuration", Run: Configuration},
		{Name: "contracts", Run: contracts},
		{Name: "path", Run: path, RealTime: true},
	}
}

// workers bounds the runs that go on at once.
const workers = 4

// Measured runs each experiment for each seed, a few runs at once, and returns
// for each its measures with their worst values and the curves of its first
// seed. Runs share nothing, so that the result does not depend on their order.
func Measured(experiments []Experiment, p Params) []Outcome {
	runs := make([][]Outcome, len(experiments))
	pool := pond.NewPool(workers)
	for i, e := range experiments {
		runs[i] = make([]Outcome, len(p.Seeds))
		for j, seed := range p.Seeds {
			if !e.RealTime {
				pool.Submit(func() { runs[i][j] = e.Run(p, seed) })
			}
		}
	}
	pool.StopAndWait()
	for i, e := range experiments {
		for j, seed := range p.Seeds {
			if e.RealTime {
				runs[i][j] = e.Run(p, seed)
			}
		}
	}
	all := make([]Outcome, len(experiments))
	for i := range runs {
		all[i] = worstOf(runs[i])
	}
	return all
}

// worstOf folds the runs of one experiment.
func worstOf(runs []Outcome) Outcome {
	all := runs[0]
	for _, o := range runs[1:] {
		for j := range all.Measures {
			all.Measures[j] = all.Measures[j].worse(o.Measures[j])
		}
	}
	return all
}

// Select returns the experiments with these names, all when there are none.
func Select(names []string) ([]Experiment, error) {
	all := Experiments()
	if len(names) == 0 {
		return all, nil
	}
	var chosen []Experiment
	for _, name := range names {
		i := slices.IndexFunc(all, func(e Experiment) bool { return e.Name == name })
		if i < 0 {
			return nil, fmt.Errorf("there is no experiment %q: see Experiments in package bench", name)
		}
		chosen = append(chosen, all[i])
	}
	return chosen, nil
}
