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
	relayRoles = "relay/"           // and the number of the group
	relaySalt  = 0x52656c6179000000 // keeps groups independent of other placements
)

// pullsRemembered bounds the questions whose time of asking is kept.
const pullsRemembered = 16

// rosters keeps the rosters of all data centres, and this daemon's place in
// its own.
type rosters struct {
	d           *Directory
	rows        map[string]*row // never nil values
	names       []string        // of rows, sorted
	sequence    uint64          // commit sequence number up to which the table is known
	confirmedAt time.Time       // zero when never

	nonce    uint64
	pulls    []pull // newest last
	nextPull time.Time
	nextFar  time.Time // question to another data centre
	farAt    int
	full     map[string]bool // data centres whose roster is needed in full

	grouped   int       // number of groups at the last tick
	led       []int     // groups whose relay this daemon is
	relayFrom time.Time // since when this daemon has been a relay with these groups
	nextRead  time.Time
	busy      bool
	storeErr  error
	joins     map[string]bool
	leaves    map[string]bool
	flushAt   time.Time // when joins and leaves are written, zero when there are none

	joinAt   time.Time // next attempt to get on or off the roster
	joinAsks int
	leaving  bool

	nextExpel time.Time
	probed    map[string]bool // members asked for a sign of life, nil when it is not time
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

// unlisted returns the members to work with while the own data centre has no
// roster: the seeds, which are the same everywhere, or this daemon alone.
func (r *rosters) unlisted() []string {
	if len(r.d.cfg.Seeds) == 0 {
		return []string{r.d.cfg.Self}
	}
	return r.d.cfg.Seeds
}

// randomSeeds returns one seed here and one elsewhere, where there are any.
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

// groups is the number of relays that the members of the own data centre share.
func (r *rosters) groups() int {
	return 1 + (len(r.ownRow().addresses())-1)/max(1, r.d.cfg.RelayGroup)
}

// groupOf returns the group of a member whose address has that hash.
func groupOf(hash uint64, groups int) int { return int(mix(hash^relaySalt) % uint64(groups)) }

func relayRole(group int) string { return relayRoles + strconv.Itoa(group) }

// before returns the members that come before this daemon in a role, up to the
// first live one. It is empty when this daemon is the first live one.
func (r *rosters) before(now time.Time, role string) []string {
	var before []string
	for _, a := range r.d.rank(r.d.cfg.DataCentre, role) {
		if a == r.d.cfg.Self {
			break
		}
		before = append(before, a)
		if r.d.alive(now, a) {
			return before
		}
	}
	return nil
}

// leads returns the groups whose relay this daemon is.
func (r *rosters) leads(now time.Time, groups int) []int {
	var out []int
	for g := range groups {
		ranked := r.d.rank(r.d.cfg.DataCentre, relayRole(g))
		if slices.Contains(ranked, r.d.cfg.Self) && len(r.before(now, relayRole(g))) == 0 {
			out = append(out, g)
		}
	}
	return out
}

// relay returns the members that this daemon asks: the relay of its group, or
// that of the first group when it is a relay itself. It is empty when nobody
// comes before it there: this daemon then reads the store.
func (r *rosters) relay(now time.Time, groups int, leads []int) []string {
	if len(leads) == 0 {
		ask := r.before(now, relayRole(groupOf(xxhash.Sum64String(r.d.cfg.Self), groups)))
		if len(ask) > 0 {
			return ask
		}
	}
	return r.before(now, relayRole(0))
}

func (d *Directory) aliveAmong(now time.Time, members []string) []string {
	return slices.DeleteFunc(slices.Clone(members), func(a string) bool { return !d.alive(now, a) })
}

func (r *rosters) tick(now time.Time) {
	groups := r.groups()
	leads := r.leads(now, groups)
	ask := r.relay(now, groups, leads)
	r.tickPull(now, ask)
	r.tickMembership(now, ask)
	if len(leads) == 0 || groups != r.grouped {
		r.relayFrom = now
	}
	r.grouped, r.led = groups, leads
	r.probeSilent(now)
	expel := r.toExpel(now)
	flush := !r.flushAt.IsZero() && !now.Before(r.flushAt)
	reads := len(ask) == 0 && !now.Before(r.nextRead)
	if flush || reads || len(expel) > 0 {
		r.submit(now, expel)
	}
}

// tickPull asks the relay, or relays elsewhere when nobody near has heard from
// the store lately.
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
	if now.Before(r.nextFar) || now.Sub(r.confirmedAt) < storePatience || now.Sub(r.d.epoch) < storePatience {
		return
	}
	r.nextFar = now.Add(r.d.jitter(r.d.cfg.PullEvery))
	others := slices.DeleteFunc(slices.Clone(r.names), func(name string) bool { return name == r.d.cfg.DataCentre })
	if len(others) == 0 || len(ask) > 0 {
		return
	}
	r.farAt++
	far := r.d.rank(others[r.farAt%len(others)], relayRole(0))
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
	r.pulls = r.pulls[max(0, len(r.pulls)-pullsRemembered):]
	q := &wire.RosterPull{Nonce: r.nonce, Sequence: r.sequence}
	for name := range r.full {
		q.Full = append(q.Full, name)
	}
	slices.Sort(q.Full)
	r.d.ask(now, to)
	r.d.send(to, &wire.Member{Kind: &wire.Member_RosterPull{RosterPull: q}})
}

// pulled answers another daemon's question.
func (r *rosters) pulled(now time.Time, from string, q *wire.RosterPull) {
	a := &wire.RosterState{Nonce: q.Nonce, Sequence: r.sequence}
	if !r.confirmedAt.IsZero() {
		a.Confirmed = true
		a.AgeMs = uint64(now.Sub(r.confirmedAt).Milliseconds()) + 1
	}
	r.addChanges(a, q)
	r.d.send(from, &wire.Member{Kind: &wire.Member_RosterState{RosterState: a}})
}

// addChanges adds what the asker lacks, oldest rows first. When that is too much
// for one answer, the answer is about the commits up to the last row in it.
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
		if n > addressesSent && len(a.Changes) > 0 {
			a.Confirmed = false
			a.Sequence = a.Changes[len(a.Changes)-1].RowVersion
			return
		}
		a.Changes = append(a.Changes, c)
	}
}

// answered takes the answer to a question. Its confirmation counts from the
// time of asking, so that a late answer is not believed to be fresh.
func (r *rosters) answered(now time.Time, a *wire.RosterState) {
	at := slices.IndexFunc(r.pulls, func(p pull) bool { return p.nonce == a.Nonce })
	if at < 0 {
		return
	}
	asked := r.pulls[at].at
	r.pulls = slices.Delete(r.pulls, at, at+1)
	whole := true
	for _, c := range a.Changes {
		if c.Row != nil {
			whole = r.accept(c) && whole
		}
	}
	if !whole {
		r.nextPull = now
		return
	}
	if a.Sequence > r.sequence && !a.Confirmed {
		r.nextPull = now // there may be more
	}
	r.sequence = max(r.sequence, a.Sequence)
	if a.Confirmed && a.Sequence >= r.sequence {
		r.confirm(asked.Add(-time.Duration(a.AgeMs) * time.Millisecond))
	}
}

// accept takes one change of a roster, and reports whether it could be applied.
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

// submit starts a job with all joins and leaves that wait.
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

// finished takes the result of a job. A change that failed stays with those
// who asked for it: they ask again.
func (r *rosters) finished(now time.Time, res Result) {
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
