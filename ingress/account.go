package ingress

import (
	"time"
)

const (
	// stallBeforeCut is the time without any byte taken after which a caller may be cut
	// for memory.
	stallBeforeCut = time.Second

	// slowWrite is how long an answer may take to leave before its caller may be cut
	// because other answers wait for memory.
	slowWrite = 5 * time.Second

	// refuseFraction is the part of the limit above which new requests are refused. The
	// rest is room for the answers of requests in progress.
	refuseFraction = 0.75
)

// Full reports whether so many bytes are held for callers that new requests must be
// refused.
func (s *Server) Full() bool { return s.held.Load() >= refuseLevel(s.opt.Limits().HeldBytes) }

func refuseLevel(limit int64) int64 { return int64(refuseFraction * float64(limit)) }

// holder is a connection for which bytes are held.
type holder struct {
	bytes   int64
	stalled time.Duration // since the caller took a byte, 0 when nothing is being sent
	writing time.Duration // since the answer being sent began, 0 when there is none
}

// choice is the result of chooseVictim.
type choice uint8

const (
	nobody  choice = iota
	stalled        // the reader without progress longest
	largest        // of the largest holders the one without progress longest
	slow           // the largest holder of those that read slowly
)

// chooseVictim returns the index of the connection that is cut: a reader without
// progress while new requests are refused or bytes are wanted for other answers, then a
// slow one while bytes are wanted, any other only above the limit.
func chooseVictim(holders []holder, limit, wanted int64) (i int, why choice) {
	total, still, late, most := int64(0), -1, -1, int64(0)
	for i, h := range holders {
		total += h.bytes
		if h.bytes <= 0 {
			continue
		}
		if h.stalled >= stallBeforeCut && (still < 0 || h.stalled > holders[still].stalled) {
			still = i
		}
		if h.writing >= slowWrite && (late < 0 || h.bytes > holders[late].bytes) {
			late = i
		}
		most = max(most, h.bytes)
	}
	switch {
	case total < refuseLevel(limit) && wanted <= 0:
	case still >= 0:
		return still, stalled
	case wanted > 0 && late >= 0:
		return late, slow
	case total > limit && most > limit/int64(len(holders)):
		return largestHolder(holders, most), largest
	}
	return -1, nobody
}

// largestHolder returns the one without progress longest of the holders with at least
// half of most bytes. By the bytes alone, a caller that has just begun to read would be
// cut for a few bytes more than those that do not read.
func largestHolder(holders []holder, most int64) int {
	found := -1
	for i, h := range holders {
		if h.bytes < most/2 || h.bytes <= 0 {
			continue
		}
		if found < 0 || h.stalled > holders[found].stalled || h.stalled == holders[found].stalled && h.bytes > holders[found].bytes {
			found = i
		}
	}
	return found
}

// relieveAboveLimit cuts callers if more bytes are held than the limit allows.
func (s *Server) relieveAboveLimit() {
	if limit := s.opt.Limits().HeldBytes; s.held.Load() > limit {
		s.relieve(limit, 0)
	}
}

// relieve cuts callers as chooseVictim says, until wanted bytes are free.
func (s *Server) relieve(limit, wanted int64) {
	s.relieving.Lock()
	defer s.relieving.Unlock()
	now := s.now()
	var conns []*conn
	var holders []holder
	for _, c := range s.snapshot() {
		h := holder{bytes: c.held.Load()}
		if h.bytes <= 0 {
			continue
		}
		if since := c.writeSince.Load(); since != 0 {
			c.observeProgress(now)
			h.stalled = time.Duration(now - max(since, c.progressAt.Load()))
			h.writing = time.Duration(now - since)
		} else if since := c.headSince.Load(); since != 0 {
			h.stalled = time.Duration(now - since)
		}
		conns, holders = append(conns, c), append(holders, h)
	}
	for {
		i, why := chooseVictim(holders, limit, wanted)
		if why == nobody {
			return
		}
		reason := "memory is short, takes no bytes"
		switch why {
		case largest:
			reason = "memory is short, holds most"
		case slow:
			reason = "memory is short, reads slowly"
		}
		s.cutReader(conns[i], reason, int64(holders[i].stalled))
		wanted -= holders[i].bytes
		holders[i].bytes = 0
	}
}

func (s *Server) cutReader(c *conn, why string, stalled int64) {
	s.stats.readersCut.Add(1)
	if s.loggedC.due(s.now()) {
		s.opt.Log("cut a caller", "why", why, "caller", c.nc.RemoteAddr().String(), "held", c.held.Load(), "stalled_ms", time.Duration(stalled).Milliseconds(), "cut", s.stats.readersCut.Load())
	}
	c.cut()
}
