package datacentre

import (
	"slices"
	"time"

	"wisteriafold/wire"
)

// Leave starts to remove this daemon from its data centre's roster. The caller
// must first withdraw its endpoint and give up any role that it has because of
// its place on the roster.
func (d *Directory) Leave(now time.Time) {
	r := &d.rosters
	if r.leaving {
		return
	}
	r.leaving = true
	r.joinAsks = 0
	r.joinAt = now
	delete(r.joins, d.cfg.Self)
	d.flush(now)
}

// Left reports whether this daemon has called Leave and is no longer on the
// roster. It stays false while the store is down: the peers of this daemon then
// expel it later.
func (d *Directory) Left() bool { return d.rosters.leaving && !d.rosters.listed() }

// tickMembership requests to be added to the roster, or removed from it while
// leaving. After some unsuccessful requests to the relay it writes to the store
// itself.
func (r *rosters) tickMembership(now time.Time, ask []string) {
	if r.listed() != r.leaving || now.Before(r.joinAt) {
		return
	}
	wait, asks := time.Second, joinAsksToPeer
	if r.leaving { // the relay may be leaving too, and shutdown waits for this
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

// receiveAsk queues the request of a member to join or leave.
func (r *rosters) receiveAsk(now time.Time, from string, a *wire.RosterAsk) {
	r.queue(now, from, a.Leave)
}

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

// silent returns the members of the groups of this relay from which nothing has
// been received after since, and the number of all members of these groups
// except this daemon.
func (r *rosters) silent(since time.Time) (silent []string, all int) {
	own := r.ownRow()
	for i, a := range own.addresses() {
		if a == r.d.cfg.Self || !slices.Contains(r.relayedGroups, groupOf(own.hashes[i], r.groupCount)) {
			continue
		}
		all++
		if c := r.d.peers[a]; c == nil || !c.heardAt.After(since) {
			silent = append(silent, a)
		}
	}
	return silent, all
}

// probeSilent probes the silent members, at most ExpelMost, half an ExpelEvery
// interval before they may be expelled.
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

// toExpel returns the members to remove now: those that have been probed and
// silent for ExpelAfter, or ExpelManyAfter if more than a quarter are silent.
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
