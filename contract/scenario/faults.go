package scenario

import (
	"math/rand/v2"
	"slices"
	"time"

	"wisteriafold/contract"
)

// Fault is a kind of fault that can be injected into a fleet.
type Fault int

// Kinds of faults. The loss, delay and duplication of messages are set in Options.
const (
	Pause          Fault = iota // a process is paused for a while and resumes
	Restart                     // a process dies and is started again at its address
	Crash                       // a process dies, is removed from the roster and replaced
	Expel                       // a process that continues to run is removed from the roster and replaced
	Leave                       // a process gives up its shares and leaves the roster
	Join                        // a process is added
	CutDataCentre               // a data centre loses its connections to all other data centres and to the store
	CutStore                    // a process loses its connection to the store
	StoreOutage                 // the store is unavailable to all processes
	ChangeContract              // rate, burst and split of a contract change

	Faults // number of kinds of faults
)

var faultNames = [Faults]string{
	"pause", "restart", "crash", "expel", "leave", "join",
	"cut-data-centre", "cut-store", "store-outage", "change-contract",
}

// String returns the name of the fault.
func (f Fault) String() string { return faultNames[f] }

// Inject causes a fault of the given kind, at a random live daemon if the kind
// concerns a daemon. lasts is the approximate duration; kinds without a duration
// ignore it.
func (f *Fleet) Inject(kind Fault, rng *rand.Rand, lasts time.Duration) {
	alive := slices.DeleteFunc(slices.Clone(f.Daemons), func(d *Daemon) bool { return !d.Alive })
	if len(alive) == 0 {
		return
	}
	d := alive[rng.IntN(len(alive))]
	switch kind {
	case Pause:
		d.PausedUntil = f.Now + lasts
	case Restart:
		d.Alive = false
		f.after(lasts, func() { f.Start(d) })
	case Crash, Expel:
		d.Alive = kind == Expel
		f.after(lasts, func() { f.replace(d) })
		if kind == Expel {
			f.after(4*lasts, func() { d.Alive = false })
		}
	case Leave:
		d.Machine.Leave(d.Clock())
		f.after(f.Step, func() { f.leave(d, d.Machine) })
	case Join:
		f.Join(rng.IntN(f.DataCentres))
	case CutDataCentre:
		f.CutOff[d.DataCentre] = true
		f.after(lasts, func() { delete(f.CutOff, d.DataCentre) })
	case CutStore:
		d.NoStore = true
		f.after(lasts, func() { d.NoStore = false })
	case StoreOutage:
		f.StoreDown = true
		f.after(lasts, func() { f.StoreDown = false })
	case ChangeContract:
		f.change(rng)
	}
}

// replace replaces a daemon in its roster as soon as the store is available.
func (f *Fleet) replace(d *Daemon) {
	if f.StoreDown {
		f.after(f.Poll, func() { f.replace(d) })
		return
	}
	f.Remove(d, false)
	f.Join(d.dc())
}

// leave removes a daemon from its roster once it has given up its shares and loans.
func (f *Fleet) leave(d *Daemon, m *contract.Machine) {
	switch {
	case !d.Alive || d.Machine != m:
		return
	case f.StoreDown || !d.Running() || !m.Left(d.Clock()):
		f.after(f.Step, func() { f.leave(d, m) })
	default:
		d.Alive = false
		f.Remove(d, true)
	}
}

func (d *Daemon) dc() int {
	for dc := range d.fleet.DataCentres {
		if Name(dc) == d.DataCentre {
			return dc
		}
	}
	return 0
}

func (f *Fleet) change(rng *rand.Rand) {
	if f.StoreDown {
		return
	}
	cs := slices.Clone(f.contracts)
	c := &cs[rng.IntN(len(cs))]
	c.Rate *= 0.5 + rng.Float64()
	c.Burst = max(2, c.Burst*(0.5+rng.Float64()))
	c.Shares = slices.Clone(c.Shares)
	for i := range c.Shares {
		c.Shares[i].Weight = float64(rng.IntN(4))
	}
	c.Shares[rng.IntN(len(c.Shares))].Weight++
	f.ApplyOne(*c)
}

// ApplyOne writes a new version of one contract to the store.
func (f *Fleet) ApplyOne(c contract.Contract) {
	f.generation++
	c.Version = f.generation
	f.contracts = slices.Clone(f.contracts)
	i := slices.IndexFunc(f.contracts, func(o contract.Contract) bool { return o.Name == c.Name })
	f.contracts[i] = c
	f.Check.Allow(c)
}
