package datacentre

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/assert"
)

// BenchmarkIdle measures the cost of control traffic per daemon while nothing
// changes: bytes and messages sent, and CPU time of its directory. Each daemon
// announces one service and subscribes to four.
func BenchmarkIdle(b *testing.B) {
	for _, c := range []struct{ dcs, daemons, services int }{
		{1, 16, 16},
		{1, 64, 16},
		{1, 256, 16},
		{1, 256, 64},
		{1, 256, 256},
		{2, 64, 32},
		{4, 64, 32},
		{8, 64, 32},
	} {
		b.Run(fmt.Sprintf("dcs=%d/daemons=%d/services=%d", c.dcs, c.daemons, c.services), func(b *testing.B) {
			w := newWorld(1)
			for dc := range c.dcs {
				for i := range c.daemons {
					d := w.start(dc, i, nil)
					d.announce(fmt.Sprint("s", i%c.services), 1)
					for s := range 4 {
						d.dir.Subscribe(w.now, fmt.Sprint("s", (i*7+s*13)%c.services))
					}
				}
			}
			w.run(30*time.Second, nil)
			clear(w.bytes)
			clear(w.sent)
			b.ResetTimer()
			for b.Loop() {
				w.run(time.Minute, nil)
			}
			seconds := 60 * float64(b.N)
			total, most, messages := 0, 0, 0
			for a, n := range w.bytes {
				total += n
				most = max(most, n)
				messages += w.sent[a]
			}
			daemons := float64(c.dcs * c.daemons)
			b.ReportMetric(float64(total)/seconds/daemons, "B/s/daemon")
			b.ReportMetric(float64(most)/seconds, "B/s/busiest")
			b.ReportMetric(float64(messages)/seconds/daemons, "msg/s/daemon")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/seconds/daemons, "us/s/daemon")
		})
	}
}

// BenchmarkPlace measures one placement among the 800 members of a large data
// centre.
func BenchmarkPlace(b *testing.B) {
	members, hashes := addresses(800)
	b.ReportAllocs()
	for i := uint64(0); b.Loop(); i++ {
		place(members, hashes, mix(i), registrarsPerService)
	}
}

func addresses(n int) (members []string, hashes []uint64) {
	for i := range n {
		members = append(members, address(0, i))
		hashes = append(hashes, xxhash.Sum64String(members[i]))
	}
	return members, hashes
}

// ring is a consistent hash ring with virtual nodes and replicas on the next
// distinct members. Rendezvous hashing is compared with it.
type ring struct {
	points []uint64
	owner  []string
}

func newRing(members []string, virtual int) *ring {
	r := &ring{}
	at := make(map[uint64]string)
	for _, m := range members {
		for v := range virtual {
			p := mix(xxhash.Sum64String(m) + uint64(v)*0x9e3779b97f4a7c15)
			at[p] = m
			r.points = append(r.points, p)
		}
	}
	slices.Sort(r.points)
	for _, p := range r.points {
		r.owner = append(r.owner, at[p])
	}
	return r
}

func (r *ring) place(key string, k int) []string {
	i := sort.Search(len(r.points), func(i int) bool { return r.points[i] >= mix(xxhash.Sum64String(key)) })
	var out []string
	for n := 0; len(out) < k && n < len(r.points); n++ {
		if m := r.owner[(i+n)%len(r.points)]; !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

// placement measures balance (largest load divided by the mean, and the
// coefficient of variation of the load) and movement (number of places that move
// when a member is lost, divided by the least possible number).
func placement(members []string, keys int, place func(members []string) func(key string) []string) (largest, cv, moved float64) {
	before, after := place(members), place(members[1:])
	load := make(map[string]int)
	places, changed, least := 0, 0, 0
	for i := range keys {
		key := fmt.Sprint("service/s", i)
		was, is := before(key), after(key)
		for _, m := range was {
			load[m]++
			places++
			if m == members[0] {
				least++
			}
		}
		changed += len(without(is, was))
	}
	mean := float64(places) / float64(len(members))
	sum := 0.0
	for _, m := range members {
		largest = max(largest, float64(load[m])/mean)
		sum += (float64(load[m]) - mean) * (float64(load[m]) - mean)
	}
	return largest, math.Sqrt(sum/float64(len(members))) / mean, float64(changed) / float64(max(least, 1))
}

func rendezvous(members []string) func(string) []string {
	return func(key string) []string { return Place(members, key, registrarsPerService) }
}

// BenchmarkPlacement compares balance and movement of rendezvous hashing with
// those of rings with 1, 32 and 256 points per member.
func BenchmarkPlacement(b *testing.B) {
	members, _ := addresses(800)
	ways := map[string]func([]string) func(string) []string{"rendezvous": rendezvous}
	for _, v := range []int{1, 32, 256} {
		ways[fmt.Sprint("ring", v)] = func(members []string) func(string) []string {
			r := newRing(members, v)
			return func(key string) []string { return r.place(key, registrarsPerService) }
		}
	}
	for _, way := range sortedNames(ways) {
		for _, keys := range []int{440, 40000} {
			b.Run(fmt.Sprintf("%s/keys=%d", way, keys), func(b *testing.B) {
				var largest, cv, moved float64
				for b.Loop() {
					largest, cv, moved = placement(members, keys, ways[way])
				}
				b.ReportMetric(largest, "max/mean")
				b.ReportMetric(cv, "cv")
				b.ReportMetric(moved, "moved/least")
			})
		}
	}
}

func TestPlaceIsBalancedAndMovesLittle(t *testing.T) {
	members, _ := addresses(100)
	keys := 20000
	largest, _, moved := placement(members, keys, rendezvous)
	mean := float64(keys*registrarsPerService) / float64(len(members))
	assert.Less(t, largest, 1+5/math.Sqrt(mean), "within five standard deviations of a random choice")
	assert.Equal(t, 1.0, moved, "only the places of the lost member move")
	shuffled := slices.Clone(members)
	rand.New(rand.NewPCG(1, 1)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
	for i := range 100 {
		key := fmt.Sprint(i)
		assert.Equal(t, Place(members, key, 3), Place(shuffled, key, 3))
		assert.Equal(t, Place(members, key, 2), Place(members, key, 3)[:2])
	}
	assert.Len(t, Place(members[:1], "x", 2), 1)
	assert.Empty(t, Place(nil, "x", 2))
}
