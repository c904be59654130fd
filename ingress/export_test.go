package ingress

import "time"

// SweepForTest ends what has taken too long when the time is later than it is.
func (s *Server) SweepForTest(later time.Duration) { s.sweep(s.now() + int64(later)) }

// ChooseVictimForTest returns the connection that is cut, -1 for none.
func ChooseVictimForTest(bytes []int64, stalled []time.Duration, limit int64) int {
	holders := make([]holder, len(bytes))
	for i := range bytes {
		holders[i] = holder{bytes: bytes[i], stalled: stalled[i]}
	}
	i, _ := chooseVictim(holders, limit, 0)
	return i
}
