package datacentre

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriafold/wire"
)

const (
	relayRolePrefix = "relay/"           // the group number follows
	relaySalt       = 0x52656c6179000000 // makes the grouping independent of other placements
)

// maxRosterAge is the largest age of rosters in an answer that confirms anything.
const maxRosterAge = 30 * 24 * time.Hour

// maxPendingPulls bounds the number of unanswered pulls whose send time is kept.
const maxPendingPulls = 16

// rosters holds the rosters of all data centres, and this daemon's membership
// and relay roles in its own data centre.
type rosters struct {
	d           *Directory
	rows        map[string]*row // by data centre; values are never nil
	names       []string        // of rows, sorted
	sequence    uint64          // commit sequence number up to which all rows are known
	confirmedAt time.Time       // zero if never confirmed

	nonce          uint64
	pulls          []pull // unanswered, newest last
	nextPull       time.Time
	nextRemotePull time.Time // next pull from a relay of another data centre
	remoteIndex    int
	full           map[string]bool // data centres whose full roster must be requested

	groupCount    int       // number of groups at the last tick
	relayedGroups []int     // groups whose relay this daemon is
	relayFrom     time.Time // when this daemon became a relay under the current number of groups
	nextRead      time.Time
	busy          bool
	storeErr      error
	joins         map[string]bool
	leaves        map[string]bool
	flushAt       time.Time // when to write joins and leaves, zero if there are none

	joinAt   time.Time // next attempt to join or leave the roster
	joinAsks int
	leaving  bool

	nextExpel time.Time
	probed    map[string]bool // members probed in this round, nil between rounds
}

type pull struct {
	nonce uint64
	at    time.Time
}

func (r *rosters) start(d *Directory, now time.Time) {
	r.d = d
	r.rows = make(map[string]*row)
	r.full = make(map[string]bool)
	r.joins = make(map[string]bool)
	r.leaves = make(map[string]bool)
	r.nextPull = now
	r.nextRead = now.Add(d.jitter(d.cfg.JoinJitter))
	r.joinAt = now.Add(d.cfg.AskBatch + time.Duration(d.rng.Float64()*float64(d.cfg.JoinJitter)))
	r.nextExpel = now.Add(d.cfg.ExpelEvery)
}

// unlisted returns the members to use while the roster of the own data centre
// is empty or unknown: the seeds, which are the same on every daemon, or only
// this daemon when there are no seeds.
func (r *rosters) unlisted() []string {
	if len(r.d.cfg.Seeds) == 0 {
		return []string{r.d.cfg.Self}
	}
	return r.d.cfg.Seeds
}

// randomSeeds returns one random seed of the own data centre and one of another
// data centre, if configured.
func (r *rosters) randomSeeds() []string {
	var out []string
	for _, seeds := range [][]string{r.d.cfg.Seeds, r.d.cfg.FarSeeds} {
		if len(seeds) > 0 {
			out = append(out, seeds[r.d.rng.IntN(len(seeds))])
		}
	}
	return out
}

func (r *rosters) ownRow() *row { return r.rows[r.d.cfg.DataCentre] }

// listed reports whether this daemon is on its data centre's roster.
func (r *rosters) listed() bool {
	own := r.ownRow()
	return own != nil && slices.Contains(own.value.Addresses, r.d.cfg.Self)
}

// groups returns the number of relay groups in the own data centre.
func (r *rosters) groups() int {
	return 1 + (len(r.ownRow().addresses())-1)/max(1, r.d.cfg.RelayGroup)
}

// groupOf returns the relay group of a member, given the hash of its address.
func groupOf(hash uint64, groups int) int { return int(mix(hash^relaySalt) % uint64(groups)) }

func relayRole(group int) string { return relayRolePrefix + strconv.Itoa(group) }

// liveAhead returns the candidates that rank before this daemon for a role, up to
// and including the first live one. It returns nil when this daemon ranks before
// all live candidates, and when none is alive.
func (r *rosters) liveAhead(now time.Time, role string) []string {
	var ahead []string
	for _, a := range r.d.rank(r.d.cfg.DataCentre, role) {
		if a == r.d.cfg.Self {
			break
		}
		ahead = append(ahead, a)
		if r.d.alive(now, a) {
			return ahead
		}
	}
	return nil
}

// findRelayedGroups returns the groups for which this daemon is the relay.
func (r *rosters) findRelayedGroups(now time.Time, groups int) []int {
	var out []int
	for g := range groups {
		ranked := r.d.rank(r.d.cfg.DataCentre, relayRole(g))
		if slices.Contains(ranked, r.d.cfg.Self) && len(r.liveAhead(now, relayRole(g))) == 0 {
			out = append(out, g)
		}
	}
	return out
}

// relay returns the members to pull from: the relay of this daemon's group, or
// the relay of the first group if this daemon is itself a relay or its group has
// no live one. Candidates that rank before the relay and do not answer are
// included. It returns nil if the first group has no live candidate before this
// daemon: this daemon then reads the store.
func (r *rosters) relay(now time.Time, groups int, leads []int) []string {
	if len(leads) == 0 {
		ask := r.liveAhead(now, relayRole(groupOf(xxhash.Sum64String(r.d.cfg.Self), groups)))
		if len(ask) > 0 {
			return ask
		}
	}
	return r.liveAhead(now, relayRole(0))
}

func (d *Directory) aliveAmong(now time.Time, members []string) []string {
	return slices.DeleteFunc(slices.Clone(members), func(a string) bool { return !d.alive(now, a) })
}

func (r *rosters) tick(now time.Time) {
	groups := r.groups()
	leads := r.findRelayedGroups(now, groups)
	ask := r.relay(now, groups, leads)
	r.tickPull(now, ask)
	r.tickMembership(now, ask)
	if len(leads) == 0 || groups != r.groupCount {
		r.relayFrom = now
	}
	r.groupCount, r.relayedGroups = groups, leads
	r.probeSilent(now)
	expel := r.toExpel(now)
	flush := !r.flushAt.IsZero() && !now.Before(r.flushAt)
	reads := len(ask) == 0 && !now.Before(r.nextRead)
	if flush || reads || len(expel) > 0 {
		r.submit(now, expel)
	}
}

// tickPull pulls rosters from the relay. The relay of the first group pulls from
// relays of other data centres while its own rosters have not been confirmed for
// maxConfirmationAge.
func (r *rosters) tickPull(now time.Time, ask []string) {
	if !now.Before(r.nextPull) {
		every := r.d.cfg.PullEvery
		if !r.listed() && !r.leaving {
			every = min(every, time.Second)
		}
		r.nextPull = now.Add(r.d.jitter(every))
		if len(r.d.aliveAmong(now, ask)) == 0 {
			ask = append(ask, r.randomSeeds()...)
		}
		for _, a := range ask {
			r.pull(now, a)
		}
	}
	if now.Before(r.nextRemotePull) || now.Sub(r.confirmedAt) < maxConfirmationAge || now.Sub(r.d.epoch) < maxConfirmationAge {
		return
	}
	r.nextRemotePull = now.Add(r.d.jitter(r.d.cfg.PullEvery))
	others := slices.DeleteFunc(slices.Clone(r.names), func(name string) bool { return name == r.d.cfg.DataCentre })
	if len(others) == 0 || len(ask) > 0 {
		return
	}
	r.remoteIndex++
	far := r.d.rank(others[r.remoteIndex%len(others)], relayRole(0))
	for _, a := range r.d.choose(now, far, 1) {
		r.pull(now, a)
	}
}

func (r *rosters) pull(now time.Time, to string) {
	if to == r.d.cfg.Self {
		return
	}
	r.nonce++
	r.pulls = append(r.pulls, pull{r.nonce, now})
	r.pulls = r.pulls[max(0, len(r.pulls)-maxPendingPulls):]
	q := &wire.RosterPull{Nonce: r.nonce, Sequence: r.sequence}
	for name := range r.full {
		q.Full = append(q.Full, name)
	}
	slices.Sort(q.Full)
	r.d.expectReply(now, to)
	r.d.send(to, &wire.Member{Kind: &wire.Member_RosterPull{RosterPull: q}})
}

// receivePull answers another daemon's pull.
func (r *rosters) receivePull(now time.Time, from string, q *wire.RosterPull) {
	a := &wire.RosterState{Nonce: q.Nonce, Sequence: r.sequence}
	if !r.confirmedAt.IsZero() {
		a.Confirmed = true
		a.AgeMs = uint64(now.Sub(r.confirmedAt).Milliseconds()) + 1
	}
	r.addChanges(a, q)
	r.d.send(from, &wire.Member{Kind: &wire.Member_RosterState{RosterState: a}})
}

// addChanges adds the rows that the requester lacks, oldest first. If they exceed
// maxAddressesPerReply, the answer covers only the commits up to its last row and
// confirms nothing.
func (r *rosters) addChanges(a *wire.RosterState, q *wire.RosterPull) {
	var due []*row
	for _, name := range r.names {
		if own := r.rows[name]; own.rowVersion > q.Sequence || slices.Contains(q.Full, name) {
			due = append(due, own)
		}
	}
	slices.SortFunc(due, func(x, y *row) int { return cmp.Compare(x.rowVersion, y.rowVersion) })
	n := 0
	for _, own := range due {
		c := own.changeSince(q.Sequence, slices.Contains(q.Full, own.value.DataCentre))
		n += len(c.Row.Addresses) + len(c.Removed)
		if n > maxAddressesPerReply && len(a.Changes) > 0 {
			a.Confirmed = false
			a.Sequence = a.Changes[len(a.Changes)-1].RowVersion
			return
		}
		a.Changes = append(a.Changes, c)
	}
}

// receiveState handles the answer to a pull. The confirmation time is computed from
// the time at which the pull was sent, so that a delayed answer does not make the
// rosters look newer than they are.
func (r *rosters) receiveState(now time.Time, a *wire.RosterState) {
	at := slices.IndexFunc(r.pulls, func(p pull) bool { return p.nonce == a.Nonce })
	if at < 0 {
		return
	}
	asked := r.pulls[at].at
	r.pulls = slices.Delete(r.pulls, at, at+1)
	applied := true
	for _, c := range a.Changes {
		if c.Row != nil {
			applied = r.accept(c) && applied
		}
	}
	if !applied {
		r.nextPull = now
		return
	}
	if a.Sequence > r.sequence && !a.Confirmed {
		r.nextPull = now // the answer may have been truncated
	}
	r.sequence = max(r.sequence, a.Sequence)
	if a.Confirmed && a.Sequence >= r.sequence && a.AgeMs <= uint64(maxRosterAge.Milliseconds()) {
		r.confirm(asked.Add(-time.Duration(a.AgeMs) * time.Millisecond))
	}
}

// accept applies one roster change and reports whether that was possible. If
// not, the full roster is requested with the next pull.
func (r *rosters) accept(c *wire.RosterChange) bool {
	name := c.Row.DataCentre
	old := r.rows[name]
	if old != nil && old.rowVersion >= c.RowVersion {
		delete(r.full, name)
		return true
	}
	next := old.apply(c)
	if next == nil {
		r.full[name] = true
		return false
	}
	delete(r.full, name)
	r.rows[name] = next
	if old == nil {
		r.names = append(r.names, name)
		slices.Sort(r.names)
	}
	r.d.dirty = true
	return true
}

func (r *rosters) confirm(at time.Time) {
	if at.After(r.confirmedAt) {
		r.confirmedAt = at
		r.d.dirty = true
	}
}

// submit starts a job with all pending joins and leaves.
func (r *rosters) submit(now time.Time, expel []string) {
	if r.busy || r.d.jobs == nil {
		return
	}
	j := Job{
		ID: r.d.rng.Uint64(), DataCentre: r.d.cfg.DataCentre, Region: r.d.cfg.Region,
		Join: sortedKeys(r.joins), Leave: sortedKeys(r.leaves), Expel: expel,
		Since: r.sequence, submittedAt: int64(now.Sub(r.d.epoch)),
	}
	r.busy = true
	r.flushAt = time.Time{}
	r.nextRead = now.Add(r.d.jitter(r.d.cfg.ReadEvery))
	r.d.count.Jobs++
	r.d.jobs.Submit(j)
}

// finish handles the result of a job. A failed join or leave is not queued again
// here: the member that requested it retries.
func (r *rosters) finish(now time.Time, res Result) {
	r.busy = false
	r.storeErr = res.Err
	for _, a := range res.Job.Join {
		delete(r.joins, a)
	}
	for _, a := range res.Job.Leave {
		delete(r.leaves, a)
	}
	if res.Changed && len(res.Job.Expel) > 0 {
		r.d.count.Expelled += uint64(len(res.Job.Expel))
	}
	for _, s := range res.Rows {
		r.accept(&wire.RosterChange{Row: s.Value, RowVersion: s.RowVersion})
	}
	if res.Newest == 0 && res.Err != nil {
		r.d.count.JobsFailed++
		return
	}
	r.sequence = max(r.sequence, res.Newest)
	r.confirm(r.d.epoch.Add(time.Duration(res.Job.submittedAt)))
	if r.flushAt.IsZero() && len(r.joins)+len(r.leaves) > 0 {
		r.flushAt = now
	}
}

func sortedKeys(m map[string]bool) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
