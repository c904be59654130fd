package datacentre

import (
	"slices"
	"time"

	"wisteriafold/wire"
)

// Leave takes this daemon off its data centre's roster. Withdraw its endpoint
// first, and whatever role it has by its place on the roster.
func (d *Directory) Leave(now time.Time) {
	r := &d.rosters
	if r.leaving {
		return
	}
	r.leaving = true
	r.joinAsks = 0
	r.joinAt = now
	delete(r.joins, d.cfg.Self)
	d.settle(now)
}

// Left reports whether this daemon has asked to leave and is known to be off
// the roster. With the store down it stays false: the peers of this daemon
// remove it later.
func (d *Directory) Left() bool { return d.rosters.leaving && !d.rosters.listed() }

// tickMembership asks to be added to the roster, or to be taken off it.
func (r *rosters) tickMembership(now time.Time, ask []string) {
	if r.listed() != r.leaving || now.Before(r.joinAt) {
		return
	}
	r.joinAt = now.Add(time.Second + time.Duration(r.d.rng.Float64()*float64(r.d.cfg.JoinJitter)))
	live := r.d.aliveAmong(now, ask)
	if len(live) == 0 || r.joinAsks >= joinAsksToPeer {
		r.queue(now, r.d.cfg.Self, r.leaving)
		r.joinAsks = 0
		return
	}
	r.joinAsks++
	to := live[len(live)-1]
	r.d.send(to, &wire.Member{Kind: &wire.Member_RosterAsk{RosterAsk: &wire.RosterAsk{Leave: r.leaving}}})
	r.nextPull = now.Add(2 * r.d.cfg.AskBatch)
}

// asked takes the request of a member to be added or taken off.
func (r *rosters) asked(now time.Time, from string, a *wire.RosterAsk) { r.queue(now, from, a.Leave) }

func (r *rosters) queue(now time.Time, address string, leave bool) {
	if leave {
		r.leaves[address] = true
		delete(r.joins, address)
	} else {
		r.joins[address] = true
		delete(r.leaves, address)
	}
	if r.flushAt.IsZero() {
		r.flushAt = now.Add(r.d.cfg.AskBatch)
	}
}

// silent returns the members of the own roster that this relay has not heard
// from since then.
func (r *rosters) silent(since time.Time) []string {
	own := r.ownRow()
	if own == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(own.value.Addresses), func(a string) bool {
		c := r.d.peers[a]
		return a == r.d.cfg.Self || (c != nil && c.heardAt.After(since))
	})
}

// probeSilent asks members that may have to be removed whether they are alive.
func (r *rosters) probeSilent(now time.Time) {
	if now.Sub(r.relayFrom) < r.d.cfg.ExpelAfter/2 || now.Before(r.nextExpel.Add(-r.d.cfg.ExpelEvery/2)) {
		return
	}
	for _, a := range r.silent(now.Add(-r.d.cfg.ExpelAfter / 2)) {
		if r.probed[a] || len(r.probed) >= r.d.cfg.ExpelMost {
			continue
		}
		r.probed[a] = true
		r.d.send(a, &wire.Member{Kind: &wire.Member_Probe{Probe: &wire.Probe{}}})
	}
}

// toExpel returns the members to remove now: silent for long although probed.
func (r *rosters) toExpel(now time.Time) []string {
	if now.Before(r.nextExpel) {
		return nil
	}
	r.nextExpel = now.Add(r.d.cfg.ExpelEvery)
	probed := r.probed
	r.probed = make(map[string]bool)
	patience := r.d.cfg.ExpelAfter
	if many := r.silent(now.Add(-patience)); 4*len(many) > len(r.ownRow().addresses()) {
		patience = r.d.cfg.ExpelManyAfter
	}
	if now.Sub(r.relayFrom) < patience || len(r.relay(now)) > 0 {
		return nil
	}
	gone := slices.DeleteFunc(r.silent(now.Add(-patience)), func(a string) bool { return !probed[a] })
	return gone[:min(len(gone), r.d.cfg.ExpelMost)]
}

func (r *row) addresses() []string {
	if r == nil {
		return nil
	}
	return r.value.Addresses
}
