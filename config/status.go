package config

import "time"

// Status is the state of one daemon's spreader, for operators.
type Status struct {
	Generation uint64        `json:"generation"`
	Confirmed  bool          `json:"confirmed"`  // Age is meaningful
	Age        time.Duration `json:"age"`        // configuration age, in nanoseconds
	Announced  uint64        `json:"announced"`  // newest generation heard of
	Withdrawn  int           `json:"withdrawn"`  // keys refused before the generation that withdraws them is in force
	Roster     int           `json:"roster"`     // instances in this data centre
	Relay      bool          `json:"relay"`      // this daemon reads the store
	CutOff     bool          `json:"cut_off"`    // it can't read the store, and no other daemon confirms the generation
	Failures   int           `json:"failures"`   // failed reads since the last successful one
	LastError  string        `json:"last_error"` // of the last read or generation that failed
}

// Status returns this daemon's state at now.
func (m *Spreader) Status(now time.Time) Status {
	s := Status{
		Generation: m.generation(),
		Announced:  max(m.announced.generation, m.generation()),
		Withdrawn:  len(m.withdrawn),
		Roster:     len(m.topology.order),
		Relay:      m.mustReadStore(now),
		Failures:   m.relay.failures,
		LastError:  m.lastError,
	}
	s.CutOff = s.Relay && m.isCutOff(now)
	if !m.confirmed.IsZero() {
		s.Confirmed, s.Age = true, now.Sub(m.confirmed)
	}
	return s
}
