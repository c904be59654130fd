package instance

import (
	"wisteriafold/config"
	"wisteriafold/contract"
)

// linkUsableFraction is the fraction of a link's capacity that calls may use.
// The rest is for control messages, the store and other traffic.
const linkUsableFraction = 0.9

// linkBudgets limits the bytes that calls may send over the links to other
// regions. Each direction of a link is a contract whose tokens are bytes.
type linkBudgets struct{ d *Daemon }

// linkContract returns the contract name of one direction of a link. The colon
// keeps it distinct from the names of organisations.
func linkContract(from, to string) string { return "link:" + from + ">" + to }

// Take implements service.Link. Calls to a region without a declared link are
// not limited. The tokens for the request's bytes are given back when there are
// none for the answer's bytes.
func (b *linkBudgets) Take(region string, requestBytes, answerBytes int64) bool {
	self := b.d.self.Region
	if b.d.view.Load().snap.Link(self, region) == nil {
		return true
	}
	now := b.d.now()
	v := b.d.limiter.TakeN(now, linkContract(self, region), requestBytes)
	if !v.OK {
		return false
	}
	if b.d.limiter.TakeN(now, linkContract(region, self), answerBytes).OK {
		return true
	}
	b.d.limiter.GiveBack(v)
	return false
}

// linkContracts returns the contracts of both directions of a link.
func linkContracts(conf *config.Configuration, l *config.Link) []contract.Contract {
	bytes := float64(l.BytesPerSecond) * linkUsableFraction
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

// linkShare returns the weight of a data centre in a link's budget: 1 for each
// data centre in a region at either end of the link, 0 for the others.
func linkShare(conf *config.Configuration, l *config.Link, dataCentre string) float64 {
	for _, dc := range conf.DataCentres {
		if dc.Name == dataCentre && (dc.Region == l.Regions[0] || dc.Region == l.Regions[1]) {
			return 1
		}
	}
	return 0
}
