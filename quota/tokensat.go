package quota

import "time"

// TokensAt returns the number of whole tokens that the account has at now. It changes
// nothing.
func (a *Account) TokensAt(now time.Duration) int {
	c := *a
	c.advance(now)
	return c.WholeTokens()
}
