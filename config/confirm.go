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
	Generation uint64 `json:"generation"` // that it has, 0 when it does not report
}

// DataCentreStatus tells how far a data centre is.
type DataCentreStatus struct {
	DataCentre string    `json:"data_centre"`
	At         time.Time `json:"-"`        // when this was received
	Roster     int       `json:"roster"`   // number of instances on the roster
	Members    int       `json:"members"`  // number of instances that report
	Missing    int       `json:"missing"`  // number of instances that do not
	Lowest     uint64    `json:"lowest"`   // lowest generation of those that report
	Laggards   []Laggard `json:"laggards"` // a bounded number of names
}

// Confirmed reports whether every instance on the roster has the generation.
func (s *DataCentreStatus) Confirmed(generation uint64) bool {
	return s.Members >= s.Roster && s.Lowest >= generation
}

// reports are what the daemons below have told.
type reports struct {
	of        map[string]reported // by address
	due       time.Time           // when news goes up, zero for none
	lowest    uint64              // that was last told upwards
	members   uint32
	summaries map[string]DataCentreStatus // by data centre
}

type reported struct {
	report *wire.SpreadReport
	at     time.Time
}

func (r *reports) expire(now time.Time) {
	for from, rep := range r.of {
		if now.Sub(rep.at) >= reportExpiry {
			delete(r.of, from)
		}
	}
}

// receiveReport keeps what a daemon below tells, and passes it up soon when it
// changes this daemon's own report.
func (m *Spreader) receiveReport(now time.Time, from string, r *wire.SpreadReport) {
	if _, known := m.reports.of[from]; !known && len(m.reports.of) >= maxReporters {
		return
	}
	m.reports.of[from] = reported{r, now}
	if m.topology.self < 0 || !m.reports.due.IsZero() {
		return
	}
	sum := m.merge([]int{m.topology.self}, nil)
	if sum.GetLowest() != m.reports.lowest || sum.GetMembers() != m.reports.members {
		m.reports.due = now.Add(reportWait)
	}
}

// subtree reports on this daemon and all below it in the first tree.
func (m *Spreader) subtree() *wire.SpreadReport {
	if m.topology.self < 0 {
		return nil
	}
	out := m.merge([]int{m.topology.self}, nil)
	m.reports.lowest, m.reports.members = out.GetLowest(), out.GetMembers()
	return out
}

// merge adds the reports of the subtrees at positions to a sum. A position
// that does not report is missing, and those below it, who then report here,
// are looked at one by one.
func (m *Spreader) merge(positions []int, sum *wire.SpreadReport) *wire.SpreadReport {
	if sum == nil {
		sum = &wire.SpreadReport{Lowest: m.generation()}
	}
	for _, p := range positions {
		address := m.topology.at(treeDelta, p)
		if address == m.o.Self {
			sum.Members++
			sum.Lowest = min(sum.GetLowest(), m.generation())
			m.merge(m.topology.children(p), sum)
			continue
		}
		rep, known := m.reports.of[address]
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

// addLaggard names an instance, if there is room or it is further behind than
// one that is named.
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

// AskConfirmed asks the relays of all data centres how far they are. The
// answers show in Confirmed.
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
	if to == m.o.Self {
		m.receiveSummary(now, m.summary())
		return
	}
	m.o.Outbox.Send(to, &wire.Spread{Kind: &wire.Spread_Query{Query: &wire.SpreadQuery{}}})
}

// receiveQuery answers for this data centre.
func (m *Spreader) receiveQuery(from string) {
	m.o.Outbox.Send(from, &wire.Spread{Kind: &wire.Spread_Summary{Summary: m.summary()}})
}

func (m *Spreader) summary() *wire.SpreadSummary {
	return &wire.SpreadSummary{
		DataCentre: m.o.DataCentre,
		Roster:     uint32(len(m.topology.order)),
		Report:     m.merge(m.topology.children(-1), nil),
	}
}

// summaryFresh is the age up to which the better of two answers counts, since
// only one of the relays hears all reports.
const summaryFresh = 2 * time.Second

// receiveSummary keeps the answer that covers more instances.
func (m *Spreader) receiveSummary(now time.Time, s *wire.SpreadSummary) {
	if _, known := m.rosters[s.GetDataCentre()]; !known && s.GetDataCentre() != m.o.DataCentre {
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
	if known && now.Sub(old.At) < summaryFresh && old.Members > st.Members {
		return
	}
	m.reports.summaries[st.DataCentre] = st
}

// Confirmed returns what is known of each data centre, by name. One that has
// not answered has no members.
func (m *Spreader) Confirmed() []DataCentreStatus {
	all := maps.Clone(m.reports.summaries)
	for dc, roster := range m.rosters {
		if _, answered := all[dc]; !answered && len(roster) > 0 {
			all[dc] = silent(dc, roster)
		}
	}
	if _, answered := all[m.o.DataCentre]; !answered {
		all[m.o.DataCentre] = silent(m.o.DataCentre, m.roster)
	}
	out := make([]DataCentreStatus, 0, len(all))
	for _, dc := range sortedKeys(all) {
		out = append(out, all[dc])
	}
	return out
}

// silent is the status of a data centre that has not answered.
func silent(dataCentre string, roster []string) DataCentreStatus {
	s := DataCentreStatus{DataCentre: dataCentre, Roster: len(roster), Missing: len(roster)}
	for _, address := range roster[:min(maxLaggards, len(roster))] {
		s.Laggards = append(s.Laggards, Laggard{Instance: address})
	}
	return s
}
