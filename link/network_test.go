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

// bubble runs f in virtual time. yamux keeps timers in a pool of the process,
// and a timer must not go from one bubble to another: two collections empty it.
func bubble(t *testing.T, f func(*testing.T)) {
	emptyPools()
	synctest.Test(t, f)
	emptyPools()
}

func emptyPools() {
	runtime.GC()
	runtime.GC()
}

// network joins links by net.Pipe, and can swallow the bytes of connections.
type network struct {
	mu    sync.Mutex
	links map[string]*Links
	pipes []*pipe
	down  map[string]bool // dials to these addresses hang
}

// pipe is one end of a connection; when swallow is set, what is written to it
// is lost without an error.
type pipe struct {
	net.Conn
	swallow *atomic.Bool
	stalled atomic.Pointer[chan struct{}] // writes wait until it is closed
	closed  chan struct{}
	once    sync.Once
}

func newPipe(c net.Conn, swallow *atomic.Bool) *pipe {
	return &pipe{Conn: c, swallow: swallow, closed: make(chan struct{})}
}

func (p *pipe) Write(b []byte) (int, error) {
	if stall := p.stalled.Load(); stall != nil {
		select {
		case <-*stall:
		case <-p.closed:
			return 0, net.ErrClosed
		}
	}
	if p.swallow.Load() {
		return len(b), nil
	}
	return p.Conn.Write(b)
}

// Close ends a stalled write, as closing a socket does. That of a swallowing
// connection is not noticed by the other end.
func (p *pipe) Close() error {
	p.once.Do(func() { close(p.closed) })
	if p.swallow.Load() {
		return p.SetDeadline(time.Unix(1, 0))
	}
	return p.Conn.Close()
}

func newNetwork() *network {
	return &network{links: make(map[string]*Links), down: make(map[string]bool)}
}

func (n *network) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l, down := n.links[address], n.down[address]
	n.mu.Unlock()
	if down {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if l == nil {
		return nil, errors.New("connection refused")
	}
	a, b := net.Pipe()
	swallow := new(atomic.Bool)
	pa, pb := newPipe(a, swallow), newPipe(b, swallow)
	n.mu.Lock()
	n.pipes = append(n.pipes, pa)
	n.mu.Unlock()
	l.accept(pb)
	return pa, nil
}

// silence makes all connections that there are now swallow their bytes.
func (n *network) silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.pipes {
		p.swallow.Store(true)
	}
}

// stall makes what the dialling ends of all connections write wait until the
// returned function is called. The other direction goes on.
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

// echo answers each call with its own chunks, once hold is closed.
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

// call sends one call and returns its answer and body.
func call(ctx context.Context, l *Links, peer, body string) (*wire.AnswerHead, string, error) {
	return exchange(ctx, l, peer, head(), chunk(body), end())
}

func exchange(ctx context.Context, l *Links, peer string, frames ...*wire.Frame) (*wire.AnswerHead, string, error) {
	s, err := l.Open(ctx, peer)
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
