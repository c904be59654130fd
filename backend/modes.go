package backend

// Modes tells which decisions of a gate depend on a pattern of overload at present.
type Modes struct {
	StandingOverload bool // the queue has not been empty for Config.Interval
	CallsByWork      bool // the admission level counts calls by their work
	ShedsIgnored     bool // a lower limit has not reduced the sheds of the backend server, which are ignored
}

// Modes returns the present modes.
func (c *Core) Modes() Modes {
	return Modes{
		StandingOverload: c.overload.standing,
		CallsByWork:      c.level.meanCall > 0,
		ShedsIgnored:     c.limiter.shedTrial.ignores(c.level.lastLoad),
	}
}

// Modes returns the present modes.
func (g *Gate) Modes() Modes {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Modes()
}
