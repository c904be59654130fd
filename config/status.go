package config

import "time"

// Status is what operators see of one daemon's spreader.
type Status struct {
	Generation uint64        `json:"generation"`
	Confirmed  bool          `json:"confirmed"`  // Age is meaningful
	Age        time.Duration `json:"age"`        // of knowledge, in nanoseconds
	Announced  uint64        `json:"announced"`  // newest generation heard of
	Withdrawn  int           `json:"withdrawn"`  // keys refused ahead of their generation
	Roster     int           `json:"roster"`     // instances in this data centre
	Relay      bool          `json:"relay"`      // this daemon reads the store
	CutOff     bool          `json:"cut_off"`    // it reads, without success, and nobody else knows
	Failures   int           `json:"failures"`   // reads that failed since the last that succeeded
	LastError  string        `json:"last_error"` // of the last read or generation that failed
}

// Status returns this daemon's state at now.
func (m *Spreader) Status(now time.Time) Status {
	s := Status{
		Generation: m.generation(),
		Announced:  max(m.announced.generation, m.generation()),
		Withdrawn:  len(m.withdrawn),
		Roster:     len(m.topology.order),
		Relay:      m.isReading(now),
		Failures:   m.relay.failures,
		LastError:  m.lastError,
	}
	s.CutOff = s.Relay && m.isCutOff(now)
	if !m.confirmed.IsZero() {
		s.Confirmed, s.Age = true, now.Sub(m.confirmed)
	}
	return s
}
