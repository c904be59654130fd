package sidecar

import (
	"context"
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
)

// tokens holds the accounts of all organisations at this daemon. It is safe
// for concurrent use.
type tokens struct {
	send func(peer string, m *wire.Fleet)

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
	askedAt time.Duration
	open    int  // holders that have not answered
	wide    bool // all holders have been asked in this round
}

func newTokens(send func(string, *wire.Fleet)) *tokens {
	return &tokens{send: send, accounts: make(map[string]*tokenAccount)}
}

// setMembers changes the daemons that share the rates. While they are not known
// to be all, this daemon earns nothing: when all daemons start at once, each
// would take a large part of every rate for itself.
func (t *tokens) setMembers(self *membership.Entry, members []*membership.Entry, whole bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.whole = whole
	t.self = quota.Member{Peer: self.Peer, DataCentre: self.DataCentre}
	t.members = t.members[:0]
	for _, e := range members {
		t.members = append(t.members, quota.Member{Peer: e.Peer, DataCentre: e.DataCentre})
	}
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
	now := sinceBoot()
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
		a.Set(now, quota.Terms{Rate: o.Rate, Burst: o.Burst}, share)
	}
}

// take takes a token and waits a moment for one on its way. When there is none
// it returns the time after which the organisation may have one.
func (t *tokens) take(ctx context.Context, organisation string) (ok bool, after time.Duration) {
	timer := time.NewTimer(tokenWait)
	defer timer.Stop()
	for first := true; ; first = false {
		round, after, ok := t.tryTake(organisation, first)
		if ok || round == nil {
			return ok, after
		}
		select {
		case <-round:
		case <-ctx.Done():
			return false, after
		case <-timer.C:
			return false, after
		}
	}
}

// tryTake takes a token or returns a channel that is closed when a round of
// asking ends, nil when asking is of no use.
func (t *tokens) tryTake(organisation string, first bool) (round chan struct{}, after time.Duration, ok bool) {
	now := sinceBoot()
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.accounts[organisation]
	if a == nil {
		return nil, 0, false
	}
	if rest := a.Rest(now, false); rest > 0 && len(a.holders) > 0 {
		t.send(a.holders[0], tokenGrant(organisation, rest))
	}
	ok = a.Take(now, first)
	waiting := len(a.waiting)
	if !ok {
		waiting++
	}
	short := a.Short(now, waiting)
	if short > 0 {
		t.ask(now, organisation, a, short)
	}
	if ok {
		return nil, 0, true
	}
	if short == 0 || len(a.holders) == 0 {
		return nil, a.NextIn(), false
	}
	round = make(chan struct{})
	a.waiting = append(a.waiting, round)
	return round, a.NextIn(), false
}

// ask begins a round unless one is in progress.
func (t *tokens) ask(now time.Duration, organisation string, a *tokenAccount, want float64) {
	if a.open > 0 && now-a.askedAt < tokenWait || len(a.holders) == 0 {
		return
	}
	a.askedAt, a.open, a.wide = now, 1, false
	t.send(a.holders[0], tokenRequest(organisation, want, false))
}

func tokenRequest(organisation string, amount float64, parts bool) *wire.Fleet {
	return &wire.Fleet{Kind: &wire.Fleet_TokenRequest{TokenRequest: &wire.TokenRequest{Organisation: organisation, Amount: amount, Parts: parts}}}
}

func tokenGrant(organisation string, amount float64) *wire.Fleet {
	return &wire.Fleet{Kind: &wire.Fleet_TokenGrant{TokenGrant: &wire.TokenGrant{Organisation: organisation, Amount: amount}}}
}

// giveBack returns the token of a request that certainly did not run.
func (t *tokens) giveBack(organisation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a := t.accounts[organisation]; a != nil {
		a.GiveBack(sinceBoot())
	}
}

// receive takes in a token message of another daemon.
func (t *tokens) receive(from string, m *wire.Fleet) {
	now := sinceBoot()
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
		t.send(from, tokenGrant(k.TokenRequest.Organisation, amount))
	case *wire.Fleet_TokenGrant:
		if a := t.accounts[k.TokenGrant.Organisation]; a != nil {
			t.granted(now, k.TokenGrant.Organisation, a, k.TokenGrant.Amount)
		}
	}
}

// granted takes in one answer of a round. The nearest holder is asked first;
// when it has too little, all others are.
func (t *tokens) granted(now time.Duration, organisation string, a *tokenAccount, amount float64) {
	a.Receive(now, amount)
	a.open = max(a.open-1, 0)
	short := a.Short(now, len(a.waiting))
	if a.open == 0 && !a.wide && short > 0 {
		a.wide = true
		for _, p := range a.holders {
			t.send(p, tokenRequest(organisation, short, true))
			a.open++
		}
	} else if a.open == 0 && a.wide && a.Whole() == 0 {
		a.Dry(now, dryPause)
		if rest := a.Rest(now, true); rest > 0 && len(a.holders) > 0 {
			t.send(a.holders[0], tokenGrant(organisation, rest))
		}
	}
	if a.Whole() == 0 && a.open > 0 {
		return
	}
	for _, ch := range a.waiting {
		close(ch)
	}
	a.waiting = nil
}
