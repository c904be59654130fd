package request

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261204")
	}
	os.Exit(m.Run())
}

// grow simulates one call of a request tree in which any call may be retried,
// answers may be lost and any answer may return part of what was lent. It returns
// the number of extra attempts made and the unused allowance.
func grow(t *rapid.T, depth int, carried uint32) (extra, unused uint32) {
	a := NewAllowance(carried)
	if depth > 0 {
		for range rapid.IntRange(0, 3).Draw(t, "fan-out") {
			lent := a.Lend()
			more, back := grow(t, depth-1, lent)
			extra += more
			switch rapid.IntRange(0, 3).Draw(t, "answer") {
			case 0: // lost
			case 1:
				a.Return(lent, back)
				if a.Spend() {
					extra++
				}
			default:
				a.Return(lent, back)
			}
		}
	}
	for rapid.Bool().Draw(t, "retry") && a.Spend() {
		extra++
	}
	return extra, a.Left()
}

func TestExtraAttemptsNeverExceedAllowanceOfTree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := uint32(rapid.IntRange(0, 20).Draw(t, "total"))
		extra, unused := grow(t, rapid.IntRange(0, 5).Draw(t, "depth"), total)
		require.LessOrEqual(t, extra+unused, total)
	})
	a := NewAllowance(3)
	lent := a.Lend()
	a.Return(lent, lent+100)
	require.EqualValues(t, 3, a.Left(), "a child cannot return more than it was lent")
}

func TestFeedbackFoldsToHighestLevel(t *testing.T) {
	deep := Feedback{Gate: 70_000}
	middle := Feedback{}.Fold(deep).Fold(Feedback{Gate: 5})
	require.EqualValues(t, 70_000, middle.Worst())
	require.Equal(t, LevelShut, Feedback{Gate: 1 << 31}.Worst(), "a level from another process is clamped")
}

// entryAt returns an EntryControl that has received feedback with level f for two
// seconds, and the time at the end.
func entryAt(f Priority) (*EntryControl, time.Time) {
	e, now := NewEntryControl(EntryConfig{}), time.Unix(1000, 0)
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		e.Observe(now, Feedback{Downstream: f})
	}
	return e, now
}

func TestEntryFollowsFeedbackAndReopensWithoutIt(t *testing.T) {
	e, now := entryAt(2*ClassWidth + 1000)
	require.InDelta(t, float64(2*ClassWidth+1000), float64(e.Report(now).Level), 100)
	require.False(t, e.Admit(now, &Call{Importance: Normal, Tree: 1<<64 - 1}, 1))
	require.True(t, e.Admit(now, &Call{Importance: Critical}, 1))
	require.Greater(t, e.Report(now.Add(550*time.Millisecond)).Level, ClassWidth, "the level does not drop at once")
	require.Equal(t, LevelOpen, e.Report(now.Add(2*time.Second)).Level, "the level decays to open without feedback")
	require.EqualValues(t, 1, e.Report(now).Shed)
}

func TestSingleTightAnswerBarelyMovesLevel(t *testing.T) {
	e, now := entryAt(LevelOpen)
	e.Observe(now.Add(time.Millisecond), Feedback{Gate: LevelShut})
	require.Less(t, e.Report(now.Add(time.Millisecond)).Level, ClassWidth/100)
}

func TestCapacityInLevelClassIsSharedByWeight(t *testing.T) {
	e, now := entryAt(Priority(Normal)*ClassWidth + ClassWidth/2)
	r := rand.New(rand.NewPCG(3, 3))
	offered, admitted := map[string]float64{}, map[string]float64{}
	for i := range 40_000 {
		now = now.Add(100 * time.Microsecond)
		e.Observe(now, Feedback{Gate: Priority(Normal)*ClassWidth + ClassWidth/2})
		org, weight := "heavy", 1.0
		if i%10 == 0 {
			org = fmt.Sprint("light", i/10%2)
		} else if i%10 < 3 {
			org, weight = "weighty", 3
		}
		offered[org]++
		if e.Admit(now, &Call{Importance: Normal, Organisation: org, Tree: Tree(r.Uint64())}, weight) {
			admitted[org]++
		}
	}
	require.Greater(t, admitted["light0"]/offered["light0"], 0.95)
	require.Greater(t, admitted["weighty"]/offered["weighty"], 0.95)
	all := admitted["light0"] + admitted["light1"] + admitted["weighty"] + admitted["heavy"]
	require.InDelta(t, 20_000, all, 1_500, "half of the class is admitted")
}

func BenchmarkAdmit(b *testing.B) {
	e, now := entryAt(Priority(Normal)*ClassWidth + ClassWidth/2)
	c := &Call{Importance: Normal, Organisation: "o"}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Microsecond)
		c.Tree += 1 << 40
		e.Admit(now, c, 1)
		e.Observe(now, Feedback{Gate: Priority(Normal)*ClassWidth + ClassWidth/2})
	}
}
