package config

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wisteriafold/wire"
)

// Laggard is an instance that has not confirmed the newest generation.
type Laggard struct {
	Instance   string `json:"instance"`   // peer address
	Generation uint64 `json:"generation"` // generation that it has, 0 when it does not report
}

// DataCentreStatus says how far the instances of a data centre have confirmed the
// configuration.
type DataCentreStatus struct {
	DataCentre string    `json:"data_centre"`
	At         time.Time `json:"-"`        // when this was received
	Roster     int       `json:"roster"`   // number of instances on the roster
	Members    int       `json:"members"`  // number of instances that report
	Missing    int       `json:"missing"`  // number of instances that do not report
	Lowest     uint64    `json:"lowest"`   // lowest generation of those that report
	Laggards   []Laggard `json:"laggards"` // a bounded number of the instances that are behind
}

// Confirmed reports whether every instance on the roster has the generation.
func (s *DataCentreStatus) Confirmed(generation uint64) bool {
	return s.Members >= s.Roster && s.Lowest >= generation
}

// reports holds the reports of the daemons below this one in the first tree, and
// the summaries of data centres.
type reports struct {
	byAddress   map[string]receivedReport
	sendAt      time.Time                   // when a changed report is sent upwards, zero for none
	sentLowest  uint64                      // lowest generation in the report last sent upwards
	sentMembers uint32                      // number of members in that report
	summaries   map[string]DataCentreStatus // by data centre
}

type receivedReport struct {
	report *wire.SpreadReport
	at     time.Time
}

func (r *reports) expire(now time.Time) {
	for from, rep := range r.byAddress {
		if now.Sub(rep.at) >= reportExpiry {
			delete(r.byAddress, from)
		}
	}
}

// receiveReport stores the report of a daemon below. When it changes this
// daemon's own report, that is sent upwards after reportWait.
func (m *Spreader) receiveReport(now time.Time, from string, r *wire.SpreadReport) {
	if _, known := m.reports.byAddress[from]; !known && len(m.reports.byAddress) >= maxReporters {
		return
	}
	m.reports.byAddress[from] = receivedReport{r, now}
	if m.topology.self < 0 || !m.reports.sendAt.IsZero() {
		return
	}
	sum := m.merge([]int{m.topology.self}, nil)
	if sum.GetLowest() != m.reports.sentLowest || sum.GetMembers() != m.reports.sentMembers {
		m.reports.sendAt = now.Add(reportWait)
	}
}

// subtreeReport returns the report on this daemon and all daemons below it in
// the first tree, nil when this daemon is not on the roster.
func (m *Spreader) subtreeReport() *wire.SpreadReport {
	if m.topology.self < 0 {
		return nil
	}
	out := m.merge([]int{m.topology.self}, nil)
	m.reports.sentLowest, m.reports.sentMembers = out.GetLowest(), out.GetMembers()
	return out
}

// merge adds the reports of the subtrees at positions to a sum. A daemon that
// does not report counts as missing. The daemons below it then report to this
// daemon, so their subtrees are merged one by one.
func (m *Spreader) merge(positions []int, sum *wire.SpreadReport) *wire.SpreadReport {
	if sum == nil {
		sum = &wire.SpreadReport{Lowest: m.generation()}
	}
	for _, p := range positions {
		address := m.topology.at(treeDelta, p)
		if address == m.opts.Self {
			sum.Members++
			sum.Lowest = min(sum.GetLowest(), m.generation())
			m.merge(m.topology.children(p), sum)
			continue
		}
		rep, known := m.reports.byAddress[address]
		if !known {
			sum.Missing++
			m.addLaggard(sum, &wire.SpreadLaggard{Instance: address})
			m.merge(m.topology.children(p), sum)
			continue
		}
		m.add(sum, address, rep.report)
	}
	return sum
}

// add adds one subtree's report.
func (m *Spreader) add(sum *wire.SpreadReport, from string, r *wire.SpreadReport) {
	sum.Members += r.GetMembers()
	sum.Missing += r.GetMissing()
	sum.Lowest = min(sum.GetLowest(), r.GetLowest())
	if r.GetLowest() < m.generation() && len(r.GetLaggards()) == 0 {
		m.addLaggard(sum, &wire.SpreadLaggard{Instance: from, Generation: r.GetLowest()})
	}
	for _, l := range r.GetLaggards() {
		m.addLaggard(sum, l)
	}
}

// addLaggard adds an instance that is behind to a report. Above maxLaggards the
// report keeps the instances with the lowest generations.
func (m *Spreader) addLaggard(sum *wire.SpreadReport, l *wire.SpreadLaggard) {
	if l.GetGeneration() >= m.generation() {
		return
	}
	sum.Laggards = append(sum.Laggards, l)
	if len(sum.Laggards) > maxLaggards {
		slices.SortFunc(sum.Laggards, func(a, b *wire.SpreadLaggard) int { return cmp.Compare(a.GetGeneration(), b.GetGeneration()) })
		sum.Laggards = sum.Laggards[:maxLaggards]
	}
}

// AskConfirmed asks the relays of all data centres for a summary. Confirmed
// returns the status from their answers.
func (m *Spreader) AskConfirmed(now time.Time) {
	if m.topology.self >= 0 {
		for _, r := range m.topology.relays[:min(relayCount, len(m.topology.relays))] {
			m.query(now, r)
		}
	}
	for _, dc := range sortedKeys(m.rosters) {
		for _, r := range relaysOf(m.rosters[dc], relayCount) {
			m.query(now, r)
		}
	}
}

func (m *Spreader) query(now time.Time, to string) {
	if to == m.opts.Self {
		m.receiveSummary(now, m.summary())
		return
	}
	m.opts.Outbox.Send(to, &wire.Spread{Kind: &wire.Spread_Query{Query: &wire.SpreadQuery{}}})
}

// receiveQuery sends the summary of this data centre.
func (m *Spreader) receiveQuery(from string) {
	m.opts.Outbox.Send(from, &wire.Spread{Kind: &wire.Spread_Summary{Summary: m.summary()}})
}

func (m *Spreader) summary() *wire.SpreadSummary {
	return &wire.SpreadSummary{
		DataCentre: m.opts.DataCentre,
		Roster:     uint32(len(m.topology.order)),
		Report:     m.merge(m.topology.children(-1), nil),
	}
}

// summaryMaxAge is the age up to which a summary is preferred to a newer one
// that covers fewer instances. Only one of the relays receives all reports.
const summaryMaxAge = 2 * time.Second

// receiveSummary stores a summary, unless a recent one covers more instances.
func (m *Spreader) receiveSummary(now time.Time, s *wire.SpreadSummary) {
	if _, known := m.rosters[s.GetDataCentre()]; !known && s.GetDataCentre() != m.opts.DataCentre {
		return
	}
	r := s.GetReport()
	st := DataCentreStatus{
		DataCentre: s.GetDataCentre(), At: now, Roster: int(s.GetRoster()),
		Members: int(r.GetMembers()), Missing: int(r.GetMissing()), Lowest: r.GetLowest(),
	}
	for _, l := range r.GetLaggards() {
		st.Laggards = append(st.Laggards, Laggard{l.GetInstance(), l.GetGeneration()})
	}
	old, known := m.reports.summaries[st.DataCentre]
	if known && now.Sub(old.At) < summaryMaxAge && old.Members > st.Members {
		return
	}
	m.reports.summaries[st.DataCentre] = st
}

// Confirmed returns the status of each data centre, ordered by name. A data
// centre that has not answered has 0 members.
func (m *Spreader) Confirmed() []DataCentreStatus {
	all := maps.Clone(m.reports.summaries)
	for dc, roster := range m.rosters {
		if _, answered := all[dc]; !answered && len(roster) > 0 {
			all[dc] = unansweredStatus(dc, roster)
		}
	}
	if _, answered := all[m.opts.DataCentre]; !answered {
		all[m.opts.DataCentre] = unansweredStatus(m.opts.DataCentre, m.roster)
	}
	out := make([]DataCentreStatus, 0, len(all))
	for _, dc := range sortedKeys(all) {
		out = append(out, all[dc])
	}
	return out
}

// unansweredStatus is the status of a data centre that has not answered.
func unansweredStatus(dataCentre string, roster []string) DataCentreStatus {
	s := DataCentreStatus{DataCentre: dataCentre, Roster: len(roster), Missing: len(roster)}
	for _, address := range roster[:min(maxLaggards, len(roster))] {
		s.Laggards = append(s.Laggards, Laggard{Instance: address})
	}
	return s
}
