package service

// Location is where a daemon runs.
type Location struct {
	Peer       string // peer address of this daemon, ip:port
	DataCentre string
	Region     string
}

// Locality is how far an endpoint is from this daemon.
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

// localityOf returns how far e is from l.
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

// Link is the byte budget of the link to another region. Implementations are
// safe for concurrent use and do not block.
type Link interface {
	// Take charges out bytes towards region and back bytes from it, and
	// reports whether both budgets had room; without room nothing is charged.
	Take(region string, out, back int64) bool
}
