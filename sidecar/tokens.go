package sidecar

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wisteriafold/membership"
	"wisteriafold/quota"
	"wisteriafold/routing"
	"wisteriafold/wire"
)

const (
	// tokenWait bounds the wait for tokens on the way: two round trips to
	// another region.
	tokenWait = 100 * time.Millisecond

	// dryPause is the time without asking after no holder had tokens.
	dryPause = 100 * time.Millisecond

	// maxAsked bounds the holders that are asked in one round. An organisation
	// far above its rate has tens of them, nearly all empty, and every daemon
	// asks.
	maxAsked = 8
)

// tokens holds the accounts of all organisations at this daemon. It is safe
// for concurrent use.
type tokens struct {
	send  func(peer string, m *wire.Fleet)
	clock func() time.Duration // counts suspension

	mu            sync.Mutex
	self          quota.Member
	members       []quota.Member
	whole         bool // members are all daemons
	organisations []routing.Organisation
	accounts      map[string]*tokenAccount
}

// tokenAccount is an account with the way to more tokens.
type tokenAccount struct {
	*quota.Account
	holders []string        // others that earn tokens, the nearest first
	waiting []chan struct{} // closed when a round of asking ends
	askedAt time.Duration   // of the last questions, in whole microseconds
	open    int             // holders that have not answered them
	wide    bool            // several holders have been asked in this round
	turn    int             // holder with which the next wide round begins
}

// token is what a request has taken.
type token struct {
	taken bool
	till  time.Duration // it may be given back until then
}

func newTokens(send func(string, *wire.Fleet)) *tokens {
	return &tokens{send: send, clock: sinceBoot, accounts: make(map[string]*tokenAccount)}
}

// setMembers changes the daemons that share the rates. While they are not known
// to be all, this daemon earns nothing: when all daemons start at once, each
// would take a large part of every rate for itself.
func (t *tokens) setMembers(self *membership.Entry, members []*membership.Entry, whole bool) {
	now := make([]quota.Member, len(members))
	for i, e := range members {
		now[i] = quota.Member{Peer: e.Peer, DataCentre: e.DataCentre}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if whole == t.whole && slices.Equal(now, t.members) {
		return // states have changed: parts do not depend on them
	}
	t.whole, t.members = whole, now
	t.self = quota.Member{Peer: self.Peer, DataCentre: self.DataCentre}
	t.settle()
}

// apply puts the terms of a configuration in force.
func (t *tokens) apply(organisations []routing.Organisation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.organisations = organisations
	t.settle()
}

// settle derives the accounts from members and organisations.
func (t *tokens) settle() {
	now := t.clock()
	old := t.accounts
	t.accounts = make(map[string]*tokenAccount, len(t.organisations))
	for _, o := range t.organisations {
		a := old[o.Name]
		if a == nil {
			a = &tokenAccount{Account: quota.NewAccount(now)}
		}
		t.accounts[o.Name] = a
		share := 0.0
		var near, far []string
		holders := quota.Holders(o.Name, o.Burst, t.members)
		for _, h := range holders {
			switch {
			case h.Peer == t.self.Peer && !t.whole:
			case h.Peer == t.self.Peer:
				share = 1 / float64(len(holders))
			case h.DataCentre == t.self.DataCentre:
				near = append(near, h.Peer)
			default:
				far = append(far, h.Peer)
			}
		}
		// Far holders are asked in turn by different daemons, so that the parts
		// are used evenly.
		if n := len(far); n > 1 {
			turn := int(xxhash.Sum64String(t.self.Peer) % uint64(n))
			far = append(far[turn:], far[:turn]...)
		}
		a.holders = append(near, far...)
		surplus := a.Set(now, quota.Terms{Rate: o.Rate, Burst: o.Burst}, share)
		if surplus > 0 && len(a.holders) > 0 {
			t.send(a.holders[0], tokenGrant(o.Name, surplus, givenBack))
		}
	}
}

// take takes a token and waits a moment for one on its way. When there is none
// it returns the time after which the organisation may have one.
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

// tryTake takes a token or returns a channel that is closed when a round of
// asking ends, nil when asking is of no use.
func (t *tokens) tryTake(organisation string, first bool) (got token, round chan struct{}, after time.Duration) {
	now := t.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.accounts[organisation]
	if a == nil {
		return token{}, nil, 0
	}
	got.till, got.taken = a.Take(now, first)
	waiting := len(a.waiting)
	if !got.taken {
		waiting++
	}
	short := a.Short(now, waiting)
	if short > 0 {
		t.ask(now, organisation, a, short)
	}
	if got.taken {
		return got, nil, 0
	}
	if short == 0 || len(a.holders) == 0 {
		return token{}, nil, a.NextIn()
	}
	round = make(chan struct{})
	a.waiting = append(a.waiting, round)
	return token{}, round, a.NextIn()
}

// tick gives fetched tokens that are not used back to a holder.
func (t *tokens) tick() {
	now := t.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	for organisation, a := range t.accounts {
		if idle := a.Idle(now); idle > 0 && len(a.holders) > 0 {
			t.send(a.holders[0], tokenGrant(organisation, idle, givenBack))
		}
	}
}

// ask begins a round unless one is in progress.
func (t *tokens) ask(now time.Duration, organisation string, a *tokenAccount, want float64) {
	if a.open > 0 && now-a.askedAt < tokenWait || len(a.holders) == 0 {
		return
	}
	a.askedAt, a.open, a.wide = now.Truncate(time.Microsecond), 1, false
	t.send(a.holders[0], tokenRequest(organisation, want, false, a.askedAt))
}

// givenBack stands for the time of the question in a grant that nobody asked for.
const givenBack = 0

func tokenRequest(organisation string, amount float64, parts bool, asked time.Duration) *wire.Fleet {
	return &wire.Fleet{Kind: &wire.Fleet_TokenRequest{TokenRequest: &wire.TokenRequest{
		Organisation: organisation, Amount: amount, Parts: parts, AskedUs: uint64(asked.Microseconds()),
	}}}
}

func tokenGrant(organisation string, amount float64, askedUs uint64) *wire.Fleet {
	return &wire.Fleet{Kind: &wire.Fleet_TokenGrant{TokenGrant: &wire.TokenGrant{Organisation: organisation, Amount: amount, AskedUs: askedUs}}}
}

// giveBack returns the token of a request that certainly did not run.
func (t *tokens) giveBack(organisation string, x token) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.accounts[organisation]; a != nil && x.taken {
		a.GiveBack(t.clock(), x.till)
	}
}

// receive takes in a token message of another daemon.
func (t *tokens) receive(from string, m *wire.Fleet) {
	now := t.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch k := m.Kind.(type) {
	case *wire.Fleet_TokenRequest:
		amount := 0.0
		if a := t.accounts[k.TokenRequest.Organisation]; a != nil {
			grant := a.Grant
			if k.TokenRequest.Parts {
				grant = a.GrantPart
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
		if g.AskedUs == givenBack {
			a.Return(now, g.Amount)
			return
		}
		asked := time.Duration(g.AskedUs) * time.Microsecond
		a.Receive(now, asked, g.Amount)
		if asked == a.askedAt {
			t.answered(now, g.Organisation, a)
		}
		if a.Whole() > 0 || a.open == 0 {
			a.wake()
		}
	}
}

// answered counts one answer of a round. The nearest holder is asked first; when
// it has too little, several are, in turn.
func (t *tokens) answered(now time.Duration, organisation string, a *tokenAccount) {
	a.open = max(a.open-1, 0)
	if a.open > 0 {
		return
	}
	if short := a.Short(now, len(a.waiting)); !a.wide && short > 0 {
		a.wide, a.askedAt = true, now.Truncate(time.Microsecond)
		for range min(len(a.holders), maxAsked) {
			a.turn = (a.turn + 1) % len(a.holders)
			t.send(a.holders[a.turn], tokenRequest(organisation, short, true, a.askedAt))
			a.open++
		}
		return
	}
	if a.wide && a.Whole() == 0 {
		a.Dry(now, dryPause)
		if rest := a.Rest(now); rest > 0 && len(a.holders) > 0 {
			t.send(a.holders[0], tokenGrant(organisation, rest, givenBack))
		}
	}
}

// wake lets the requests that wait for tokens try again.
func (a *tokenAccount) wake() {
	for _, ch := range a.waiting {
		close(ch)
	}
	a.waiting = nil
}
