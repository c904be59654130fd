package instance

import (
	"wisteriafold/config"
	"wisteriafold/contract"
)

// linkPart is the part of a link's capacity that calls may use; the rest is for
// control, the store and other traffic.
const linkPart = 0.9

// linkBudgets takes bytes of the links to other regions. Each direction of a
// link is a contract whose tokens are bytes.
type linkBudgets struct{ d *Daemon }

// linkContract returns the name under which one direction of a link is known.
// No organisation can have it, because of the colon.
func linkContract(from, to string) string { return "link:" + from + ">" + to }

// Take implements service.Link. A region without a declared link costs nothing.
// The bytes out are given back when there is no room for those that come back.
func (b *linkBudgets) Take(region string, out, back int64) bool {
	self := b.d.self.Region
	if b.d.view.Load().snap.Link(self, region) == nil {
		return true
	}
	now := b.d.now()
	v := b.d.limiter.TakeN(now, linkContract(self, region), out)
	if !v.OK {
		return false
	}
	if b.d.limiter.TakeN(now, linkContract(region, self), back).OK {
		return true
	}
	b.d.limiter.GiveBack(v)
	return false
}

// linkContracts returns the contracts of both directions of a link.
func linkContracts(conf *config.Configuration, l *config.Link) []contract.Contract {
	bytes := float64(l.BytesPerSecond) * linkPart
	shares := sharesOf(conf, func(dc string) float64 { return linkShare(conf, l, dc) })
	both := make([]contract.Contract, 0, 2)
	for i := range l.Regions {
		both = append(both, contract.Contract{
			Name:    linkContract(l.Regions[i], l.Regions[1-i]),
			Version: conf.LinkVersion(l),
			Rate:    bytes,
			Burst:   bytes,
			Shares:  shares,
		})
	}
	return both
}

// linkShare gives each data centre at an end of the link the same part.
func linkShare(conf *config.Configuration, l *config.Link, dataCentre string) float64 {
	for _, dc := range conf.DataCentres {
		if dc.Name == dataCentre && (dc.Region == l.Regions[0] || dc.Region == l.Regions[1]) {
			return 1
		}
	}
	return 0
}
