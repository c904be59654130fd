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
	wait, asks := time.Second, joinAsksToPeer
	if r.leaving { // the relay may be leaving too, and the process waits
		wait, asks = 2*r.d.cfg.AskBatch, leaveAsksToPeer
	}
	r.joinAt = now.Add(wait + time.Duration(r.d.rng.Float64()*float64(r.d.cfg.JoinJitter)))
	live := r.d.aliveAmong(now, ask)
	if len(live) == 0 || r.joinAsks >= asks {
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

// silent returns the members of the groups that this relay leads from which it
// has not heard since then, and the number of all members of these groups.
func (r *rosters) silent(since time.Time) (silent []string, all int) {
	own := r.ownRow()
	for i, a := range own.addresses() {
		if a == r.d.cfg.Self || !slices.Contains(r.led, groupOf(own.hashes[i], r.grouped)) {
			continue
		}
		all++
		if c := r.d.peers[a]; c == nil || !c.heardAt.After(since) {
			silent = append(silent, a)
		}
	}
	return silent, all
}

// probeSilent asks members that may have to be removed whether they are alive.
func (r *rosters) probeSilent(now time.Time) {
	if now.Sub(r.relayFrom) < r.d.cfg.ExpelAfter/2 || now.Before(r.nextExpel.Add(-r.d.cfg.ExpelEvery/2)) || r.probed != nil {
		return
	}
	r.probed = make(map[string]bool)
	silent, _ := r.silent(now.Add(-r.d.cfg.ExpelAfter / 2))
	for _, a := range silent[:min(len(silent), r.d.cfg.ExpelMost)] {
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
	r.probed = nil
	patience := r.d.cfg.ExpelAfter
	if many, all := r.silent(now.Add(-patience)); 4*len(many) > all {
		patience = r.d.cfg.ExpelManyAfter
	}
	if now.Sub(r.relayFrom) < patience {
		return nil
	}
	gone, _ := r.silent(now.Add(-patience))
	return slices.DeleteFunc(gone, func(a string) bool { return !probed[a] })
}

func (r *row) addresses() []string {
	if r == nil {
		return nil
	}
	return r.value.Addresses
}
