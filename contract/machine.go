package contract

import (
	"maps"
	"slices"
	"time"

	"wisteriafold/wire"
)

// Machine is the contract control of one daemon: a Holder for the groups that
// the roster assigns to it and a Borrower for its own requests. Only the control
// goroutine may call its methods, except Limiter and Wake. The argument now must
// never decrease.
type Machine struct {
	cfg      Config
	holder   *Holder
	borrower *Borrower
	local    []*wire.Loan // messages from the daemon to itself
	leftAt   time.Time
}

// New returns a Machine without contracts and rosters.
func New(cfg Config) *Machine {
	cfg.setDefaults()
	m := &Machine{cfg: cfg}
	m.holder = newHolder(&m.cfg, m.send)
	m.borrower = newBorrower(&m.cfg, m.send)
	return m
}

// Limiter returns the limiter that admits requests.
func (m *Machine) Limiter() *Limiter { return m.borrower.limiter }

// Wake returns a channel that receives when a request starts to wait for tokens;
// the control goroutine then calls Tick.
func (m *Machine) Wake() <-chan struct{} { return m.borrower.limiter.wake }

func (m *Machine) send(to string, msg *wire.Loan) {
	if to == m.cfg.Self {
		m.local = append(m.local, msg)
		return
	}
	m.cfg.Outbox.Send(to, msg)
}

// SetContracts applies a generation of contracts. If one of them is invalid, it
// applies none and returns an InvalidContractError. An older generation is
// ignored.
func (m *Machine) SetContracts(now time.Time, generation uint64, cs []Contract) error {
	seen := make(map[uint64]string, len(cs))
	for i := range cs {
		if err := cs[i].validate(); err != nil {
			return err
		}
		id := ID(cs[i].Name)
		if other, ok := seen[id]; ok {
			return &InvalidContractError{Name: cs[i].Name, Remedy: "rename it; its name or the hash of its name equals that of " + other}
		}
		seen[id] = cs[i].Name
	}
	if generation < m.holder.generation {
		return nil
	}
	m.advance(now)
	m.holder.setContracts(now, generation, cs)
	m.borrower.setContracts(cs)
	m.holder.evaluate(now)
	return nil
}

// SetRoster stores a roster, or the later confirmation time of a roster that was
// read again. It must be called for every data centre that has or had a row in
// the store, including the daemon's own.
func (m *Machine) SetRoster(now time.Time, r Roster) {
	m.advance(now)
	m.holder.setRoster(now, r)
	if r.DataCentre == m.cfg.DataCentre {
		m.borrower.setRoster(m.holder.rosters[r.DataCentre])
	}
	keep := make(map[string]bool)
	for g := range m.holder.peers {
		for _, p := range m.holder.peers[g] {
			keep[p] = true
		}
		for _, p := range m.borrower.holders[g] {
			keep[p] = true
		}
	}
	m.holder.borrowed.forget(func(l string) bool { return keep[l] })
	m.borrower.borrowed.forget(func(l string) bool { return keep[l] })
	m.holder.evaluate(now)
}

// advance updates loan expiry, fences and shares to the time now. It is called
// before every decision.
func (m *Machine) advance(now time.Time) {
	m.borrower.borrowed.expire(now)
	m.holder.step(now)
}

// Receive handles a message from another daemon.
func (m *Machine) Receive(now time.Time, from string, msg *wire.Loan) {
	m.advance(now)
	m.handle(now, from, msg)
	m.drain(now)
	if m.holder.askAtOnce {
		m.holder.askAtOnce = false
		m.holder.pump(now)
		m.drain(now)
	}
}

// Tick sends the messages that are due. It must be called every 20 to 50 ms and
// when Wake receives.
func (m *Machine) Tick(now time.Time) {
	m.advance(now)
	m.borrower.tick(now)
	m.drain(now)
	m.holder.askAtOnce = false
	m.holder.tick(now)
	m.drain(now)
}

// drain handles the messages from the daemon to itself.
func (m *Machine) drain(now time.Time) {
	for len(m.local) > 0 {
		msg := m.local[0]
		m.local = m.local[1:]
		m.handle(now, m.cfg.Self, msg)
	}
}

func (m *Machine) handle(now time.Time, from string, msg *wire.Loan) {
	switch k := msg.GetKind().(type) {
	case *wire.Loan_Ask:
		m.holder.receiveAsk(now, from, k.Ask)
	case *wire.Loan_Grant:
		m.confirm(from, k.Grant)
		m.holder.borrowed.receive(now, from, k.Grant)
		m.borrower.borrowed.receive(now, from, k.Grant)
		m.holder.borrowed.pumpOne(now, from)
		m.borrower.borrowed.pumpOne(now, from)
	case *wire.Loan_Query:
		m.holder.receiveQuery(now, from, k.Query)
	case *wire.Loan_Answer:
		m.holder.receiveAnswer(from, k.Answer)
	}
}

// confirm uses the roster age in a lender's grant as a confirmation of the daemon's
// own roster, if both act on the same version.
func (m *Machine) confirm(from string, g *wire.LoanGrant) {
	own := m.holder.rosters[m.cfg.DataCentre]
	s := m.borrower.borrowed.sessions[from]
	if from == m.cfg.Self || own == nil || s == nil || !s.waiting || g.Session != s.id || g.Ask != s.number || g.Roster != own.Version {
		return
	}
	at := s.askedAt.Add(-time.Duration(g.RosterAgeMs) * time.Millisecond)
	if at.After(own.ConfirmedAt) {
		own.ConfirmedAt = at
		m.holder.confirmed(m.cfg.DataCentre, at)
	}
}

// Leave starts to give up everything: shares, loans made and loans taken.
func (m *Machine) Leave(now time.Time) {
	m.advance(now)
	m.holder.left = true
	m.holder.borrowed.stopped = true
	m.borrower.borrowed.stopped = true
	m.leftAt = now
	m.holder.evaluate(now)
}

// Left reports whether, after Leave, nothing is lent or borrowed any more or every
// loan must have expired. The daemon can then remove its address from the roster.
func (m *Machine) Left(now time.Time) bool {
	if !m.holder.left {
		return false
	}
	if now.Sub(m.leftAt) >= m.cfg.loanSpan() {
		return true
	}
	for _, a := range m.holder.accounts {
		if a.lent != (Amount{}) || a.borrowed != (Amount{}) {
			return false
		}
	}
	for _, d := range m.borrower.demands {
		if len(d.buckets) > 0 {
			return false
		}
	}
	return true
}

func sortedNames[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
