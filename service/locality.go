package service

// Location is the address, data centre and region of a daemon.
type Location struct {
	Peer       string // peer address of this daemon, ip:port
	DataCentre string
	Region     string
}

// Locality is the distance class of an endpoint as seen from this daemon.
type Locality uint8

// Localities, nearest first.
const (
	SameDataCentre Locality = iota
	SameRegion
	OtherRegion

	// Localities is the number of localities.
	Localities = 3
)

var localityNames = [Localities]string{"same-data-centre", "same-region", "other-region"}

// String returns the name used in logs.
func (l Locality) String() string {
	if int(l) >= Localities {
		return "unknown"
	}
	return localityNames[l]
}

// localityOf returns the locality of e as seen from l.
func (l Location) localityOf(e Endpoint) Locality {
	switch {
	case e.Region != l.Region:
		return OtherRegion
	case e.DataCentre != l.DataCentre:
		return SameRegion
	default:
		return SameDataCentre
	}
}

// LinkBudget is the byte budget of the link to another region. Implementations are
// safe for concurrent use and do not block.
type LinkBudget interface {
	// Take charges out bytes to region and back bytes from it. It reports
	// whether both budgets had room; if either had not, it charges nothing.
	Take(region string, out, back int64) bool
}
