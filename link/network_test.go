package link

import (
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"wisteriafold/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// bubble runs f in a synctest bubble, with virtual time. yamux keeps timers in a
// global sync.Pool, and a timer must not be used in another bubble than its own.
func bubble(t *testing.T, f func(*testing.T)) {
	emptyPools()
	synctest.Test(t, f)
	emptyPools()
}

// emptyPools empties all sync.Pools, which takes two garbage collections.
func emptyPools() {
	runtime.GC()
	runtime.GC()
}

// network connects links by net.Pipe, and can drop or delay the data of its
// connections.
type network struct {
	mu          sync.Mutex
	links       map[string]*Links
	pipes       []*pipe
	unreachable map[string]bool // dials to these addresses hang
}

// pipe is one end of a connection. While dropData is set, data written to it is
// dropped without an error.
type pipe struct {
	net.Conn
	dropData *atomic.Bool
	stalled  atomic.Pointer[chan struct{}] // writes block until this channel is closed
	closed   chan struct{}
	once     sync.Once
}

func newPipe(c net.Conn, dropData *atomic.Bool) *pipe {
	return &pipe{Conn: c, dropData: dropData, closed: make(chan struct{})}
}

func (p *pipe) Write(b []byte) (int, error) {
	if stall := p.stalled.Load(); stall != nil {
		select {
		case <-*stall:
		case <-p.closed:
			return 0, net.ErrClosed
		}
	}
	if p.dropData.Load() {
		return len(b), nil
	}
	return p.Conn.Write(b)
}

// Close ends a blocked write, as closing a socket does. While the connection drops
// data, the other end does not see the close.
func (p *pipe) Close() error {
	p.once.Do(func() { close(p.closed) })
	if p.dropData.Load() {
		return p.SetDeadline(time.Unix(1, 0))
	}
	return p.Conn.Close()
}

func newNetwork() *network {
	return &network{links: make(map[string]*Links), unreachable: make(map[string]bool)}
}

func (n *network) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l, unreachable := n.links[address], n.unreachable[address]
	n.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, errors.New("connection refused")
	}
	a, b := net.Pipe()
	dropData := new(atomic.Bool)
	pa, pb := newPipe(a, dropData), newPipe(b, dropData)
	n.mu.Lock()
	n.pipes = append(n.pipes, pa)
	n.mu.Unlock()
	l.accept(pb)
	return pa, nil
}

// dropData makes all existing connections drop their data.
func (n *network) dropData() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.pipes {
		p.dropData.Store(true)
	}
}

// stall blocks the writes of the dialling ends of all existing connections until
// the returned function is called. The other direction is not affected.
func (n *network) stall() (release func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	stall := make(chan struct{})
	for _, p := range n.pipes {
		p.stalled.Store(&stall)
	}
	return func() { close(stall) }
}

func (n *network) add(t *testing.T, address string, h Handler, change func(*Config)) *Links {
	cfg := Defaults()
	cfg.Hello = &wire.Hello{Instance: address, Incarnation: 1}
	cfg.Dial = n.dial
	if change != nil {
		change(&cfg)
	}
	l, err := New(cfg, h)
	require.NoError(t, err)
	n.mu.Lock()
	n.links[address] = l
	n.mu.Unlock()
	return l
}

// echo answers each call with the call's own body, after hold is closed when it is
// not nil.
type echo struct {
	hold      chan struct{}
	cancelled atomic.Int32
	control   atomic.Int32
}

func (e *echo) ReceiveControl(string, *wire.Control) { e.control.Add(1) }

func (e *echo) ServeCall(ctx context.Context, s *Stream, first *wire.Frame) {
	if e.hold != nil {
		select {
		case <-e.hold:
		case <-ctx.Done():
			e.cancelled.Add(1)
			return
		}
	}
	if c := first.GetCall(); !c.BodyFollows {
		small := &wire.AnswerHead{Outcome: wire.Outcome_OUTCOME_ANSWERED, Body: c.Body}
		_ = s.Write(&wire.Frame{Kind: &wire.Frame_Answer{Answer: small}})
		return
	}
	answer := &wire.AnswerHead{Outcome: wire.Outcome_OUTCOME_ANSWERED, BodyFollows: true}
	out := []*wire.Frame{{Kind: &wire.Frame_Answer{Answer: answer}}}
	for {
		f, err := s.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return
		}
		out = append(out, f)
	}
	_ = s.Write(out...)
}

func head() *wire.Frame {
	return &wire.Frame{Kind: &wire.Frame_Call{Call: &wire.CallHead{Service: "s", BodyFollows: true}}}
}

func small(body string) *wire.Frame {
	return &wire.Frame{Kind: &wire.Frame_Call{Call: &wire.CallHead{Service: "s", Body: []byte(body)}}}
}

func end() *wire.Frame { return &wire.Frame{Kind: &wire.Frame_End{End: &wire.End{}}} }
func chunk(s string) *wire.Frame {
	return &wire.Frame{Kind: &wire.Frame_Chunk{Chunk: []byte(s)}}
}

// call sends one call with that body and returns the answer's head and body.
func call(ctx context.Context, l *Links, peer, body string) (*wire.AnswerHead, string, error) {
	return exchange(ctx, l, peer, head(), chunk(body), end())
}

func exchange(ctx context.Context, l *Links, peer string, frames ...*wire.Frame) (*wire.AnswerHead, string, error) {
	s, err := l.OpenStream(ctx, peer)
	if err != nil {
		return nil, "", err
	}
	defer s.Close()
	if err := s.Write(frames...); err != nil {
		return nil, "", err
	}
	var answer *wire.AnswerHead
	got := ""
	for {
		f, err := s.Read()
		if errors.Is(err, io.EOF) {
			return answer, got, nil
		}
		if err != nil {
			return answer, got, err
		}
		if a := f.GetAnswer(); a != nil {
			answer = a
			got = string(a.Body)
		}
		got += string(f.GetChunk())
	}
}

func closeAll(t *testing.T, links ...*Links) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var wg sync.WaitGroup
	for _, l := range links {
		wg.Go(func() { assert.NoError(t, l.Close(ctx)) })
	}
	wg.Wait()
}
