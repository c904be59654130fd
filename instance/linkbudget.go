package instance

import (
	"wisteriafold/config"
)

// linkBudgets takes bytes of the links to other regions. A link is a contract
// whose tokens are bytes.
type linkBudgets struct{ d *Daemon }

// linkContract returns the name under which a link's contract is known. No
// organisation can have it, because of the colon.
func linkContract(l *config.Link) string { return "link:" + l.ID() }

// Take implements service.Link. A region without a declared link costs nothing.
func (b *linkBudgets) Take(region string, n int64) bool {
	l := b.d.view.Load().snap.Link(b.d.self.Region, region)
	if l == nil {
		return true
	}
	return b.d.limiter.TakeN(b.d.now(), linkContract(l), n).OK
}
