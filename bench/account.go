package bench

import (
	"time"

	"wisteriafold/request"
)

// bin is the width of the bins of a series.
const bin = 100 * time.Millisecond

// series is a sum for each bin of time.
type series struct{ bins []float64 }

func (s *series) add(at time.Duration, n float64) {
	i := int(at / bin)
	for len(s.bins) <= i {
		s.bins = append(s.bins, 0)
	}
	s.bins[i] += n
}

// sum returns the sum of the bins from from to to.
func (s *series) sum(from, to time.Duration) float64 {
	total := 0.0
	for i := int(from / bin); i < int(to/bin) && i < len(s.bins); i++ {
		total += s.bins[i]
	}
	return total
}

// rate returns the mean a second between from and to.
func (s *series) rate(from, to time.Duration) float64 {
	return s.sum(from, to) / (to - from).Seconds()
}

// peak returns the largest sum of any window.
func (s *series) peak(window time.Duration) float64 {
	most := 0.0
	for i := range s.bins {
		at := time.Duration(i) * bin
		most = max(most, s.sum(at, at+window))
	}
	return most
}

// stream is what became of one stream of demand.
type stream struct {
	offered   series // by arrival
	completed series // by answer
	failed    series // given up by the caller
	asked     series // requests, with those that callers sent again
	refused   series // requests that were not answered
	reasons   map[request.Reason]int
}

// account gathers the figures of one run.
type account struct {
	spec    spec
	streams []*stream
	work    series // seconds that backend servers worked
	wasted  series // part of work that was for requests that failed

	attempts map[*endpoint]int
	failures map[*endpoint]int

	perTree  bool // count attempts for each position
	maxExtra int
	maxAt    int
}

func newAccount(s spec) *account {
	a := &account{spec: s, attempts: make(map[*endpoint]int), failures: make(map[*endpoint]int)}
	for range s.demand {
		a.streams = append(a.streams, &stream{reasons: make(map[request.Reason]int)})
	}
	return a
}

func (a *account) stream(i int) *stream { return a.streams[i] }

// worked adds work done for a tree.
func (a *account) worked(t *tree, d time.Duration) {
	now := t.w.clock.elapsed()
	a.work.add(now, d.Seconds())
	t.work += d
	if t.ended && !t.ok {
		a.wasted.add(now, d.Seconds())
	}
}

// ended records the end of a tree. The work of attempts that still run is
// added by worked.
func (a *account) ended(t *tree) {
	if !t.ok {
		a.wasted.add(t.w.clock.elapsed(), t.work.Seconds())
	}
}

func (a *account) sent(e *endpoint)   { a.attempts[e]++ }
func (a *account) failed(e *endpoint) { a.failures[e]++ }

// forget starts the counts of endpoints afresh.
func (a *account) forget() {
	clear(a.attempts)
	clear(a.failures)
}

// tree records one attempt at a position of a tree.
func (a *account) tree(t *tree, position uint64) {
	a.maxExtra = max(a.maxExtra, t.extra)
	if !a.perTree {
		return
	}
	if t.attempts == nil {
		t.attempts = make(map[uint64]int)
	}
	t.attempts[position]++
	a.maxAt = max(a.maxAt, t.attempts[position])
}

// goodput returns the completed requests a second of the streams that match.
func (a *account) goodput(from, to time.Duration, match func(*demandSpec) bool) float64 {
	total := 0.0
	for i, s := range a.streams {
		if match == nil || match(&a.spec.demand[i]) {
			total += s.completed.rate(from, to)
		}
	}
	return total
}

// demanded returns the arrivals a second of the streams that match.
func (a *account) demanded(from, to time.Duration, match func(*demandSpec) bool) float64 {
	total := 0.0
	for i, s := range a.streams {
		if match == nil || match(&a.spec.demand[i]) {
			total += s.offered.rate(from, to)
		}
	}
	return total
}

// curve returns goodput over time.
func (a *account) curve() []float64 {
	n := int(a.spec.duration / bin)
	all := make([]float64, n)
	for _, s := range a.streams {
		for i, v := range s.completed.bins {
			if i < n {
				all[i] += v / bin.Seconds()
			}
		}
	}
	return all
}

// wastedPart returns the part of the work after the warm-up that was wasted.
func (a *account) wastedPart() float64 { return a.wastedIn(warmUp, a.spec.duration) }

// wastedIn returns the part of the work between from and to that was wasted.
func (a *account) wastedIn(from, to time.Duration) float64 {
	work := a.work.sum(from, to)
	if work == 0 {
		return 0
	}
	return a.wasted.sum(from, to) / work
}
