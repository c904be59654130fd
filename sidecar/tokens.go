package sidecar

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriafold/fleet"
	"wisteriafold/membership"
	"wisteriafold/quota"
	"wisteriafold/routing"
	"wisteriafold/wire"
)

const (
	// tokenWait limits how long a request waits for tokens from other daemons. It
	// covers two round trips to another region.
	tokenWait = 100 * time.Millisecond

	// emptyPause is the time for which no tokens are requested after no holder had
	// any.
	emptyPause = 100 * time.Millisecond

	// maxHoldersAsked limits the number of holders that one round sends requests to.
	// An organisation that sends far above its rate can have tens of holders, nearly
	// all of them empty, and every daemon sends requests to them.
	maxHoldersAsked = 8
)

// tokens holds the token accounts of all organisations at this daemon. Some daemons,
// the holders, earn the tokens of an organisation. A daemon that is short of tokens
// requests them from holders in rounds. tokens is safe for concurrent use.
type tokens struct {
	send  func(peer string, m *wire.Fleet)
	clock func() time.Duration // keeps counting while the process is suspended

	mu            sync.Mutex
	tickedAt      time.Duration // last time at which tick ran; 0 before the first time
	self          quota.Member
	members       []quota.Member
	complete      bool // members contains all daemons
	organisations []routing.Organisation
	accounts      map[string]*tokenAccount
}

// tokenAccount is the account of an organisation with the state of its current round
// of token requests to holders.
type tokenAccount struct {
	*quota.Account
	holders        []string        // other daemons that earn tokens, those of this data centre first
	waiting        []chan struct{} // closed when waiting requests should try again
	askedAt        time.Duration   // time of the last token requests, truncated to microseconds
	pendingAnswers int             // number of holders that have not answered the last token requests
	askedSeveral   bool            // several holders have been asked in this round
	lastAsked      int             // index in holders of the one asked last in such a round
}

// maxPause is the longest time without a tick after which saved tokens are still
// valid. Other daemons remove one that has been silent for fleet.RemoveAfter, and earn
// its share from then on; its last message may be some refresh intervals older than the
// pause.
const maxPause = fleet.RemoveAfter - 3*fleet.RefreshInterval

// now returns the time. When the process was suspended for so long that other daemons
// may have earned its tokens again, it drops the saved tokens first. t.mu must be held.
func (t *tokens) now() time.Duration {
	now := t.clock()
	if t.tickedAt != 0 && now-t.tickedAt > maxPause {
		t.drop(now)
	}
	return now
}

// dropSaved drops all saved tokens, because other daemons have earned them again.
func (t *tokens) dropSaved() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(t.clock())
}

func (t *tokens) drop(now time.Duration) {
	t.tickedAt = now
	for _, a := range t.accounts {
		a.Drop(now)
	}
}

// token is the result of taking a token for a request.
type token struct {
	taken           bool
	returnableUntil time.Duration // time until which the token may be returned
}

func newTokens(send func(string, *wire.Fleet)) *tokens {
	return &tokens{send: send, clock: sinceBoot, accounts: make(map[string]*tokenAccount)}
}

// setMembers sets the daemons that share the rates. While the directory is not
// complete, this daemon earns no tokens: otherwise, when all daemons start at once,
// each would take a large share of every rate for itself.
func (t *tokens) setMembers(self *membership.Entry, members []*membership.Entry, complete bool) {
	now := make([]quota.Member, len(members))
	for i, e := range members {
		now[i] = quota.Member{Peer: e.Peer, DataCentre: e.DataCentre}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if complete == t.complete && slices.Equal(now, t.members) {
		return // only the states of daemons have changed; shares do not depend on them
	}
	t.complete, t.members = complete, now
	t.self = quota.Member{Peer: self.Peer, DataCentre: self.DataCentre}
	t.rebuildAccounts()
}

// apply sets the organisations, with their rates and bursts, of a new configuration.
func (t *tokens) apply(organisations []routing.Organisation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.organisations = organisations
	t.rebuildAccounts()
}

// rebuildAccounts computes holders and shares of all accounts from the members and
// the organisations.
func (t *tokens) rebuildAccounts() {
	now := t.now()
	old := t.accounts
	t.accounts = make(map[string]*tokenAccount, len(t.organisations))
	for _, o := range t.organisations {
		a := old[o.Name]
		if a == nil {
			a = &tokenAccount{Account: quota.NewAccount(now)}
		}
		t.accounts[o.Name] = a
		share := 0.0
		var local, remote []string
		holders := quota.Holders(o.Name, o.Burst, t.members)
		for _, h := range holders {
			switch {
			case h.Peer == t.self.Peer && !t.complete:
			case h.Peer == t.self.Peer:
				share = 1 / float64(len(holders))
			case h.DataCentre == t.self.DataCentre:
				local = append(local, h.Peer)
			default:
				remote = append(remote, h.Peer)
			}
		}
		// Each daemon starts with another one of the holders in other data centres,
		// so that their shares are used evenly.
		if n := len(remote); n > 1 {
			offset := int(xxhash.Sum64String(t.self.Peer) % uint64(n))
			remote = append(remote[offset:], remote[:offset]...)
		}
		a.holders = append(local, remote...)
		surplus := a.Set(now, quota.Terms{Rate: o.Rate, Burst: o.Burst}, share)
		if surplus > 0 && len(a.holders) > 0 {
			t.send(a.holders[0], tokenGrant(o.Name, surplus, notAsked))
		}
	}
}

// take takes a token for a request. When this daemon has none, it waits up to
// tokenWait for tokens from holders. When it gets none, after is the estimated time
// until the organisation has one.
func (t *tokens) take(ctx context.Context, organisation string) (got token, after time.Duration) {
	timer := time.NewTimer(tokenWait)
	defer timer.Stop()
	for first := true; ; first = false {
		got, round, after := t.tryTake(organisation, first)
		if got.taken || round == nil {
			return got, after
		}
		select {
		case <-round:
		case <-ctx.Done():
			return token{}, after
		case <-timer.C:
			return token{}, after
		}
	}
}

// tryTake takes a token without waiting. When this daemon has none, it returns a
// channel that is closed when the caller should try again, or nil when no tokens can
// be requested now. first is false when the request has tried before.
func (t *tokens) tryTake(organisation string, first bool) (got token, round chan struct{}, after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	a := t.accounts[organisation]
	if a == nil {
		return token{}, nil, 0
	}
	got.returnableUntil, got.taken = a.Take(now, first)
	waiting := len(a.waiting)
	if !got.taken {
		waiting++
	}
	short := a.Shortfall(now, waiting)
	if short > 0 {
		t.ask(now, organisation, a, short)
	}
	if got.taken {
		return got, nil, 0
	}
	if short == 0 || len(a.holders) == 0 {
		return token{}, nil, a.RetryAfter()
	}
	round = make(chan struct{})
	a.waiting = append(a.waiting, round)
	return token{}, round, a.RetryAfter()
}

// tick returns unused tokens that were fetched from other daemons to a holder.
func (t *tokens) tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	t.tickedAt = now
	for organisation, a := range t.accounts {
		if idle := a.TakeExpiring(now); idle > 0 && len(a.holders) > 0 {
			t.send(a.holders[0], tokenGrant(organisation, idle, notAsked))
		}
	}
}

// ask starts a round with a token request to the nearest holder, unless answers of
// the current round are pending and its last requests are less than tokenWait old.
func (t *tokens) ask(now time.Duration, organisation string, a *tokenAccount, want float64) {
	if a.pendingAnswers > 0 && now-a.askedAt < tokenWait || len(a.holders) == 0 {
		return
	}
	a.askedAt, a.pendingAnswers, a.askedSeveral = now.Truncate(time.Microsecond), 1, false
	t.send(a.holders[0], tokenRequest(organisation, want, false, a.askedAt))
}

// notAsked is the AskedUs value of a grant that returns tokens to a holder and does
// not answer a token request.
const notAsked = 0

func tokenRequest(organisation string, amount float64, parts bool, asked time.Duration) *wire.Fleet {
	return &wire.Fleet{Kind: &wire.Fleet_TokenRequest{TokenRequest: &wire.TokenRequest{
		Organisation: organisation, Amount: amount, Parts: parts, AskedUs: uint64(asked.Microseconds()),
	}}}
}

func tokenGrant(organisation string, amount float64, askedUs uint64) *wire.Fleet {
	return &wire.Fleet{Kind: &wire.Fleet_TokenGrant{TokenGrant: &wire.TokenGrant{Organisation: organisation, Amount: amount, AskedUs: askedUs}}}
}

// returnToken returns the token of a request that has certainly not run.
func (t *tokens) returnToken(organisation string, x token) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.accounts[organisation]; a != nil && x.taken {
		a.GiveBack(t.now(), x.returnableUntil)
	}
}

// receive handles a token message from another daemon.
func (t *tokens) receive(from string, m *wire.Fleet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	switch k := m.Kind.(type) {
	case *wire.Fleet_TokenRequest:
		amount := 0.0
		if a := t.accounts[k.TokenRequest.Organisation]; a != nil {
			grant := a.Grant
			if k.TokenRequest.Parts {
				grant = a.GrantUpTo
			}
			amount = grant(now, k.TokenRequest.Amount)
		}
		t.send(from, tokenGrant(k.TokenRequest.Organisation, amount, k.TokenRequest.AskedUs))
	case *wire.Fleet_TokenGrant:
		g := k.TokenGrant
		a := t.accounts[g.Organisation]
		if a == nil {
			return
		}
		if g.AskedUs == notAsked {
			a.Return(now, g.Amount)
			return
		}
		asked := time.Duration(g.AskedUs) * time.Microsecond
		if asked > now {
			return // not a time of this process; its tokens would outlive their holder's claim to them
		}
		a.Receive(now, asked, g.Amount)
		if asked == a.askedAt {
			t.answered(now, g.Organisation, a)
		}
		if a.WholeTokens() > 0 || a.pendingAnswers == 0 {
			a.wake()
		}
	}
}

// answered handles one answer of a round. A round asks the nearest holder first. When
// that holder grants too few tokens, the round asks several holders, and the next
// such round continues with the holders that follow.
func (t *tokens) answered(now time.Duration, organisation string, a *tokenAccount) {
	a.pendingAnswers = max(a.pendingAnswers-1, 0)
	if a.pendingAnswers > 0 {
		return
	}
	if short := a.Shortfall(now, len(a.waiting)); !a.askedSeveral && short > 0 {
		a.askedSeveral, a.askedAt = true, now.Truncate(time.Microsecond)
		for range min(len(a.holders), maxHoldersAsked) {
			a.lastAsked = (a.lastAsked + 1) % len(a.holders)
			t.send(a.holders[a.lastAsked], tokenRequest(organisation, short, true, a.askedAt))
			a.pendingAnswers++
		}
		return
	}
	if a.askedSeveral && a.WholeTokens() == 0 {
		a.PauseRequests(now, emptyPause)
		if rest := a.TakeFraction(now); rest > 0 && len(a.holders) > 0 {
			t.send(a.holders[0], tokenGrant(organisation, rest, notAsked))
		}
	}
}

// wake lets the requests that wait for tokens try again by closing their channels.
func (a *tokenAccount) wake() {
	for _, ch := range a.waiting {
		close(ch)
	}
	a.waiting = nil
}
