package service

import (
	"math"
	"time"
)

const (
	// minWorkFactor and maxWorkFactor bound both the lasting and the present factor by
	// which the service time at an endpoint differs from that of the service.
	minWorkFactor = 0.4
	maxWorkFactor = 2.5

	// usualMemory is the time constant of the averages of what an endpoint reports. It
	// is long against the changes of the work percent, so that the averages show what
	// lasts.
	usualMemory = 10 * time.Second

	// usualReports is the number of reports at which the averages have half of their
	// weight.
	usualReports = 20

	// minUsualWeight is the least weight of a report in the averages: reports on
	// answers that arrive together count one by one.
	minUsualWeight = 0.002
)

// usual holds averages of the reports of one endpoint that have a work percent.
type usual struct {
	serviceTime atomicFloat // ns
	work        atomicFloat // percent
	reports     atomicFloat // number of reports, up to 1/minUsualWeight
}

// add records a report, age ns after the previous one.
func (u *usual) add(r *Load, age int64) {
	if r.WorkPercent == 0 || r.ServiceTime == 0 {
		return
	}
	n := min(u.reports.load()+1, 1/minUsualWeight)
	weight := max(1/n, 1-decay(age, usualMemory), minUsualWeight)
	u.reports.store(n)
	u.serviceTime.store(u.serviceTime.load()*(1-weight) + float64(r.ServiceTime)*weight)
	u.work.store(u.work.load()*(1-weight) + float64(r.WorkPercent)*weight)
}

// copyFrom copies the averages of another state of the same endpoint.
func (u *usual) copyFrom(from *usual) {
	u.serviceTime.store(from.serviceTime.load())
	u.work.store(from.work.load())
	u.reports.store(from.reports.load())
}

// lastingFactor returns the factor by which the service time at the endpoint lastingly
// differs from that of the service, gateTime, as the gates have measured them.
func (u *usual) lastingFactor(gateTime float64) float64 {
	n, t := u.reports.load(), u.serviceTime.load()
	if n == 0 || t == 0 || gateTime == 0 {
		return 1
	}
	return clampFactor(math.Pow(t/gateTime, n/(n+usualReports)))
}

func clampFactor(f float64) float64 { return min(max(f, minWorkFactor), maxWorkFactor) }

// presentFactor returns the factor by which the service time at an endpoint presently
// differs from its usual one, according to its report. It tends to 1 with the age of
// the figure.
func (s *state) presentFactor(now int64, r *Load, c *Config) float64 {
	usualWork := s.usual.work.load()
	if usualWork == 0 {
		return 1
	}
	age := max(now-s.reportedAt.Load(), 0) + int64(r.WorkAge)
	return clampFactor(math.Pow(float64(r.WorkPercent)/usualWork, c.WorkWeight*decay(age, c.WorkMemory)))
}

// slowdown returns the factor, at least 1, by which work at the endpoint presently takes
// longer than is usual in the service, according to its report.
func (s *state) slowdown(now int64, r *Load, gateTime float64, c *Config) float64 {
	if r.WorkPercent == 0 || c.WorkWeight <= 0 {
		return 1
	}
	return max(1, s.usual.lastingFactor(gateTime)*s.presentFactor(now, r, c))
}

// scaledByWork returns served, the expected service time at the endpoint in ns,
// corrected for its speed if it reports a work percent. gateTime is the average service
// time that the gates of the service report.
//
// The lasting part of the correction is measured by the gates. The present part comes
// from the backend server's figure, which does not lower the time below the response
// time measured here, or at all before the first measurement. For an endpoint that is
// measured to be slow, the larger time holds.
func (s *state) scaledByWork(now int64, r *Load, served, typical, gateTime float64, c *Config) float64 {
	if r == nil || r.WorkPercent == 0 || c.WorkWeight <= 0 {
		return served
	}
	base := typical * s.usual.lastingFactor(gateTime)
	scaled := base * s.presentFactor(now, r, c)
	if scaled < base {
		measured := s.responseTime.load()
		if measured == 0 {
			measured = base
		}
		scaled = max(scaled, min(measured, base))
	}
	if served > typical {
		return max(served, scaled)
	}
	return scaled
}
