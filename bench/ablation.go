package bench

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/alitto/pond/v2"
)

// Effect is what one policy gives in the experiments that the table compares.
type Effect struct {
	Policy   string // what is switched off; "none" for the code as it is
	Measures []Measure
}

// Ablations returns the measures of the code as it is and with each mechanism
// alone switched off, from one seed.
func Ablations(p Params, seed uint64) []Effect {
	whole := ours()
	whole.name = "none"
	variants := append([]policy{whole}, ablations()...)
	table := make([]Effect, len(variants))
	pool := pond.NewPool(workers)
	for i, v := range variants {
		pool.Submit(func() { table[i] = Effect{Policy: v.name, Measures: ablated(p, v, seed)} })
	}
	pool.StopAndWait()
	return table
}

// ablated runs the experiments of the table under one policy.
func ablated(p Params, v policy, seed uint64) []Measure {
	o := newWorld(overloadSpec(p), v, seed).run()
	d := newWorld(slowdownSpec(p), v, seed).run()
	heavy := heavySpec(p, oversoldPart)
	heavy.contracts = nil
	h := newWorld(heavy, v, seed).run()
	m := newWorld(mixedSpec(p), v, seed).run()
	c := newWorld(coldSpec(p), v, seed).run()
	l := newWorld(slowLiarSpec(p), v, seed)
	f := newWorld(failingLiarSpec(p), v, seed)
	r := newWorld(regionSpec(p), v, seed)
	b := newWorld(busyRegionSpec(p), v, seed).run()
	a := newWorld(largeAnswerSpec(p), v, seed)
	l.run()
	f.run()
	r.run()
	a.run()
	return []Measure{
		{Name: "goodput", Value: o.bottleneck()},
		{Name: "important", Value: o.important()},
		{Name: "wasted", Value: o.wastedPart()},
		{Name: "mixed-wasted", Value: m.wastedPart()},
		{Name: "recovery", Unit: "s", Value: d.recovery(slowFrom + slowFor)},
		{Name: "slow-wasted", Value: d.wastedIn(slowFrom, slowFrom+slowFor)},
		{Name: "worst-served", Value: h.worstServed()},
		{Name: "cold", Value: c.served(faultEnds)},
		{Name: "slow-liar", Value: l.account.served(faultEnds)},
		{Name: "failing-liar", Value: f.account.served(faultEnds)},
		{Name: "busy-other", Value: b.regionServed("kumamoto")},
		{Name: "busy-own", Value: b.regionServed("fukuoka")},
		{Name: "large-link-B/s", Value: a.linkPeak()},
		{Name: "other-region", Value: r.account.regionServed("kumamoto")},
		{Name: "own-region", Value: r.account.regionServed("fukuoka")},
		{Name: "link-B/s", Value: r.linkPeak()},
	}
}

// WriteAblations prints the table.
func WriteAblations(out io.Writer, table []Effect) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	_, _ = fmt.Fprint(w, "switched off")
	for _, m := range table[0].Measures {
		_, _ = fmt.Fprintf(w, "\t%s", m.Name)
	}
	for _, e := range table {
		_, _ = fmt.Fprintf(w, "\n%s", e.Policy)
		for _, m := range e.Measures {
			_, _ = fmt.Fprintf(w, "\t%s", m.number(m.Value))
		}
	}
	_, _ = fmt.Fprintln(w)
}
