package httpclient

import (
	"context"
	"errors"
	"sync"
	"time"

	"wisteriafold/memaccount"
)

const (
	// initialReserve is the number of bytes that is reserved for an answer before its
	// request is sent. It covers the head and the body of most answers.
	initialReserve = 16 << 10

	// maxReserveStep limits the bytes that are reserved at a time for an answer of
	// unknown length.
	maxReserveStep = 256 << 10

	// maxHeadBytes limits the bytes that are read before the head of an answer is
	// complete, including informational heads and empty lines before it.
	maxHeadBytes = 64 << 10

	// freeReadBytes is the part of an answer of unknown length that is read without
	// waiting for the read budget.
	freeReadBytes = 1 << 20

	// readBudgetRate is the number of bytes per second that a client reads of answers of
	// unknown length beyond freeReadBytes. Reading them at the speed of a local
	// connection (about 2 GB/s) takes a whole processor from other requests.
	readBudgetRate = 64 << 20

	// readBudgetBurst is the number of bytes that may be read beyond readBudgetRate.
	readBudgetBurst = 4 << 20
)

var (
	errAnswerTooLong = errors.New("server sent more bytes than an answer may have, look up its log or raise the memory limit of the daemon")
	errHeadTooLong   = errors.New("server sent no complete head within the limit, look up its log")
)

// meter counts the bytes that one exchange reads from its connection. It reserves room
// for them before they are read, which slows the backend server down while there is
// none.
type meter struct {
	ctx    context.Context
	client *Client
	held   *memaccount.Holding

	read     int64 // bytes read so far
	reserved int64 // bytes of held that this exchange has reserved
	allowed  int64 // bytes that may be read
	tooLong  error // error when more than allowed are read
	unknown  bool  // the length of the body being read is unknown
}

// startAnswer limits the next bytes to those of a head.
func (m *meter) startAnswer() {
	m.unknown = false
	m.allowed, m.tooLong = m.read+maxHeadBytes, errHeadTooLong
	if m.allowed >= m.client.cfg.MaxAnswerBytes {
		m.allowed, m.tooLong = m.client.cfg.MaxAnswerBytes, errAnswerTooLong
	}
}

// startBody allows the bytes of a body. A length below 0 is unknown. Room for a known
// length is reserved at once, so that what has been read does not wait for the rest.
func (m *meter) startBody(length int64) error {
	m.allowed, m.tooLong = m.client.cfg.MaxAnswerBytes, errAnswerTooLong
	m.unknown = length < 0
	if m.unknown {
		return nil
	}
	if length > m.allowed {
		return errAnswerTooLong
	}
	return m.reserve(m.read + length)
}

// reserve extends the reservation to n bytes of this exchange.
func (m *meter) reserve(n int64) error {
	if n <= m.reserved {
		return nil
	}
	if err := m.held.Reserve(m.ctx, n-m.reserved); err != nil {
		return err
	}
	m.reserved = n
	return nil
}

// room returns how many of n bytes may be read now. It waits while there is no memory
// for them, or no read budget.
func (m *meter) room(n int) (int, error) {
	if m.read >= m.reserved {
		step := min(max(m.reserved, initialReserve), maxReserveStep, max(m.held.Limit()-m.reserved, 1))
		if err := m.reserve(m.reserved + step); err != nil {
			return 0, err
		}
	}
	n = int(min(int64(n), m.reserved-m.read))
	if m.unknown && m.read > freeReadBytes {
		return n, m.client.budget.wait(m.ctx, n)
	}
	return n, nil
}

// count counts bytes that were read.
func (m *meter) count(n int) error {
	m.read += int64(n)
	if m.read > m.allowed {
		return m.tooLong
	}
	return nil
}

// readBudget is a token bucket for bytes.
type readBudget struct {
	mu      sync.Mutex
	debt    float64 // bytes taken beyond what has been earned
	updated time.Time
}

// take takes n bytes and returns how long to wait before they are read.
func (b *readBudget) take(now time.Time, n int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.debt = max(b.debt-readBudgetRate*now.Sub(b.updated).Seconds(), 0)
	b.updated = now
	b.debt += float64(n)
	return time.Duration((b.debt - readBudgetBurst) / readBudgetRate * float64(time.Second))
}

// wait takes n bytes and waits until they may be read or ctx ends.
func (b *readBudget) wait(ctx context.Context, n int) error {
	d := b.take(time.Now(), n)
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
