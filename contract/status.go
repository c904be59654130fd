package contract

import "time"

// Status is a snapshot of what one daemon holds, lends and borrows.
type Status struct {
	Generation  uint64
	Roster      uint64        // version of the own data centre's roster
	RosterAge   time.Duration // since the roster was confirmed
	Fenced      bool          // the roster has not been confirmed for too long, so own shares are not used
	Shares      []ShareStatus // one for every contract, also if this daemon holds no share
	Lent        []LoanStatus
	Borrowed    []LoanStatus // by the daemon, for its requests
	Rebalancing []LoanStatus // by the holder, from other holders
	Traffic     []TrafficStatus
}

// ShareStatus is the state of one contract at a holder.
type ShareStatus struct {
	Contract string
	Version  uint64
	Fraction float64 // fraction of the data centre's share that the roster assigns to this holder
	Holding  bool    // this holder has taken over its fraction
	Agreed   bool    // every holder acts on this version
	Settled  bool    // the loans made do not exceed what backs them
	Own      Amount  // own share in use
	Lent     Amount
	Borrowed Amount
	Tokens   float64
	Missing  []string // holders that have not yet reported that they settled at this version
}

// LoanStatus is the state of one loan.
type LoanStatus struct {
	Contract string
	Peer     string // the borrower of a loan made or the lender of a loan taken
	Holder   bool   // it is a loan between holders
	Amount   Amount
	Left     time.Duration // time until the loan expires
}

// TrafficStatus counts the tokens of one contract on this daemon.
type TrafficStatus struct {
	Contract string
	Asked    int64
	Taken    int64
	Refused  int64
	Waiting  int64
	Demand   float64 // predicted tokens per second
}

// Status returns a snapshot. Only the control goroutine may call it.
func (m *Machine) Status(now time.Time) Status {
	h := m.holder
	out := Status{Generation: h.generation, Fenced: h.fenced(now)}
	if own := h.rosters[m.cfg.DataCentre]; own != nil {
		out.Roster, out.RosterAge = own.Version, now.Sub(own.ConfirmedAt)
	}
	for g := range h.ids {
		for _, id := range h.ids[g] {
			out.Shares = append(out.Shares, h.shareStatus(h.accounts[id]))
		}
	}
	for _, l := range h.order {
		for _, id := range sortedKeys(l.loans) {
			if ln := l.loans[id]; ln.booked != (Amount{}) {
				out.Lent = append(out.Lent, LoanStatus{h.accounts[id].contract.Name, l.borrower, l.holder, ln.booked, l.offeredUntil.Sub(now)})
			}
		}
	}
	out.Rebalancing = h.borrowed.status(now, func(id uint64) string { return h.accounts[id].contract.Name })
	out.Borrowed = m.borrower.borrowed.status(now, func(id uint64) string { return m.borrower.demands[id].contract.Name })
	for _, id := range m.borrower.ids {
		d := m.borrower.demands[id]
		out.Traffic = append(out.Traffic, TrafficStatus{
			Contract: d.contract.Name, Asked: d.gauge.asked.Load(), Taken: d.gauge.taken.Load(),
			Refused: d.gauge.refused.Load(), Waiting: d.gauge.waiting.Load(), Demand: d.rate,
		})
	}
	return out
}

func (h *Holder) shareStatus(a *account) ShareStatus {
	s, target := h.slots[a.group], h.target(a.group)
	out := ShareStatus{
		Contract: a.contract.Name, Version: a.contract.Version, Fraction: target,
		Holding: target > 0 && s.fraction == target, Agreed: a.agreed, Settled: h.isSettled(a),
		Own: a.base, Lent: a.lent, Borrowed: a.borrowed, Tokens: a.level,
	}
	if out.Holding && !a.agreed {
		for _, addr := range h.peers[a.group] {
			if _, ok := a.evidence[addr]; !ok {
				out.Missing = append(out.Missing, addr)
			}
		}
	}
	return out
}

func (b *borrowing) status(now time.Time, name func(uint64) string) []LoanStatus {
	var out []LoanStatus
	for _, s := range b.order {
		for _, id := range sortedKeys(s.borrowed) {
			if d := s.borrowed[id]; d.Amount != (Amount{}) {
				out = append(out, LoanStatus{name(id), s.lender, b.holder, d.Amount, s.until.Sub(now)})
			}
		}
	}
	return out
}
