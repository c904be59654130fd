package sidecar

// tokenOutlook is the state of the token account of an organisation at this daemon.
type tokenOutlook struct {
	known     bool // there is an account
	unlimited bool
	tokens    int     // whole tokens here
	share     float64 // fraction of the rate that this daemon earns
	holders   int     // other daemons that may be asked for tokens
}

// outlook returns the state of the account of an organisation as of now. It works on a
// copy: it takes no token, asks no holder and counts no demand.
func (t *tokens) outlook(organisation string) tokenOutlook {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.accounts[organisation]
	if a == nil {
		return tokenOutlook{}
	}
	now := t.clock()
	account := *a.Account
	if t.tickedAt != 0 && now-t.tickedAt > maxPause {
		account.Drop(now)
	}
	return tokenOutlook{
		known: true, unlimited: account.Unlimited(), tokens: account.TokensAt(now),
		share: account.Share(), holders: len(a.holders),
	}
}
